//! Passive health of one worker, from the ends of the calls sent to it.

/// Time after which half of what was seen is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Failures in a row that put a worker aside.
const FAILURES_IN_A_ROW: u32 = 3;

/// Share of failed calls that puts a worker aside.
const FAILED_SHARE: f64 = 0.25;

/// Failures seen at least before their share counts.
const FAILED_LEAST: f64 = 2.5;

/// First time that a worker is put aside for, in milliseconds.
const ASIDE_FIRST_MS: u64 = 600;

/// Time that a worker is put aside for that could not be reached, in milliseconds.
const UNREACHABLE_FOR_MS: u64 = 2_500;

/// Time for which an own failure to reach a worker is told to peers, in
/// milliseconds.
const MISSED_FOR_MS: u64 = 1_500;

/// Time between two tries to reach a worker that could not be reached, in
/// milliseconds: each one holds a request up for as long as connecting may take.
const PROBE_EVERY_MS: u64 = 800;

/// Time between two calls that a worker gets while it is put aside, in milliseconds:
/// calls that may be repeated elsewhere, to see whether it is sound again.
const ASIDE_PROBE_EVERY_MS: u64 = 200;

/// Whole answers in a row that bring a worker back which was put aside.
const WHOLE_IN_A_ROW: u32 = 3;

/// Longest time that a worker is put aside for, in milliseconds.
const ASIDE_MAX_MS: u64 = 5_000;

/// What is believed of a worker's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failed: f64,
    whole: f64,
    decayed_at_ms: u64,
    failed_in_a_row: u32,
    whole_in_a_row: u32,
    aside_probe_at_ms: u64,
    aside_count: u32,
    aside_until_ms: u64,
    unreachable_until_ms: u64,
    probe_at_ms: u64,
    missed_at_ms: Option<u64>,
}

impl Health {
    /// Notes a call that came back as it should.
    pub fn succeeded(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.whole += 1.0;
        self.failed_in_a_row = 0;
        self.whole_in_a_row += 1;
        if now_ms < self.aside_until_ms && self.whole_in_a_row >= WHOLE_IN_A_ROW {
            self.aside_until_ms = now_ms;
        }
        if self.failed < 0.5 {
            self.aside_count = 0;
        }
    }

    /// Notes a call that failed after it was sent.
    pub fn failed(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed += 1.0;
        self.failed_in_a_row += 1;
        self.whole_in_a_row = 0;
        let share = self.failed / (self.failed + self.whole);
        let is_often = self.failed >= FAILED_LEAST && share >= FAILED_SHARE;
        if is_often || self.failed_in_a_row >= FAILURES_IN_A_ROW {
            self.put_aside(now_ms);
        }
    }

    /// Notes that the worker could not be reached.
    pub fn unreachable(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed += 1.0;
        self.unreachable_until_ms = now_ms + UNREACHABLE_FOR_MS;
        self.probe_at_ms = now_ms + PROBE_EVERY_MS;
        self.missed_at_ms = Some(now_ms);
    }

    /// Whether an own call could not reach the worker lately; what only others say
    /// isn't passed on.
    pub fn has_missed(&self, now_ms: u64) -> bool {
        self.missed_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + MISSED_FOR_MS)
    }

    /// Notes that others could not reach the worker.
    pub fn told_unreachable(&mut self, now_ms: u64) {
        if !self.is_unreachable(now_ms) {
            self.probe_at_ms = now_ms;
        }
        self.unreachable_until_ms = now_ms + UNREACHABLE_FOR_MS;
    }

    /// Notes that the worker was reached.
    pub fn reached(&mut self) {
        self.unreachable_until_ms = 0;
        self.missed_at_ms = None;
    }

    /// Whether the worker could not be reached lately.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        now_ms < self.unreachable_until_ms
    }

    /// Whether a call may be sent to the worker, be it to see whether it is back.
    pub fn may_try(&self, now_ms: u64) -> bool {
        !self.is_unreachable(now_ms) || now_ms >= self.probe_at_ms
    }

    /// Notes that a call is sent to the worker.
    pub fn tried(&mut self, now_ms: u64) {
        self.probe_at_ms = now_ms + PROBE_EVERY_MS;
    }

    /// Whether a call that may be repeated is to be sent to a worker that is put aside;
    /// notes that it is.
    pub fn may_probe_aside(&mut self, now_ms: u64) -> bool {
        let may_probe = !self.is_unreachable(now_ms) && now_ms >= self.aside_probe_at_ms;
        if may_probe {
            self.aside_probe_at_ms = now_ms + ASIDE_PROBE_EVERY_MS;
        }
        may_probe
    }

    /// Whether calls should go elsewhere for now.
    pub fn is_aside(&self, now_ms: u64) -> bool {
        now_ms < self.aside_until_ms || self.is_unreachable(now_ms)
    }

    /// Returns the share of failed calls, with a prior of few good ones.
    pub fn failed_share(&self) -> f64 {
        self.failed / (self.failed + self.whole + 4.0)
    }

    /// Puts the worker aside, each time for longer.
    fn put_aside(&mut self, now_ms: u64) {
        if now_ms < self.aside_until_ms {
            return;
        }
        let doubled = ASIDE_FIRST_MS << self.aside_count.min(4);
        self.aside_until_ms = now_ms + doubled.min(ASIDE_MAX_MS);
        self.aside_probe_at_ms = now_ms + ASIDE_PROBE_EVERY_MS;
        self.whole_in_a_row = 0;
        self.aside_count += 1;
    }

    /// Forgets what is old.
    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        let kept = 0.5_f64.powf(passed_ms / HALF_LIFE_MS);
        self.failed *= kept;
        self.whole *= kept;
        self.decayed_at_ms = now_ms;
    }
}
