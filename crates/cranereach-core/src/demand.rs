//! Demand per target, estimated from exponentially decayed arrivals and service times.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::names::TargetName;

/// Half-life of the weight of an arrival, in milliseconds.
pub const HALF_LIFE_MS: f64 = 5_000.0;

/// Service time assumed for a target that has not been served yet, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// Weight of a new sample in the moving average of service times.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.1;

/// Demand for one target on one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetDemand {
    /// The target.
    pub target: TargetName,
    /// Requests that would run concurrently if none had to wait.
    pub concurrent_count: f32,
    /// Requests that are waiting.
    pub waiting_count: u32,
    /// Time for which the oldest of them has waited, in milliseconds.
    pub oldest_wait_ms: u32,
}

/// Decayed arrivals and mean service time of one target.
#[derive(Clone, Copy, Debug)]
struct TargetEstimate {
    arrival_weight: f64,
    decayed_at_ms: u64,
    service_ms: f64,
}

/// Demand estimates of one entry instance.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    targets: HashMap<TargetName, TargetEstimate>,
}

impl DemandMeter {
    /// Records an arrival.
    pub fn arrived(&mut self, now_ms: u64, target: &TargetName) {
        let estimate = self.estimate_mut(now_ms, target);
        estimate.decay(now_ms);
        estimate.arrival_weight += 1.0;
    }

    /// Records the time that an upstream took for a request.
    pub fn served(&mut self, now_ms: u64, target: &TargetName, service_ms: f64) {
        let estimate = self.estimate_mut(now_ms, target);
        estimate.service_ms += SERVICE_SAMPLE_WEIGHT * (service_ms - estimate.service_ms);
    }

    /// Returns the mean service time of a target, in milliseconds.
    pub fn service_ms(&self, target: &TargetName) -> f64 {
        self.targets
            .get(target)
            .map_or(INITIAL_SERVICE_MS, |estimate| estimate.service_ms)
    }

    /// Estimates how many requests for a target would run concurrently if none had to wait.
    ///
    /// ```
    /// use cranereach_core::demand::DemandMeter;
    ///
    /// let mut meter = DemandMeter::default();
    /// meter.arrived(0, &"m".into());
    /// assert!(meter.concurrent_count(0, &"m".into()) > 0.0);
    /// ```
    pub fn concurrent_count(&self, now_ms: u64, target: &TargetName) -> f64 {
        let Some(estimate) = self.targets.get(target) else {
            return 0.0;
        };
        let mut estimate = *estimate;
        estimate.decay(now_ms);
        // At a constant arrival rate r, the weight converges to r × half-life / ln 2.
        let rate_per_ms = estimate.arrival_weight * std::f64::consts::LN_2 / HALF_LIFE_MS;
        rate_per_ms * estimate.service_ms
    }

    /// Returns the targets that have been requested.
    pub fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.targets.keys()
    }

    /// Returns a target's estimate, created if missing.
    fn estimate_mut(&mut self, now_ms: u64, target: &TargetName) -> &mut TargetEstimate {
        if !self.targets.contains_key(target) {
            let fresh = TargetEstimate {
                arrival_weight: 0.0,
                decayed_at_ms: now_ms,
                service_ms: INITIAL_SERVICE_MS,
            };
            self.targets.insert(target.clone(), fresh);
        }
        self.targets.get_mut(target).expect("inserted just above")
    }
}

impl TargetEstimate {
    /// Decays the weight of past arrivals up to the given time.
    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.decayed_at_ms) as f64;
        self.arrival_weight *= (-passed_ms / HALF_LIFE_MS).exp2();
        self.decayed_at_ms = self.decayed_at_ms.max(now_ms);
    }
}
