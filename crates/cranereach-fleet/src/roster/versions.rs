//! Counts of the software versions that the rows of a service's workers name.
//!
//! The versions of a service are looked at several times a second. Scanning its workers each time
//! would cost more the larger the fleet is.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::Roster;
use crate::worker::WorkerRecord;

/// Numbers of workers by service and by the key of their software version.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionCounts {
    by_service: HashMap<Arc<str>, BTreeMap<u64, usize>>,
}

impl VersionCounts {
    /// Adds a worker's row.
    pub(super) fn add(&mut self, record: &WorkerRecord) {
        let of_service = self.by_service.entry(Arc::clone(&record.service));
        let count = of_service.or_default().entry(record.software.key());
        *count.or_default() += 1;
    }

    /// Removes a worker's row.
    pub(super) fn remove(&mut self, record: &WorkerRecord) {
        let Some(of_service) = self.by_service.get_mut(&record.service) else {
            return;
        };
        let key = record.software.key();
        if let Some(count) = of_service.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
        of_service.retain(|_, count| *count > 0);
    }

    /// Replaces a worker's row by a newer one.
    pub(super) fn change(&mut self, before: &WorkerRecord, record: &WorkerRecord) {
        if before.service != record.service || before.software != record.software {
            self.remove(before);
            self.add(record);
        }
    }
}

impl Roster {
    /// Returns the keys of the software versions that the workers of a service have, in ascending
    /// order (see [`crate::software_version::SoftwareVersion::key`]).
    pub fn software_version_keys(&self, service: &str) -> Vec<u64> {
        let of_service = self.versions.by_service.get(service);
        of_service.map_or_else(Vec::new, |counts| counts.keys().copied().collect())
    }
}
