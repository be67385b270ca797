//! Whether a worker's streams pause for too long, by how its answers ended.
//!
//! Where events are short, or what a step reads is little, prompts may be read without
//! any plan. So prompts are planned (see [`crate::reading_plan`]) only at workers whose
//! streams paused, and for a while after: while the plan holds, they don't.

/// Share of a worker's answers that paused for too long from which its prompts are
/// planned.
const PAUSED_SHARE_THRESHOLD: f64 = 0.03;

/// Good answers that a worker is given before its share of paused ones counts: one that
/// paused alone makes no plan.
const GOOD_ANSWER_PRIOR_COUNT: f64 = 40.0;

/// Time after which half of the answers are forgotten, in milliseconds.
const PAUSED_HALF_LIFE_MS: f64 = 10_000.0;

/// Time for which prompts are planned once streams have paused, in milliseconds: long
/// against the half-life, or each worker would pause anew every time that its plan ends.
const SCHEDULING_PERIOD_MS: u64 = 60_000;

/// How the answers of one worker fare.
///
/// ```
/// use cranereach_fleet::pausing::PauseMonitor;
///
/// let mut pausing = PauseMonitor::default();
/// assert!(!pausing.needs_scheduling(1_000));
/// for _answer in 0..5 {
///     pausing.record_answer(1_000, true);
/// }
/// assert!(pausing.needs_scheduling(1_000) && pausing.needs_scheduling(60_000));
/// assert!(!pausing.needs_scheduling(61_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseMonitor {
    /// Whole answers, those that paused for too long, and when they were counted.
    answers: f64,
    paused_answers: f64,
    counted_at_ms: u64,
    scheduling_until_ms: u64,
}

impl PauseMonitor {
    /// Counts a whole answer.
    pub fn record_answer(&mut self, now_ms: u64, is_paused: bool) {
        let passed_ms = now_ms.saturating_sub(self.counted_at_ms) as f64;
        let kept = 0.5_f64.powf(passed_ms / PAUSED_HALF_LIFE_MS);
        self.answers = self.answers * kept + 1.0;
        self.paused_answers = self.paused_answers * kept + if is_paused { 1.0 } else { 0.0 };
        self.counted_at_ms = now_ms;
        if self.paused_answers / (self.answers + GOOD_ANSWER_PRIOR_COUNT) >= PAUSED_SHARE_THRESHOLD
        {
            self.scheduling_until_ms = now_ms + SCHEDULING_PERIOD_MS;
        }
    }

    /// Whether prompts are planned.
    pub fn needs_scheduling(&self, now_ms: u64) -> bool {
        now_ms < self.scheduling_until_ms
    }
}
