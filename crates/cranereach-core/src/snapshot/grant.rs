//! What one key opens: a client account with its template filled in.

use std::collections::BTreeSet;

use crate::declarations::Class;
use crate::declarations::Repeatable;
use crate::names::AccountName;
use crate::names::TargetName;

/// What one client account may do, with its template filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The account.
    pub account: AccountName,
    /// Models and plain pools it is entitled to.
    pub targets: BTreeSet<TargetName>,
    /// Class of its requests.
    pub class: Class,
    /// Share of served cost.
    pub share: f64,
    /// Whether model calls may be repeated.
    pub repeat: Repeatable,
    /// Promised time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Promised time to the whole answer, in milliseconds.
    pub whole_answer_ms: u64,
    /// Longest queue on one instance, in requests.
    pub queue_count: u32,
}

/// Hash of a bearer key: BLAKE3 of its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes the key that a caller presents.
    ///
    /// ```
    /// use cranereach_core::snapshot::KeyHash;
    ///
    /// assert_ne!(KeyHash::of("a"), KeyHash::of("b"));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Reads a hash in hex; none if it isn't one.
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

    /// Writes the hash in hex.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_string()
    }
}
