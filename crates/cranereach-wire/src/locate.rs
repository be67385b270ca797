//! Finding the line of a configuration fault in the declaration files.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;

use crate::folder::Folder;
use cranereach_core::snapshot::Place;

/// Line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
}

/// Returns the line of the key at a place, or the first line of its entry if the key is missing.
///
/// ```
/// use cranereach_core::snapshot::Place;
/// use cranereach_wire::folder::Folder;
/// use cranereach_wire::locate::locate;
///
/// let text = "{\n\"models\": [\n{ \"name\": \"m\",\n\"pool\": \"p\" }]}".to_owned();
/// let folder = Folder { files: [("f".to_owned(), text)].into() };
/// let place = Place { section: "models", entry: "m".to_owned(), key: "pool" };
/// assert_eq!(locate(&folder, &place).unwrap().line, 4);
/// ```
pub fn locate(folder: &Folder, place: &Place) -> Option<Line> {
    let mut lines = folder.files.iter().filter_map(|(file, text)| {
        let offset = byte_offset_of(text, place)?;
        let line = text[..offset].matches('\n').count() + 1;
        Some(Line {
            file: file.clone(),
            line,
        })
    });
    // Of several entries with the same name, the last one is reported.
    lines.next_back()
}

/// Returns the byte offset of a place in a text, in the last entry if several have its name.
fn byte_offset_of(text: &str, place: &Place) -> Option<usize> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).ok()?;
    let root = parsed.value?;
    let section = root.as_object()?.get_array(place.section)?;
    let mut entries = section.elements.iter().filter_map(Value::as_object);
    let entry = entries.rfind(|entry| has_name(entry, &place.entry))?;
    let key = entry.get(place.key).map(Ranged::start);
    Some(key.unwrap_or_else(|| entry.start()))
}

/// Returns whether an entry has the given name.
fn has_name(entry: &Object<'_>, name: &str) -> bool {
    entry
        .get_string("name")
        .is_some_and(|value| value.value == name)
}
