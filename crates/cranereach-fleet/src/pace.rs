//! How long workers take until a prompt is read, learned from answers.
//!
//! Only requests that found no other prompt ahead of theirs teach: the time to
//! their first piece is what every request takes, and the time to read the tokens
//! of their own prompt. A straight line through the samples tells the two apart.

use std::collections::HashMap;

/// Time to read a token of a model that nothing is known of, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 0.05;

/// Time that every request takes where nothing is known, in milliseconds.
const DEFAULT_FIXED_MS: f64 = 10.0;

/// Weight of a model's first guess, in samples.
const PRIOR_COUNT: f64 = 4.0;

/// Tokens at which the first guess stands, besides none.
const PRIOR_TOKENS: f64 = 1_000.0;

/// Part of the old samples that one more leaves; some sixty samples count.
const DECAY_FACTOR: f64 = 0.985;

/// How many times longer than expected a sample may say that it took: one slow
/// answer says less than a fast one, since others may have been ahead unseen.
const MAX_SLOW_FACTOR: f64 = 2.0;

/// Least time to read a token, in milliseconds.
const MIN_TOKEN_MS: f64 = 0.001;

/// Models that are remembered at most.
const MODEL_MAX_COUNT: usize = 4_096;

/// Sums of weighted samples, for a straight line.
#[derive(Clone, Copy, Debug)]
struct LinearFit {
    count: f64,
    tokens: f64,
    tokens_squared: f64,
    took_ms: f64,
    tokens_took_ms: f64,
}

impl LinearFit {
    /// Makes a line from the first guess: half of its weight at no tokens, half at
    /// some.
    fn prior() -> Self {
        let half = PRIOR_COUNT / 2.0;
        let read_ms = DEFAULT_FIXED_MS + PRIOR_TOKENS * DEFAULT_TOKEN_MS;
        Self {
            count: PRIOR_COUNT,
            tokens: half * PRIOR_TOKENS,
            tokens_squared: half * PRIOR_TOKENS * PRIOR_TOKENS,
            took_ms: half * (DEFAULT_FIXED_MS + read_ms),
            tokens_took_ms: half * PRIOR_TOKENS * read_ms,
        }
    }

    /// Takes a sample.
    fn add(&mut self, tokens: f64, took_ms: f64) {
        self.count = self.count * DECAY_FACTOR + 1.0;
        self.tokens = self.tokens * DECAY_FACTOR + tokens;
        self.tokens_squared = self.tokens_squared * DECAY_FACTOR + tokens * tokens;
        self.took_ms = self.took_ms * DECAY_FACTOR + took_ms;
        self.tokens_took_ms = self.tokens_took_ms * DECAY_FACTOR + tokens * took_ms;
    }

    /// Returns the pace of the line; never one that takes no time.
    fn pace(&self) -> Pace {
        let spread = self.count * self.tokens_squared - self.tokens * self.tokens;
        let slope = self.count * self.tokens_took_ms - self.tokens * self.took_ms;
        let token_ms = if spread > 0.0 { slope / spread } else { 0.0 };
        // Nothing takes less than no time: all of it is reading then.
        let max_token_ms = self.took_ms / self.tokens.max(1.0);
        let token_ms = token_ms.clamp(MIN_TOKEN_MS, max_token_ms.max(MIN_TOKEN_MS));
        let fixed_ms = (self.took_ms - token_ms * self.tokens) / self.count;
        Pace {
            token_ms,
            fixed_ms: fixed_ms.max(0.0),
        }
    }
}

/// How long a worker takes until a prompt of a model is read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Time to read one token, in milliseconds.
    pub token_ms: f64,
    /// Time that every request takes besides, in milliseconds: the way there and
    /// back, and the first step.
    pub fixed_ms: f64,
}

/// Paces by model.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    by_model: HashMap<String, LinearFit>,
}

impl Paces {
    /// Returns the pace of a model.
    pub fn of(&self, model: &str) -> Pace {
        let known = self.by_model.get(model);
        known.map_or_else(|| LinearFit::prior().pace(), LinearFit::pace)
    }

    /// Takes the time that a prompt without others ahead took to be read.
    ///
    /// ```
    /// use cranereach_fleet::pace::Paces;
    ///
    /// let mut paces = Paces::default();
    /// paces.learn("m1", 1_000, 20.0);
    /// assert!(paces.of("m1").token_ms < paces.of("m2").token_ms);
    /// ```
    pub fn learn(&mut self, model: &str, uncached_tokens: u32, took_ms: f64) {
        let tokens = f64::from(uncached_tokens);
        if !self.by_model.contains_key(model) && self.by_model.len() >= MODEL_MAX_COUNT {
            return;
        }
        let fit = self
            .by_model
            .entry(model.to_owned())
            .or_insert_with(LinearFit::prior);
        let pace = fit.pace();
        let expected_ms = pace.fixed_ms + tokens * pace.token_ms;
        fit.add(tokens, took_ms.min(expected_ms * MAX_SLOW_FACTOR));
    }
}
