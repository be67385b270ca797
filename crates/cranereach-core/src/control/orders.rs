//! Orders to workers, and what the runtime is told to do about them.

use serde::Deserialize;
use serde::Serialize;

use crate::fence::Fence;
use crate::lease::LeaseWrite;
use crate::ledger::OrderKind;
use crate::names::TargetName;
use crate::names::WorkerId;
use crate::residency::PlanWeights;
use crate::residency::ResidencyPolicy;

/// What varies between deployments.
#[derive(Clone, Copy, Debug)]
pub struct ControlOptions {
    /// Residency policy.
    pub policy: &'static ResidencyPolicy,
    /// Weights of attainment and moves.
    pub weights: PlanWeights,
    /// Loads that this cell may begin per second.
    pub loads_per_s: f64,
    /// Loads of this cell at once.
    pub loads_at_once_count: usize,
}

/// An order to be sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Worker to order.
    pub worker: WorkerId,
    /// Boot of the worker that the order is meant for.
    pub boot_id: u64,
    /// Place among all orders.
    pub fence: Fence,
    /// What to do.
    pub kind: OrderKind,
    /// Target; empty for a seal.
    pub target: TargetName,
    /// Memory of the target, in bytes.
    pub memory_bytes: u64,
}

/// Orders recorded in the table before they are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Every order that isn't known to be settled.
    pub orders: Vec<Order>,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The worker accepted it.
    Accepted,
    /// The worker has seen this higher fence.
    Refused(Fence),
    /// It provably never left.
    NeverSent,
    /// It may take effect, now or later.
    Unknown,
}

/// What the runtime is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAction {
    /// Write the lease row.
    WriteLease(LeaseWrite),
    /// Send an order.
    Send(Order),
    /// Read the intents row, then call [`super::CellControl::intents_read`].
    ReadIntents,
    /// Write the intents row, then call [`super::CellControl::intents_recorded`].
    RecordIntents(IntentRow),
    /// A load took this long, in milliseconds.
    LoadTook(u64),
}
