//! Idempotency claims, which map a caller's repeated call to its first attempt.
//!
//! A claim is a row in the table, written before a call that is unsafe to repeat
//! and has an idempotency key is sent. While the row exists, the call is not sent
//! again unless the row says that it did not run.

use serde::Deserialize;
use serde::Serialize;

use crate::codes::ResultCode;

/// Largest answer kept in a claim, in bytes.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// Outcome of the claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call has begun and its outcome is not known.
    Open,
    /// The call provably did not run and may be sent again.
    NotRun,
    /// The call ended with this answer.
    Answered(KeptAnswer),
    /// The call ended with an answer too large to keep.
    AnsweredUnkept,
}

/// An answer that is kept to be replayed to repeated calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there was none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// The table's row for one idempotency key of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Random ID of the attempt that wrote the row.
    pub attempt_id: String,
    /// Hash of method, path and body, to detect a key that is reused for a different call.
    pub fingerprint: String,
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Decision about a call, based on the row of its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claim the key, again if it has a row, and send the call.
    Send,
    /// The row was written by this attempt, so its write was applied.
    Own,
    /// Return the kept answer to the caller.
    Replay(KeptAnswer),
    /// Refuse the call with this code.
    Refuse(ResultCode),
}

/// Decides about a call from the row found for its idempotency key.
///
/// ```
/// use cranereach_core::claim::{decide, ClaimDecision};
///
/// assert_eq!(decide(None, "a1", "f"), ClaimDecision::Send);
/// ```
pub fn decide(found: Option<&Claim>, attempt_id: &str, fingerprint: &str) -> ClaimDecision {
    let Some(claim) = found else {
        return ClaimDecision::Send;
    };
    if claim.fingerprint != fingerprint {
        return ClaimDecision::Refuse(ResultCode::IdempotencyMismatch);
    }
    match &claim.outcome {
        Outcome::NotRun => ClaimDecision::Send,
        Outcome::Open if claim.attempt_id == attempt_id => ClaimDecision::Own,
        Outcome::Open | Outcome::AnsweredUnkept => ClaimDecision::Refuse(ResultCode::ClaimOpen),
        Outcome::Answered(answer) => ClaimDecision::Replay(answer.clone()),
    }
}
