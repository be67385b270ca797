//! Reading JSON files with comments; errors give the line and column.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Reasons why a file can't be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{}: can't read the file: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not JSON with comments, or has an unknown key or an invalid value.
    #[error("{}:{line}:{column}: {detail}", path.display())]
    InvalidContent {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Description of the error, with what would be valid.
        detail: String,
        /// Whether it is a syntax error, rather than an unknown key or an invalid value.
        is_syntax: bool,
    },
}

/// Reads a JSON file with comments and deserializes it.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    let text = fs::read_to_string(path).map_err(|source| FileError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Deserializes JSON text with comments; `path` is used in error messages only.
///
/// ```
/// use std::path::Path;
///
/// let list: Vec<u32> = cranereach_wire::jsonc::parse(Path::new("x"), "[1, /* two */ 2]").unwrap();
/// assert_eq!(list, [1, 2]);
/// ```
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, FileError> {
    parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
        FileError::InvalidContent {
            path: path.to_owned(),
            line: error.line_display(),
            column: error.column_display(),
            detail: error.kind().to_string(),
            is_syntax: !matches!(
                error.kind(),
                jsonc_parser::errors::ParseErrorKind::Custom(_)
            ),
        }
    })
}
