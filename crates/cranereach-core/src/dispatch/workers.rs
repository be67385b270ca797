//! State of the workers as one entry instance knows it.
//!
//! The load of a worker is the number of requests that this instance and its peers
//! have outstanding there, because the worker's own report lags behind. The reported
//! count is kept too, for route policies that use it.

use std::collections::HashMap;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;

use crate::membership::rendezvous_weight;
use crate::names::FailureDomain;
use crate::names::InstanceId;
use crate::names::RequestId;
use crate::names::TargetName;
use crate::names::WorkerId;
use crate::route::Candidate;

/// Age at which a peer's message about its outstanding requests no longer counts, in ms.
const PEER_LOAD_TTL_MS: u64 = 3_000;

/// Time for which a worker gets no requests after it could not be reached, in ms.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// Odd multiplier derived from the golden ratio (Fibonacci hashing), which spreads bits well.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Requests that a worker may be given beyond its slots, so that it stays busy.
const OVERCOMMIT_COUNT: f64 = 1.0;

/// State that a worker reports about itself, distributed by the instance that polled it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// Random number that identifies the worker's current incarnation.
    pub boot_id: u64,
    /// Increases with each report of an incarnation, so that an outdated report is dropped.
    pub report_number: u64,
    /// Requests that it is running or has queued.
    pub outstanding_count: u32,
    /// Requests that it can run in one batch.
    pub slot_count: u32,
    /// Whether the worker announces that it is leaving; it is then sent no new requests.
    pub is_leaving: bool,
    /// Unused memory, in bytes.
    pub free_bytes: u64,
    /// Targets that it can serve now.
    pub resident: Vec<TargetName>,
}

/// A worker on the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether the list says that it is leaving.
    pub is_leaving: bool,
    /// Target that it always serves: its pool, for a plain service.
    pub serves: Option<TargetName>,
    /// Requests that it can run at once, used until the worker reports its own figure.
    pub slot_count: u32,
}

/// State of one worker.
#[derive(Debug)]
struct TrackedWorker {
    listed: ListedWorker,
    resident: HashSet<TargetName>,
    own_requests: HashSet<RequestId>,
    peer_loads: HashMap<InstanceId, PeerLoad>,
    reported_count: u32,
    boot_id: u64,
    report_number: u64,
    slot_count: u32,
    reports_leaving: bool,
    avoid_until_ms: u64,
    identity_hash: u64,
}

/// Outstanding requests of a peer at a worker, as the peer reported them.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    outstanding_count: u32,
    received_at_ms: u64,
}

/// Workers that this instance routes to.
#[derive(Debug, Default)]
pub struct Workers {
    tracked: HashMap<WorkerId, TrackedWorker>,
    holders: HashMap<TargetName, Vec<WorkerId>>,
}

impl Workers {
    /// Applies the platform's list.
    ///
    /// Workers that are no longer on it get no new requests, and are kept only while
    /// requests of this instance are outstanding there.
    pub fn set_workers(&mut self, listed: Vec<ListedWorker>) {
        let ids: HashSet<WorkerId> = listed.iter().map(|worker| worker.worker.clone()).collect();
        self.tracked
            .retain(|id, tracked| ids.contains(id) || !tracked.own_requests.is_empty());
        for tracked in self
            .tracked
            .values_mut()
            .filter(|tracked| !ids.contains(&tracked.listed.worker))
        {
            tracked.listed.is_leaving = true;
        }
        for worker in listed {
            self.upsert_listed(worker);
        }
        self.rebuild_holders();
    }

    /// Applies a worker's report unless a later one of the same incarnation has been applied.
    pub fn reported(&mut self, _now_ms: u64, report: &WorkerReport) {
        let Some(tracked) = self.tracked.get_mut(&report.worker) else {
            return;
        };
        if report.boot_id == tracked.boot_id && report.report_number < tracked.report_number {
            return;
        }
        tracked.boot_id = report.boot_id;
        tracked.report_number = report.report_number;
        tracked.reported_count = report.outstanding_count;
        tracked.slot_count = report.slot_count;
        tracked.reports_leaving = report.is_leaving;
        let resident: HashSet<TargetName> = report
            .resident
            .iter()
            .cloned()
            .chain(tracked.listed.serves.clone())
            .collect();
        if resident != tracked.resident {
            tracked.resident = resident;
            self.rebuild_holders();
        }
    }

