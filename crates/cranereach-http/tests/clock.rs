//! The clock keeps counting while the machine is suspended.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cranereach_http::clock::Clock;
use cranereach_http::clock::STARTED_AT_MS;
use cranereach_http::clock::boottime_ms;

/// Simulated suspension of the machine, in milliseconds, during which timers stood still.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the time since boot with the simulated suspension added.
fn simulated_boottime_ms() -> u64 {
    boottime_ms() + SUSPENDED_MS.load(Ordering::Acquire)
}

/// Guards against moments before the start that can't be told from the start, on a machine that has
/// just booted, too.
#[test]
fn moments_before_the_start_are_earlier_than_it() {
    let clock = Clock::of(|| 0);
    let told_age_ms = 10_000;
    assert_eq!(clock.up_for_ms(), 0);
    assert_eq!(
        clock.now_ms().checked_sub(told_age_ms),
        Some(STARTED_AT_MS - told_age_ms)
    );
}

#[test]
fn deadlines_that_pass_during_suspension_are_due_at_once() {
    let clock = Clock::of(simulated_boottime_ms);
    let due_ms = clock.now_ms() + 30_000;
    let before = clock.instant(due_ms);
    assert!(before > tokio::time::Instant::now() + Duration::from_secs(20));
    SUSPENDED_MS.store(60_000, Ordering::Release);
    assert!(clock.now_ms() > due_ms);
    assert!(clock.instant(due_ms) <= tokio::time::Instant::now());
}
