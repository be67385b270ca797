//! A folder of declarations on disk, with the configuration version that it is based on.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use cranereach_core::codes::ResultCode;
use cranereach_core::snapshot::Snapshot;
use cranereach_wire::folder::Folder;
use cranereach_wire::jsonc::FileError;
use cranereach_wire::locate::locate;

/// File that holds the base version of a folder.
const BASE_FILE: &str = "cranereach.base";

/// Configuration version that a folder is based on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Base {
    version: u64,
}

/// A fault in the declarations, with its position on disk.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: &'static str,
    /// File, if known.
    pub file: Option<String>,
    /// Line number, starting at 1.
    pub line: Option<usize>,
    /// Section, entry and key in the declarations.
    pub place: Option<String>,
    /// Description of the fault and of what would be valid.
    pub detail: String,
}

/// Error of reading or writing a folder or one of its files.
#[derive(Debug, Error)]
#[error("{}: can't {operation}: {source}", path.display())]
pub struct DiskError {
    path: PathBuf,
    operation: &'static str,
    source: io::Error,
}

/// Reads the declaration files of a folder. One that can't be read or named is an error, since
/// without it what it declares would be removed.
pub fn read(path: &Path) -> Result<Folder, DiskError> {
    let mut files = BTreeMap::new();
    let unreadable = |source| DiskError {
        path: path.to_owned(),
        operation: "read the folder",
        source,
    };
    for entry in fs::read_dir(path).map_err(unreadable)? {
        let entry = entry.map_err(unreadable)?;
        let file = entry.path();
        let is_declaration = file
            .extension()
            .is_some_and(|extension| extension == "jsonc" || extension == "json");
        if is_declaration {
            let text = fs::read_to_string(&file).map_err(|source| DiskError {
                path: file.clone(),
                operation: "read the file",
                source,
            })?;
            let name = entry.file_name().into_string().map_err(|_name| DiskError {
                path: file,
                operation: "take the name of the file",
                source: io::Error::new(io::ErrorKind::InvalidFilename, "it isn't UTF-8"),
            })?;
            files.insert(name, text);
        }
    }
    Ok(Folder { files })
}

/// Writes a folder's files and records their version as the base version.
pub fn write(path: &Path, folder: &Folder, version: u64) -> Result<(), DiskError> {
    fs::create_dir_all(path).map_err(|source| DiskError {
        path: path.to_owned(),
        operation: "create the folder",
        source,
    })?;
    for (name, text) in &folder.files {
        let file = path.join(name);
        fs::write(&file, text).map_err(|source| DiskError {
            path: file.clone(),
            operation: "write the file",
            source,
        })?;
    }
    write_base_version(path, version)
}

/// Returns the base version of a folder; zero if none is recorded. One that can't be read is an error,
/// since a folder based on nothing would bring back what others have removed.
pub fn read_base_version(path: &Path) -> Result<u64, FileError> {
    match cranereach_wire::jsonc::read_file::<Base>(&path.join(BASE_FILE)) {
        Ok(base) => Ok(base.version),
        Err(FileError::Unreadable { source, .. }) if source.kind() == io::ErrorKind::NotFound => {
            Ok(0)
        }
        Err(error) => Err(error),
    }
}

/// Records the base version of a folder.
pub fn write_base_version(path: &Path, version: u64) -> Result<(), DiskError> {
    let file = path.join(BASE_FILE);
    let text = format!(
        "// Version that this folder was begun from; kept by cranereach.\n{{ \"version\": {version} }}\n"
    );
    fs::write(&file, text).map_err(|source| DiskError {
        path: file.clone(),
        operation: "write the file",
        source,
    })
}

/// Checks all declarations of a folder and returns their faults with their positions.
pub fn check(path: &Path, folder: &Folder) -> Vec<Finding> {
    let display_path = |file: &str| path.join(file).display().to_string();
    let declared = match folder.declarations() {
        Ok(declared) => declared,
        Err(error) => return vec![file_error_finding(&error, &display_path)],
    };
    let Err(faults) = Snapshot::resolve(&declared, 0) else {
        return Vec::new();
    };
    let finding = |fault: &cranereach_core::snapshot::Fault| {
        let line = locate(folder, &fault.place);
        Finding {
            code: fault.code.row().number,
            name: fault.code.row().name,
            file: line.as_ref().map(|line| display_path(&line.file)),
            line: line.map(|line| line.line),
            place: Some(format!(
                "{} {:?} {}",
                fault.place.section, fault.place.entry, fault.place.key
            )),
            detail: fault.detail.clone(),
        }
    };
    faults.iter().map(finding).collect()
}

/// Converts an error of reading or parsing a file into a finding.
fn file_error_finding(error: &FileError, display_path: &impl Fn(&str) -> String) -> Finding {
    let (code, file, line, detail) = match error {
        FileError::Unreadable { path, source } => {
            (ResultCode::Syntax, path, None, source.to_string())
        }
        FileError::InvalidContent {
            path,
            line,
            detail,
            is_syntax,
            ..
        } => {
            let code = if *is_syntax {
                ResultCode::Syntax
            } else {
                ResultCode::UnknownKey
            };
            (code, path, Some(*line), detail.clone())
        }
    };
    let row = code.row();
    let file = Some(display_path(&file.to_string_lossy()));
    Finding {
        code: row.number,
        name: row.name,
        file,
        line,
        place: None,
        detail,
    }
}

/// Prints findings, one per line or as JSON.
pub fn print(findings: &[Finding], as_json: bool) {
    if as_json {
        super::print_json(&findings);
        return;
    }
    for finding in findings {
        let file = finding.file.as_deref().unwrap_or("?");
        let line = finding
            .line
            .map_or_else(String::new, |line| format!(":{line}"));
        let place = finding
            .place
            .as_ref()
            .map_or_else(String::new, |place| format!(" {place}:"));
        println!(
            "{file}{line}: {} {}:{place} {}",
            finding.code, finding.name, finding.detail
        );
    }
}
