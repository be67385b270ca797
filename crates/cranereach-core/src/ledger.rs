//! Worst-case memory accounting for one worker, including every unsettled order.
//!
//! A load is sent only if it fits into the capacity minus the worst case. Memory
//! freed by an unload counts as free only once the worker reports it, at or
//! after the unload's fence.
//!
//! A worker loses its fence when it restarts. Each order therefore names the
//! incarnation (process start) of the worker that it is for, by its boot ID, and a
//! worker that checks fences refuses it in any other. Otherwise a new incarnation
//! could accept an old order first, without the knowledge of a lease holder that
//! still plans for the old incarnation.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::fence::Fence;
use crate::names::TargetName;

/// Time within which an order may still reach a worker that doesn't check fences, in ms.
pub const ORDER_LIFETIME_MS: u64 = 20_000;

/// Number of earlier incarnations whose late reports are recognized and dropped.
const RETIRED_INCARNATIONS_COUNT: usize = 8;

/// State of a target that occupies a worker's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residence {
    /// Being loaded from the weight store.
    Loading,
    /// Ready to serve.
    Resident,
    /// Finishing running requests; its memory is still occupied.
    Unloading,
}

/// Target in a worker's memory report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupant {
    /// The target.
    pub target: TargetName,
    /// Memory that it occupies, in bytes.
    pub memory_bytes: u64,
    /// State of the target on the worker.
    pub residence: Residence,
}

/// Memory report of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReport {
    /// Random number that identifies the worker's current incarnation.
    pub boot_id: u64,
    /// Number that grows with each report of an incarnation.
    pub report_number: u64,
    /// Highest fence accepted when the report was made.
    pub applied: Fence,
    /// All targets that occupy memory.
    pub occupants: Vec<Occupant>,
}

/// Kind of a memory order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a target.
    Load,
    /// Unload a target.
    Unload,
    /// Change nothing, but refuse every older order from then on.
    Seal,
}

/// Order whose effect is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnsettledOrder {
    kind: OrderKind,
    target: TargetName,
    memory_bytes: u64,
    fence: Fence,
    last_arrival_at_ms: u64,
}

/// Memory ledger of one worker, kept by the holder of its cell's lease.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity_bytes: u64,
    checks_fences: bool,
    report: Option<MemoryReport>,
    unsettled: Vec<UnsettledOrder>,
    sealed_by: Option<Fence>,
    retired_boot_ids: Vec<u64>,
}

impl Ledger {
    /// Creates an empty ledger, which allows no load before the first report.
    pub fn new(capacity_bytes: u64, checks_fences: bool) -> Self {
        Self {
            capacity_bytes,
            checks_fences,
            report: None,
            unsettled: Vec::new(),
            sealed_by: None,
            retired_boot_ids: Vec::new(),
        }
    }

    /// Returns whether the worker checks fences.
    pub fn checks_fences(&self) -> bool {
        self.checks_fences
    }

    /// Returns the occupants in the last report.
    pub fn occupants(&self) -> &[Occupant] {
        self.report.as_ref().map_or(&[], |report| &report.occupants)
    }

    /// Applies a report, unless it is older than the last one or from an earlier incarnation.
    pub fn apply_report(&mut self, now_ms: u64, report: &MemoryReport) {
        if self.retired_boot_ids.contains(&report.boot_id) {
            return;
        }
        if let Some(last) = &self.report {
            if last.boot_id == report.boot_id && report.report_number < last.report_number {
                return;
            }
            if last.boot_id != report.boot_id {
                self.reset_for_new_incarnation(last.boot_id);
            }
        }
        self.report = Some(report.clone());
        self.settle(now_ms);
    }

