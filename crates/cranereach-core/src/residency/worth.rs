//! What a replica is worth, and which targets want one.

use super::PlanInput;
use super::PlanOccupant;
use crate::ledger::Residence;

/// Least gain for which growth is looked at: a fraction of one request.
const MIN_GAIN: f64 = 0.5;

/// Worth of an idle target used just now; fades over [`IDLE_FADES_MS`].
const IDLE_WORTH: f64 = 0.4;

/// Time in which an idle target's worth fades by half, in milliseconds.
const IDLE_FADES_MS: f64 = 30_000.0;

/// Part of a worker's slots that one replica is expected to use.
pub(super) const SLOT_PART: f64 = 0.75;

/// Returns the targets somebody waits for that are nowhere, longest wait first.
pub(super) fn urgent_targets(input: &PlanInput<'_>) -> Vec<usize> {
    let mut urgent: Vec<usize> = (0..input.targets.len())
        .filter(|&index| input.targets[index].waiting_count > 0 && replica_count(input, index) == 0)
        .collect();
    urgent.sort_by_key(|&index| std::cmp::Reverse(input.targets[index].oldest_wait_ms));
    urgent
}

/// Returns the targets worth one more replica with their gain, best first.
pub(super) fn growing_targets(input: &PlanInput<'_>) -> Vec<(usize, f64)> {
    let slots = slots_per_replica(input);
    let mut growing: Vec<(usize, f64)> = (0..input.targets.len())
        .map(|index| {
            (
                index,
                marginal(
                    input.targets[index].concurrent_count,
                    replica_count(input, index) + 1,
                    slots,
                ),
            )
        })
        .filter(|&(index, gain)| {
            gain >= MIN_GAIN && replica_count(input, index) < input.workers.len()
        })
        .map(|(index, gain)| (index, gain * input.weights.attainment_weight))
        .collect();
    growing.sort_by(|a, b| b.1.total_cmp(&a.1));
    growing
}

/// Returns what the nth replica adds to the requests that run at once.
pub(super) fn marginal(concurrent_count: f64, nth: usize, slots: f64) -> f64 {
    let with = concurrent_count.min(slots * nth as f64);
    let without = concurrent_count.min(slots * nth.saturating_sub(1) as f64);
    with - without
}

/// Returns how many requests one replica is expected to run at once.
pub(super) fn slots_per_replica(input: &PlanInput<'_>) -> f64 {
    let most = input
        .workers
        .iter()
        .map(|worker| worker.slot_count)
        .max()
        .unwrap_or(1);
    (f64::from(most) * SLOT_PART).max(1.0)
}

/// Returns on how many workers a target is resident or coming.
pub(super) fn replica_count(input: &PlanInput<'_>, target_index: usize) -> usize {
    let counts = |occupant: &&PlanOccupant| {
        occupant.target_index == Some(target_index) && occupant.residence != Residence::Unloading
    };
    input
        .workers
        .iter()
        .filter(|worker| worker.occupants.iter().any(|occupant| counts(&occupant)))
        .count()
}

/// Worth of what an occupant adds, in requests at once.
pub(super) fn marginal_worth(input: &PlanInput<'_>, occupant: &PlanOccupant) -> f64 {
    let Some(index) = occupant.target_index else {
        return 0.0;
    };
    let target = &input.targets[index];
    let replicas = replica_count(input, index).max(1);
    let added = marginal(target.concurrent_count, replicas, slots_per_replica(input));
    let waits = if replicas == 1 {
        f64::from(target.waiting_count)
    } else {
        0.0
    };
    let idle_ms = input.now_ms.saturating_sub(target.used_at_ms) as f64;
    let idle = IDLE_WORTH * (-idle_ms / IDLE_FADES_MS).exp2();
    input.weights.attainment_weight * (added + waits + idle)
}

/// Worth by least recent use.
pub(super) fn recency_worth(input: &PlanInput<'_>, occupant: &PlanOccupant) -> f64 {
    occupant
        .target_index
        .map_or(0.0, |index| input.targets[index].used_at_ms as f64)
}
