//! Typed names that are used in declarations and messages.
//!
//! Each name is a shared string that is cheap to clone. The types keep names of
//! different kinds from being mixed up.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Defines one shared-string name type.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a client account.
    AccountName
}
name_type! {
    /// Name of what a request asks for: a model, adapter or version, or a pool of plain services.
    TargetName
}
name_type! {
    /// ID of an upstream worker.
    WorkerId
}
name_type! {
    /// ID of an entry instance.
    ///
    /// In a lease, the boot number is appended to it, so that each boot is a holder of its own.
    InstanceId
}
name_type! {
    /// Name of a pool of upstreams of one kind.
    PoolName
}
name_type! {
    /// Name of a failure domain.
    FailureDomain
}

/// ID of a request, unique within one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);
