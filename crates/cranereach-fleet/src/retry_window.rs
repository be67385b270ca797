//! Retry budget: limits retries to a fraction of the requests within a sliding window.
//!
//! The limit holds over all instances together: each spends the ratio of its own requests, plus its
//! part of a fixed allowance.

use std::collections::VecDeque;

/// Share of the budget that is spent; the rest covers what instances can't observe.
const SPENT_SHARE: f64 = 0.6;

/// Retry budget of one instance towards one service.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    ratio: f64,
    allowance_count: f64,
    window_ms: u64,
    requests_at_ms: VecDeque<u64>,
    retries_at_ms: VecDeque<u64>,
}

impl RetryWindow {
    /// Creates the budget of an instance that shares `allowance_count` with others.
    pub fn new(ratio: f64, allowance_count: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            allowance_count,
            window_ms,
            requests_at_ms: VecDeque::new(),
            retries_at_ms: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn request(&mut self, now_ms: u64) {
        self.forget(now_ms);
        self.requests_at_ms.push_back(now_ms);
    }

    /// Spends one retry if the budget allows it; the allowance is shared by `instance_count`
    /// instances.
    ///
    /// ```
    /// use cranereach_fleet::retry_window::RetryWindow;
    ///
    /// let mut window = RetryWindow::new(0.2, 10.0, 10_000);
    /// let allowed = (0..10).filter(|_| window.spend(0, 2)).count();
    /// assert_eq!(allowed, 3);
    /// ```
    pub fn spend(&mut self, now_ms: u64, instance_count: usize) -> bool {
        self.forget(now_ms);
        let shared = self.allowance_count / instance_count.max(1) as f64;
        let earned = self.ratio * self.requests_at_ms.len() as f64;
        let bound = (shared + earned) * SPENT_SHARE;
        let is_allowed = (self.retries_at_ms.len() as f64) + 1.0 <= bound;
        if is_allowed {
            self.retries_at_ms.push_back(now_ms);
        }
        is_allowed
    }

    /// Removes entries from before the window.
    fn forget(&mut self, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(self.window_ms);
        for times in [&mut self.requests_at_ms, &mut self.retries_at_ms] {
            while times.front().is_some_and(|at_ms| *at_ms < from_ms) {
                times.pop_front();
            }
        }
    }
}
