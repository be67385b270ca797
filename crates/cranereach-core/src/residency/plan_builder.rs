//! Places replicas on workers and derives the loads and unloads for them.

use super::Move;
use super::PlanInput;
use super::PlanOccupant;
use super::PlanTarget;
use super::PlanWorker;
use super::value::ReplicaCandidate;
use super::value::slot_demand;
use crate::ledger::Residence;
use crate::names::TargetName;

/// Minimum residency before a target may be evicted to add another replica, in ms.
const MIN_RESIDENCY_MS: u64 = 5_000;

/// Factor on eviction costs that a replica's gain must exceed, to prevent oscillation.
const HYSTERESIS: f64 = 1.3;

/// Lower bound on the factor by which demand for a worker's other occupants scales a gain.
const MIN_GAIN_FACTOR: f64 = 0.1;

/// Plan under construction: the workers' remaining memory and slots, and the moves so far.
pub(super) struct PlanBuilder<'a> {
    input: &'a PlanInput<'a>,
    free_bytes: Vec<u64>,
    freeing_bytes: Vec<u64>,
    slot_demand: Vec<f64>,
    evicted: Vec<Vec<bool>>,
    pub(super) forced_loads_left_count: usize,
    pub(super) moves: Vec<Move>,
}

/// Possible placement of a replica on a worker, with the evictions that it requires.
struct Placement {
    worker_index: usize,
    victims: Vec<usize>,
    net_gain: f64,
    waits_for_memory: bool,
}

/// Occupants that must be evicted together: a base with its adapters, or a single one.
struct Victim {
    indexes: Vec<usize>,
    memory_bytes: u64,
    value: f64,
}

/// Rules for choosing victims.
#[derive(Clone, Copy)]
pub(super) struct EvictionRules {
    pub(super) value: fn(&PlanInput<'_>, &PlanOccupant) -> f64,
    pub(super) respects_min_residency: bool,
}

impl<'a> PlanBuilder<'a> {
    /// Creates an empty plan from the current state of the workers.
    pub(super) fn new(input: &'a PlanInput<'a>) -> Self {
        Self {
            input,
            free_bytes: input
                .workers
                .iter()
                .map(|worker| worker.free_bytes)
                .collect(),
            freeing_bytes: input
                .workers
                .iter()
                .map(|worker| worker.freeing_bytes)
                .collect(),
            slot_demand: (0..input.workers.len())
                .map(|index| slot_demand(input, index))
                .collect(),
            evicted: input
                .workers
                .iter()
                .map(|worker| vec![false; worker.occupants.len()])
                .collect(),
            forced_loads_left_count: input.forced_loads_allowed_count,
            moves: Vec::new(),
        }
    }

    /// Places a replica on the best worker if its gain justifies the moves or its load is forced.
    pub(super) fn place(&mut self, candidate: ReplicaCandidate, rules: EvictionRules) {
        let best = (0..self.input.workers.len())
            .filter_map(|worker_index| self.placement_on(worker_index, candidate, rules))
            .max_by(|a, b| a.net_gain.total_cmp(&b.net_gain));
        let Some(placement) = best else { return };
        let fits_now = candidate.is_urgent && !placement.waits_for_memory;
        let is_forced = candidate.gain.is_infinite() && !fits_now;
        if is_forced && placement.victims.is_empty() {
            // The memory for it is already being freed.
            self.commit(&placement, candidate);
        } else if is_forced && self.forced_loads_left_count > 0 {
            self.forced_loads_left_count -= 1;
            self.commit(&placement, candidate);
        } else if fits_now || placement.net_gain > 0.0 {
            self.commit(&placement, candidate);
        }
    }

    /// Returns the placement of a candidate on a worker, or none if it can't fit.
    fn placement_on(
        &self,
        worker_index: usize,
        candidate: ReplicaCandidate,
        rules: EvictionRules,
    ) -> Option<Placement> {
        let worker = &self.input.workers[worker_index];
        let target = &self.input.targets[candidate.target_index];
        if worker
            .occupants
            .iter()
            .any(|occupant| occupant.target == target.target)
        {
            return None;
        }
        let needed_bytes = self.needed_bytes(worker, target);
        let free_bytes = self.free_bytes[worker_index];
        let waits_for_memory = free_bytes < needed_bytes;
        let mut obtainable_bytes = free_bytes
            + if waits_for_memory {
                self.freeing_bytes[worker_index]
            } else {
                0
            };
        let mut cost = 0.0;
        let mut victims = Vec::new();
        for victim in self.victims_in_order(worker_index, target, rules) {
            if obtainable_bytes >= needed_bytes {
                break;
            }
            if victim.indexes.iter().any(|index| victims.contains(index)) {
                continue;
            }
            obtainable_bytes += victim.memory_bytes;
            cost += victim.value + self.input.weights.move_weight * victim.indexes.len() as f64;
            victims.extend(victim.indexes);
        }
        if obtainable_bytes < needed_bytes {
            return None;
        }
        let net_gain = self.gain_on_worker(worker_index, candidate.gain)
            - cost * HYSTERESIS
            - self.input.weights.move_weight;
        Some(Placement {
            worker_index,
            victims,
            net_gain,
            waits_for_memory,
        })
    }

