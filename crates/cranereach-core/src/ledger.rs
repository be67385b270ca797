//! Worst-case memory accounting for one worker, including every unsettled order.
//!
//! A load is sent only when capacity minus the worst case covers it. Memory
//! that an unload frees counts only once the worker reports it, at or after
//! the unload's fence.
//!
//! A worker forgets its fence when it restarts. So an order names the boot that
//! it is meant for, and a worker that checks fences refuses it in any other:
//! otherwise an old order could be the first that a new boot accepts, unseen by
//! a holder that still plans for the old one.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::fence::Fence;
use crate::names::TargetName;

/// Time within which an order can still arrive at a worker without fences, ms.
pub const ORDER_LIFETIME_MS: u64 = 20_000;

/// Boots before the present one whose late reports are known and dropped.
const RETIRED_BOOTS_COUNT: usize = 8;

/// What a worker does with a target that occupies its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residence {
    /// Being read from the weight store.
    Loading,
    /// Can serve.
    Resident,
    /// Finishing what runs; its memory is still taken.
    Unloading,
}

/// One target in a worker's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupant {
    /// The target.
    pub target: TargetName,
    /// Memory that it takes, in bytes.
    pub memory_bytes: u64,
    /// What the worker does with it.
    pub residence: Residence,
}

/// A worker's own account of its memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReport {
    /// Random number of the worker's present boot.
    pub boot_id: u64,
    /// Grows with each report of a boot.
    pub report_number: u64,
    /// Highest fence accepted when the report was made.
    pub applied: Fence,
    /// Everything that takes memory.
    pub occupants: Vec<Occupant>,
}

/// Kind of an order about memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a target.
    Load,
    /// Unload a target.
    Unload,
    /// Change nothing, but refuse every older order from now on.
    Seal,
}

/// An order whose effect isn't settled.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnsettledOrder {
    kind: OrderKind,
    target: TargetName,
    memory_bytes: u64,
    fence: Fence,
    last_arrival_at_ms: u64,
}

/// Ledger of one worker, kept by the holder of its cell's lease.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity_bytes: u64,
    checks_fences: bool,
    report: Option<MemoryReport>,
    unsettled: Vec<UnsettledOrder>,
    sealed_by: Option<Fence>,
    retired_boots: Vec<u64>,
}

impl Ledger {
    /// Starts with nothing known: no load is allowed before a report.
    pub fn new(capacity_bytes: u64, checks_fences: bool) -> Self {
        Self {
            capacity_bytes,
            checks_fences,
            report: None,
            unsettled: Vec::new(),
            sealed_by: None,
            retired_boots: Vec::new(),
        }
    }

    /// Whether the worker checks fences.
    pub fn checks_fences(&self) -> bool {
        self.checks_fences
    }

    /// Returns what the last report says is there.
    pub fn occupants(&self) -> &[Occupant] {
        self.report.as_ref().map_or(&[], |report| &report.occupants)
    }

    /// Takes a report; an older one of the same boot is dropped.
    pub fn apply_report(&mut self, now_ms: u64, report: &MemoryReport) {
        if self.retired_boots.contains(&report.boot_id) {
            return;
        }
        if let Some(last) = &self.report {
            if last.boot_id == report.boot_id && report.report_number < last.report_number {
                return;
            }
            if last.boot_id != report.boot_id {
                self.reset_for_new_boot(last.boot_id);
            }
        }
        self.report = Some(report.clone());
        self.settle(now_ms);
    }

    /// Returns the boot that orders are meant for, once a report has named it.
    pub fn boot_id(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.boot_id)
    }

    /// Resets the term's state after a worker restart, because orders for the old boot are void.
    fn reset_for_new_boot(&mut self, old_boot_id: u64) {
        self.sealed_by = None;
        if self.checks_fences {
            self.unsettled.clear();
        }
        if self.retired_boots.len() == RETIRED_BOOTS_COUNT {
            self.retired_boots.remove(0);
        }
        self.retired_boots.push(old_boot_id);
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

    /// Records that an order provably never reached the worker.
    pub fn discard_order(&mut self, fence: Fence) {
        self.unsettled.retain(|order| order.fence != fence);
    }

    /// Whether this term's seal is known to be in force in the present boot.
    ///
    /// A worker that doesn't check fences can't be sealed; for it this is true
    /// as soon as it has reported.
    pub fn is_sealed(&self) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        !self.checks_fences || self.sealed_by.is_some_and(|seal| report.applied >= seal)
    }

    /// Whether a seal must be sent.
    pub fn needs_seal(&self) -> bool {
        self.checks_fences && self.report.is_some() && self.sealed_by.is_none()
    }

    /// Whether orders are open that a further seal would settle.
    pub fn has_unsettled(&self) -> bool {
        !self.unsettled.is_empty()
    }

    /// Whether an order of a kind is open for a target.
    pub fn is_open(&self, kind: OrderKind, target: &TargetName) -> bool {
        self.unsettled
            .iter()
            .any(|order| order.kind == kind && &order.target == target)
    }

    /// Returns the memory that may be taken at the worst, in bytes.
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

    /// Returns the memory that a load may take now, in bytes.
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

    /// Drops the orders whose effect the last report settles.
    fn settle(&mut self, now_ms: u64) {
        let Some(report) = &self.report else { return };
        let checks_fences = self.checks_fences;
        self.unsettled.retain(|order| {
            if checks_fences {
                // All up to the applied fence have taken effect or never will.
                return order.fence > report.applied;
            }
            let is_present = report
                .occupants
                .iter()
                .any(|occupant| occupant.target == order.target);
            match order.kind {
                // It may arrive once more until its lifetime is over.
                OrderKind::Load => now_ms < order.last_arrival_at_ms,
                OrderKind::Unload | OrderKind::Seal => {
                    is_present && now_ms < order.last_arrival_at_ms
                }
            }
        });
    }
}
