//! What the list says of a worker.

use std::sync::Arc;

use crate::key::start_key;

/// A model on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name.
    pub name: Arc<str>,
    /// Adapters of it.
    pub adapters: Vec<Arc<str>>,
}

/// What the list says of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRecord {
    /// Identity.
    pub id: Arc<str>,
    /// When this start began, in milliseconds of Unix time; zero where the row doesn't
    /// say so. A worker may start again under its identity.
    pub started_unix_ms: u64,
    /// Its service.
    pub service: Arc<str>,
    /// Address, `ip:port`.
    pub address: String,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests at once.
    pub slot_count: u32,
    /// Time for which it was still cold when it wrote the row, in milliseconds.
    pub cold_for_ms: u64,
    /// Whether the row says that it takes no new work.
    pub is_leaving: bool,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Models with a copy in its host memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models with a copy on its disk.
    pub on_disk: Vec<Arc<str>>,
}

impl WorkerRecord {
    /// Returns the key of this start of the worker.
    pub fn start_key(&self) -> u64 {
        start_key(&self.id, self.started_unix_ms)
    }
}
