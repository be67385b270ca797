//! Questions whether a worker that gets only so many requests may be sent one, and their
//! answers.

use serde::Deserialize;
use serde::Serialize;

use cranereach_fleet::named_limit::LimitWord;

/// A request that is to be sent to a worker which gets only so many.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// Number of the question.
    pub ticket: u64,
    /// Key of the worker.
    pub worker: u64,
    /// Rank of the request, zero first.
    pub rank: u8,
    /// Whether the sender takes the worker for cold.
    pub is_cold: bool,
    /// What the sender knows of the worker's limit.
    pub limit: Option<LimitWord>,
}

/// What the owner of a worker's grants answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendGrant {
    /// Number of the question.
    pub ticket: u64,
    /// Key of the worker.
    pub worker: u64,
    /// Time until it is worth asking again, in milliseconds; none if the request may be
    /// sent, at once.
    pub wait_ms: Option<u32>,
    /// What the owner knows of the worker's limit.
    pub limit: Option<LimitWord>,
}
