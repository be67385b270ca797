//! State that the holder of a cell's lease keeps for one worker.

use std::collections::HashMap;

use super::Order;
use crate::ledger::Ledger;
use crate::ledger::MemoryReport;
use crate::ledger::OrderKind;
use crate::ledger::Residence;
use crate::names::TargetName;
use crate::names::WorkerId;
use crate::residency::PlanOccupant;
use crate::residency::PlanTarget;
use crate::residency::PlanWorker;

/// Ledger of a worker, with the holder's observations in the current term.
#[derive(Debug)]
pub(super) struct WorkerControl {
    ledger: Ledger,
    capacity_bytes: u64,
    slot_count: u32,
    seen_at_ms: HashMap<TargetName, u64>,
    load_ordered_at_ms: HashMap<TargetName, u64>,
    open: Vec<Order>,
    sealed_at_ms: u64,
    ordered_at_ms: u64,
    is_leaving: bool,
}

impl WorkerControl {
    /// Creates the state of a worker that has not reported yet.
    pub(super) fn new(capacity_bytes: u64, checks_fences: bool) -> Self {
        Self {
            ledger: Ledger::new(capacity_bytes, checks_fences),
            capacity_bytes,
            slot_count: 0,
            seen_at_ms: HashMap::new(),
            load_ordered_at_ms: HashMap::new(),
            open: Vec::new(),
            sealed_at_ms: 0,
            ordered_at_ms: 0,
            is_leaving: false,
        }
    }

    /// Discards the state of an earlier term.
    pub(super) fn reset(&mut self, checks_fences: bool) {
        *self = Self::new(self.capacity_bytes, checks_fences);
    }

    /// Applies a report and returns the durations of loads that it shows completed, in ms.
    pub(super) fn apply_report(
        &mut self,
        now_ms: u64,
        report: &MemoryReport,
        slot_count: u32,
    ) -> Vec<u64> {
        self.slot_count = slot_count;
        self.ledger.apply_report(now_ms, report);
        let occupants = self.ledger.occupants();
        self.seen_at_ms
            .retain(|target, _| occupants.iter().any(|occupant| &occupant.target == target));
        let mut load_durations_ms = Vec::new();
        for occupant in occupants {
            self.seen_at_ms
                .entry(occupant.target.clone())
                .or_insert(now_ms);
            if occupant.residence == Residence::Resident {
                let load_ordered = self.load_ordered_at_ms.remove(&occupant.target);
                load_durations_ms.extend(load_ordered.map(|at_ms| now_ms.saturating_sub(at_ms)));
            }
        }
        self.open
            .retain(|order| self.ledger.is_open(order.kind, &order.target));
        load_durations_ms
    }

    /// Records an order before it is sent.
    pub(super) fn record_order(&mut self, now_ms: u64, order: &Order) {
        self.ledger.record_order(
            now_ms,
            order.kind,
            &order.target,
            order.memory_bytes,
            order.fence,
        );
        self.ordered_at_ms = now_ms;
        match order.kind {
            OrderKind::Seal => self.sealed_at_ms = now_ms,
            OrderKind::Load => {
                self.load_ordered_at_ms.insert(order.target.clone(), now_ms);
                self.open.push(order.clone());
            }
            OrderKind::Unload => self.open.push(order.clone()),
        }
    }

    /// Discards an order that can't take effect.
    pub(super) fn discard_order(&mut self, fence: crate::fence::Fence) {
        self.ledger.discard_order(fence);
        self.open.retain(|order| order.fence != fence);
    }

    /// Returns whether a seal is due: none is in force, or orders have been open for too long.
    pub(super) fn needs_seal(&self, now_ms: u64, settle_after_ms: u64) -> bool {
        let is_settle_due =
            now_ms.saturating_sub(self.sealed_at_ms.max(self.ordered_at_ms)) >= settle_after_ms;
        let unsettled = !self.ledger.is_sealed() || self.ledger.has_unsettled();
        let is_known = self.ledger.boot_id().is_some();
        self.ledger.needs_seal()
            || (self.ledger.checks_fences() && is_known && unsettled && is_settle_due)
    }

    /// Returns the boot ID of the incarnation that orders are for, once it is known.
    pub(super) fn boot_id(&self) -> Option<u64> {
        self.ledger.boot_id()
    }

    /// Sets whether the worker is leaving.
    pub(super) fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving;
    }

    /// Returns whether the planner may use the worker.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_leaving && self.ledger.is_sealed()
    }

    /// Returns the number of loads that are ordered or in progress.
    pub(super) fn loading_count(&self) -> usize {
        let reported_count = self
            .ledger
            .occupants()
            .iter()
            .filter(|occupant| occupant.residence == Residence::Loading)
            .count();
        reported_count + self.unreported_loads().count()
    }

    /// Returns the orders whose effect is not settled.
    pub(super) fn open_orders(&self) -> impl Iterator<Item = Order> {
        self.open.iter().cloned()
    }

    /// Returns the worst-case memory use, in bytes.
    pub(super) fn committed_bytes(&self) -> u64 {
        self.ledger.committed_bytes()
    }

    /// Returns the worker as input for the planner.
    pub(super) fn plan_worker(&self, worker: &WorkerId, targets: &[PlanTarget]) -> PlanWorker {
        let index_of = |name: &TargetName| targets.iter().position(|target| &target.target == name);
        let mut occupants: Vec<PlanOccupant> = self
            .ledger
            .occupants()
            .iter()
            .map(|occupant| PlanOccupant {
                target_index: index_of(&occupant.target),
                target: occupant.target.clone(),
                memory_bytes: occupant.memory_bytes,
                residence: if self.ledger.is_open(OrderKind::Unload, &occupant.target) {
                    Residence::Unloading
                } else {
                    occupant.residence
                },
                seen_at_ms: self
                    .seen_at_ms
                    .get(&occupant.target)
                    .copied()
                    .unwrap_or_default(),
            })
            .collect();
        occupants.extend(self.unreported_loads().map(|order| PlanOccupant {
            target_index: index_of(&order.target),
            target: order.target.clone(),
            memory_bytes: order.memory_bytes,
            residence: Residence::Loading,
            seen_at_ms: 0,
        }));
        PlanWorker {
            worker: worker.clone(),
            free_bytes: self.ledger.free_bytes(),
            freeing_bytes: self.ledger.freeing_bytes(),
            slot_count: self.slot_count,
            occupants,
        }
    }

    /// Returns the open loads that no report has shown yet.
    fn unreported_loads(&self) -> impl Iterator<Item = &Order> {
        let is_reported = |target| {
            self.ledger
                .occupants()
                .iter()
                .any(|occupant| &occupant.target == target)
        };
        let is_awaited = |target| self.load_ordered_at_ms.contains_key(target);
        self.open.iter().filter(move |order| {
            order.kind == OrderKind::Load
                && is_awaited(&order.target)
                && !is_reported(&order.target)
        })
    }
}
