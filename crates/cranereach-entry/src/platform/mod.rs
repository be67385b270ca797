//! Adapters to the platform's interfaces, one thin module each.
//!
//! If an interface of the platform changes, only its module has to change.

pub mod list;
pub mod objects;
pub mod table;

use thiserror::Error;

use cranereach_http::client::CallError;

/// Time limit for an answer of the platform, in milliseconds.
pub const ANSWER_WITHIN_MS: u64 = 1_500;

/// Error of a call to a store of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store did not perform the operation.
    #[error("the store did not perform the operation: {detail}")]
    NotDone {
        /// Cause of the error.
        detail: String,
    },
    /// The store may have performed the operation: no valid answer was received.
    #[error("the store may have performed the operation: {detail}")]
    Unknown {
        /// Cause of the error.
        detail: String,
    },
    /// The row's version differed from the expected one, so nothing was written.
    #[error("the row's version has changed")]
    Conflict,
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        let detail = error.to_string();
        match error {
            CallError::NotSent { .. } | CallError::NotPermitted { .. } => Self::NotDone { detail },
            CallError::Unanswered { .. } | CallError::Garbled { .. } => Self::Unknown { detail },
        }
    }
}

/// Returns the error for an answer whose status shows that the store did not perform
/// the operation.
fn unexpected_status(status: u16) -> StoreError {
    StoreError::NotDone {
        detail: format!("HTTP status {status}"),
    }
}
