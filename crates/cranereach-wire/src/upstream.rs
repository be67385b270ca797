//! Messages of the interface of model engines: load reports and fenced orders.

use serde::Deserialize;
use serde::Serialize;

use cranereach_core::fence::Fence;
use cranereach_core::ledger::MemoryReport;
use cranereach_core::ledger::OrderKind;
use cranereach_core::names::TargetName;

/// Header with the id of a request, which its answer repeats.
pub const REQUEST_HEADER: &str = "x-cranereach-request";

/// Header by which an upstream states that it did not run a request, with the reason.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Value of [`NOT_RUN_HEADER`] when the model isn't resident.
pub const NOT_RUN_NOT_RESIDENT: &str = "not-resident";

/// Header with the priority of a request; lower values come first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Load report of an engine, which lags behind its actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// State of its memory.
    pub memory: MemoryReport,
    /// Number of requests that are running or queued.
    pub outstanding_count: u32,
    /// Maximum number of requests that are batched at once.
    pub slot_count: u32,
    /// Whether the engine is shutting down.
    pub is_leaving: bool,
}

/// Order to an engine to change what is in its memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Boot ID of the incarnation that the order is for; checked by engines that check fences.
    pub boot_id: u64,
    /// Fencing token of the order; checked by engines that check fences.
    pub fence: Fence,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Target to load or unload; empty for a seal order, which only raises the fence.
    pub target: TargetName,
    /// Memory that the target needs, in bytes.
    pub memory_bytes: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether the order was accepted.
    pub is_accepted: bool,
    /// Highest fencing token that the engine has accepted.
    pub highest: Fence,
}
