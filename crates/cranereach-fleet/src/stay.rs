//! How long answers keep a slot of a worker's batch, learned from whole answers.
//!
//! An answer stays from its first piece to its last. What callers say of its
//! length is right on the average and often far off for one answer, so that time
//! is learned as a share of all tokens that were expected, model by model.

use std::collections::HashMap;

/// Time that one token takes where nothing is known, in milliseconds: a step of a
/// large model's batch.
const DEFAULT_TOKEN_MS: f64 = 10.0;

/// Part of the old samples that one more leaves; some fifty samples count.
const SAMPLE_DECAY: f64 = 0.98;

/// Expected tokens of old samples below which a model's own samples don't decide
/// alone.
const CONFIDENT_FROM_TOKENS: f64 = 2_000.0;

/// Models that are remembered at most.
const MODEL_MAX_COUNT: usize = 4_096;

/// Time that answers stayed, and the tokens that were expected of them.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    occupied_ms: f64,
    expected_tokens: f64,
}

impl Samples {
    /// Takes one more sample.
    fn add(&mut self, expected_tokens: u32, occupied_ms: f64) {
        self.occupied_ms = self.occupied_ms * SAMPLE_DECAY + occupied_ms;
        self.expected_tokens = self.expected_tokens * SAMPLE_DECAY + f64::from(expected_tokens);
    }

    /// Returns the time of a token, leaning on a prior while samples are few.
    fn token_ms(&self, prior_ms: f64) -> f64 {
        let prior_tokens = (CONFIDENT_FROM_TOKENS - self.expected_tokens).max(0.0);
        let tokens = self.expected_tokens + prior_tokens;
        (self.occupied_ms + prior_tokens * prior_ms) / tokens
    }
}

/// Stays by model.
///
/// ```
/// use cranereach_fleet::stay::Stays;
///
/// let mut stays = Stays::default();
/// for _answer in 0..100 {
///     stays.learn("m1", 200, 1_000.0);
/// }
/// assert_eq!(stays.expected_ms("m1", 100).round(), 500.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Stays {
    by_model: HashMap<String, Samples>,
    all: Samples,
}

impl Stays {
    /// Returns for how long an answer is expected to stay, in milliseconds.
    ///
    /// `answer_tokens` is what its caller expects to come out.
    pub fn expected_ms(&self, model: &str, answer_tokens: u32) -> f64 {
        let prior_ms = self.all.token_ms(DEFAULT_TOKEN_MS);
        let of_model = self.by_model.get(model);
        let token_ms = of_model.map_or(prior_ms, |samples| samples.token_ms(prior_ms));
        f64::from(answer_tokens) * token_ms
    }

    /// Takes how long a whole answer stayed.
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
