//! Finds room on a worker and names the moves that make it.

use super::Move;
use super::PlanInput;
use super::PlanOccupant;
use super::PlanTarget;
use super::PlanWorker;
use crate::ledger::Residence;
use crate::names::TargetName;

/// Time for which a target stays before it can be evicted for growth, in ms.
const MIN_RESIDENCY_MS: u64 = 5_000;

/// Gain over cost that growth must show, so that it doesn't swing back.
const HYSTERESIS: f64 = 1.3;

/// What the planner changes while it names moves.
pub(super) struct Draft<'a> {
    input: &'a PlanInput<'a>,
    free_bytes: Vec<u64>,
    freeing_bytes: Vec<u64>,
    evicted: Vec<Vec<bool>>,
    pub(super) moves: Vec<Move>,
}

/// What a worker would have to give up for a load.
struct Room {
    worker_index: usize,
    victims: Vec<usize>,
    cost: f64,
    must_wait: bool,
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
            evicted: input
                .workers
                .iter()
                .map(|worker| vec![false; worker.occupants.len()])
                .collect(),
            moves: Vec::new(),
        }
    }

    /// Finds a place for a target and names the moves that its gain pays for.
    pub(super) fn place(
        &mut self,
        target_index: usize,
        eviction: Eviction,
        is_urgent: bool,
        gain: f64,
    ) {
        let best = (0..self.input.workers.len())
            .filter_map(|worker_index| self.room(worker_index, target_index, eviction))
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        let Some(room) = best else { return };
        let price = room.cost * HYSTERESIS + self.input.weights.move_weight;
        if gain > price {
            self.take(&room, target_index, is_urgent);
        }
    }

    /// Returns what a worker would have to give up, or none if it can't.
    fn room(&self, worker_index: usize, target_index: usize, eviction: Eviction) -> Option<Room> {
        let worker = &self.input.workers[worker_index];
        let target = &self.input.targets[target_index];
        if worker
            .occupants
            .iter()
            .any(|occupant| occupant.target == target.target)
        {
            return None;
        }
        let needed_bytes = self.needed_bytes(worker, target);
        let free_bytes = self.free_bytes[worker_index];
        let mut room = Room {
            worker_index,
            victims: Vec::new(),
            cost: 0.0,
            must_wait: false,
        };
        if free_bytes >= needed_bytes {
            return Some(room);
        }
        room.must_wait = true;
        let mut coming_bytes = free_bytes + self.freeing_bytes[worker_index];
        for index in self.victims_in_order(worker_index, target, eviction) {
            if coming_bytes >= needed_bytes {
                break;
            }
            let occupant = &worker.occupants[index];
            coming_bytes += occupant.memory_bytes;
            room.cost += (eviction.worth)(self.input, occupant) + self.input.weights.move_weight;
            room.victims.push(index);
        }
        (coming_bytes >= needed_bytes).then_some(room)
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

    /// Returns the occupants that may go, the least worthy per byte first.
    fn victims_in_order(
        &self,
        worker_index: usize,
        target: &PlanTarget,
        eviction: Eviction,
    ) -> Vec<usize> {
        let worker = &self.input.workers[worker_index];
        let mut victims: Vec<(usize, f64)> = (0..worker.occupants.len())
            .filter(|&index| self.may_go(worker_index, index, target, eviction))
            .map(|index| {
                let occupant = &worker.occupants[index];
                (
                    index,
                    (eviction.worth)(self.input, occupant) / occupant.memory_bytes.max(1) as f64,
                )
            })
            .collect();
        victims.sort_by(|a, b| a.1.total_cmp(&b.1));
        victims.into_iter().map(|(index, _)| index).collect()
    }

    /// Whether an occupant may be unloaded for a target.
    fn may_go(
        &self,
        worker_index: usize,
        index: usize,
        target: &PlanTarget,
        eviction: Eviction,
    ) -> bool {
        let worker = &self.input.workers[worker_index];
        let occupant = &worker.occupants[index];
        let young = self.input.now_ms.saturating_sub(occupant.seen_at_ms) < MIN_RESIDENCY_MS;
        let is_needed_base = target.base.as_ref() == Some(&occupant.target)
            || self.is_base_in_use(worker, &occupant.target);
        occupant.residence == Residence::Resident
            && !(self.evicted[worker_index][index]
                || is_needed_base
                || (eviction.spares_young && young))
    }

    /// Whether an adapter on the worker needs this target.
    fn is_base_in_use(&self, worker: &PlanWorker, base: &TargetName) -> bool {
        worker.occupants.iter().any(|occupant| {
            occupant
                .target_index
                .is_some_and(|index| self.input.targets[index].base.as_ref() == Some(base))
        })
    }

    /// Names the moves of a placement and takes its room.
    fn take(&mut self, room: &Room, target_index: usize, is_urgent: bool) {
        let worker = &self.input.workers[room.worker_index];
        let target = &self.input.targets[target_index];
        for &index in &room.victims {
            let occupant = &worker.occupants[index];
            self.evicted[room.worker_index][index] = true;
            self.freeing_bytes[room.worker_index] += occupant.memory_bytes;
            self.push(worker, &occupant.target, false, is_urgent);
        }
        let needed_bytes = self.needed_bytes(worker, target);
        if room.must_wait {
            let from_free = self.free_bytes[room.worker_index].min(needed_bytes);
            self.free_bytes[room.worker_index] -= from_free;
            let freeing = &mut self.freeing_bytes[room.worker_index];
            *freeing = freeing.saturating_sub(needed_bytes - from_free);
            return;
        }
        self.free_bytes[room.worker_index] -= needed_bytes;
        if let Some(base) = target
            .base
            .as_ref()
            .filter(|_| needed_bytes > target.memory_bytes)
        {
            self.push(worker, base, true, is_urgent);
        }
        self.push(worker, &target.target, true, is_urgent);
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