    /// Returns the gain of a replica, reduced by the demand for the worker's other occupants.
    fn gain_on_worker(&self, worker_index: usize, gain: f64) -> f64 {
        // With an infinite gain, workers are compared by cost and slot demand alone.
        let gain = if gain.is_infinite() { 1.0 } else { gain };
        gain * (1.0 - self.slot_demand[worker_index]).max(MIN_GAIN_FACTOR)
    }

    /// Returns the memory that a target needs on a worker, plus its base if that is absent.
    fn needed_bytes(&self, worker: &PlanWorker, target: &PlanTarget) -> u64 {
        let Some(base) = &target.base else {
            return target.memory_bytes;
        };
        if worker
            .occupants
            .iter()
            .any(|occupant| &occupant.target == base)
        {
            return target.memory_bytes;
        }
        let base_bytes = self
            .input
            .targets
            .iter()
            .find(|other| &other.target == base)
            .map_or(0, |other| other.memory_bytes);
        target.memory_bytes + base_bytes
    }

    /// Returns the possible victims on a worker, lowest value per byte first.
    fn victims_in_order(
        &self,
        worker_index: usize,
        target: &PlanTarget,
        rules: EvictionRules,
    ) -> Vec<Victim> {
        let count = self.input.workers[worker_index].occupants.len();
        let mut victims: Vec<Victim> = (0..count)
            .filter_map(|index| self.victim(worker_index, index, target, rules))
            .collect();
        let density = |victim: &Victim| victim.value / victim.memory_bytes.max(1) as f64;
        victims.sort_by(|a, b| density(a).total_cmp(&density(b)));
        victims
    }

    /// Returns an occupant with the adapters that depend on it, if all of them are evictable.
    fn victim(
        &self,
        worker_index: usize,
        index: usize,
        target: &PlanTarget,
        rules: EvictionRules,
    ) -> Option<Victim> {
        let worker = &self.input.workers[worker_index];
        let base = &worker.occupants[index].target;
        if target.base.as_ref() == Some(base) {
            return None;
        }
        // Adapters come first: a base must not be unloaded while one of its adapters is present.
        let mut indexes: Vec<usize> = (0..worker.occupants.len())
            .filter(|&other| self.is_adapter_of(&worker.occupants[other], base))
            .collect();
        indexes.push(index);
        if !indexes
            .iter()
            .all(|&index| self.is_evictable(worker_index, index, rules))
        {
            return None;
        }
        let occupant_at = |&index: &usize| &worker.occupants[index];
        Some(Victim {
            memory_bytes: indexes
                .iter()
                .map(|index| occupant_at(index).memory_bytes)
                .sum(),
            value: indexes
                .iter()
                .map(|index| (rules.value)(self.input, occupant_at(index)))
                .sum(),
            indexes,
        })
    }

    /// Returns whether an occupant is an adapter of `base`.
    fn is_adapter_of(&self, occupant: &PlanOccupant, base: &TargetName) -> bool {
        occupant
            .target_index
            .is_some_and(|index| self.input.targets[index].base.as_ref() == Some(base))
    }

    /// Returns whether an occupant may be unloaded.
    fn is_evictable(&self, worker_index: usize, index: usize, rules: EvictionRules) -> bool {
        let occupant = &self.input.workers[worker_index].occupants[index];
        let is_recent = self.input.now_ms.saturating_sub(occupant.seen_at_ms) < MIN_RESIDENCY_MS;
        let is_protected =
            self.evicted[worker_index][index] || (rules.respects_min_residency && is_recent);
        occupant.residence == Residence::Resident && !is_protected
    }

    /// Adds the moves of a placement and reserves its memory.
    fn commit(&mut self, placement: &Placement, candidate: ReplicaCandidate) {
        let worker_index = placement.worker_index;
        let worker = &self.input.workers[worker_index];
        let target = &self.input.targets[candidate.target_index];
        for &index in &placement.victims {
            let occupant = &worker.occupants[index];
            self.evicted[worker_index][index] = true;
            self.freeing_bytes[worker_index] += occupant.memory_bytes;
            self.push(worker, &occupant.target, false, candidate.is_urgent);
        }
        let needed_bytes = self.needed_bytes(worker, target);
        if placement.waits_for_memory {
            let from_free_bytes = self.free_bytes[worker_index].min(needed_bytes);
            self.free_bytes[worker_index] -= from_free_bytes;
            let freeing = &mut self.freeing_bytes[worker_index];
            *freeing = freeing.saturating_sub(needed_bytes - from_free_bytes);
            return;
        }
        self.free_bytes[worker_index] -= needed_bytes;
        if candidate.gain.is_finite() {
            self.slot_demand[worker_index] += candidate.gain / f64::from(worker.slot_count.max(1));
        }
        if let Some(base) = target
            .base
            .as_ref()
            .filter(|_| needed_bytes > target.memory_bytes)
        {
            self.push(worker, base, true, candidate.is_urgent);
        }
        self.push(worker, &target.target, true, candidate.is_urgent);
    }

    /// Adds a move to the plan.
    fn push(&mut self, worker: &PlanWorker, target: &TargetName, is_load: bool, is_urgent: bool) {
        self.moves.push(Move {
            worker: worker.worker.clone(),
            target: target.clone(),
            is_load,
            is_urgent,
        });
    }
}
