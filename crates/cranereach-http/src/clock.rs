//! The process's own clock; it never goes back and means nothing to others.
//!
//! Time for which the machine is suspended counts: a lease that ran out meanwhile isn't
//! held any more, and what was heard is as old as it is to others. The clock that timers
//! of the runtime go by stands still then, so that they fire late by that time: what is
//! done when one fires has to look at this clock.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Where a clock reads the time, in milliseconds.
type Source = fn() -> u64;

/// Milliseconds since the start of the process, as the kernel takes them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: Source,
    /// When it was started, by its source, in milliseconds.
    started_ms: u64,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Self::of(boot_ms)
    }

    /// Starts now by another source, for tests.
    pub fn of(source: Source) -> Self {
        Self {
            source,
            started_ms: source(),
        }
    }

    /// Returns now, in milliseconds since the start.
    ///
    /// ```
    /// assert!(cranereach_http::clock::Clock::start().now_ms() < 1_000);
    /// ```
    pub fn now_ms(&self) -> u64 {
        (self.source)().saturating_sub(self.started_ms)
    }

    /// Returns the instant of a time in milliseconds, as long as the machine isn't
    /// suspended; one that has passed is now.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        let left_ms = at_ms.saturating_sub(self.now_ms());
        tokio::time::Instant::now() + Duration::from_millis(left_ms)
    }
}

/// Returns the time since the machine's start, suspended or not, in milliseconds.
///
/// # Panics
///
/// If the system has no such clock, which Linux has had since 2.6.39.
pub fn boot_ms() -> u64 {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(read.expect("Linux has this clock")).as_millis() as u64
}

/// Returns a number that grows with each boot of an instance, in milliseconds.
pub fn boot_number_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
