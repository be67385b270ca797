//! Messages of the control actor.

use crate::platform::StoreError;
use crate::platform::table::Versioned;
use cranereach_core::cell::CellId;
use cranereach_core::control::IntentRow;
use cranereach_core::control::OrderEnd;
use cranereach_core::fence::Fence;
use cranereach_core::lease::LeaseRow;
use cranereach_core::names::InstanceId;
use cranereach_core::names::WorkerId;
use cranereach_wire::peer::DigestPart;
use cranereach_wire::upstream::EngineLoad;

/// Signals that the instance list was read or the configuration may have changed.
#[derive(Clone, Copy, Debug)]
pub struct ListChanged;

/// Triggers the periodic work on all cells.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Delivers the parts of a peer's digest.
#[derive(Clone, Debug)]
pub struct PeerDigestReceived {
    /// Peer that sent the digest.
    pub sender: InstanceId,
    /// Parts of the digest.
    pub parts: Vec<DigestPart>,
}

/// Requests the parts that this actor contributes to the instance's digest.
#[derive(Clone, Copy, Debug)]
pub struct CollectDigestParts;

/// Requests the state of all cells for the status page.
#[derive(Clone, Copy, Debug)]
pub struct GetCellViews;

/// State of one cell on the status page.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CellView {
    /// Id of the cell.
    pub cell: String,
    /// Lease holder, as last read from the table.
    pub holder: Option<String>,
    /// Whether this instance holds the lease and sends orders.
    pub is_acting: bool,
    /// Loads and unloads ordered by this instance.
    pub moves_count: u64,
    /// Upper bound of each worker's memory use, in bytes.
    pub committed_bytes: Vec<(String, u64)>,
}

/// Result of a row read or write, or of a call to a worker.
#[derive(Debug)]
pub(super) enum CallEnd {
    LeaseRead(CellId, Result<Versioned<LeaseRow>, StoreError>),
    LeaseWritten(CellId, LeaseRow, Result<u64, StoreError>),
    IntentsRead(CellId, Result<Versioned<IntentRow>, StoreError>),
    IntentsWritten(CellId, Result<u64, StoreError>),
    Polled(CellId, WorkerId, EngineLoad),
    Ordered(CellId, WorkerId, Fence, OrderEnd),
}
