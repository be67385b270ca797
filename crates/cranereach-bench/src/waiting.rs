//! Polling for a condition up to a deadline, instead of sleeping for a fixed time.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::DeployError;

/// Polls a condition until it is true or the timeout has passed.
///
/// `what` describes the condition in the timeout error.
pub async fn wait_until(
    what: &str,
    timeout_ms: u64,
    mut condition: impl FnMut() -> bool,
) -> Result<(), DeployError> {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    while !condition() {
        if Instant::now() >= deadline {
            return Err(DeployError::Timeout {
                what: what.to_owned(),
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
