//! Import rules that stable rustfmt cannot check: one import per line, in three groups.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Collects the Rust source files below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() && name != "target" && name != ".git" {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the group of an import: 0 for the standard library, 1 for other crates, 2 for this
/// project.
fn group(import: &str) -> usize {
    let root = import.split("::").next().unwrap_or_default();
    match root {
        "std" | "core" | "alloc" => 0,
        "crate" | "self" | "super" => 2,
        _ if root.starts_with("cranereach") => 2,
        _ => 1,
    }
}

#[test]
fn imports_stand_one_a_line_in_three_groups() {
    let mut files = Vec::new();
    sources(Path::new(env!("CARGO_MANIFEST_DIR")), &mut files);
    assert!(files.len() > 50);
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let mut last: Option<(usize, usize)> = None;
        for (number, line) in text.lines().enumerate() {
            let import = line
                .trim_start_matches("pub(crate) ")
                .trim_start_matches("pub ")
                .strip_prefix("use ");
            let Some(import) = import else {
                // Anything but a blank line ends the block of imports.
                last = last.filter(|_| line.is_empty());
                continue;
            };
            let place = format!("{}:{}", file.display(), number + 1);
            assert!(
                !import.contains('{'),
                "{place}: more than one import on a line"
            );
            let group = group(import);
            if let Some((last_group, last_number)) = last {
                assert!(group >= last_group, "{place}: groups out of order");
                assert!(
                    group == last_group || number > last_number + 1,
                    "{place}: no blank line between groups"
                );
            }
            last = Some((group, number));
        }
    }
}
