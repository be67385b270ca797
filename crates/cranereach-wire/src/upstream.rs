//! Messages to model engines: load reports and fenced orders.

use serde::Deserialize;
use serde::Serialize;

use cranereach_core::fence::Fence;
use cranereach_core::ledger::MemoryReport;
use cranereach_core::ledger::OrderKind;
use cranereach_core::names::TargetName;

/// Header by which a request and its answer are bound together.
pub const REQUEST_HEADER: &str = "x-cranereach-request";

/// Header by which an upstream says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Value of [`NOT_RUN_HEADER`] when the model isn't resident.
pub const NOT_RUN_NOT_RESIDENT: &str = "not-resident";

/// Header that carries the priority of a request, lowest first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// An engine's report of itself; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Its memory.
    pub memory: MemoryReport,
    /// Requests that it runs or queues.
    pub outstanding_count: u32,
    /// Requests that it batches at once.
    pub slot_count: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Boot that the order is meant for; checked by engines that check fences.
    pub boot_id: u64,
    /// Place among all orders; checked by engines that do.
    pub fence: Fence,
    /// What to do.
    pub kind: OrderKind,
    /// Target to load or unload; empty for a seal.
    pub target: TargetName,
    /// Memory that the target takes, in bytes.
    pub memory_bytes: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether the order was accepted.
    pub is_accepted: bool,
    /// Highest fence that the engine has accepted.
    pub highest: Fence,
}
