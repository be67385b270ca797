//! Demand by model and adapter, as exponentially decaying rates.

use std::collections::HashMap;

/// Half-life of the rates, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;

/// Rate below which an entry is dropped, in milliseconds of worker time per second.
const MIN_RATE_MS_PER_S: f64 = 0.005;

/// Index of a model and number of one of its adapters; adapter zero is the base model.
pub type ModelKey = (u16, u16);

/// Demand for the models of one service, as seen by one instance.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: HashMap<ModelKey, f64>,
    decayed_at_ms: u64,
}

impl Demand {
    /// Adds a request, given the worker time that it takes, in milliseconds.
    pub fn record_request(&mut self, now_ms: u64, key: ModelKey, work_ms: f64) {
        self.decay(now_ms);
        let added_per_s = work_ms * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS;
        *self.rates.entry(key).or_default() += added_per_s;
    }

    /// Returns the rates, in milliseconds of worker time per second.
    pub fn rates(&mut self, now_ms: u64) -> &HashMap<ModelKey, f64> {
        self.decay(now_ms);
        &self.rates
    }

    /// Decays the rates to the current time and drops negligible ones.
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
