//! Polling for a condition up to a deadline, instead of sleeping for a fixed time.

use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

/// A condition did not become true in time.
#[derive(Debug, Error)]
#[error("timed out waiting for {what}")]
pub struct TimedOut {
    /// The condition.
    pub what: String,
}

/// Polls a condition until it is true or the timeout has passed.
///
/// `what` describes the condition in the timeout error.
pub async fn wait_until(
    what: &str,
    timeout_ms: u64,
    mut condition: impl FnMut() -> bool,
) -> Result<(), TimedOut> {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    while !condition() {
        if Instant::now() >= deadline {
            return Err(TimedOut {
                what: what.to_owned(),
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
