//! Retry budget, which limits retries to a fraction of first attempts.
//!
//! It keeps a fault from causing a retry storm: whatever fails, the extra load on
//! upstreams is bounded by that fraction plus a small reserve.

/// Retries allowed per first attempt.
const RETRY_FRACTION: f64 = 0.1;

/// Retries available at the start, so that a few are possible with hardly any traffic.
const INITIAL_COUNT: f64 = 3.0;

/// Maximum number of unused retries that accumulate.
const MAX_COUNT: f64 = 50.0;

/// Retry budget of one entry instance.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    available_count: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available_count: INITIAL_COUNT,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn record_first_attempt(&mut self) {
        self.available_count = (self.available_count + RETRY_FRACTION).min(MAX_COUNT);
    }

    /// Takes one retry from the budget; returns whether one was available.
    ///
    /// ```
    /// use cranereach_core::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// let allowed = (0..10).filter(|_| budget.spend()).count();
    /// assert_eq!(allowed, 3);
    /// ```
    pub fn spend(&mut self) -> bool {
        let allowed = self.available_count >= 1.0;
        if allowed {
            self.available_count -= 1.0;
        }
        allowed
    }
}
