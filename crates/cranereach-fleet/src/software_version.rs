//! Versions of the workers' software.

use std::fmt;
use std::sync::Arc;

use crate::key::worker_key;

/// Largest part of a version that is kept for logs, in bytes.
const LABEL_MAX_BYTES: usize = 40;

/// Version of a worker's software, as its row names it.
///
/// Events that workers of different versions write do not fit together in one stream. Versions are
/// only compared for equality. A worker whose row names none has the version
/// [`SoftwareVersion::default`], which equals no named one.
///
/// ```
/// use cranereach_fleet::software_version::SoftwareVersion;
///
/// let named = SoftwareVersion::named("\"v2\"");
/// assert_eq!(named, SoftwareVersion::named("\"v2\""));
/// assert_ne!(named, SoftwareVersion::default());
/// assert_eq!(named.to_string(), "\"v2\"");
/// ```
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersion {
    /// Hash of the whole name; zero if none is named.
    key: u64,
    /// Beginning of the name.
    label: Arc<str>,
}

impl SoftwareVersion {
    /// Returns the version with a name. The name must be written the same way wherever it occurs.
    pub fn named(name: &str) -> Self {
        let mut end = name.len().min(LABEL_MAX_BYTES);
        while !name.is_char_boundary(end) {
            end -= 1;
        }
        Self {
            key: worker_key(name).max(1),
            label: Arc::from(&name[..end]),
        }
    }

    /// Returns the key by which instances refer to the version in messages; zero if the worker
    /// names none.
    pub fn key(&self) -> u64 {
        self.key
    }
}

impl PartialEq for SoftwareVersion {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for SoftwareVersion {}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.label)
    }
}
