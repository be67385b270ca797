//! What one entry instance knows of the workers.
//!
//! Load is own sends plus what peers said of theirs, which is fresher than the
//! worker's own lagging report; the report adds what neither explains.

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

/// Age at which a peer's word on its own sends no longer counts, in ms.
const PEER_LOAD_TTL_MS: u64 = 3_000;

/// Time for which a worker is left alone after it could not be reached, in ms.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// Odd constant of the golden ratio, which spreads bits well.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Requests beyond its slots that a worker may be given, to stay busy.
const OVERCOMMIT_COUNT: f64 = 1.0;

/// What a worker says of itself, as spread by whoever polled it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// Random number of the worker's present boot.
    pub boot_id: u64,
    /// Grows with each report of a boot, so that an older one is dropped.
    pub report_number: u64,
    /// Requests that it runs or queues.
    pub outstanding_count: u32,
    /// Requests that it can batch.
    pub slot_count: u32,
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Memory that nothing takes, in bytes.
    pub free_bytes: u64,
    /// Targets that it can serve now.
    pub resident: Vec<TargetName>,
}

/// A worker as the platform's list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether the list says that it is leaving.
    pub is_leaving: bool,
    /// What it always serves: its pool, for a plain service.
    pub serves: Option<TargetName>,
    /// Requests at once, if the worker doesn't report.
    pub slot_count: u32,
}

/// What is known of one worker.
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

/// A peer's word on what it has at a worker.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    outstanding_count: u32,
    received_at_ms: u64,
}

/// All workers that this instance routes to.
#[derive(Debug, Default)]
pub struct Workers {
    tracked: HashMap<WorkerId, TrackedWorker>,
    holders: HashMap<TargetName, Vec<WorkerId>>,
}

impl Workers {
    /// Takes the platform's list; what left it gets no new work.
    pub fn list(&mut self, listed: Vec<ListedWorker>) {
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

    /// Takes a worker's report unless a later one is known.
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

    /// Takes a target away from a worker that refused it as not resident.
    pub fn not_resident(&mut self, worker: &WorkerId, target: &TargetName) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.resident.remove(target);
            self.rebuild_holders();
        }
    }

    /// Leaves a worker alone for a while after it could not be reached.
    pub fn avoid(&mut self, now_ms: u64, worker: &WorkerId) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.avoid_until_ms = now_ms + UNREACHABLE_PAUSE_MS;
        }
    }

    /// Records a request sent from here.
    pub fn sent(&mut self, worker: &WorkerId, request: RequestId) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.own_requests.insert(request);
        }
    }

    /// Records the end of a request sent from here.
    pub fn ended(&mut self, worker: &WorkerId, request: RequestId) {
        if let Some(tracked) = self.tracked.get_mut(worker) {
            tracked.own_requests.remove(&request);
        }
    }

    /// Records how much a peer has at a worker.
    pub fn note_peer(
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

    /// Returns how much this instance has at each worker.
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

    /// Returns what a worker can serve.
    pub fn serves(&self, worker: &WorkerId) -> Option<&HashSet<TargetName>> {
        self.tracked.get(worker).map(|tracked| &tracked.resident)
    }

    /// Returns how many targets some worker serves.
    pub fn target_count(&self) -> usize {
        self.holders.len()
    }

    /// Whether a worker may be given one more request.
    pub fn has_room(&self, now_ms: u64, worker: &WorkerId) -> bool {
        self.tracked
            .get(worker)
            .is_some_and(|tracked| tracked.has_room(now_ms))
    }

    /// Returns open and total slots over the workers that hold a target.
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

    /// Returns the workers that hold a target and have room.
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

    /// Adds or refreshes one listed worker.
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

    /// Rebuilds which workers hold a target.
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
    /// Whether it may get new work at all.
    fn accepts_work(&self) -> bool {
        !self.listed.is_leaving && !self.reports_leaving
    }

    /// Requests that it is thought to hold.
    fn outstanding_count(&self, now_ms: u64) -> f64 {
        let peer_outstanding_count: u32 = self
            .peer_loads
            .values()
            .filter(|load| now_ms.saturating_sub(load.received_at_ms) < PEER_LOAD_TTL_MS)
            .map(|load| load.outstanding_count)
            .sum();
        self.own_requests.len() as f64 + f64::from(peer_outstanding_count)
    }

    /// Whether it may be given one more request.
    fn has_room(&self, now_ms: u64) -> bool {
        let is_reachable = now_ms >= self.avoid_until_ms;
        self.accepts_work()
            && is_reachable
            && self.outstanding_count(now_ms) < f64::from(self.slot_count) + OVERCOMMIT_COUNT
    }
}

/// Returns a worker's rank for a prefix; zero if there is no prefix.
///
/// The hashes are mixed by a multiplication and shifts: a hash of text for each
/// candidate would be most of the cost of a route.
fn prefix_rank(prefix_hash: u64, identity_hash: u64) -> u64 {
    if prefix_hash == 0 {
        return 0;
    }
    let mixed = (prefix_hash ^ identity_hash).wrapping_mul(FIBONACCI_MULTIPLIER);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(FIBONACCI_MULTIPLIER);
    (mixed ^ (mixed >> 29)).max(1)
}
