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

/// The platform's list or the configuration has changed.
#[derive(Clone, Copy, Debug)]
pub struct ListChanged;

/// Time has passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Parts of a peer's digest.
#[derive(Clone, Debug)]
pub struct PeerDigestReceived {
    /// The peer.
    pub sender: InstanceId,
    /// What it says.
    pub parts: Vec<DigestPart>,
}

/// Asks for this actor's parts of the digest.
#[derive(Clone, Copy, Debug)]
pub struct CollectDigestParts;

/// Asks what operators see of control.
#[derive(Clone, Copy, Debug)]
pub struct GetCellViews;

/// What operators see of one cell.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CellView {
    /// The cell.
    pub cell: String,
    /// Holder in the table, as last read.
    pub holder: Option<String>,
    /// Whether this instance orders the cell.
    pub is_acting: bool,
    /// Loads and unloads ordered from here.
    pub moves_count: u64,
    /// Worst case of each worker's memory, in bytes.
    pub committed_bytes: Vec<(String, u64)>,
}

/// A read or write of a row, or a call to a worker, ended.
#[derive(Debug)]
pub(super) enum CallCompleted {
    LeaseRead(CellId, Result<Versioned<LeaseRow>, StoreError>),
    LeaseWritten(CellId, LeaseRow, Result<u64, StoreError>),
    IntentsRead(CellId, Result<Versioned<IntentRow>, StoreError>),
    IntentsWritten(CellId, Result<u64, StoreError>),
    Polled(CellId, WorkerId, EngineLoad),
    Ordered(CellId, WorkerId, Fence, OrderEnd),
}
