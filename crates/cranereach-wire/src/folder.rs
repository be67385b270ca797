//! Folder of declaration files, which is the body of a configuration.
//!
//! The body keeps the text of each file, so that the change of one operator can be merged,
//! file by file, with the changes that others made since the version that it is based on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::jsonc;
use crate::jsonc::FileError;
use cranereach_core::declarations::Declarations;

/// Declaration files of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Folder {
    /// Text of each file, by its name.
    pub files: BTreeMap<String, String>,
}

impl Folder {
    /// Parses all files and combines them into one set of declarations.
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

    /// Performs a three-way merge of the changes in `mine` and `theirs` since `base`, file by file.
    ///
    /// If both changed the same files in different ways, the error holds their names.
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
