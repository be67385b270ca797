//! Configuration version on one instance: it only grows.
//!
//! The instance adopts a head only if its version is higher than the one held.
//! It also judges whether it can know that it isn't behind: it must have heard
//! from the table, or from enough listed peers, before a deadline.

use serde::Deserialize;
use serde::Serialize;

/// Time without confirmation after which an instance leaves rotation, in ms.
pub const CONFIRM_WITHIN_MS: u64 = 6_000;

/// Version and content hash of an accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted change.
    pub version: u64,
    /// BLAKE3 of the body, in hex.
    pub hash: String,
}

/// What an instance knows about the configuration.
#[derive(Clone, Debug)]
pub struct ConfigState {
    held: Head,
    newest: Head,
    table_read_at_ms: Option<u64>,
    started_at_ms: u64,
}

impl ConfigState {
    /// Starts with nothing held.
    pub fn new(now_ms: u64) -> Self {
        Self {
            held: Head::default(),
            newest: Head::default(),
            table_read_at_ms: None,
            started_at_ms: now_ms,
        }
    }

    /// Returns the head in force on this instance.
    pub fn held(&self) -> &Head {
        &self.held
    }

    /// Takes a head from the table.
    pub fn read_table(&mut self, now_ms: u64, head: &Head) {
        self.table_read_at_ms = Some(now_ms);
        self.heard_head(head);
    }

    /// Takes a head from a peer's digest.
    pub fn heard_head(&mut self, head: &Head) {
        if head.version > self.newest.version {
            self.newest = head.clone();
        }
    }

    /// Returns the head whose body is to be fetched, if any.
    pub fn missing(&self) -> Option<&Head> {
        (self.newest.version > self.held.version).then_some(&self.newest)
    }

    /// Adopts a fetched body's head; says whether it is now in force.
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
            self.heard_head(head);
        }
        newer
    }

    /// Whether this instance may serve: it holds a version and isn't behind.
    ///
    /// `listed_count` are the other instances on the platform's list and
    /// `heard_count` those heard within [`CONFIRM_WITHIN_MS`]. Half of them
    /// confirm as well as the table does, so an outage of the table alone takes
    /// nobody out; an instance that hears neither is cut off and goes. One that
    /// knows of no other instance stays: there is nobody to be behind of.
    pub fn may_serve(&self, now_ms: u64, listed_count: usize, heard_count: usize) -> bool {
        if self.held.version == 0 {
            return false;
        }
        let confirmed_at_ms = self.table_read_at_ms.unwrap_or(self.started_at_ms);
        let table_fresh = now_ms.saturating_sub(confirmed_at_ms) < CONFIRM_WITHIN_MS;
        let enough_peers = heard_count * 2 >= listed_count;
        let behind =
            self.missing().is_some() && now_ms.saturating_sub(confirmed_at_ms) >= CONFIRM_WITHIN_MS;
        (table_fresh || enough_peers) && !behind
    }
}
