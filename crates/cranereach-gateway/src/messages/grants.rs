//! Questions whether one request may be sent to a cold or rate-limited worker, and their
//! answers.

use serde::Deserialize;
use serde::Serialize;

use cranereach_fleet::brittle::BrittleAsk;
use cranereach_fleet::named_limit::LimitReport;

/// A question whether one request may be sent to a cold or rate-limited worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// Number that the answer must carry.
    pub ticket: u64,
    /// Key of the worker.
    pub worker: u64,
    /// Priority rank of the request; zero is the most urgent.
    pub rank: u8,
    /// Whether the sender considers the worker cold.
    pub is_cold: bool,
    /// The worker's rate limit, as the sender knows it.
    pub limit: Option<LimitReport>,
    /// Set if the worker is brittle; the question then goes to the owner that knows the requests
    /// open at the worker. Follows the datagram, where earlier releases ignore it.
    #[serde(skip)]
    pub brittle: Option<BrittleAsk>,
}

/// Answer of the owner of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendGrant {
    /// Number of the question.
    pub ticket: u64,
    /// Key of the worker.
    pub worker: u64,
    /// Time after which to ask again, in milliseconds; `None` if the request may be sent at
    /// once.
    pub wait_ms: Option<u32>,
    /// The worker's rate limit, as the owner knows it.
    pub limit: Option<LimitReport>,
}

/// End of a request that was granted for a brittle worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleEnd {
    /// Key of the worker.
    pub worker: u64,
    /// Number that the sender gave the request.
    pub request: u64,
    /// Whether the worker turned it away for want of room.
    pub was_rejected: bool,
}
