//! Passive health checks of one worker, from the outcomes of the calls sent to it: outlier
//! ejection and detection of unreachable workers.

/// Half-life of the counts of failed and successful calls, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Consecutive failures after which a worker is ejected.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;

/// Share of failed calls from which a worker is ejected.
const FAILED_SHARE_LIMIT: f64 = 0.25;

/// Minimum decayed number of failures before their share is considered.
const FAILED_MIN_COUNT: f64 = 2.5;

/// Duration of the first ejection, in milliseconds; it doubles with each further one.
const EJECTION_FIRST_MS: u64 = 600;

/// Time for which calls avoid a worker after a failure to reach it, in milliseconds.
const UNREACHABLE_FOR_MS: u64 = 2_500;

/// Time for which this instance's own failure to reach a worker is reported to peers, in
/// milliseconds.
const UNREACHABLE_REPORT_MS: u64 = 1_500;

/// Time between two attempts to reach an unreachable worker, in milliseconds: each delays a
/// request for as long as the connection attempt may take.
const RECONNECT_INTERVAL_MS: u64 = 800;

/// Time between two calls sent to an ejected worker to probe whether it has recovered, in
/// milliseconds; only calls that may be repeated elsewhere are used.
const EJECTION_PROBE_INTERVAL_MS: u64 = 200;

/// Consecutive successful calls that end an ejection early.
const RECOVERY_SUCCESS_COUNT: u32 = 3;

/// Maximum duration of an ejection, in milliseconds.
const EJECTION_MAX_MS: u64 = 5_000;

/// Health of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failed_count: f64,
    succeeded_count: f64,
    decayed_at_ms: u64,
    consecutive_failures: u32,
    consecutive_successes: u32,
    next_ejection_probe_ms: u64,
    ejection_count: u32,
    ejected_until_ms: u64,
    unreachable_until_ms: u64,
    next_reconnect_ms: u64,
    last_unreachable_ms: Option<u64>,
    was_lost: bool,
}

impl Health {
    /// Records a call that completed successfully.
    pub fn succeeded(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.succeeded_count += 1.0;
        self.consecutive_failures = 0;
        self.consecutive_successes += 1;
        if now_ms < self.ejected_until_ms && self.consecutive_successes >= RECOVERY_SUCCESS_COUNT {
            self.ejected_until_ms = now_ms;
        }
        if self.failed_count < 0.5 {
            self.ejection_count = 0;
        }
    }

    /// Records a call that failed after it was sent.
    pub fn failed(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed_count += 1.0;
        self.consecutive_failures += 1;
        self.consecutive_successes = 0;
        let share = self.failed_count / (self.failed_count + self.succeeded_count);
        let is_frequent = self.failed_count >= FAILED_MIN_COUNT && share >= FAILED_SHARE_LIMIT;
        if is_frequent || self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT {
            self.eject(now_ms);
        }
    }

    /// Records that no connection to the worker could be opened, without it being known whether
    /// others reach it: calls avoid it until the next attempt.
    pub fn not_connected(&mut self, now_ms: u64) {
        self.decay(now_ms);
        let until_ms = now_ms + RECONNECT_INTERVAL_MS;
        self.unreachable_until_ms = self.unreachable_until_ms.max(until_ms);
        self.next_reconnect_ms = until_ms;
    }

    /// Records that neither this instance nor a peer could reach the worker.
    pub fn unreachable(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed_count += 1.0;
        self.unreachable_until_ms = now_ms + UNREACHABLE_FOR_MS;
        self.next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS;
        self.last_unreachable_ms = Some(now_ms);
        self.was_lost = true;
    }

    /// Whether this instance and a peer that it asked recently failed to reach the worker; reports
    /// from peers don't count, so they aren't passed on.
    pub fn has_failed_to_connect(&self, now_ms: u64) -> bool {
        self.last_unreachable_ms
            .is_some_and(|at_ms| now_ms < at_ms + UNREACHABLE_REPORT_MS)
    }

    /// Records that peers could not reach the worker.
    pub fn note_reported_unreachable(&mut self, now_ms: u64) {
        if !self.is_unreachable(now_ms) {
            self.next_reconnect_ms = now_ms;
        }
        self.was_lost = true;
        self.unreachable_until_ms = now_ms + UNREACHABLE_FOR_MS;
    }

    /// Records that the worker was reached.
    pub fn reached(&mut self) {
        self.unreachable_until_ms = 0;
        self.last_unreachable_ms = None;
        self.was_lost = false;
    }

    /// Whether the worker was out of reach of several instances and has not been reached since, so
    /// that it may have restarted.
    pub fn was_lost(&self) -> bool {
        self.was_lost
    }

    /// Whether the worker recently could not be reached.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        now_ms < self.unreachable_until_ms
    }

    /// Whether a call may be sent to the worker, if only to try to reach it again.
    pub fn may_try(&self, now_ms: u64) -> bool {
        !self.is_unreachable(now_ms) || now_ms >= self.next_reconnect_ms
    }

    /// Records that a call is sent to the worker.
    pub fn tried(&mut self, now_ms: u64) {
        self.next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS;
    }

    /// Whether a repeatable call should be sent to an ejected worker as a probe; if so,
    /// schedules the next probe.
    pub fn may_probe_ejected(&mut self, now_ms: u64) -> bool {
        let may_probe = !self.is_unreachable(now_ms) && now_ms >= self.next_ejection_probe_ms;
        if may_probe {
            self.next_ejection_probe_ms = now_ms + EJECTION_PROBE_INTERVAL_MS;
        }
        may_probe
    }

    /// Whether the worker is ejected or unreachable, so that calls should go elsewhere.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms || self.is_unreachable(now_ms)
    }

    /// Returns the share of failed calls, smoothed with a prior of four successes.
    pub fn failed_share(&self) -> f64 {
        self.failed_count / (self.failed_count + self.succeeded_count + 4.0)
    }

    /// Ejects the worker, for longer each time.
    fn eject(&mut self, now_ms: u64) {
        if now_ms < self.ejected_until_ms {
            return;
        }
        let backoff_ms = EJECTION_FIRST_MS << self.ejection_count.min(4);
        self.ejected_until_ms = now_ms + backoff_ms.min(EJECTION_MAX_MS);
        self.next_ejection_probe_ms = now_ms + EJECTION_PROBE_INTERVAL_MS;
        self.consecutive_successes = 0;
        self.ejection_count += 1;
    }

    /// Decays the counts of failed and successful calls.
    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        let remaining_share = 0.5_f64.powf(passed_ms / HALF_LIFE_MS);
        self.failed_count *= remaining_share;
        self.succeeded_count *= remaining_share;
        self.decayed_at_ms = now_ms;
    }
}
