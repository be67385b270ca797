//! Faults in declarations, each with its code and place.

use thiserror::Error;

use crate::codes::ResultCode;

/// Place in the declarations that a fault is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Section, such as `accounts`.
    pub section: &'static str,
    /// Name of the entry in the section.
    pub entry: String,
    /// Key within the entry.
    pub key: &'static str,
}

/// A fault in the declarations.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} {}: {}: {detail}", place.section, place.entry, place.key)]
pub struct Fault {
    /// Numbered code of the fault.
    pub code: ResultCode,
    /// Where it is.
    pub place: Place,
    /// What is wrong and what would be valid.
    pub detail: String,
}

/// Makes a fault.
pub(super) fn fault(
    code: ResultCode,
    section: &'static str,
    entry: &str,
    key: &'static str,
    detail: String,
) -> Fault {
    Fault {
        code,
        place: Place {
            section,
            entry: entry.to_owned(),
            key,
        },
        detail,
    }
}

/// Makes the fault of a name that stands twice.
pub(super) fn duplicate_name(section: &'static str, entry: &str) -> Fault {
    fault(
        ResultCode::DuplicateName,
        section,
        entry,
        "name",
        "the name stands twice".to_owned(),
    )
}

/// Lists names in order, for messages.
pub(super) fn join_sorted(names: impl Iterator<Item = impl ToString>) -> String {
    let mut names: Vec<String> = names.map(|name| name.to_string()).collect();
    names.sort();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}
