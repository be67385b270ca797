//! A token bucket whose callers pass in the current time.

/// Rate limiter that allows a steady rate and bounded bursts.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst_count: f64,
    level_count: f64,
    refilled_at_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
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
            refilled_at_ms: now_ms,
        }
    }

    /// Sets the number of tokens in the bucket.
    #[must_use]
    pub fn with_level(mut self, level_count: f64) -> Self {
        self.level_count = level_count;
        self
    }

    /// Takes one token if there is one; returns whether it did.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let allowed = self.wait_ms(now_ms, 1.0) == 0;
        if allowed {
            self.spend(now_ms, 1.0);
        }
        allowed
    }

    /// Returns the number of tokens in the bucket; negative if it is overdrawn.
    pub fn level(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        self.level_count
    }

    /// Returns the time until the bucket holds `count` tokens, in milliseconds; `u32::MAX` if
    /// the rate is zero and tokens are missing.
    ///
    /// ```
    /// use cranereach_core::token_bucket::TokenBucket;
    ///
    /// let mut bucket = TokenBucket::new(100.0, 50.0, 0);
    /// bucket.spend(0, 60.0);
    /// assert_eq!(bucket.wait_ms(0, 10.0), 200);
    /// assert_eq!(bucket.wait_ms(200, 10.0), 0);
    /// ```
    pub fn wait_ms(&mut self, now_ms: u64, count: f64) -> u64 {
        let lacking = count - self.level(now_ms);
        if lacking <= 0.0 {
            0
        } else if self.rate_per_s > 0.0 {
            (lacking * 1_000.0 / self.rate_per_s).ceil() as u64
        } else {
            u64::from(u32::MAX)
        }
    }

    /// Takes tokens, even more than the bucket holds.
    pub fn spend(&mut self, now_ms: u64, count: f64) {
        self.refill(now_ms);
        self.level_count -= count;
    }

    /// Changes the rate and the burst from now on.
    pub fn change(&mut self, now_ms: u64, rate_per_s: f64, burst_count: f64) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.burst_count = burst_count;
        self.level_count = self.level_count.min(burst_count);
    }

    /// Returns whether a token could be taken.
    pub fn has_token(&mut self, now_ms: u64) -> bool {
        self.level(now_ms) >= 1.0
    }

    /// Empties the bucket.
    pub fn drain(&mut self, now_ms: u64) {
        self.refill(now_ms);
        self.level_count = 0.0;
    }

    /// Adds the tokens that have accrued since the last refill.
    fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let accrued = passed_ms as f64 * self.rate_per_s / 1_000.0;
        self.level_count = (self.level_count + accrued).min(self.burst_count);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }
}
