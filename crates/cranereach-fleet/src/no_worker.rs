//! Reasons why no worker can be chosen for a request.

/// Reason why no worker was chosen. If workers were ruled out for several reasons, the highest one
/// counts: that of the worker that came closest to being chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoWorker {
    /// The service has no worker that takes work.
    None,
    /// All workers that hold what is wanted are leaving.
    Leaving,
    /// All workers that take work are in regions in which the request may not be served.
    NotAllowed,
    /// All workers that hold what is wanted were recently unreachable.
    Unreachable,
    /// No worker holds the model.
    NoModel,
    /// The software of the workers that could be sent the request has another version than the one
    /// that began the stream.
    OtherVersion,
    /// All workers that hold the model are in failure domains that are being evacuated.
    Evacuated,
    /// All workers that hold the model and could be sent the request are cold, and get no more for
    /// now.
    Cold,
    /// All workers that hold the model and could be sent the request are cold or name a limit, and
    /// get no more for now.
    Limited,
    /// All workers that hold the model and could be sent the request asked to be sent nothing for a
    /// while.
    Resting,
    /// No worker holds the adapter.
    NoAdapter,
    /// Workers have ended while running requests equal to this one, and another such request is
    /// running at each worker that holds what is wanted.
    NotAlone,
}
