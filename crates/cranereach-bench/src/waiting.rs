//! Waiting for a state, with a generous deadline in place of a guessed pause.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::DeployError;

/// Waits until something holds.
pub async fn wait_until(
    what: &str,
    within_ms: u64,
    mut holds: impl FnMut() -> bool,
) -> Result<(), DeployError> {
    let until = Instant::now() + Duration::from_millis(within_ms);
    while !holds() {
        if Instant::now() >= until {
            return Err(DeployError::Waited {
                what: what.to_owned(),
            });
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
