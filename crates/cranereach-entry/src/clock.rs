//! The process's own clock; it never goes back and means nothing to others.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the start of the process, as the kernel takes them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns now, in milliseconds since the start.
    ///
    /// ```
    /// assert!(cranereach_entry::clock::Clock::start().now_ms() < 1_000);
    /// ```
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the instant of a time in milliseconds.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        (self.started + Duration::from_millis(at_ms)).into()
    }
}

/// Returns a number that grows with each boot of an instance, in milliseconds.
pub fn boot_number_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
