//! Recent failures to reach the store, as instances report them to each other.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::messages::StoreFailure;

/// Time for which a reported failure to reach the store counts, in milliseconds. It covers
/// several attempts of the instances that retry soon.
const FAILURE_RETENTION_MS: u64 = 1_500;

/// Number of other instances that must report failures before the store counts as lost. A single
/// one may be cut off itself.
const FAILED_PEER_MIN_COUNT: usize = 2;

/// Maximum number of failures that are kept and passed on.
const FAILURE_MAX_COUNT: usize = 6;

/// The known failures to reach the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFailures {
    /// Time of the last failure of each instance, in milliseconds.
    at_ms: HashMap<Ipv4Addr, u64>,
}

impl StoreFailures {
    /// Merges failures that a peer reports, up to the maximum that is kept.
    pub fn merge(&mut self, now_ms: u64, failures: &[StoreFailure]) {
        for failure in failures.iter().take(FAILURE_MAX_COUNT) {
            self.note(now_ms, failure.address, failure.age_ms);
        }
    }

    /// Records that an instance failed to reach the store `age_ms` ago.
    pub fn note(&mut self, now_ms: u64, address: Ipv4Addr, age_ms: u64) {
        let at_ms = now_ms.saturating_sub(age_ms);
        self.at_ms
            .retain(|_, known_ms| now_ms < *known_ms + FAILURE_RETENTION_MS);
        if let Some(known_ms) = self.at_ms.get_mut(&address) {
            *known_ms = at_ms.max(*known_ms);
        } else if self.at_ms.len() < FAILURE_MAX_COUNT {
            self.at_ms.insert(address, at_ms);
        }
    }

    /// Returns the failures that still count.
    pub fn recent(&self, now_ms: u64) -> Vec<StoreFailure> {
        let recent = self
            .at_ms
            .iter()
            .filter(|(_, at_ms)| now_ms < **at_ms + FAILURE_RETENTION_MS);
        recent
            .map(|(address, at_ms)| StoreFailure {
                address: *address,
                age_ms: now_ms.saturating_sub(*at_ms),
            })
            .collect()
    }

    /// Returns whether enough instances other than `own` report that they cannot reach the store.
    pub fn is_lost(&self, now_ms: u64, own: Ipv4Addr) -> bool {
        let recent = self.recent(now_ms);
        let others = recent.iter().filter(|failure| failure.address != own);
        others.count() >= FAILED_PEER_MIN_COUNT
    }
}
