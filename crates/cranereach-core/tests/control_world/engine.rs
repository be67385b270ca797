//! Simulated engine that handles orders as a real one does.

use std::collections::HashMap;

use cranereach_core::control::Order;
use cranereach_core::control::OrderEnd;
use cranereach_core::fence::FenceGate;
use cranereach_core::ledger::MemoryReport;
use cranereach_core::ledger::Occupant;
use cranereach_core::ledger::OrderKind;
use cranereach_core::ledger::Residence;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;

/// Duration of a load, in milliseconds.
const LOAD_MS: u64 = 700;

/// An engine whose occupants carry the time at which their load or unload completes.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) id: WorkerId,
    pub(super) gate: FenceGate,
    pub(super) occupants: HashMap<TargetName, (Occupant, u64)>,
    pub(super) boot_id: u64,
    pub(super) report: MemoryReport,
}

impl Engine {
    /// Creates an engine without occupants.
    pub(super) fn new(id: WorkerId) -> Self {
        let report = MemoryReport {
            boot_id: 1,
            report_number: 0,
            ..MemoryReport::default()
        };
        Self {
            id,
            gate: FenceGate::default(),
            occupants: HashMap::new(),
            boot_id: 1,
            report,
        }
    }

    /// Returns the memory in use, in bytes.
    pub(super) fn used_bytes(&self) -> u64 {
        self.occupants
            .values()
            .map(|(occupant, _)| occupant.memory_bytes)
            .sum()
    }

    /// Handles an order as a real engine does. If `fenced`, refuses orders for another boot and
    /// orders whose fence is outdated.
    pub(super) fn handle_order(&mut self, now_ms: u64, order: &Order, fenced: bool) -> OrderEnd {
        if fenced && (order.boot_id != self.boot_id || !self.gate.admit(order.fence)) {
            return OrderEnd::Refused(self.gate.highest());
        }
        match order.kind {
            OrderKind::Load => {
                let occupant = Occupant {
                    target: order.target.clone(),
                    memory_bytes: order.memory_bytes,
                    residence: Residence::Loading,
                };
                self.occupants
                    .entry(order.target.clone())
                    .or_insert((occupant, now_ms + LOAD_MS));
            }
            OrderKind::Unload => {
                if let Some((occupant, due_ms)) = self.occupants.get_mut(&order.target) {
                    occupant.residence = Residence::Unloading;
                    *due_ms = now_ms + 300;
                }
            }
            OrderKind::Seal => {}
        }
        OrderEnd::Accepted
    }

    /// Completes the loads and unloads that are due.
    pub(super) fn complete_due(&mut self, now_ms: u64) {
        self.occupants.retain(|_, (occupant, due_ms)| {
            occupant.residence != Residence::Unloading || now_ms < *due_ms
        });
        for (occupant, due_ms) in self.occupants.values_mut() {
            if occupant.residence == Residence::Loading && now_ms >= *due_ms {
                occupant.residence = Residence::Resident;
            }
        }
    }

    /// Creates the report that instances receive next.
    pub(super) fn refresh_report(&mut self) {
        self.report = MemoryReport {
            boot_id: self.boot_id,
            report_number: self.report.report_number + 1,
            applied: self.gate.highest(),
            occupants: self
                .occupants
                .values()
                .map(|(occupant, _)| occupant.clone())
                .collect(),
        };
    }
}
