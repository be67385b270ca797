//! Demand that an instance reports to lease holders.

use serde::Deserialize;
use serde::Serialize;

use super::packed_parts;
use cranereach_fleet::demand::ModelKey;

/// Demand seen by the sender for one model or adapter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandPart {
    /// Key of the service.
    pub service: u64,
    /// Model and adapter.
    pub model: ModelKey,
    /// Worker time requested, in milliseconds per second.
    pub work_ms_per_s: f32,
}

/// Demand seen by the sender.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandMessage {
    /// Random ID of the sender's process start.
    pub boot: u64,
    /// Sequence number of the message within that start.
    pub count: u64,
    /// Adapters that the sender's requests wait for because no worker is known to hold them:
    /// service, model and adapter.
    pub waits_for: Vec<(u64, ModelKey)>,
    /// Models that the sender's requests lack: service, model.
    pub lacks: Vec<(u64, u16)>,
    /// Demand by model and adapter, compressed since each part repeats its service.
    #[serde(with = "packed_parts")]
    pub parts: Vec<DemandPart>,
}
