//! What callers, workers and the driver of a run wrote down.
//!
//! All times are in milliseconds since callers began, by the clock of the soak.

use serde::Serialize;

/// Kind of a request, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// May run once at the most.
    Once,
    /// May be repeated.
    Again,
    /// May be repeated; its route changes services.
    Moved,
    /// A stream; runs once at the most.
    Stream,
}

impl Kind {
    /// Tells whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Again | Self::Moved)
    }

    /// Returns the route's name, which is also its path.
    pub fn route(self) -> &'static str {
        match self {
            Self::Once => "once",
            Self::Again => "again",
            Self::Moved => "moved",
            Self::Stream => "stream",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// With an answer.
    Answered(Answer),
    /// The connection ended without one.
    Closed,
    /// The caller left, some time after its deadline.
    GaveUp,
}

/// An answer as a caller got it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether it ended as the protocol says.
    pub is_whole: bool,
    /// Identity of the request that it belongs to.
    pub request: String,
    /// Signature of a worker.
    pub signature: Option<String>,
    /// Body as far as it came.
    pub body: String,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    /// Its identity.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Key, by number.
    pub key: usize,
    /// The gateway that took it.
    pub gateway: usize,
    /// When it was sent.
    pub sent_ms: u64,
    /// When the caller was through with it.
    pub ended_ms: u64,
    /// How.
    pub end: End,
}

/// A request as it arrived at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Arrival {
    /// Identity of the request.
    pub id: String,
    /// The worker's place.
    pub worker: usize,
    /// The worker's own identity, another one with each start.
    pub worker_id: String,
    /// Service that it serves.
    pub service: String,
    /// Failure domain, by number.
    pub domain: usize,
    /// Client account that the worker was told.
    pub account: Option<String>,
    /// When.
    pub at_ms: u64,
    /// Whether it was run.
    pub is_run: bool,
    /// Rest that the worker asked for as it turned it away.
    pub rest_ms: Option<u64>,
}

/// Whom trouble struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Component {
    /// A gateway or its link to the store.
    Gateway(usize),
    /// The store.
    Store,
    /// A worker's place or its links.
    Worker(usize),
}

/// A span of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Disturbance {
    /// Whom.
    pub whom: Component,
    /// Whether it was a planned stop, or the start that follows one.
    pub is_planned: bool,
    /// Its beginning.
    pub from_ms: u64,
    /// Its end.
    pub to_ms: u64,
}

/// What the operator, workers or signals asked for, and when that was acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// A gateway got SIGTERM.
    StopAsked {
        /// Who.
        gateway: usize,
        /// When.
        at_ms: u64,
    },
    /// A worker said that it leaves.
    Leaves {
        /// Its identity.
        worker_id: String,
        /// When.
        at_ms: u64,
    },
    /// A gateway stood still, or was ended and started again.
    Stood {
        /// Who.
        gateway: usize,
        /// From when.
        from_ms: u64,
        /// Until when.
        to_ms: u64,
    },
    /// A worker started cold.
    Cold {
        /// Its identity.
        worker_id: String,
        /// When.
        at_ms: u64,
    },
    /// A worker named a limit for a while.
    Limited {
        /// Its identity.
        worker_id: String,
        /// Its place.
        place: usize,
        /// Requests a second.
        rate_per_s: f64,
        /// When it began to.
        from_ms: u64,
        /// When it ended.
        to_ms: u64,
    },
    /// A key was taken away.
    Revoked {
        /// Which.
        key: usize,
        /// When.
        at_ms: u64,
    },
    /// The route that moves leads to a service.
    Moved {
        /// Which.
        service: String,
        /// When.
        at_ms: u64,
    },
    /// An evacuation was asked for.
    Evacuated {
        /// Failure domain.
        domain: usize,
        /// When.
        from_ms: u64,
        /// When it was taken back.
        to_ms: u64,
    },
    /// A gateway ended though nobody ended it.
    EndedByItself {
        /// Who.
        gateway: usize,
        /// When.
        at_ms: u64,
    },
    /// Memory and open descriptors of a gateway.
    Held {
        /// Who.
        gateway: usize,
        /// Resident memory.
        memory_bytes: u64,
        /// Descriptors.
        descriptor_count: u64,
    },
}

/// Everything that was written down.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Records {
    /// Requests of callers.
    pub asked: Vec<RequestRecord>,
    /// Requests at workers.
    pub arrivals: Vec<Arrival>,
    /// Trouble.
    pub troubles: Vec<Disturbance>,
    /// What else happened.
    pub events: Vec<Event>,
    /// End of the run.
    pub end_ms: u64,
}