    /// Removes a target from a worker that refused a request because the target isn't resident.
    pub fn not_resident(&mut self, worker: &WorkerId, target: &TargetName) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.resident.remove(target);
            self.rebuild_holders();
        }
    }

    /// Sends a worker no requests for a while after it could not be reached.
    pub fn avoid(&mut self, now_ms: u64, worker: &WorkerId) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.avoid_until_ms = now_ms + UNREACHABLE_PAUSE_MS;
        }
    }

    /// Records a request that this instance sent to a worker.
    pub fn sent(&mut self, worker: &WorkerId, request: RequestId) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.own_requests.insert(request);
        }
    }

    /// Records the end of a request that this instance sent to a worker.
    pub fn ended(&mut self, worker: &WorkerId, request: RequestId) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.own_requests.remove(&request);
        }
    }

    /// Records how many outstanding requests a peer has at a worker.
    pub fn record_peer_load(
        &mut self,
        now_ms: u64,
        peer: &InstanceId,
        worker: &WorkerId,
        outstanding_count: u32,
    ) {
        let Some(tracked) = self.tracked.get_mut(worker) else {
            return;
        };
        tracked
            .peer_loads
            .retain(|_, load| now_ms.saturating_sub(load.received_at_ms) < PEER_LOAD_TTL_MS);
        tracked.peer_loads.insert(
            peer.clone(),
            PeerLoad {
                outstanding_count,
                received_at_ms: now_ms,
            },
        );
    }

    /// Returns how many outstanding requests this instance has at each worker.
    pub fn own_outstanding(&self) -> Vec<(WorkerId, u32)> {
        self.tracked
            .iter()
            .map(|(id, tracked)| (id.clone(), tracked.own_requests.len() as u32))
            .collect()
    }

    /// Returns the workers that can serve a target and aren't leaving.
    pub fn holders(&self, target: &TargetName) -> impl Iterator<Item = &WorkerId> {
        let ids = self.holders.get(target).map_or(&[][..], Vec::as_slice);
        ids.iter().filter(|id| {
            self.tracked
                .get(*id)
                .is_some_and(TrackedWorker::accepts_work)
        })
    }

    /// Returns the targets that a worker can serve.
    pub fn serves(&self, worker: &WorkerId) -> Option<&HashSet<TargetName>> {
        self.tracked.get(worker).map(|tracked| &tracked.resident)
    }

    /// Returns the number of targets that at least one worker can serve.
    pub fn target_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether a worker may be given another request.
    pub fn has_room(&self, now_ms: u64, worker: &WorkerId) -> bool {
        self.tracked
            .get(worker)
            .is_some_and(|tracked| tracked.has_room(now_ms))
    }

    /// Returns how many more requests the workers that hold a target may be given, and the
    /// number of their slots.
    pub fn room(&self, now_ms: u64, target: &TargetName) -> (u32, u32) {
        let mut open_count = 0.0;
        let mut slot_count = 0;
        for tracked in self.holders(target).filter_map(|id| self.tracked.get(id)) {
            slot_count += tracked.slot_count;
            open_count += (f64::from(tracked.slot_count) + OVERCOMMIT_COUNT
                - tracked.outstanding_count(now_ms))
            .max(0.0);
        }
        (open_count as u32, slot_count)
    }

    /// Returns the workers that hold a target and have capacity.
    pub fn candidates(
        &self,
        now_ms: u64,
        target: &TargetName,
        prefix_hash: u64,
        domain: &FailureDomain,
    ) -> Vec<(&WorkerId, Candidate)> {
        self.holders(target)
            .filter_map(|id| self.tracked.get_key_value(id))
            .filter(|(_, tracked)| tracked.has_room(now_ms))
            .map(|(id, tracked)| {
                let candidate = Candidate {
                    outstanding_count: tracked.outstanding_count(now_ms),
                    reported_count: f64::from(tracked.reported_count),
                    slot_count: tracked.slot_count,
                    same_domain: &tracked.listed.domain == domain,
                    prefix_rank: prefix_rank(prefix_hash, tracked.identity_hash),
                };
                (id, candidate)
            })
            .collect()
    }

    /// Adds or updates a worker from the platform's list.
    fn upsert_listed(&mut self, listed: ListedWorker) {
        let resident: HashSet<TargetName> = listed.serves.iter().cloned().collect();
        let slot_count = listed.slot_count;
        let tracked = self
            .tracked
            .entry(listed.worker.clone())
            .or_insert_with(|| TrackedWorker {
                listed: listed.clone(),
                resident,
                own_requests: HashSet::new(),
                peer_loads: HashMap::new(),
                reported_count: 0,
                boot_id: 0,
                report_number: 0,
                slot_count,
                reports_leaving: false,
                avoid_until_ms: 0,
                identity_hash: rendezvous_weight(listed.worker.as_str(), "prefix"),
            });
        tracked.listed = listed;
    }

    /// Rebuilds the index of the workers that hold each target.
    fn rebuild_holders(&mut self) {
        self.holders.clear();
        for (id, tracked) in &self.tracked {
            for target in &tracked.resident {
                self.holders
                    .entry(target.clone())
                    .or_default()
                    .push(id.clone());
            }
        }
    }
}

impl TrackedWorker {
    /// Returns whether it accepts new requests.
    fn accepts_work(&self) -> bool {
        !self.listed.is_leaving && !self.reports_leaving
    }

    /// Returns how many requests this instance and its peers have outstanding at it.
    fn outstanding_count(&self, now_ms: u64) -> f64 {
        let peer_outstanding_count: u32 = self
            .peer_loads
            .values()
            .filter(|load| now_ms.saturating_sub(load.received_at_ms) < PEER_LOAD_TTL_MS)
            .map(|load| load.outstanding_count)
            .sum();
        self.own_requests.len() as f64 + f64::from(peer_outstanding_count)
    }

    /// Returns whether it may be given another request.
    fn has_room(&self, now_ms: u64) -> bool {
        let is_reachable = now_ms >= self.avoid_until_ms;
        self.accepts_work()
            && is_reachable
            && self.outstanding_count(now_ms) < f64::from(self.slot_count) + OVERCOMMIT_COUNT
    }
}

/// Returns a worker's rank for a prefix, as in rendezvous hashing; zero if there is no prefix.
///
/// The two hashes are mixed by multiplications and shifts, because hashing text for
/// each candidate would be most of the cost of a routing decision.
fn prefix_rank(prefix_hash: u64, identity_hash: u64) -> u64 {
    if prefix_hash == 0 {
        return 0;
    }
    let mixed = (prefix_hash ^ identity_hash).wrapping_mul(FIBONACCI_MULTIPLIER);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(FIBONACCI_MULTIPLIER);
    (mixed ^ (mixed >> 29)).max(1)
}
