//! Whether a call is offered to the worker that would begin it first.
//!
//! A call that begins too late is worth little and takes a slot from one that
//! would be in time, so some are refused and told when to come back. All instances
//! see the same full worker, some moments late: with a sharp limit they would all
//! refuse at once, and then all admit. So the chance to be admitted falls as the
//! wait grows, and settles where as many are admitted as the workers have time for.

/// Share of the time that a call can wait up to which it is always admitted.
const ALWAYS_TO_SHARE: f64 = 0.5;

/// Share of the time that a call can wait from which it is never admitted.
///
/// Both are from trials on days of high load at sixteen slots a worker; they lie
/// about the time that is left, since more requests wait than are known of.
const NEVER_FROM_SHARE: f64 = 1.1;

/// Least time that a call is taken to be able to wait, as a share of its aim:
/// reading a long prompt may take up all of it.
const PATIENCE_LEAST_SHARE: f64 = 0.3;

/// Returns the chance at which a call is admitted that is to begin within `aim_ms`,
/// and would begin after waiting for `queued_ms` and being read for `reading_ms`.
///
/// ```
/// use cranereach_fleet::admission::chance;
///
/// assert_eq!(chance(400.0, 0.0, 50.0), 1.0);
/// assert!(chance(400.0, 300.0, 50.0) < 0.5);
/// assert_eq!(chance(400.0, 900.0, 50.0), 0.0);
/// // A long prompt on an idle worker isn't refused: it gets no better elsewhere.
/// assert_eq!(chance(400.0, 0.0, 900.0), 1.0);
/// ```
pub fn chance(aim_ms: f64, queued_ms: f64, reading_ms: f64) -> f64 {
    let patience_ms = (aim_ms - reading_ms).max(aim_ms * PATIENCE_LEAST_SHARE);
    if patience_ms <= 0.0 {
        return 1.0;
    }
    let share = queued_ms / patience_ms;
    ((NEVER_FROM_SHARE - share) / (NEVER_FROM_SHARE - ALWAYS_TO_SHARE)).clamp(0.0, 1.0)
}
