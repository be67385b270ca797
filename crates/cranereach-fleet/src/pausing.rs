//! Detects workers whose streams pause for too long, from how their answers ended.
//!
//! Where events are short, or a step prefills little, prompts need no scheduling. So prompts are
//! scheduled (see [`crate::prefill_schedule`]) only at workers whose streams paused, and for a
//! while after, since streams don't pause while the schedule is in effect.

/// Share of answers with too long a pause from which a worker's prompts are scheduled.
const PAUSED_SHARE_THRESHOLD: f64 = 0.03;

/// Number of good answers assumed in advance, so that a single paused answer doesn't start
/// scheduling.
const GOOD_ANSWER_PRIOR_COUNT: f64 = 40.0;

/// Half-life of the answer counts, in milliseconds.
const PAUSED_HALF_LIFE_MS: f64 = 10_000.0;

/// Time for which prompts are scheduled once streams have paused, in milliseconds: long compared to
/// the half-life, or streams would pause again each time that scheduling stops.
const SCHEDULING_PERIOD_MS: u64 = 60_000;

/// Answers of one worker, and whether its prompts are scheduled.
///
/// ```
/// use cranereach_fleet::pausing::PauseMonitor;
///
/// let mut monitor = PauseMonitor::default();
/// assert!(!monitor.needs_scheduling(1_000));
/// for _answer in 0..5 {
///     monitor.record_answer(1_000, true);
/// }
/// assert!(monitor.needs_scheduling(1_000) && monitor.needs_scheduling(60_000));
/// assert!(!monitor.needs_scheduling(61_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseMonitor {
    /// Decayed count of complete answers.
    answers: f64,
    /// Decayed count of those among them that paused for too long.
    paused_answers: f64,
    /// Time of the last update of the counts, in milliseconds.
    counted_at_ms: u64,
    /// Time until which prompts are scheduled, in milliseconds.
    scheduling_until_ms: u64,
}

impl PauseMonitor {
    /// Counts a complete answer.
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

    /// Whether prompts for the worker are scheduled.
    pub fn needs_scheduling(&self, now_ms: u64) -> bool {
        now_ms < self.scheduling_until_ms
    }
}
