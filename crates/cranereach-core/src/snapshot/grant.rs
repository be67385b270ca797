//! Grants: the resolved permissions of a client account, found by its keys.

use std::collections::BTreeSet;

use crate::declarations::Class;
use crate::declarations::Repeatable;
use crate::names::AccountName;
use crate::names::TargetName;

/// Permissions and limits of a client account, resolved from its template.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The account.
    pub account: AccountName,
    /// Models and plain pools that it may use.
    pub targets: BTreeSet<TargetName>,
    /// Priority class of its requests.
    pub class: Class,
    /// Fair share of the served cost, as a weight against other accounts.
    pub share: f64,
    /// Whether model calls may be repeated.
    pub repeat: Repeatable,
    /// Latency target for the first token or byte, in milliseconds.
    pub first_token_ms: u64,
    /// Latency target for the complete answer, in milliseconds.
    pub whole_answer_ms: u64,
    /// Limit on waiting requests for one target on one entry instance.
    pub queue_count: u32,
}

/// BLAKE3 hash of the bytes of a bearer key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes the key of a request.
    ///
    /// ```
    /// use cranereach_core::snapshot::KeyHash;
    ///
    /// assert_ne!(KeyHash::of("a"), KeyHash::of("b"));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses a hash in hex; returns none if it is invalid.
    ///
    /// ```
    /// use cranereach_core::snapshot::KeyHash;
    ///
    /// let hash = KeyHash::of("a");
    /// assert_eq!(KeyHash::from_hex(&hash.to_hex()), Some(hash));
    /// assert_eq!(KeyHash::from_hex("a"), None);
    /// ```
    pub fn from_hex(hex: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(hex).ok()?;
        Some(Self(*hash.as_bytes()))
    }

    /// Formats the hash in hex.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_string()
    }
}
