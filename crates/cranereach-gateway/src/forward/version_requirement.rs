//! Version of the workers' software that a call is bound to.
//!
//! Events that workers of different versions write do not fit together in one stream, and workers
//! do not check this. So a stream of which the caller has events goes on only at workers of the
//! version that began it.

use std::fmt;

use cranereach_fleet::software_version::SoftwareVersion;

/// Version of the workers' software that a call is bound to, if any.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionRequirement {
    required: Option<Required>,
}

/// Required version.
#[derive(Clone, Debug)]
struct Required {
    /// Key of the version.
    key: u64,
    /// The version itself; none if only its key is known.
    version: Option<SoftwareVersion>,
}

impl VersionRequirement {
    /// Returns the requirement of the version with a key (see [`SoftwareVersion::key`]).
    pub(crate) fn from_key(key: u64) -> Self {
        let version = None;
        Self {
            required: Some(Required { key, version }),
        }
    }

    /// Returns the requirement of a version.
    pub(crate) fn same_as(version: &SoftwareVersion) -> Self {
        Self {
            required: Some(Required {
                key: version.key(),
                version: Some(version.clone()),
            }),
        }
    }

    /// Returns the key of the required version; `None` if any version will do.
    pub(crate) fn key(&self) -> Option<u64> {
        self.required.as_ref().map(|required| required.key)
    }

    /// Whether a version is the required one, or any will do.
    pub(crate) fn accepts(&self, version: &SoftwareVersion) -> bool {
        self.key().is_none_or(|key| key == version.key())
    }
}

impl fmt::Display for VersionRequirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.required {
            None => f.write_str("any"),
            Some(Required { key: 0, .. }) => f.write_str("none"),
            Some(Required {
                version: Some(version),
                ..
            }) => write!(f, "{version}"),
            Some(Required { key, .. }) => write!(f, "#{key:016x}"),
        }
    }
}
