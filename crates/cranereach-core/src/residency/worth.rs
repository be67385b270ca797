//! What a replica is worth, and which targets want one.

use super::PlanInput;
use super::PlanOccupant;
use crate::ledger::Residence;

/// Least gain for which growth is looked at: a fraction of one request.
const MIN_GAIN: f64 = 0.25;

/// Worth of an idle target used just now; fades over [`IDLE_FADES_MS`].
const IDLE_WORTH: f64 = 0.1;

/// Time in which an idle target's worth fades by half, in milliseconds.
const IDLE_FADES_MS: f64 = 30_000.0;

/// Part of a worker's slots that one replica is expected to use.
const SLOT_PART: f64 = 0.75;

/// Wait after which a target is loaded whatever it costs, in milliseconds.
pub const LOADED_AFTER_MS: u64 = 6_000;

/// A target that wants one more replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// Index into the plan's targets.
    pub(super) target_index: usize,
    /// What the replica would add, in requests at once.
    pub(super) gain: f64,
    /// Whether somebody waits and the target is nowhere.
    pub(super) is_urgent: bool,
}

/// Returns the targets somebody waits for that are nowhere, longest wait first.
pub(super) fn urgent_targets(input: &PlanInput<'_>) -> Vec<Wanted> {
    let mut urgent: Vec<Wanted> = (0..input.targets.len())
        .filter(|&index| is_missed(input, index))
        .map(|target_index| Wanted {
            target_index,
            gain: f64::INFINITY,
            is_urgent: true,
        })
        .collect();
    urgent
        .sort_by_key(|wanted| std::cmp::Reverse(input.targets[wanted.target_index].oldest_wait_ms));
    urgent
}

/// Returns the targets worth one more replica, best first.
///
/// A target that is nowhere and has been waited for too long comes before all.
/// A few of those per time may evict whatever it costs: that bounds the wait for
/// the coldest, and keeps them from evicting each other in turn.
pub(super) fn wanted_targets(input: &PlanInput<'_>) -> Vec<Wanted> {
    let mut wanted: Vec<Wanted> = (0..input.targets.len())
        .filter(|&index| input.targets[index].may_grow)
        .map(|target_index| Wanted {
            target_index,
            gain: gain(input, target_index),
            is_urgent: is_missed(input, target_index),
        })
        .filter(|wanted| wanted.gain >= MIN_GAIN || wanted.is_urgent)
        .collect();
    wanted.sort_by(|a, b| b.gain.total_cmp(&a.gain));
    wanted
}

/// Whether somebody waits for a target that is nowhere.
fn is_missed(input: &PlanInput<'_>, index: usize) -> bool {
    let target = &input.targets[index];
    target.may_grow
        && target.waiting_count > 0
        && replica_count(input, index) + target.replicas_elsewhere == 0
}

/// Returns what one more replica of a target adds, in requests at once.
fn gain(input: &PlanInput<'_>, index: usize) -> f64 {
    let target = &input.targets[index];
    if is_missed(input, index) && target.oldest_wait_ms >= LOADED_AFTER_MS {
        return f64::INFINITY;
    }
    let nth = replica_count(input, index) + target.replicas_elsewhere + 1;
    // Who waits now counts in full, however seldom the target is asked for.
    let waiting_count = if is_missed(input, index) {
        f64::from(target.waiting_count)
    } else {
        0.0
    };
    let asked_count = target.concurrent_count.max(waiting_count);
    input.weights.attainment_weight * marginal(asked_count, nth, slots_per_replica(input))
}

/// Returns what the nth replica adds to the requests that run at once.
fn marginal(concurrent_count: f64, nth: usize, slots: f64) -> f64 {
    let with = concurrent_count.min(slots * nth as f64);
    let without = concurrent_count.min(slots * nth.saturating_sub(1) as f64);
    with - without
}

/// Returns how many requests one replica is expected to run at once.
fn slots_per_replica(input: &PlanInput<'_>) -> f64 {
    let most = input
        .workers
        .iter()
        .map(|worker| worker.slot_count)
        .max()
        .unwrap_or(1);
    (f64::from(most) * SLOT_PART).max(1.0)
}

/// Returns on how many of the cell's workers a target is resident or coming.
pub(super) fn replica_count(input: &PlanInput<'_>, target_index: usize) -> usize {
    let counts = |occupant: &PlanOccupant| {
        occupant.target_index == Some(target_index) && occupant.residence != Residence::Unloading
    };
    input
        .workers
        .iter()
        .filter(|worker| worker.occupants.iter().any(counts))
        .count()
}

/// Returns the part of its slots that the occupants of a worker are asked for.
pub(super) fn pressure(input: &PlanInput<'_>, worker_index: usize) -> f64 {
    let worker = &input.workers[worker_index];
    let asked: f64 = worker
        .occupants
        .iter()
        .filter_map(|occupant| occupant.target_index)
        .map(|index| {
            let replicas = replica_count(input, index) + input.targets[index].replicas_elsewhere;
            input.targets[index].concurrent_count / replicas.max(1) as f64
        })
        .sum();
    asked / f64::from(worker.slot_count.max(1))
}

/// Worth of what an occupant adds, in requests at once.
///
/// Replicas are counted in the target's order of cells, so that of several
/// cells only the last in that order takes its replica for the dispensable one.
pub(super) fn marginal_worth(input: &PlanInput<'_>, occupant: &PlanOccupant) -> f64 {
    let Some(index) = occupant.target_index else {
        return 0.0;
    };
    let target = &input.targets[index];
    let nth = (target.replicas_before + replica_count(input, index)).max(1);
    let added = marginal(target.concurrent_count, nth, slots_per_replica(input));
    let idle_ms = input.now_ms.saturating_sub(target.used_at_ms) as f64;
    let idle = IDLE_WORTH * (-idle_ms / IDLE_FADES_MS).exp2();
    input.weights.attainment_weight * (added + idle)
}

/// Worth by least recent use.
pub(super) fn recency_worth(input: &PlanInput<'_>, occupant: &PlanOccupant) -> f64 {
    occupant
        .target_index
        .map_or(0.0, |index| input.targets[index].used_at_ms as f64)
}
