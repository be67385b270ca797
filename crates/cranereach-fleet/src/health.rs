//! Passive health of one worker, from the ends of the calls sent to it.

/// Time after which half of what was seen is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Failures in a row that put a worker aside.
const CONSECUTIVE_FAILURE_LIMIT: u32 = 3;

/// Share of failed calls that puts a worker aside.
const FAILED_SHARE_LIMIT: f64 = 0.25;

/// Failures seen at least before their share counts.
const FAILED_MIN_COUNT: f64 = 2.5;

/// First time that a worker is put aside for, in milliseconds.
const EJECTION_FIRST_MS: u64 = 600;

/// Time that a worker is put aside for that could not be reached, in milliseconds.
const UNREACHABLE_FOR_MS: u64 = 2_500;

/// Time for which an own failure to reach a worker is told to peers, in
/// milliseconds.
const UNREACHABLE_REPORT_MS: u64 = 1_500;

/// Time between two tries to reach a worker that could not be reached, in
/// milliseconds: each one holds a request up for as long as connecting may take.
const RECONNECT_INTERVAL_MS: u64 = 800;

/// Time between two calls that a worker gets while it is put aside, in milliseconds:
/// calls that may be repeated elsewhere, to see whether it is sound again.
const EJECTION_PROBE_INTERVAL_MS: u64 = 200;

/// Whole answers in a row that bring a worker back which was put aside.
const RECOVERY_SUCCESS_COUNT: u32 = 3;

/// Longest time that a worker is put aside for, in milliseconds.
const EJECTION_MAX_MS: u64 = 5_000;

/// What is believed of a worker's health.
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
}

impl Health {
    /// Notes a call that came back as it should.
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

    /// Notes a call that failed after it was sent.
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

    /// Notes that the worker could not be reached.
    pub fn unreachable(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed_count += 1.0;
        self.unreachable_until_ms = now_ms + UNREACHABLE_FOR_MS;
        self.next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS;
        self.last_unreachable_ms = Some(now_ms);
    }

    /// Whether an own call could not reach the worker lately; what only others say
    /// isn't passed on.
    pub fn has_missed(&self, now_ms: u64) -> bool {
        self.last_unreachable_ms
            .is_some_and(|at_ms| now_ms < at_ms + UNREACHABLE_REPORT_MS)
    }

    /// Notes that others could not reach the worker.
    pub fn told_unreachable(&mut self, now_ms: u64) {
        if !self.is_unreachable(now_ms) {
            self.next_reconnect_ms = now_ms;
        }
        self.unreachable_until_ms = now_ms + UNREACHABLE_FOR_MS;
    }

    /// Notes that the worker was reached.
    pub fn reached(&mut self) {
        self.unreachable_until_ms = 0;
        self.last_unreachable_ms = None;
    }

    /// Whether the worker could not be reached lately.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        now_ms < self.unreachable_until_ms
    }

    /// Whether a call may be sent to the worker, be it to see whether it is back.
    pub fn may_try(&self, now_ms: u64) -> bool {
        !self.is_unreachable(now_ms) || now_ms >= self.next_reconnect_ms
    }

    /// Notes that a call is sent to the worker.
    pub fn tried(&mut self, now_ms: u64) {
        self.next_reconnect_ms = now_ms + RECONNECT_INTERVAL_MS;
    }

    /// Whether a call that may be repeated is to be sent to a worker that is put aside;
    /// notes that it is.
    pub fn may_probe_aside(&mut self, now_ms: u64) -> bool {
        let may_probe = !self.is_unreachable(now_ms) && now_ms >= self.next_ejection_probe_ms;
        if may_probe {
            self.next_ejection_probe_ms = now_ms + EJECTION_PROBE_INTERVAL_MS;
        }
        may_probe
    }

    /// Whether calls should go elsewhere for now.
    pub fn is_aside(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms || self.is_unreachable(now_ms)
    }

    /// Returns the share of failed calls, with a prior of few good ones.
    pub fn failed_share(&self) -> f64 {
        self.failed_count / (self.failed_count + self.succeeded_count + 4.0)
    }

    /// Puts the worker aside, each time for longer.
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

    /// Forgets what is old.
    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        let remaining_share = 0.5_f64.powf(passed_ms / HALF_LIFE_MS);
        self.failed_count *= remaining_share;
        self.succeeded_count *= remaining_share;
        self.decayed_at_ms = now_ms;
    }
}
