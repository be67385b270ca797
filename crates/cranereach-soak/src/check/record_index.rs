//! Who was in touch, and so bound by promises with a time limit.

use std::collections::HashMap;

use crate::record::Component;
use crate::record::Disturbance;
use crate::record::Records;
use crate::record::RequestRecord;

/// Time without trouble after which a gateway is in touch, in milliseconds; the
/// platform's own figure.
pub const SETTLE_MS: u64 = 4_000;

/// Records, looked at by identity and time.
#[derive(Debug)]
pub struct RecordIndex<'a> {
    record: HashMap<&'a str, &'a RequestRecord>,
    troubles: &'a [Disturbance],
}

impl<'a> RecordIndex<'a> {
    /// Looks at records.
    pub fn new(records: &'a Records) -> Self {
        let record = records.asked.iter();
        Self {
            record: record.map(|record| (record.id.as_str(), record)).collect(),
            troubles: &records.troubles,
        }
    }

    /// Returns the request with an identity.
    pub fn request_record(&self, id: &str) -> Option<&'a RequestRecord> {
        self.record.get(id).copied()
    }

    /// Tells whether somebody had no trouble from `CONTACT_MS` before a span until its
    /// end; planned trouble can be left out.
    pub fn is_settled(
        &self,
        whom: Component,
        from_ms: u64,
        to_ms: u64,
        include_planned: bool,
    ) -> bool {
        !self.troubles.iter().any(|trouble| {
            trouble.whom == whom
                && (include_planned || !trouble.is_planned)
                && trouble.from_ms <= to_ms
                && from_ms <= trouble.to_ms + SETTLE_MS
        })
    }

    /// Tells whether somebody had no trouble within a span.
    pub fn is_undisturbed(&self, whom: Component, from_ms: u64, to_ms: u64) -> bool {
        !self.troubles.iter().any(|trouble| {
            trouble.whom == whom && trouble.from_ms <= to_ms && from_ms <= trouble.to_ms
        })
    }

    /// Tells whether a gateway was in touch during a span: it ran all the while, with
    /// its link to the store and the store itself well.
    pub fn is_connected(&self, gateway: usize, from_ms: u64, to_ms: u64) -> bool {
        self.is_settled(Component::Gateway(gateway), from_ms, to_ms, true)
            && self.is_settled(Component::Store, from_ms, to_ms, true)
    }
}
