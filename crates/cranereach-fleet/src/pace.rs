//! How long workers take to read a token of each model, learned from answers.
//!
//! Only requests that found no other prompt ahead of theirs teach: the time to
//! their first piece is the time to read their own prompt.

use std::collections::HashMap;

/// Time to read a token of a model that nothing is known of, in milliseconds.
const UNKNOWN_TOKEN_MS: f64 = 0.05;

/// Weight of one more sample.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Fewest tokens from which a sample counts.
const SAMPLE_LEAST_TOKENS: u32 = 200;

/// Models that are remembered at most.
const MODEL_MAX_COUNT: usize = 4_096;

/// Paces by model.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    token_ms: HashMap<String, f64>,
}

impl Paces {
    /// Returns the time to read one token of a model, in milliseconds.
    pub fn token_ms(&self, model: &str) -> f64 {
        self.token_ms
            .get(model)
            .copied()
            .unwrap_or(UNKNOWN_TOKEN_MS)
    }

    /// Takes the time that a prompt without others ahead took to be read.
    ///
    /// ```
    /// use cranereach_fleet::pace::Paces;
    ///
    /// let mut paces = Paces::default();
    /// paces.learn("m1", 1_000, 20.0);
    /// assert!(paces.token_ms("m1") < paces.token_ms("m2"));
    /// ```
    pub fn learn(&mut self, model: &str, unread_tokens: u32, took_ms: f64) {
        if unread_tokens < SAMPLE_LEAST_TOKENS {
            return;
        }
        let sample_ms = took_ms / f64::from(unread_tokens);
        if let Some(known_ms) = self.token_ms.get_mut(model) {
            // One slow answer says less than a fast one: others may be ahead.
            let capped_ms = sample_ms.min(*known_ms * 3.0);
            *known_ms += SAMPLE_WEIGHT * (capped_ms - *known_ms);
        } else if self.token_ms.len() < MODEL_MAX_COUNT {
            let first_ms = sample_ms.min(UNKNOWN_TOKEN_MS * 2.0);
            self.token_ms.insert(model.to_owned(), first_ms);
        }
    }
}
