//! A folder of declarations: the body of a configuration.
//!
//! The body keeps the files as they are, so that a change by one operator can
//! be merged, file by file, with what others changed since it was begun.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::jsonc;
use crate::jsonc::FileError;
use cranereach_core::declarations::Declarations;

/// The files of a folder by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Folder {
    /// Text of each file.
    pub files: BTreeMap<String, String>,
}

impl Folder {
    /// Reads all files into one set of declarations.
    ///
    /// ```
    /// let folder = cranereach_wire::folder::Folder::default();
    /// assert!(folder.declarations().unwrap().models.is_empty());
    /// ```
    pub fn declarations(&self) -> Result<Declarations, FileError> {
        let mut all = Declarations::default();
        for (name, text) in &self.files {
            let mut part: Declarations = jsonc::parse(Path::new(name), text)?;
            all.pools.append(&mut part.pools);
            all.models.append(&mut part.models);
            all.templates.append(&mut part.templates);
            all.accounts.append(&mut part.accounts);
        }
        Ok(all)
    }

    /// Returns the names of the files in which two folders differ.
    pub fn changed_files(&self, other: &Self) -> BTreeSet<String> {
        let names = self.files.keys().chain(other.files.keys());
        names
            .filter(|name| self.files.get(*name) != other.files.get(*name))
            .cloned()
            .collect()
    }

    /// Merges what `mine` and `theirs` changed since `base`, file by file.
    ///
    /// Returns the files that both changed differently, if there are any.
    ///
    /// ```
    /// use cranereach_wire::folder::Folder;
    ///
    /// let with = |name: &str| Folder { files: [(name.to_owned(), "{}".to_owned())].into() };
    /// let merged = Folder::merge(&Folder::default(), &with("a"), &with("b")).unwrap();
    /// assert_eq!(merged.files.len(), 2);
    /// ```
    pub fn merge(base: &Self, mine: &Self, theirs: &Self) -> Result<Self, BTreeSet<String>> {
        let my_changes = base.changed_files(mine);
        let conflicts: BTreeSet<String> = base
            .changed_files(theirs)
            .into_iter()
            .filter(|name| {
                my_changes.contains(name) && mine.files.get(name) != theirs.files.get(name)
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let mut merged = theirs.clone();
        for name in my_changes {
            match mine.files.get(&name) {
                Some(text) => merged.files.insert(name, text.clone()),
                None => merged.files.remove(&name),
            };
        }
        Ok(merged)
    }
}
