//! Workers of a service as the plan of loads and unloads sees them.

/// A model on a worker, in any state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelReplica {
    /// Index of the model in the declared list.
    pub model: u16,
    /// Its adapters on the worker, numbered from one.
    pub adapters: Vec<u16>,
    /// Whether it is being unloaded.
    pub is_unloading: bool,
    /// Whether it is still being loaded.
    pub is_loading: bool,
}

impl ModelReplica {
    /// Whether the model is served there.
    pub fn is_ready(&self) -> bool {
        !self.is_unloading && !self.is_loading
    }
}

/// Planning view of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerView {
    /// Models on the worker, including those being loaded or unloaded.
    pub replicas: Vec<ModelReplica>,
    /// Whether an order may be sent to the worker now.
    pub is_free: bool,
    /// Whether the worker takes requests, that is, is neither leaving nor failing.
    pub is_serving: bool,
    /// Whether its failure domain is being evacuated: its models stay loaded but get no requests,
    /// so the demand needs replicas elsewhere.
    pub is_evacuated: bool,
    /// Models of which the worker has a copy in memory or on disk, so that it loads them quickly.
    pub copies: Vec<u16>,
}

impl WorkerView {
    /// Whether demand may be assigned to the worker.
    pub fn carries_demand(&self) -> bool {
        self.is_serving && !self.is_evacuated
    }
}
