//! Finds room on a worker and names the moves that make it.

use super::Move;
use super::PlanInput;
use super::PlanOccupant;
use super::PlanTarget;
use super::PlanWorker;
use super::worth::Wanted;
use super::worth::pressure;
use crate::ledger::Residence;
use crate::names::TargetName;

/// Time for which a target stays before it can be evicted for growth, in ms.
const MIN_RESIDENCY_MS: u64 = 5_000;

/// Gain over cost that growth must show, so that it doesn't swing back.
const HYSTERESIS: f64 = 1.3;

/// Part of a replica's gain that is left on a worker whose slots are all asked for.
const LEFT_UNDER_PRESSURE: f64 = 0.1;

/// What the planner changes while it names moves.
pub(super) struct Draft<'a> {
    input: &'a PlanInput<'a>,
    free_bytes: Vec<u64>,
    freeing_bytes: Vec<u64>,
    pressure: Vec<f64>,
    evicted: Vec<Vec<bool>>,
    pub(super) forces_left_count: usize,
    pub(super) moves: Vec<Move>,
}

/// What a worker would have to give up for a load, and what that is worth.
struct Room {
    worker_index: usize,
    victims: Vec<usize>,
    net_gain: f64,
    must_wait: bool,
}

/// Occupants that go together: a base with its adapters, or one alone.
struct Victim {
    indexes: Vec<usize>,
    memory_bytes: u64,
    worth: f64,
}

