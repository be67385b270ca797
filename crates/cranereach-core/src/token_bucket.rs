//! A token bucket over a clock that the caller gives.

/// Allows a steady rate with a bounded burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst_count: f64,
    level_count: f64,
    filled_at_ms: u64,
}

impl TokenBucket {
    /// Makes a full bucket.
    ///
    /// ```
    /// use cranereach_core::token_bucket::TokenBucket;
    ///
    /// let mut bucket = TokenBucket::new(1.0, 1.0, 0);
    /// assert!(bucket.take(0));
    /// assert!(!bucket.take(500));
    /// assert!(bucket.take(1_000));
    /// ```
    pub fn new(rate_per_s: f64, burst_count: f64, now_ms: u64) -> Self {
        Self {
            rate_per_s,
            burst_count,
            level_count: burst_count,
            filled_at_ms: now_ms,
        }
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        let allowed = self.level_count >= 1.0;
        if allowed {
            self.level_count -= 1.0;
        }
        allowed
    }

    /// Whether a token could be taken.
    pub fn is_filled(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        self.level_count >= 1.0
    }

    /// Empties the bucket, as if all of it had just been taken.
    pub fn drain(&mut self, now_ms: u64) {
        self.fill(now_ms);
        self.level_count = 0.0;
    }

    /// Adds what has accrued since the last look.
    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let accrued = passed_ms as f64 * self.rate_per_s / 1_000.0;
        self.level_count = (self.level_count + accrued).min(self.burst_count);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }
}
