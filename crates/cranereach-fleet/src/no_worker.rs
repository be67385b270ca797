//! Why a request finds no worker.

/// Why no worker was chosen; the one that came closest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoWorker {
    /// The service has no worker that takes work.
    None,
    /// All that hold what is wanted leave.
    Leaving,
    /// All that take work stand in regions in which the request may not be served.
    NotAllowed,
    /// All that hold what is wanted could not be reached lately.
    Unreachable,
    /// No worker holds the model.
    NoModel,
    /// All that hold the model stand in failure domains that are being evacuated.
    Evacuated,
    /// All that hold the model and could be sent it are cold, and get no more for now.
    Cold,
    /// All that hold the model and could be sent it are cold or name a limit, and get no
    /// more for now.
    Limited,
    /// All that hold the model and could be sent it asked for rest.
    Resting,
    /// No worker holds the adapter.
    NoAdapter,
    /// Workers end under requests equal to it, and at each that holds what is wanted
    /// another such request runs.
    NotAlone,
}