/// How victims are chosen.
#[derive(Clone, Copy)]
pub(super) struct Eviction {
    pub(super) worth: fn(&PlanInput<'_>, &PlanOccupant) -> f64,
    pub(super) spares_young: bool,
}

impl<'a> Draft<'a> {
    /// Starts from the ledgers as they are.
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
            pressure: (0..input.workers.len())
                .map(|index| pressure(input, index))
                .collect(),
            evicted: input
                .workers
                .iter()
                .map(|worker| vec![false; worker.occupants.len()])
                .collect(),
            forces_left_count: input.forces_allowed_count,
            moves: Vec::new(),
        }
    }

    /// Finds a place for a target and names the moves that its gain pays for.
    pub(super) fn place(&mut self, wanted: Wanted, eviction: Eviction) {
        let best = (0..self.input.workers.len())
            .filter_map(|worker_index| self.room(worker_index, wanted, eviction))
            .max_by(|a, b| a.net_gain.total_cmp(&b.net_gain));
        let Some(room) = best else { return };
        let is_free = wanted.is_urgent && !room.must_wait;
        let is_forced = wanted.gain.is_infinite() && !is_free;
        if is_forced && room.victims.is_empty() {
            // Its room is being made already.
            self.take(&room, wanted);
        } else if is_forced && self.forces_left_count > 0 {
            self.forces_left_count -= 1;
            self.take(&room, wanted);
        } else if is_free || room.net_gain > 0.0 {
            self.take(&room, wanted);
        }
    }

    /// Returns what a worker would have to give up, or none if it can't.
    fn room(&self, worker_index: usize, wanted: Wanted, eviction: Eviction) -> Option<Room> {
        let worker = &self.input.workers[worker_index];
        let target = &self.input.targets[wanted.target_index];
        if worker
            .occupants
            .iter()
            .any(|occupant| occupant.target == target.target)
        {
            return None;
        }
        let needed_bytes = self.needed_bytes(worker, target);
        let free_bytes = self.free_bytes[worker_index];
        let must_wait = free_bytes < needed_bytes;
        let mut coming_bytes = free_bytes
            + if must_wait {
                self.freeing_bytes[worker_index]
            } else {
                0
            };
        let mut cost = 0.0;
        let mut victims = Vec::new();
        for victim in self.victims_in_order(worker_index, target, eviction) {
            if coming_bytes >= needed_bytes {
                break;
            }
            if victim.indexes.iter().any(|index| victims.contains(index)) {
                continue;
            }
            coming_bytes += victim.memory_bytes;
            cost += victim.worth + self.input.weights.move_weight * victim.indexes.len() as f64;
            victims.extend(victim.indexes);
        }
        if coming_bytes < needed_bytes {
            return None;
        }
        let net_gain = self.gain_on(worker_index, wanted.gain)
            - cost * HYSTERESIS
            - self.input.weights.move_weight;
        Some(Room {
            worker_index,
            victims,
            net_gain,
            must_wait,
        })
    }

    /// Returns what a replica adds on a worker whose slots are partly asked for.
    fn gain_on(&self, worker_index: usize, gain: f64) -> f64 {
        // Compares the costs alone where the target is loaded at any price.
        let gain = if gain.is_infinite() { 1.0 } else { gain };
        gain * (1.0 - self.pressure[worker_index]).max(LEFT_UNDER_PRESSURE)
    }

    /// Returns the memory that a target needs on a worker, base included.
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

    /// Returns what may go, the least worthy per byte first.
    fn victims_in_order(
        &self,
        worker_index: usize,
        target: &PlanTarget,
        eviction: Eviction,
    ) -> Vec<Victim> {
        let count = self.input.workers[worker_index].occupants.len();
        let mut victims: Vec<Victim> = (0..count)
            .filter_map(|index| self.victim(worker_index, index, target, eviction))
            .collect();
        let density = |victim: &Victim| victim.worth / victim.memory_bytes.max(1) as f64;
        victims.sort_by(|a, b| density(a).total_cmp(&density(b)));
        victims
    }

    /// Returns an occupant with the adapters that need it, if all of them may go.
    fn victim(
        &self,
        worker_index: usize,
        index: usize,
        target: &PlanTarget,
        eviction: Eviction,
    ) -> Option<Victim> {
        let worker = &self.input.workers[worker_index];
        let base = &worker.occupants[index].target;
        if target.base.as_ref() == Some(base) {
            return None;
        }
        // Adapters first: a base must not go while one of them is there.
        let mut indexes: Vec<usize> = (0..worker.occupants.len())
            .filter(|&other| self.needs(&worker.occupants[other], base))
            .collect();
        indexes.push(index);
        if !indexes
            .iter()
            .all(|&index| self.may_go(worker_index, index, eviction))
        {
            return None;
        }
        let of = |&index: &usize| &worker.occupants[index];
        Some(Victim {
            memory_bytes: indexes.iter().map(|index| of(index).memory_bytes).sum(),
            worth: indexes
                .iter()
                .map(|index| (eviction.worth)(self.input, of(index)))
                .sum(),
            indexes,
        })
    }

    /// Whether an occupant is an adapter of a base.
    fn needs(&self, occupant: &PlanOccupant, base: &TargetName) -> bool {
        occupant
            .target_index
            .is_some_and(|index| self.input.targets[index].base.as_ref() == Some(base))
    }

    /// Whether an occupant may be unloaded.
    fn may_go(&self, worker_index: usize, index: usize, eviction: Eviction) -> bool {
        let occupant = &self.input.workers[worker_index].occupants[index];
        let young = self.input.now_ms.saturating_sub(occupant.seen_at_ms) < MIN_RESIDENCY_MS;
        let is_kept = self.evicted[worker_index][index] || (eviction.spares_young && young);
        occupant.residence == Residence::Resident && !is_kept
    }

    /// Names the moves of a placement and takes its room.
    fn take(&mut self, room: &Room, wanted: Wanted) {
        let worker_index = room.worker_index;
        let worker = &self.input.workers[worker_index];
        let target = &self.input.targets[wanted.target_index];
        for &index in &room.victims {
            let occupant = &worker.occupants[index];
            self.evicted[worker_index][index] = true;
            self.freeing_bytes[worker_index] += occupant.memory_bytes;
            self.push(worker, &occupant.target, false, wanted.is_urgent);
        }
        let needed_bytes = self.needed_bytes(worker, target);
        if room.must_wait {
            let from_free = self.free_bytes[worker_index].min(needed_bytes);
            self.free_bytes[worker_index] -= from_free;
            let freeing = &mut self.freeing_bytes[worker_index];
            *freeing = freeing.saturating_sub(needed_bytes - from_free);
            return;
        }
        self.free_bytes[worker_index] -= needed_bytes;
        if wanted.gain.is_finite() {
            self.pressure[worker_index] += wanted.gain / f64::from(worker.slot_count.max(1));
        }
        if let Some(base) = target
            .base
            .as_ref()
            .filter(|_| needed_bytes > target.memory_bytes)
        {
            self.push(worker, base, true, wanted.is_urgent);
        }
        self.push(worker, &target.target, true, wanted.is_urgent);
    }

    /// Adds one move.
    fn push(&mut self, worker: &PlanWorker, target: &TargetName, is_load: bool, is_urgent: bool) {
        self.moves.push(Move {
            worker: worker.worker.clone(),
            target: target.clone(),
            is_load,
            is_urgent,
        });
    }
}
