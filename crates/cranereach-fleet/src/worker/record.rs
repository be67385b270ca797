//! A worker's row in the list, parsed.

use std::sync::Arc;

use crate::key::incarnation_key;
use crate::software_version::SoftwareVersion;

/// A model that a worker holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub name: Arc<str>,
    /// Adapters of it that the worker holds.
    pub adapters: Vec<Arc<str>>,
}

/// A worker's row in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRecord {
    /// Identity of the worker.
    pub id: Arc<str>,
    /// When this incarnation started, in milliseconds of Unix time; zero if the row doesn't say so.
    /// A worker may restart under the same identity.
    pub started_unix_ms: u64,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Address, `ip:port`.
    pub address: String,
    /// Failure domain that the worker runs in.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Requests that the worker runs concurrently.
    pub slot_count: u32,
    /// Time for which the worker would still be cold when it wrote the row, in milliseconds.
    pub cold_for_ms: u64,
    /// Whether the row says that the worker takes no new work.
    pub is_leaving: bool,
    /// Models that the worker holds.
    pub models: Vec<HeldModel>,
    /// Models with a copy in its host memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models with a copy on its disk.
    pub on_disk: Vec<Arc<str>>,
}

impl WorkerRecord {
    /// Returns the key of this incarnation of the worker.
    pub fn incarnation_key(&self) -> u64 {
        incarnation_key(&self.id, self.started_unix_ms)
    }
}
