//! Estimates how long answers occupy a slot of a worker's batch (their stay), from
//! completed answers.
//!
//! An answer occupies its slot from its first to its last piece. The answer lengths
//! announced by callers are right on average but often far off for a single answer, so the
//! time per expected token is averaged over all answers, separately for each model.

use std::collections::HashMap;

/// Time per token when nothing is known yet, in milliseconds: a decode step of a large
/// model's batch.
const DEFAULT_TOKEN_MS: f64 = 10.0;

/// Weight of the old samples when a new one is added; it averages over about fifty samples.
const SAMPLE_DECAY: f64 = 0.98;

/// Number of sampled expected tokens from which a model's own samples are used without the
/// prior.
const CONFIDENT_FROM_TOKENS: f64 = 2_000.0;

/// Maximum number of models tracked.
const MODEL_MAX_COUNT: usize = 4_096;

/// Decayed sums of slot times and of expected tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    occupied_ms: f64,
    expected_tokens: f64,
}

impl Samples {
    /// Adds one sample.
    fn add(&mut self, expected_tokens: u32, occupied_ms: f64) {
        self.occupied_ms = self.occupied_ms * SAMPLE_DECAY + occupied_ms;
        self.expected_tokens = self.expected_tokens * SAMPLE_DECAY + f64::from(expected_tokens);
    }

    /// Returns the time per token, mixed with a prior while there are few samples.
    fn token_ms(&self, prior_ms: f64) -> f64 {
        let prior_tokens = (CONFIDENT_FROM_TOKENS - self.expected_tokens).max(0.0);
        let tokens = self.expected_tokens + prior_tokens;
        (self.occupied_ms + prior_tokens * prior_ms) / tokens
    }
}

/// Expected slot times by model.
///
/// ```
/// use cranereach_fleet::slot_times::SlotTimes;
///
/// let mut slot_times = SlotTimes::default();
/// for _answer in 0..100 {
///     slot_times.learn("m1", 200, 1_000.0);
/// }
/// assert_eq!(slot_times.expected_ms("m1", 100).round(), 500.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotTimes {
    by_model: HashMap<String, Samples>,
    all: Samples,
}

impl SlotTimes {
    /// Returns how long an answer is expected to occupy its slot, in milliseconds.
    ///
    /// `answer_tokens` is the number of answer tokens that the caller expects.
    pub fn expected_ms(&self, model: &str, answer_tokens: u32) -> f64 {
        let prior_ms = self.all.token_ms(DEFAULT_TOKEN_MS);
        let of_model = self.by_model.get(model);
        let token_ms = of_model.map_or(prior_ms, |samples| samples.token_ms(prior_ms));
        f64::from(answer_tokens) * token_ms
    }

    /// Records how long a completed answer occupied its slot.
    pub fn learn(&mut self, model: &str, answer_tokens: u32, occupied_ms: f64) {
        if answer_tokens == 0 {
            return;
        }
        self.all.add(answer_tokens, occupied_ms);
        if let Some(samples) = self.by_model.get_mut(model) {
            samples.add(answer_tokens, occupied_ms);
        } else if self.by_model.len() < MODEL_MAX_COUNT {
            let mut samples = Samples::default();
            samples.add(answer_tokens, occupied_ms);
            self.by_model.insert(model.to_owned(), samples);
        }
    }
}
