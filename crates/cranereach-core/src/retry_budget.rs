//! Retry budget: retries as a bounded fraction of first tries.
//!
//! Keeps a fault from turning into a storm: whatever fails, the extra load on
//! upstreams stays below the fraction plus a small floor.

/// Retries allowed per first try.
const RETRY_FRACTION: f64 = 0.1;

/// Retries allowed when there is hardly any traffic.
const INITIAL_COUNT: f64 = 3.0;

/// Most retries that quiet times can save up.
const MAX_COUNT: f64 = 50.0;

/// Budget of one upstream pool on one entry instance.
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
    /// Records a first try, which earns a fraction of a retry.
    pub fn first_try(&mut self) {
        self.available_count = (self.available_count + RETRY_FRACTION).min(MAX_COUNT);
    }

    /// Spends one retry if the budget has it.
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