    /// Returns the boot ID of the incarnation that orders are for, once a report has given it.
    pub fn boot_id(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.boot_id)
    }

    /// Drops the seal of a worker that restarted and, if it checks fences, its open orders.
    ///
    /// A worker that checks fences refuses orders for its old incarnation.
    fn reset_for_new_incarnation(&mut self, old_boot_id: u64) {
        self.sealed_by = None;
        if self.checks_fences {
            self.unsettled.clear();
        }
        if self.retired_boot_ids.len() == RETIRED_INCARNATIONS_COUNT {
            self.retired_boot_ids.remove(0);
        }
        self.retired_boot_ids.push(old_boot_id);
    }

    /// Records an order before it is sent.
    pub fn record_order(
        &mut self,
        now_ms: u64,
        kind: OrderKind,
        target: &TargetName,
        memory_bytes: u64,
        fence: Fence,
    ) {
        if kind == OrderKind::Seal {
            self.sealed_by = Some(fence);
            return;
        }
        self.unsettled.push(UnsettledOrder {
            kind,
            target: target.clone(),
            memory_bytes,
            fence,
            last_arrival_at_ms: now_ms + ORDER_LIFETIME_MS,
        });
    }

    /// Removes an order that can't take effect.
    pub fn discard_order(&mut self, fence: Fence) {
        self.unsettled.retain(|order| order.fence != fence);
    }

    /// Returns whether this term's seal is confirmed for the current incarnation.
    ///
    /// A worker that doesn't check fences can't be sealed; for it this is true
    /// as soon as it has reported.
    pub fn is_sealed(&self) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        !self.checks_fences || self.sealed_by.is_some_and(|seal| report.applied >= seal)
    }

    /// Returns whether the first seal of this term and incarnation must be sent.
    pub fn needs_seal(&self) -> bool {
        self.checks_fences && self.report.is_some() && self.sealed_by.is_none()
    }

    /// Returns whether there are unsettled orders, which another seal would settle.
    pub fn has_unsettled(&self) -> bool {
        !self.unsettled.is_empty()
    }

    /// Returns whether an unsettled order of `kind` exists for `target`.
    pub fn is_open(&self, kind: OrderKind, target: &TargetName) -> bool {
        self.unsettled
            .iter()
            .any(|order| order.kind == kind && &order.target == target)
    }

    /// Returns the worst-case memory use, in bytes.
    ///
    /// ```
    /// use cranereach_core::fence::Fence;
    /// use cranereach_core::ledger::{Ledger, OrderKind};
    ///
    /// let mut ledger = Ledger::new(100, true);
    /// ledger.record_order(0, OrderKind::Load, &"m".into(), 60, Fence::default());
    /// assert_eq!(ledger.committed_bytes(), 60);
    /// ```
    pub fn committed_bytes(&self) -> u64 {
        let mut worst_case_bytes: HashMap<&TargetName, u64> = HashMap::new();
        for occupant in self.occupants() {
            worst_case_bytes.insert(&occupant.target, occupant.memory_bytes);
        }
        for order in self
            .unsettled
            .iter()
            .filter(|order| order.kind == OrderKind::Load)
        {
            let bytes = worst_case_bytes.entry(&order.target).or_default();
            *bytes = (*bytes).max(order.memory_bytes);
        }
        worst_case_bytes.values().sum()
    }

    /// Returns the memory available to a load now, in bytes.
    pub fn free_bytes(&self) -> u64 {
        if !self.is_sealed() {
            return 0;
        }
        self.capacity_bytes.saturating_sub(self.committed_bytes())
    }

    /// Returns the memory that open unloads will free, in bytes.
    pub fn freeing_bytes(&self) -> u64 {
        self.occupants()
            .iter()
            .filter(|occupant| {
                occupant.residence == Residence::Unloading
                    || self.is_open(OrderKind::Unload, &occupant.target)
            })
            .map(|occupant| occupant.memory_bytes)
            .sum()
    }

    /// Removes the orders whose effect is settled by the last report.
    fn settle(&mut self, now_ms: u64) {
        let Some(report) = &self.report else { return };
        let checks_fences = self.checks_fences;
        self.unsettled.retain(|order| {
            if checks_fences {
                // Orders up to the applied fence have taken effect or never will.
                return order.fence > report.applied;
            }
            let is_present = report
                .occupants
                .iter()
                .any(|occupant| occupant.target == order.target);
            match order.kind {
                // The order may be delivered again until its lifetime is over.
                OrderKind::Load => now_ms < order.last_arrival_at_ms,
                OrderKind::Unload | OrderKind::Seal => {
                    is_present && now_ms < order.last_arrival_at_ms
                }
            }
        });
    }
}
