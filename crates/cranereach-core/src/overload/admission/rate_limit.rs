//! Rate of requests that an overloaded instance takes.

use crate::token_bucket::TokenBucket;

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
    limit: Option<Limit>,
}

/// A limit that is in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    max_per_s: f64,
    bucket: TokenBucket,
}

impl Limit {
    /// Creates a limit with nothing accrued yet.
    fn new(now_ms: u64, max_per_s: f64) -> Self {
        let bucket = TokenBucket::new(max_per_s, burst_count(max_per_s), now_ms);
        Self {
            max_per_s,
            bucket: bucket.with_level(0.0),
        }
    }

    /// Changes the rate from now on.
    fn change(&mut self, now_ms: u64, max_per_s: f64) {
        self.max_per_s = max_per_s;
        self.bucket
            .change(now_ms, max_per_s, burst_count(max_per_s));
    }
}

/// Returns how many requests may come at once at a rate.
fn burst_count(max_per_s: f64) -> f64 {
    1.0 + max_per_s * BURST_MS / 1_000.0
}

impl RateLimit {
    /// Returns the largest number of requests a second; `None` while it isn't limited.
    pub(super) fn max_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.max_per_s)
    }

    /// Whether a request may be taken.
    pub(super) fn has_room(&mut self, now_ms: u64) -> bool {
        let limit = self.limit.as_mut();
        limit.is_none_or(|limit| limit.bucket.has_token(now_ms))
    }

    /// Counts a request that is taken.
    pub(super) fn take(&mut self, now_ms: u64) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.spend(now_ms, 1.0);
            let least = -limit.max_per_s * OVERDRAFT_MS / 1_000.0;
            if limit.bucket.level(now_ms) < least {
                limit.bucket = limit.bucket.with_level(least);
            }
        }
    }

    /// Adapts the limit to the load. Under the pressure `level`, `completed_per_s` requests are
    /// served, so that as many divided by it can be served well.
    pub(super) fn adapt(&mut self, now_ms: u64, level: f64, completed_per_s: f64, is_calm: bool) {
        let capacity_per_s = (completed_per_s / level.max(PRESSURE_MIN)).max(MIN_RATE_PER_S);
        match &mut self.limit {
            None if level > 1.0 => self.limit = Some(Limit::new(now_ms, capacity_per_s)),
            None => {}
            Some(limit) if level > 1.0 => {
                let lowered = limit.max_per_s.min(capacity_per_s);
                limit.change(now_ms, lowered);
            }
            Some(_) if level < UNLIMITED_PRESSURE && is_calm => self.limit = None,
            Some(limit) => {
                let way = (capacity_per_s - limit.max_per_s).max(0.0);
                let raised = limit.max_per_s + way * RAISE_SHARE;
                limit.change(now_ms, raised.max(limit.max_per_s * RAISE_MIN_FACTOR));
            }
        }
    }
}
