//! Rate of requests that an overloaded instance takes.

/// Requests a second that are taken at any load, so that the instance notices when it has room.
const MIN_RATE_PER_S: f64 = 10.0;

/// Share of the way to a higher rate that one sample allows.
const RAISE_SHARE: f64 = 0.3;

/// Least factor by which one sample without overload raises the rate.
const RAISE_MIN_FACTOR: f64 = 1.05;

/// Pressure below which rates are no longer limited.
const UNLIMITED_PRESSURE: f64 = 0.7;

/// Least pressure that a capacity is derived from.
const PRESSURE_MIN: f64 = 0.1;

/// Time for which unused requests are carried over, in milliseconds.
const BURST_MS: f64 = 100.0;

/// Time for which the requests of kept connections may exceed the rate before no new connection is
/// taken for as long, in milliseconds.
const OVERDRAFT_MS: f64 = 500.0;

/// Limit of the rate of requests while the instance is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateLimit {
    /// Requests a second; `None` while the rate isn't limited.
    pub(super) max_per_s: Option<f64>,
    /// Requests that may be taken now; negative if kept connections had more.
    allowance_count: f64,
    refilled_at_ms: u64,
}

impl RateLimit {
    /// Adds what has accrued since the last call.
    pub(super) fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        if let Some(max_per_s) = self.max_per_s {
            let accrued = max_per_s * passed_ms / 1_000.0;
            let burst_count = 1.0 + max_per_s * BURST_MS / 1_000.0;
            self.allowance_count = (self.allowance_count + accrued).min(burst_count);
        }
    }

    /// Whether a request may be taken.
    pub(super) fn has_room(&self) -> bool {
        self.max_per_s.is_none() || self.allowance_count >= 1.0
    }

    /// Counts a request that is taken.
    pub(super) fn take(&mut self) {
        if let Some(max_per_s) = self.max_per_s {
            let least = -max_per_s * OVERDRAFT_MS / 1_000.0;
            self.allowance_count = (self.allowance_count - 1.0).max(least);
        }
    }

    /// Adapts the limit to the load. Under the pressure `level`, `completed_per_s` requests are
    /// served, so that as many divided by it can be served well.
    pub(super) fn adapt(&mut self, level: f64, completed_per_s: f64, is_calm: bool) {
        let capacity_per_s = (completed_per_s / level.max(PRESSURE_MIN)).max(MIN_RATE_PER_S);
        match self.max_per_s {
            None if level > 1.0 => {
                self.max_per_s = Some(capacity_per_s);
                self.allowance_count = 0.0;
            }
            None => {}
            Some(max_per_s) if level > 1.0 => {
                self.max_per_s = Some(max_per_s.min(capacity_per_s));
            }
            Some(_) if level < UNLIMITED_PRESSURE && is_calm => self.max_per_s = None,
            Some(max_per_s) => {
                let way = (capacity_per_s - max_per_s).max(0.0);
                let raised = max_per_s + way * RAISE_SHARE;
                self.max_per_s = Some(raised.max(max_per_s * RAISE_MIN_FACTOR));
            }
        }
    }
}
