//! Which instances could not reach the store lately, as they tell each other.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::messages::StoreFailure;

/// Time for which a peer's failure to reach the store counts, in milliseconds: some
/// tries of those that try again soon.
const STORE_FAILED_FOR_MS: u64 = 1_500;

/// Instances that must have failed before the store counts as lost: one alone may be
/// cut off.
const STORE_WITNESS_COUNT: usize = 2;

/// Failures to reach the store that are remembered and told at most.
const STORE_FAILURE_MAX_COUNT: usize = 6;

/// The failures that are known.
#[derive(Clone, Debug, Default)]
pub struct StoreFailures {
    /// When each instance failed last, in milliseconds.
    at_ms: HashMap<Ipv4Addr, u64>,
}

impl StoreFailures {
    /// Takes what a peer tells; more than are remembered are not taken.
    pub fn told(&mut self, now_ms: u64, failures: &[StoreFailure]) {
        for failure in failures.iter().take(STORE_FAILURE_MAX_COUNT) {
            self.note(now_ms, failure.address, failure.age_ms);
        }
    }

    /// Notes that an instance could not reach the store a while ago.
    pub fn note(&mut self, now_ms: u64, address: Ipv4Addr, age_ms: u64) {
        let at_ms = now_ms.saturating_sub(age_ms);
        self.at_ms
            .retain(|_, known_ms| now_ms < *known_ms + STORE_FAILED_FOR_MS);
        if let Some(known_ms) = self.at_ms.get_mut(&address) {
            *known_ms = at_ms.max(*known_ms);
        } else if self.at_ms.len() < STORE_FAILURE_MAX_COUNT {
            self.at_ms.insert(address, at_ms);
        }
    }

    /// Lists those that still count.
    pub fn recent(&self, now_ms: u64) -> Vec<StoreFailure> {
        let recent = self
            .at_ms
            .iter()
            .filter(|(_, at_ms)| now_ms < **at_ms + STORE_FAILED_FOR_MS);
        recent
            .map(|(address, at_ms)| StoreFailure {
                address: *address,
                age_ms: now_ms.saturating_sub(*at_ms),
            })
            .collect()
    }

    /// Whether instances other than `own` say that they can't reach the store.
    pub fn is_lost(&self, now_ms: u64, own: Ipv4Addr) -> bool {
        let recent = self.recent(now_ms);
        let others = recent.iter().filter(|of| of.address != own);
        others.count() >= STORE_WITNESS_COUNT
    }
}
