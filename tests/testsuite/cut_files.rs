//! Files that end before they are complete, as a write that was interrupted leaves them.

use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::fs;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;

use crate::harness;
use crate::harness::ProcessDeployment;
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

/// Guards against a folder whose base version was cut being merged as if it were based on nothing:
/// declarations that another operator removed would come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_folder_with_a_cut_base_version_is_not_applied() {
    let deployment = ProcessDeployment::start("cut-base").await;
    let settings = deployment.folder.join("entry-1.jsonc");
    let settings = settings.display().to_string();
    let folders = ["one", "other"].map(|name| deployment.folder.join(name));
    let run = |command: &str, folder: &Path| {
        let folder = folder.display().to_string();
        harness::run(&[command, "--settings", &settings, &folder])
    };
    let [one, other] = &folders;
    assert_eq!(run("pull", one).0, 0);
    fs::write(one.join("extra.jsonc"), "{}").unwrap();
    assert_eq!(run("apply", one).0, 0);
    assert_eq!(run("pull", other).0, 0);
    fs::remove_file(one.join("extra.jsonc")).unwrap();
    assert_eq!(run("apply", one).0, 0);
    fs::write(other.join("cranereach.base"), "").unwrap();
    let (exit, output, errors) = run("apply", other);
    assert_eq!(exit, 1, "{output}{errors}");
    assert!(errors.contains("cranereach.base"), "{errors}");
}

/// Guards against files of declarations whose names can't be told apart being taken for one: what the
/// others declare would be removed.
#[test]
fn a_folder_with_a_name_that_is_not_utf_8_is_refused() {
    let folder = harness::scratch_folder("names");
    for name in [&b"a\xff.jsonc"[..], &b"a\xfe.jsonc"[..]] {
        fs::write(folder.join(OsStr::from_bytes(name)), "{}").unwrap();
    }
    let (exit, output, errors) = harness::run(&["check", &folder.display().to_string()]);
    assert_ne!(exit, 0, "{output}{errors}");
    assert!(errors.contains("UTF-8"), "{errors}");
}
