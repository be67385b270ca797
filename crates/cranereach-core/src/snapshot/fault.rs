//! Faults in declarations, each with its code and location.

use thiserror::Error;

use crate::codes::ResultCode;

/// Location of a fault in the declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Section, such as `accounts`.
    pub section: &'static str,
    /// Name of the entry in the section.
    pub entry: String,
    /// Key within the entry.
    pub key: &'static str,
}

/// Fault in the declarations.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{} {}: {}: {detail}", place.section, place.entry, place.key)]
pub struct Fault {
    /// Result code of the fault.
    pub code: ResultCode,
    /// Location of the fault.
    pub place: Place,
    /// Description of the fault and of the valid values.
    pub detail: String,
}

/// Creates a fault.
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

/// Creates the fault for a duplicate name in a section.
pub(super) fn duplicate_name(section: &'static str, entry: &str) -> Fault {
    fault(
        ResultCode::DuplicateName,
        section,
        entry,
        "name",
        "the name is declared more than once".to_owned(),
    )
}

/// Joins names in sorted order for error messages.
pub(super) fn join_sorted(names: impl Iterator<Item = impl ToString>) -> String {
    let mut names: Vec<String> = names.map(|name| name.to_string()).collect();
    names.sort();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}
