//! Value of replicas, and selection of the targets that should get one.

use super::PlanInput;
use super::PlanOccupant;
use crate::ledger::Residence;

/// Minimum gain for which another replica is considered, in concurrent requests.
const MIN_GAIN: f64 = 0.25;

/// Value of an idle target that was used just now. It decays with [`IDLE_HALF_LIFE_MS`].
const IDLE_VALUE: f64 = 0.1;

/// Time in which the value of an idle target halves, in milliseconds.
const IDLE_HALF_LIFE_MS: f64 = 30_000.0;

/// Fraction of a worker's slots that one replica is expected to use.
const EXPECTED_SLOT_UTILIZATION: f64 = 0.75;

/// Wait after which an unserved target is loaded regardless of cost, in milliseconds.
pub const FORCED_LOAD_AFTER_MS: u64 = 6_000;

/// Target that may get one more replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaCandidate {
    /// Index into the plan's targets.
    pub(super) target_index: usize,
    /// Gain of the replica, in concurrent requests; infinite for an overdue target.
    pub(super) gain: f64,
    /// Whether requests wait and the target has no replica.
    pub(super) is_urgent: bool,
}

/// Returns the targets with waiting requests and no replica, longest wait first.
pub(super) fn urgent_candidates(input: &PlanInput<'_>) -> Vec<ReplicaCandidate> {
    let mut urgent: Vec<ReplicaCandidate> = (0..input.targets.len())
        .filter(|&index| is_unserved(input, index))
        .map(|target_index| ReplicaCandidate {
            target_index,
            gain: f64::INFINITY,
            is_urgent: true,
        })
        .collect();
    urgent.sort_by_key(|candidate| {
        std::cmp::Reverse(input.targets[candidate.target_index].oldest_wait_ms)
    });
    urgent
}

/// Returns the targets that may get one more replica, highest gain first.
///
/// Overdue targets, which have no replica after a wait of
/// [`FORCED_LOAD_AFTER_MS`], come first. They may evict regardless of cost, which
/// bounds the wait for the coldest targets. The planner limits the number of such
/// evictions, which keeps these targets from evicting each other in turn.
pub(super) fn replica_candidates(input: &PlanInput<'_>) -> Vec<ReplicaCandidate> {
    let mut candidates: Vec<ReplicaCandidate> = (0..input.targets.len())
        .filter(|&index| input.targets[index].may_add_replica)
        .map(|target_index| ReplicaCandidate {
            target_index,
            gain: gain(input, target_index),
            is_urgent: is_unserved(input, target_index),
        })
        .filter(|candidate| candidate.gain >= MIN_GAIN || candidate.is_urgent)
        .collect();
    candidates.sort_by(|a, b| b.gain.total_cmp(&a.gain));
    candidates
}

/// Returns whether this cell may load a target that has waiting requests and no replica.
fn is_unserved(input: &PlanInput<'_>, index: usize) -> bool {
    let target = &input.targets[index];
    target.may_add_replica
        && target.waiting_count > 0
        && replica_count(input, index) + target.replicas_elsewhere == 0
}

/// Returns the gain of one more replica of a target, in concurrent requests.
fn gain(input: &PlanInput<'_>, index: usize) -> f64 {
    let target = &input.targets[index];
    if is_unserved(input, index) && target.oldest_wait_ms >= FORCED_LOAD_AFTER_MS {
        return f64::INFINITY;
    }
    let nth = replica_count(input, index) + target.replicas_elsewhere + 1;
    // Waiting requests count in full, however rarely the target is requested.
    let waiting_count = if is_unserved(input, index) {
        f64::from(target.waiting_count)
    } else {
        0.0
    };
    let demand_count = target.concurrent_count.max(waiting_count);
    input.weights.attainment_weight * marginal_requests(demand_count, nth, slots_per_replica(input))
}

/// Returns how many concurrent requests the nth replica adds.
fn marginal_requests(concurrent_count: f64, nth: usize, slots: f64) -> f64 {
    let with = concurrent_count.min(slots * nth as f64);
    let without = concurrent_count.min(slots * nth.saturating_sub(1) as f64);
    with - without
}

/// Returns how many concurrent requests one replica is expected to run.
fn slots_per_replica(input: &PlanInput<'_>) -> f64 {
    let max_slot_count = input
        .workers
        .iter()
        .map(|worker| worker.slot_count)
        .max()
        .unwrap_or(1);
    (f64::from(max_slot_count) * EXPECTED_SLOT_UTILIZATION).max(1.0)
}

/// Returns the number of the cell's workers on which a target is resident or loading.
pub(super) fn replica_count(input: &PlanInput<'_>, target_index: usize) -> usize {
    let is_replica = |occupant: &PlanOccupant| {
        occupant.target_index == Some(target_index) && occupant.residence != Residence::Unloading
    };
    input
        .workers
        .iter()
        .filter(|worker| worker.occupants.iter().any(is_replica))
        .count()
}

/// Returns the demand for a worker's occupants as a fraction of its slots.
pub(super) fn slot_demand(input: &PlanInput<'_>, worker_index: usize) -> f64 {
    let worker = &input.workers[worker_index];
    let demand: f64 = worker
        .occupants
        .iter()
        .filter_map(|occupant| occupant.target_index)
        .map(|index| {
            let replicas = replica_count(input, index) + input.targets[index].replicas_elsewhere;
            input.targets[index].concurrent_count / replicas.max(1) as f64
        })
        .sum();
    demand / f64::from(worker.slot_count.max(1))
}

/// Returns the value of an occupant by the concurrent requests that it adds.
///
/// Replicas are counted in the target's order of cells, so that only the last of
/// several cells in that order treats its replica as the dispensable one.
pub(super) fn marginal_value(input: &PlanInput<'_>, occupant: &PlanOccupant) -> f64 {
    let Some(index) = occupant.target_index else {
        return 0.0;
    };
    let target = &input.targets[index];
    let nth = (target.replicas_before + replica_count(input, index)).max(1);
    let added = marginal_requests(target.concurrent_count, nth, slots_per_replica(input));
    let idle_ms = input.now_ms.saturating_sub(target.used_at_ms) as f64;
    let idle = IDLE_VALUE * (-idle_ms / IDLE_HALF_LIFE_MS).exp2();
    input.weights.attainment_weight * (added + idle)
}

/// Returns the value of an occupant by recency of use.
pub(super) fn recency_value(input: &PlanInput<'_>, occupant: &PlanOccupant) -> f64 {
    occupant
        .target_index
        .map_or(0.0, |index| input.targets[index].used_at_ms as f64)
}
