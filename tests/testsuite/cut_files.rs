//! Files that end before they are complete, as a write that was interrupted leaves them.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use cranereach_entry::settings::Settings;
use cranereach_wire::folder::Folder;
use cranereach_wire::jsonc;

/// Returns a file of the documentation, and all beginnings that lack at least its last bracket.
fn beginnings(path: &str) -> (String, Vec<String>) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    let text = fs::read_to_string(path).unwrap();
    let end = text.rfind(['}', ']']).unwrap();
    let lengths = (0..=end).filter(|length| text.is_char_boundary(*length));
    let beginnings = lengths.map(|length| text[..length].to_owned());
    let beginnings = beginnings.collect();
    (text, beginnings)
}

/// Guards against a declarations file that was cut, down to an empty one, being taken for one that
/// declares less: what is no longer declared would be removed.
#[test]
fn a_cut_file_of_declarations_is_refused() {
    let parse = |text: &str| {
        let files = BTreeMap::from([("a.jsonc".to_owned(), text.to_owned())]);
        Folder { files }.declarations()
    };
    let (whole, beginnings) = beginnings("docs/examples/vineyard.jsonc");
    parse(&whole).unwrap();
    for text in beginnings {
        parse(&text).expect_err(&text);
    }
}

/// Guards against settings that were cut being taken for ones that leave the rest at its defaults.
#[test]
fn cut_settings_are_refused() {
    let parse = |text: &str| jsonc::parse::<Settings>(Path::new("settings"), text);
    let (whole, beginnings) = beginnings("docs/settings.sample.jsonc");
    parse(&whole).unwrap();
    for text in beginnings {
        parse(&text).expect_err(&text);
    }
}
