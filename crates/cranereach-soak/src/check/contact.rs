//! Finds requests by ID, and determines which gateways were connected to the store and so are
//! judged by promises with a time bound.

use std::collections::HashMap;

use crate::record::Component;
use crate::record::Disturbance;
use crate::record::Records;
use crate::record::RequestRecord;

/// Time without disturbance after which a gateway counts as connected, in milliseconds. The
/// platform defines it.
pub const SETTLE_MS: u64 = 4_000;

/// Records of a run, indexed for the checks.
#[derive(Debug)]
pub struct RecordIndex<'a> {
    requests: HashMap<&'a str, &'a RequestRecord>,
    troubles: &'a [Disturbance],
}

impl<'a> RecordIndex<'a> {
    /// Indexes records.
    pub fn new(records: &'a Records) -> Self {
        let requests = records.asked.iter();
        Self {
            requests: requests
                .map(|record| (record.id.as_str(), record))
                .collect(),
            troubles: &records.troubles,
        }
    }

    /// Returns the caller's record of the request with an ID.
    pub fn request_record(&self, id: &str) -> Option<&'a RequestRecord> {
        self.requests.get(id).copied()
    }

    /// Returns whether a component was undisturbed from `SETTLE_MS` before a period until its end.
    /// Planned disturbances count only with `include_planned`.
    pub fn is_settled(
        &self,
        component: Component,
        from_ms: u64,
        to_ms: u64,
        include_planned: bool,
    ) -> bool {
        !self.troubles.iter().any(|disturbance| {
            affects(disturbance, component)
                && (include_planned || !disturbance.is_planned)
                && disturbance.from_ms <= to_ms
                && from_ms <= disturbance.to_ms + SETTLE_MS
        })
    }

    /// Returns whether a component was undisturbed within a period.
    pub fn is_undisturbed(&self, component: Component, from_ms: u64, to_ms: u64) -> bool {
        !self.troubles.iter().any(|disturbance| {
            affects(disturbance, component)
                && disturbance.from_ms <= to_ms
                && from_ms <= disturbance.to_ms
        })
    }

    /// Returns whether a gateway was connected during a period: the gateway, its link to the store
    /// and the store were settled throughout.
    pub fn is_connected(&self, gateway: usize, from_ms: u64, to_ms: u64) -> bool {
        self.is_settled(Component::Gateway(gateway), from_ms, to_ms, true)
            && self.is_settled(Component::Store, from_ms, to_ms, true)
    }
}

/// Returns whether a disturbance affected a component. A worker is also affected by paths that may
/// deliver to it late.
fn affects(disturbance: &Disturbance, component: Component) -> bool {
    let is_held_path = |worker| disturbance.whom == Component::HeldPath { worker };
    disturbance.whom == component
        || matches!(component, Component::Worker(worker) if is_held_path(worker))
}
