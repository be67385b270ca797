//! Estimates how long workers take to prefill a prompt, learned from answers.
//!
//! Only requests without another prompt ahead of them give samples: their time to first token is
//! the fixed time of every request plus the prefill time of their own uncached prompt tokens. A
//! linear regression over the samples separates the two.

use std::collections::HashMap;

/// Prefill time per token assumed for a model without samples, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 0.05;

/// Fixed time per request assumed for a model without samples, in milliseconds.
const DEFAULT_FIXED_MS: f64 = 10.0;

/// Weight of the prior, in samples.
const PRIOR_COUNT: f64 = 4.0;

/// Token count of the second point of the prior; the first is at zero tokens.
const PRIOR_TOKENS: f64 = 1_000.0;

/// Factor by which each new sample decays the older ones; the effective window is some sixty
/// samples.
const DECAY_FACTOR: f64 = 0.985;

/// Cap on the time of a sample, as a multiple of the expected time. A slow answer is weaker
/// evidence than a fast one, since prompts that this instance doesn't know of may have been ahead
/// of it.
const MAX_SLOW_FACTOR: f64 = 2.0;

/// Lower bound of the prefill time per token, in milliseconds.
const MIN_TOKEN_MS: f64 = 0.001;

/// Maximum number of models with samples; further models keep the defaults.
const MODEL_MAX_COUNT: usize = 4_096;

/// Weighted sums for a linear regression of the time over the tokens.
#[derive(Clone, Copy, Debug)]
struct LinearFit {
    count: f64,
    tokens: f64,
    tokens_squared: f64,
    took_ms: f64,
    tokens_took_ms: f64,
}

impl LinearFit {
    /// Returns the prior: half of its weight at zero tokens, half at `PRIOR_TOKENS`.
    fn prior() -> Self {
        let half = PRIOR_COUNT / 2.0;
        let second_point_ms = DEFAULT_FIXED_MS + PRIOR_TOKENS * DEFAULT_TOKEN_MS;
        Self {
            count: PRIOR_COUNT,
            tokens: half * PRIOR_TOKENS,
            tokens_squared: half * PRIOR_TOKENS * PRIOR_TOKENS,
            took_ms: half * (DEFAULT_FIXED_MS + second_point_ms),
            tokens_took_ms: half * PRIOR_TOKENS * second_point_ms,
        }
    }

    /// Adds a sample.
    fn add(&mut self, tokens: f64, took_ms: f64) {
        self.count = self.count * DECAY_FACTOR + 1.0;
        self.tokens = self.tokens * DECAY_FACTOR + tokens;
        self.tokens_squared = self.tokens_squared * DECAY_FACTOR + tokens * tokens;
        self.took_ms = self.took_ms * DECAY_FACTOR + took_ms;
        self.tokens_took_ms = self.tokens_took_ms * DECAY_FACTOR + tokens * took_ms;
    }

    /// Returns slope and intercept of the fit; the slope is at least `MIN_TOKEN_MS`.
    fn coefficients(&self) -> PrefillCost {
        let spread = self.count * self.tokens_squared - self.tokens * self.tokens;
        let slope = self.count * self.tokens_took_ms - self.tokens * self.took_ms;
        let token_ms = if spread > 0.0 { slope / spread } else { 0.0 };
        // The fixed time can't be negative: at most, all of the time is prefill.
        let max_token_ms = self.took_ms / self.tokens.max(1.0);
        let token_ms = token_ms.clamp(MIN_TOKEN_MS, max_token_ms.max(MIN_TOKEN_MS));
        let fixed_ms = (self.took_ms - token_ms * self.tokens) / self.count;
        PrefillCost {
            token_ms,
            fixed_ms: fixed_ms.max(0.0),
        }
    }
}

/// Time that a worker takes to prefill a prompt of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillCost {
    /// Prefill time per token, in milliseconds.
    pub token_ms: f64,
    /// Fixed time per request, in milliseconds: the network round trip and the first decode step.
    pub fixed_ms: f64,
}

/// Prefill times by model.
#[derive(Clone, Debug, Default)]
pub struct PrefillCosts {
    by_model: HashMap<String, LinearFit>,
}

impl PrefillCosts {
    /// Returns the prefill time of a model.
    pub fn of(&self, model: &str) -> PrefillCost {
        let fit = self.by_model.get(model);
        fit.map_or_else(
            || LinearFit::prior().coefficients(),
            LinearFit::coefficients,
        )
    }

    /// Adds the time to first token of a request that had no other prompt ahead of it, and the
    /// number of its prompt tokens that the worker had not cached.
    ///
    /// ```
    /// use cranereach_fleet::prefill_cost::PrefillCosts;
    ///
    /// let mut costs = PrefillCosts::default();
    /// costs.learn("m1", 1_000, 20.0);
    /// assert!(costs.of("m1").token_ms < costs.of("m2").token_ms);
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
        let coefficients = fit.coefficients();
        let expected_ms = coefficients.fixed_ms + tokens * coefficients.token_ms;
        fit.add(tokens, took_ms.min(expected_ms * MAX_SLOW_FACTOR));
    }
}
