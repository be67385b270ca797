//! How often instances probe a store that peers report as unreachable.
//!
//! The few instances of the lowest ranks retry soon and tell the others. All other instances
//! together make a bounded number of calls per second, whatever their number: at each check, each
//! of them probes with a certain probability, without a minimum pause. The store may refuse exactly
//! those few of the lowest ranks; one of the others then reaches it within a fraction of a second,
//! in a fleet of any size.

/// Calls per second that all other instances together make to an unreachable store.
const OTHERS_CALLS_PER_S: f64 = 12.0;

/// Minimum mean pause of one instance between two probes, in milliseconds; a small fleet makes
/// fewer calls.
const MEAN_PAUSE_MIN_MS: f64 = 1_500.0;

/// Returns whether an instance that leaves retries to others probes the store now.
///
/// `instance_count` is the number of such instances, `since_check_ms` the time since this instance's
/// last check in milliseconds, and `chance` a random number between zero and one, drawn for this
/// check.
///
/// ```
/// use cranereach_fleet::outage_pace::should_probe;
///
/// // In a fleet of any size, some 1.2 instances probe within 100 ms.
/// assert!(should_probe(1_000, 100, 0.001));
/// assert!(!should_probe(1_000, 100, 0.002));
/// assert!(!should_probe(10_000, 100, 0.001));
/// ```
pub fn should_probe(instance_count: usize, since_check_ms: u64, chance: f64) -> bool {
    let mean_pause_ms =
        (instance_count as f64 * 1_000.0 / OTHERS_CALLS_PER_S).max(MEAN_PAUSE_MIN_MS);
    chance < since_check_ms as f64 / mean_pause_ms
}
