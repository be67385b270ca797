//! `plan`: shows what applying a folder would change.

use std::collections::BTreeMap;
use std::path::PathBuf;

use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

use super::folder;
use crate::exit::Exit;
use cranereach_entry::apply::Stores;
use cranereach_entry::settings::Settings;
use cranereach_wire::folder::Folder;

/// Options of `plan`.
#[derive(Debug, Options)]
pub struct PlanArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder of declarations")]
    folder: PathBuf,
    #[options(
        help = "settings file, for the platform's addresses",
        required,
        meta = "FILE"
    )]
    settings: PathBuf,
    #[options(help = "print JSON")]
    json: bool,
}

/// One added, removed or modified entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Change {
    section: String,
    entry: String,
    before: Option<Value>,
    after: Option<Value>,
}

/// Compares the folder with the active configuration and prints the differences.
pub fn execute(options: &PlanArguments) -> Exit {
    let (settings, local) = match read_inputs(&options.settings, &options.folder) {
        Ok(inputs) => inputs,
        Err(exit) => return exit,
    };
    let stores = Stores::new(&settings.platform.table, &settings.platform.objects);
    match super::block_on(stores.current()) {
        Ok(current) => {
            let changes = changes(&current.folder, &local);
            show(&changes, current.head.version, options.json);
            Exit::Success
        }
        Err(error) => {
            eprintln!("{}: {error}", error.code().row().number);
            error.code().into()
        }
    }
}

/// Reads the settings and a folder of declarations. Prints the errors if either is invalid.
pub(super) fn read_inputs(
    settings: &std::path::Path,
    path: &std::path::Path,
) -> Result<(Settings, Folder), Exit> {
    let settings = Settings::read(settings).map_err(|error| {
        eprintln!("{error}");
        Exit::Settings
    })?;
    let local = folder::read(path).map_err(|error| {
        eprintln!("{error}");
        Exit::Failure
    })?;
    let findings = folder::check(path, &local);
    if findings.is_empty() {
        return Ok((settings, local));
    }
    folder::print(&findings, false);
    Err(Exit::Failure)
}

/// Returns the entries that differ between two folders.
fn changes(before: &Folder, after: &Folder) -> Vec<Change> {
    let before = entries(before);
    let after = entries(after);
    let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| Change {
            section: name.0.clone(),
            entry: name.1.clone(),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
        })
        .collect()
}

/// Indexes a folder's entries by section and name.
fn entries(folder: &Folder) -> BTreeMap<(String, String), Value> {
    let declared = folder.declarations().unwrap_or_default();
    let Ok(Value::Object(sections)) = serde_json::to_value(declared) else {
        return BTreeMap::new();
    };
    let mut entries = BTreeMap::new();
    for (section, list) in sections {
        for entry in list.as_array().into_iter().flatten() {
            let name = entry["name"].as_str().unwrap_or_default().to_owned();
            entries.insert((section.clone(), name), entry.clone());
        }
    }
    entries
}

/// Prints the differences.
fn show(changes: &[Change], version: u64, as_json: bool) {
    if as_json {
        super::print_json(&changes);
        return;
    }
    println!("compared to version {version}:");
    if changes.is_empty() {
        println!("  no change");
    }
    for change in changes {
        match (&change.before, &change.after) {
            (None, _) => println!("+ {} {}", change.section, change.entry),
            (_, None) => println!("- {} {}", change.section, change.entry),
            (Some(before), Some(after)) => {
                println!("~ {} {}", change.section, change.entry);
                show_keys(before, after);
            }
        }
    }
}

/// Prints the keys in which two entries differ.
fn show_keys(before: &Value, after: &Value) {
    let (Some(before), Some(after)) = (before.as_object(), after.as_object()) else {
        return;
    };
    for (key, value) in after {
        let old = before.get(key).unwrap_or(&Value::Null);
        if old != value {
            println!("    {key}: {old} -> {value}");
        }
    }
}
