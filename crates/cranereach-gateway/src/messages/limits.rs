//! Questions for units of a client account's limit, and their answers.

use serde::Deserialize;
use serde::Serialize;

/// A request for units to the owner of a part of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitAsk {
    /// Number that the answer must carry.
    pub ticket: u64,
    /// Key of the account.
    pub account: u64,
    /// Index of the part.
    pub part: u32,
    /// Smallest useful grant, in units.
    pub least: f32,
    /// Largest grant wanted, in units.
    pub most: f32,
}

/// Answer of the owner of a part of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitGrant {
    /// Number of the question.
    pub ticket: u64,
    /// Granted units; `None` if the limit has no room.
    pub units: Option<f32>,
    /// Time until the limit has room, in milliseconds.
    pub wait_ms: u64,
}

/// Units of an account's limit that were granted but not used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReturn {
    /// Key of the account.
    pub account: u64,
    /// Index of the part.
    pub part: u32,
    /// Number of units.
    pub units: f32,
}
