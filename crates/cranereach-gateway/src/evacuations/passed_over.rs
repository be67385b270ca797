//! Domains whose evacuation was requested while nobody knew them, and that are not on the list.
//! Once a worker names one, the requests have to be read again.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::node::lock;
use cranereach_fleet::key::worker_key;

/// Maximum number of domains that are remembered.
const DOMAIN_MAX_COUNT: usize = 4_096;

/// Domains that were passed over since the last whole read of the requests.
#[derive(Debug, Default)]
pub struct PassedOver {
    /// Keys of the domains.
    domains: Mutex<HashSet<u64>>,
    /// Whether the requests have to be read again.
    must_read: AtomicBool,
}

impl PassedOver {
    /// Forgets all domains, before a whole read is applied.
    pub fn clear(&self) {
        lock(&self.domains).clear();
    }

    /// Records that a domain is passed over.
    pub fn insert(&self, domain: u64) {
        let mut domains = lock(&self.domains);
        if domains.len() < DOMAIN_MAX_COUNT {
            domains.insert(domain);
        }
    }

    /// Records that a worker names a domain. Returns whether the requests have to be read again
    /// because it was passed over.
    pub fn named(&self, domain: &str) -> bool {
        let mut domains = lock(&self.domains);
        let was_passed_over = !domains.is_empty() && domains.remove(&worker_key(domain));
        if was_passed_over {
            self.must_read.store(true, Ordering::Relaxed);
        }
        was_passed_over
    }

    /// Returns whether the requests have to be read again, once for each time.
    pub fn take_must_read(&self) -> bool {
        self.must_read.swap(false, Ordering::Relaxed)
    }
}
