//! Records of what callers, workers and the driver of a run observed.
//!
//! All times are in milliseconds since callers began, by the clock of the soak process.

use serde::Serialize;

/// Kind of a request, which determines its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// Must run at most once.
    Once,
    /// May be repeated.
    Again,
    /// May be repeated; its route is moved between services.
    Moved,
    /// A stream; must run at most once.
    Stream,
    /// A stream that may be resumed, also by its caller.
    Resumable,
}

impl Kind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Again | Self::Moved | Self::Resumable)
    }

    /// Returns whether it is answered by a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns the name of the route, which is also its path.
    pub fn route(self) -> &'static str {
        match self {
            Self::Once => "once",
            Self::Again => "again",
            Self::Moved => "moved",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }
}

/// How a request ended from its caller's point of view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// The caller got an answer.
    Answered(Answer),
    /// The connection closed without an answer.
    Closed,
    /// The caller gave up some time after its deadline.
    GaveUp,
}

/// An answer as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether it was complete by the rules of HTTP.
    pub is_whole: bool,
    /// ID of the request that it answers, as it states.
    pub request: String,
    /// Signature of the worker that answered.
    pub signature: Option<String>,
    /// Body, as far as it was received.
    pub body: String,
}

/// What a caller states when it takes up a stream that broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TakeUp {
    /// ID of the request that brought the first event of the stream.
    pub first_id: String,
    /// Number of the last event that the caller has.
    pub last_event: usize,
    /// Number of workers that could go on with the stream at the start and at the end of the
    /// request, whichever was smaller: they serve its model with the version that began it.
    pub serving_count: usize,
}

/// A request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    /// ID of the request.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Index of the key.
    pub key: usize,
    /// Number of the gateway that it was sent to.
    pub gateway: usize,
    /// Time of sending.
    pub sent_ms: u64,
    /// Time at which it ended for the caller.
    pub ended_ms: u64,
    /// How it ended.
    pub end: End,
    /// Set if it takes up a stream that broke off.
    pub take_up: Option<TakeUp>,
    /// Whether the caller itself closed the connection before the end of the answer.
    pub is_left: bool,
}

/// A request as a worker received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Arrival {
    /// ID of the request.
    pub id: String,
    /// Number of the worker slot.
    pub worker: usize,
    /// ID of the worker, new with each start.
    pub worker_id: String,
    /// Service of the worker.
    pub service: String,
    /// Index of the failure domain.
    pub domain: usize,
    /// Client account that the gateway stated to the worker.
    pub account: Option<String>,
    /// Time of arrival.
    pub at_ms: u64,
    /// Whether the worker ran it.
    pub is_run: bool,
    /// Rest that the worker asked for, by `Retry-After`, when it shed the request.
    pub rest_ms: Option<u64>,
    /// Version of the worker's software, if it has one.
    pub software_version: Option<String>,
    /// Whether only the end of the connection marked the end of the body.
    pub is_end_unmarked: bool,
    /// Whether the worker cut the body in a way that can't be told from its end.
    pub is_cut_hidden: bool,
    /// Time at which the worker ended, if it has.
    pub worker_ended_ms: Option<u64>,
}

/// Component that a disturbance affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Component {
    /// A gateway or its link to the store.
    Gateway(usize),
    /// The store.
    Store,
    /// A worker slot or its links.
    Worker(usize),
    /// The path from a gateway to a worker slot.
    Path {
        /// Number of the gateway.
        gateway: usize,
        /// Number of the worker slot.
        worker: usize,
    },
    /// Some path to a worker slot, which kept what was sent over it and may deliver it late.
    HeldPath {
        /// Number of the worker slot.
        worker: usize,
    },
}

/// A period in which a component was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Disturbance {
    /// Affected component.
    pub whom: Component,
    /// Whether it was a planned stop, including the restart after it.
    pub is_planned: bool,
    /// Start.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
}

/// An event caused by the operator, a worker or a signal. Changes in the store are timed from the
/// store's acknowledgement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// A gateway was sent SIGTERM.
    StopAsked {
        /// Number of the gateway.
        gateway: usize,
        /// Time.
        at_ms: u64,
    },
    /// A worker announced that it leaves.
    Leaves {
        /// ID of the worker.
        worker_id: String,
        /// Time.
        at_ms: u64,
    },
    /// A gateway was frozen, or ended and restarted.
    Stood {
        /// Number of the gateway.
        gateway: usize,
        /// Start.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// A worker started cold.
    Cold {
        /// ID of the worker.
        worker_id: String,
        /// Time.
        at_ms: u64,
    },
    /// A worker announced a rate limit for a time.
    Limited {
        /// ID of the worker.
        worker_id: String,
        /// Number of the worker slot.
        place: usize,
        /// Announced limit, in requests per second.
        rate_per_s: f64,
        /// Time at which the limit began.
        from_ms: u64,
        /// Time at which the limit ended.
        to_ms: u64,
    },
    /// The link to a worker was cut for a time.
    LinkCut {
        /// Number of the worker slot.
        worker: usize,
        /// Start.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// A gateway was cut off from all workers for a time.
    Isolated {
        /// Number of the gateway.
        gateway: usize,
        /// Start.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// A key was revoked.
    Revoked {
        /// Index of the key.
        key: usize,
        /// Time.
        at_ms: u64,
    },
    /// The `moved` route was pointed at a service.
    Moved {
        /// Service.
        service: String,
        /// Time.
        at_ms: u64,
    },
    /// The evacuation of a failure domain was requested, and cancelled later.
    Evacuated {
        /// Index of the failure domain.
        domain: usize,
        /// Time of the request.
        from_ms: u64,
        /// Time of the cancellation.
        to_ms: u64,
    },
    /// Most new connections of some callers went to one gateway for a time.
    Concentrated {
        /// Start.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// A gateway exited although nothing had stopped it.
    EndedByItself {
        /// Number of the gateway.
        gateway: usize,
        /// Time.
        at_ms: u64,
    },
    /// Memory and open file descriptors of a gateway.
    Held {
        /// Number of the gateway.
        gateway: usize,
        /// Resident memory, in bytes.
        memory_bytes: u64,
        /// Number of open file descriptors.
        descriptor_count: u64,
    },
}

/// All records of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Records {
    /// Requests as callers saw them.
    pub asked: Vec<RequestRecord>,
    /// Requests as workers received them.
    pub arrivals: Vec<Arrival>,
    /// Disturbances.
    pub troubles: Vec<Disturbance>,
    /// Other events.
    pub events: Vec<Event>,
    /// Time at which the run ended.
    pub end_ms: u64,
}
