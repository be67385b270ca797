//! Idempotency claims: a caller's repeat joins the first attempt.
//!
//! A claim is a row in the table, written before an unsafe call with a key is
//! sent. Whoever finds the row never sends the call again.

use serde::Deserialize;
use serde::Serialize;

use crate::codes::ResultCode;

/// Largest answer kept in a claim, in bytes.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// What became of the claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It has begun; nothing else is known.
    Open,
    /// It provably did not run, and may be tried again.
    NotRun,
    /// It ended with this answer.
    Answered(KeptAnswer),
    /// It ended with an answer too large to keep.
    AnsweredUnkept,
}

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there was none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// The row of one idempotency key of one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Random identity of the attempt that wrote the row.
    pub attempt_id: String,
    /// Hash of method, path and body, to tell a reused key.
    pub fingerprint: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// What to do about a call whose key has this row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Joining {
    /// Claim the key (again) and send the call.
    Send,
    /// The row is this very attempt's: its write was applied.
    Own,
    /// Give the kept answer.
    Replay(KeptAnswer),
    /// Tell the caller this code.
    Tell(ResultCode),
}

/// Decides about a call from the row found under its key.
///
/// ```
/// use cranereach_core::claim::{join, Joining};
///
/// assert_eq!(join(None, "a1", "f"), Joining::Send);
/// ```
pub fn join(found: Option<&Claim>, attempt_id: &str, fingerprint: &str) -> Joining {
    let Some(claim) = found else {
        return Joining::Send;
    };
    if claim.fingerprint != fingerprint {
        return Joining::Tell(ResultCode::IdempotencyMismatch);
    }
    match &claim.outcome {
        Outcome::NotRun => Joining::Send,
        Outcome::Open if claim.attempt_id == attempt_id => Joining::Own,
        Outcome::Open | Outcome::AnsweredUnkept => Joining::Tell(ResultCode::ClaimOpen),
        Outcome::Answered(answer) => Joining::Replay(answer.clone()),
    }
}
