//! Orders to workers, and the actions that the runtime performs for the controller.

use serde::Deserialize;
use serde::Serialize;

use crate::fence::Fence;
use crate::lease::LeaseWrite;
use crate::ledger::OrderKind;
use crate::names::TargetName;
use crate::names::WorkerId;
use crate::residency::PlanWeights;
use crate::residency::ResidencyPolicy;

/// Deployment-specific options of the controller.
#[derive(Clone, Copy, Debug)]
pub struct ControlOptions {
    /// Residency policy.
    pub policy: &'static ResidencyPolicy,
    /// Weights of attainment and moves.
    pub weights: PlanWeights,
    /// Loads that this cell may start per second.
    pub loads_per_s: f64,
    /// Concurrent loads allowed in this cell.
    pub loads_at_once_count: usize,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Recipient.
    pub worker: WorkerId,
    /// Boot ID of the incarnation of the worker that the order is for.
    pub boot_id: u64,
    /// Position among all orders to the worker.
    pub fence: Fence,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Target; empty for a seal.
    pub target: TargetName,
    /// Memory of the target, in bytes.
    pub memory_bytes: u64,
}

/// Intents row: orders recorded in the table before they are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Every order whose effect is not settled.
    pub orders: Vec<Order>,
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The worker accepted it.
    Accepted,
    /// The worker refused it because it has seen this higher fence.
    Refused(Fence),
    /// It was certainly never sent.
    NeverSent,
    /// It is unknown whether it has taken effect or still will.
    Unknown,
}

/// Action for the runtime.
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
    /// Report that a load completed after this time, in milliseconds.
    LoadCompleted(u64),
}
