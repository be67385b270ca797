//! What callers ask for, per model and adapter, as decayed rates.

use std::collections::HashMap;

/// Time after which half of the demand is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;

/// Demand below which an entry is dropped, in milliseconds per second.
const MIN_RATE_MS_PER_S: f64 = 0.005;

/// A model, or an adapter of it; adapter zero stands for the bare model.
pub type ModelKey = (u16, u16);

/// Decayed demand of one instance.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: HashMap<ModelKey, f64>,
    decayed_at_ms: u64,
}

impl Demand {
    /// Notes a request by the workers' time that it takes, in milliseconds.
    pub fn asked(&mut self, now_ms: u64, key: ModelKey, work_ms: f64) {
        self.decay(now_ms);
        let added_per_s = work_ms * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS;
        *self.rates.entry(key).or_default() += added_per_s;
    }

    /// Returns the rates, in milliseconds of workers' time per second.
    pub fn rates(&mut self, now_ms: u64) -> &HashMap<ModelKey, f64> {
        self.decay(now_ms);
        &self.rates
    }

    /// Forgets what is old.
    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        if passed_ms < 1.0 {
            return;
        }
        let kept = 0.5_f64.powf(passed_ms / HALF_LIFE_MS);
        self.rates.retain(|_, rate| {
            *rate *= kept;
            *rate > MIN_RATE_MS_PER_S
        });
        self.decayed_at_ms = now_ms;
    }
}
