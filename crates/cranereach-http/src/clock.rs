//! Monotonic clock of the process. Its values can't be compared with those of other processes.
//!
//! The clock includes time during which the machine is suspended: a lease that expired
//! meanwhile is no longer held, and information received before has aged as much as on
//! other machines. The clock behind the timers of the async runtime stops during suspension,
//! so that timers fire late by that time. Code that runs when a timer fires has to check
//! this clock.
//!
//! A clock starts at [`STARTED_AT_MS`] instead of zero. What a process learns from others may have
//! been true before its own start, and such moments have to be told from the start itself.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Function that a clock reads the time from, in milliseconds.
type TimeSource = fn() -> u64;

/// Time of every clock at its start, in milliseconds. Moments that are at most this long before the
/// start are representable, however long the machine has been up; it exceeds every age for which
/// information from others is used.
pub const STARTED_AT_MS: u64 = 3_600_000;

/// Clock that counts milliseconds, by default from `CLOCK_BOOTTIME`, and starts at
/// [`STARTED_AT_MS`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: TimeSource,
    /// Time of the source at which the clock was started, in milliseconds.
    started_ms: u64,
}

impl Clock {
    /// Starts a clock that reads `CLOCK_BOOTTIME`.
    pub fn start() -> Self {
        Self::of(boottime_ms)
    }

    /// Starts a clock that reads another source, for tests.
    pub fn of(source: TimeSource) -> Self {
        Self {
            source,
            started_ms: source(),
        }
    }

    /// Returns the current time, in milliseconds.
    ///
    /// ```
    /// use cranereach_http::clock::Clock;
    /// use cranereach_http::clock::STARTED_AT_MS;
    ///
    /// assert!(Clock::start().now_ms() >= STARTED_AT_MS);
    /// ```
    pub fn now_ms(&self) -> u64 {
        STARTED_AT_MS + self.up_for_ms()
    }

    /// Returns the time since the start of the clock, in milliseconds.
    ///
    /// ```
    /// assert!(cranereach_http::clock::Clock::start().up_for_ms() < 1_000);
    /// ```
    pub fn up_for_ms(&self) -> u64 {
        (self.source)().saturating_sub(self.started_ms)
    }

    /// Converts a time of this clock to an instant of the async runtime.
    ///
    /// A time in the past gives the present instant. The result is too late if the machine
    /// is suspended before it is reached.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        let remaining_ms = at_ms.saturating_sub(self.now_ms());
        tokio::time::Instant::now() + Duration::from_millis(remaining_ms)
    }
}

/// Returns the time since the machine booted, including suspension, in milliseconds.
///
/// # Panics
///
/// Panics if the system has no `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
pub fn boottime_ms() -> u64 {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(read.expect("CLOCK_BOOTTIME exists on Linux since 2.6.39")).as_millis() as u64
}

/// Returns the boot number for a starting instance: the wall-clock time in milliseconds.
///
/// It grows with each start of an instance, as long as the wall clock doesn't go back.
pub fn new_boot_number() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
