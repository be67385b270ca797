//! Adapters of the platform's interfaces, one thin module each.
//!
//! An interface given later is met by changing its module only.

pub mod list;
pub mod objects;
pub mod table;

use thiserror::Error;

use cranereach_http::client::CallError;

/// Time for a platform's answer, in milliseconds.
pub const ANSWER_WITHIN_MS: u64 = 1_500;

/// How a store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// It did not act.
    #[error("the store did not act: {detail}")]
    NotDone {
        /// What was seen.
        detail: String,
    },
    /// It may have acted: the answer was lost.
    #[error("the store may have acted: {detail}")]
    Unknown {
        /// What was seen.
        detail: String,
    },
    /// A condition of the transaction did not hold.
    #[error("the row has changed")]
    Conflict,
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        let detail = error.to_string();
        match error {
            CallError::NotSent { .. } => Self::NotDone { detail },
            CallError::Unanswered { .. } | CallError::Garbled { .. } => Self::Unknown { detail },
        }
    }
}

/// Error of an answer whose status says that the store did not act.
fn unexpected_status(status: u16) -> StoreError {
    StoreError::NotDone {
        detail: format!("status {status}"),
    }
}
