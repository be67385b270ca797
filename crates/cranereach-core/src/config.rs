//! Configuration version in force on one instance, which never decreases.
//!
//! The instance adopts a configuration only if its version is higher than the one
//! in force. It serves only while it can tell that its version is current: it must
//! have read the table, or heard from enough of the listed peers, recently.

use serde::Deserialize;
use serde::Serialize;

/// Time without confirmation of its version after which an instance stops serving, in ms.
pub const CONFIRMATION_TIMEOUT_MS: u64 = 6_000;

/// Version and content hash of an accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version, which increases by one with each accepted change.
    pub version: u64,
    /// BLAKE3 hash of the body, in hex.
    pub hash: String,
}

/// Configuration version in force on an instance, and the newest that it has heard of.
#[derive(Clone, Debug)]
pub struct ConfigState {
    held: Head,
    newest: Head,
    table_read_at_ms: Option<u64>,
    started_at_ms: u64,
}

impl ConfigState {
    /// Creates the state of an instance that has no configuration yet.
    pub fn new(now_ms: u64) -> Self {
        Self {
            held: Head::default(),
            newest: Head::default(),
            table_read_at_ms: None,
            started_at_ms: now_ms,
        }
    }

    /// Returns the head of the configuration in force on this instance.
    pub fn held(&self) -> &Head {
        &self.held
    }

    /// Records a head that was read from the table.
    pub fn observe_table_head(&mut self, now_ms: u64, head: &Head) {
        self.table_read_at_ms = Some(now_ms);
        self.observe_head(head);
    }

    /// Records a head that a peer's digest mentions.
    pub fn observe_head(&mut self, head: &Head) {
        if head.version > self.newest.version {
            self.newest = head.clone();
        }
    }

    /// Returns the head of a newer configuration whose body must be fetched, if any.
    pub fn missing(&self) -> Option<&Head> {
        (self.newest.version > self.held.version).then_some(&self.newest)
    }

    /// Puts a fetched configuration in force if it is newer; returns whether it did.
    ///
    /// ```
    /// use cranereach_core::config::{ConfigState, Head};
    ///
    /// let mut state = ConfigState::new(0);
    /// assert!(state.adopt(&Head { version: 2, hash: "b".into() }));
    /// assert!(!state.adopt(&Head { version: 1, hash: "a".into() }));
    /// assert_eq!(state.held().version, 2);
    /// ```
    pub fn adopt(&mut self, head: &Head) -> bool {
        let newer = head.version > self.held.version;
        if newer {
            self.held = head.clone();
            self.observe_head(head);
        }
        newer
    }

    /// Returns whether this instance may serve: it has a configuration that it can tell is current.
    ///
    /// `listed_count` is the number of other instances on the platform's list, and
    /// `heard_count` the number of those heard from within [`CONFIRMATION_TIMEOUT_MS`]. Half
    /// of them confirm the version as well as the table does, so an outage of the table
    /// alone stops no instance. An instance that reaches neither is isolated and stops
    /// serving. One with no other instance on the list keeps serving, because no other
    /// instance can have a newer version.
    pub fn may_serve(&self, now_ms: u64, listed_count: usize, heard_count: usize) -> bool {
        if self.held.version == 0 {
            return false;
        }
        let confirmed_at_ms = self.table_read_at_ms.unwrap_or(self.started_at_ms);
        let table_fresh = now_ms.saturating_sub(confirmed_at_ms) < CONFIRMATION_TIMEOUT_MS;
        let enough_peers = heard_count * 2 >= listed_count;
        let behind = self.missing().is_some()
            && now_ms.saturating_sub(confirmed_at_ms) >= CONFIRMATION_TIMEOUT_MS;
        (table_fresh || enough_peers) && !behind
    }
}
