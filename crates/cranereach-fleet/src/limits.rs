//! Rate limits of client accounts, enforced across all instances together.
//!
//! A limit is split into a few parts. Each part has one owner instance, on which all instances
//! agree; the owner keeps the part's token bucket and grants units from it on request. An instance
//! asks for what one request costs, plus a small prefetch that is sized by its recent usage. It
//! keeps what it does not use, so that units rarely have to be returned.
//!
//! A new owner does not know what its predecessor granted, and for a short time two instances may
//! both grant from one part. The total is bounded: a deployment tolerates some excess over its
//! limits, and the overlap that decides the number of parts, the prefetched units and the initial
//! level of a new owner's bucket each use a fixed share of that excess.

mod owned;

use std::collections::HashMap;
use std::mem;

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::owned::OwnedLimits;
pub use self::owned::Ownership;
use crate::accounts::Limit;
use cranereach_core::token_bucket::TokenBucket;

/// Share of the tolerated excess that all instances together hold as prefetched units.
const PREFETCH_SHARE: f64 = 0.15;

/// Share of the tolerated excess that two owners of one part may grant during a change of owner.
const OVERLAP_SHARE: f64 = 0.25;

/// Time during which two instances may own the same part, in seconds: a heartbeat takes this long
/// to reach all of some hundred instances (`tests/membership.rs`).
const OVERLAP_S: f64 = 1.5;

/// Maximum number of parts of one limit.
const PART_MAX_COUNT: u32 = 64;

/// Minimum number of requests of the smallest cost that one part allows within a window.
const PART_MIN_REQUEST_COUNT: f64 = 16.0;

/// Time after its last grant request (for an owner) or its last use (for an instance) at which an
/// entry is removed, in milliseconds; much longer than a window.
const IDLE_EXPIRY_MS: u64 = 60_000;

/// Time constant over which an instance's usage of an account is averaged, in milliseconds.
const USAGE_AVERAGE_MS: f64 = 3_000.0;

/// Maximum time for which an owner's refusal is applied to further requests without asking again,
/// in milliseconds.
const REFUSAL_CACHE_MAX_MS: u64 = 100;

/// Time after its last grant for which an instance that reaches no owner keeps admitting requests
/// at its earlier rate, in milliseconds.
const FALLBACK_FOR_MS: u64 = 4_000;

/// How far a deployment lets usage exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window over which usage is counted, in seconds.
    pub window_s: f64,
    /// Tolerated excess, as a share of what the limit allows in a window.
    pub excess_share: f64,
    /// Tolerated excess on top of that share, in units.
    pub allowance: f64,
}

impl Tolerance {
    /// Returns how much usage within one window may exceed a limit, in units.
    pub fn excess(&self, limit: Limit) -> f64 {
        self.excess_share * self.units_per_window(limit) + self.allowance
    }

    /// Returns what a limit allows within one window, in units.
    pub fn units_per_window(&self, limit: Limit) -> f64 {
        limit.rate_per_s * self.window_s + limit.burst
    }

    /// Returns the number of parts of a limit.
    ///
    /// There are as many parts as it takes to keep the grants of two owners of one part within
    /// their share of the excess, but no part is so small that single requests do not fit.
    ///
    /// ```
    /// use cranereach_fleet::accounts::Limit;
    /// use cranereach_fleet::limits::Tolerance;
    ///
    /// let tolerance = Tolerance { window_s: 8.0, excess_share: 0.1, allowance: 17_000.0 };
    /// let limit = |rate_per_s| Limit { rate_per_s, burst: rate_per_s, smallest_cost: 200.0 };
    /// assert_eq!(tolerance.part_count(limit(1_000.0)), 1);
    /// assert_eq!(tolerance.part_count(limit(311_000.0)), 7);
    /// ```
    pub fn part_count(&self, limit: Limit) -> u32 {
        let overlap = limit.rate_per_s * OVERLAP_S;
        let tolerated = self.excess(limit) * OVERLAP_SHARE;
        let count = (overlap / tolerated.max(f64::MIN_POSITIVE)).ceil();
        let fitting =
            self.units_per_window(limit) / (limit.smallest_cost.max(1.0) * PART_MIN_REQUEST_COUNT);
        let count = count.min(fitting).min(f64::from(PART_MAX_COUNT));
        (count as u32).max(1)
    }
}

/// Identifies one part of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey {
    /// Key of the account.
    pub account: u64,
    /// Index of the part.
    pub part: u32,
}

impl PartKey {
    /// Returns the key by which the part's owner is chosen.
    pub fn owner_key(self) -> u64 {
        xxh3_64_with_seed(&self.part.to_le_bytes(), self.account)
    }
}

/// What an owner is asked for, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnitRequest {
    /// Minimum that is of use to the caller.
    pub min_units: f64,
    /// Maximum that the caller accepts.
    pub max_units: f64,
}

/// An owner's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grant {
    /// The number of units granted.
    Units(f64),
    /// Nothing is granted until this time has passed, in milliseconds.
    After(u64),
}

/// How an instance handles a request of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request is paid for from units that the instance already holds.
    Paid,
    /// An owner must be asked for the rest; the units already held are set aside for the request.
    Ask {
        /// Units to ask for.
        request: UnitRequest,
        /// Units set aside; given back if the request does not run.
        held: f64,
    },
    /// The request exceeds the limit; it may fit after this time, in milliseconds.
    Beyond(u64),
}

/// One instance's usage of one account's limit.
#[derive(Clone, Debug)]
struct Usage {
    limit: Limit,
    /// Units granted and not used yet; negative if more was used without an owner than owners have
    /// granted since.
    balance: f64,
    /// Average usage, in units per second.
    rate_per_s: f64,
    used_at_ms: u64,
    /// End of the period for which an owner has refused, in milliseconds.
    refused_until_ms: u64,
    /// Time of the last grant, in milliseconds.
    granted_at_ms: Option<u64>,
    /// Bucket for requests that run while no owner answers.
    fallback: TokenBucket,
}

/// One instance's usage of all accounts' limits.
#[derive(Clone, Debug, Default)]
pub struct AccountUsages {
    by_account: HashMap<u64, Usage>,
}

impl AccountUsages {
    /// Decides whether a request of the given cost, in units, can be paid for.
    pub fn decide(
        &mut self,
        now_ms: u64,
        account: u64,
        limit: Limit,
        tolerance: &Tolerance,
        cost: f64,
    ) -> Decision {
        let usage = self.account_usage(now_ms, account, limit);
        if cost > tolerance.units_per_window(limit) {
            return Decision::Beyond((tolerance.window_s * 1_000.0) as u64);
        }
        if usage.balance >= cost {
            usage.balance -= cost;
            usage.record(now_ms, cost);
            return Decision::Paid;
        }
        if now_ms < usage.refused_until_ms {
            return Decision::Beyond(usage.refused_until_ms - now_ms);
        }
        // Takes all units, so that concurrent requests do not count on the same ones.
        let held = mem::take(&mut usage.balance);
        let min_units = cost - held;
        let max_units = min_units + usage.prefetch_units(now_ms, tolerance);
        Decision::Ask {
            request: UnitRequest {
                min_units,
                max_units,
            },
            held,
        }
    }

    /// Records a grant for a request of the given cost; `units` includes the units that were set
    /// aside.
    pub fn granted(&mut self, now_ms: u64, account: u64, units: f64, cost: f64) {
        if let Some(usage) = self.by_account.get_mut(&account) {
            usage.balance += (units - cost).max(0.0);
            usage.granted_at_ms = Some(now_ms);
            usage.refused_until_ms = 0;
            usage.record(now_ms, cost);
        }
    }

    /// Records an owner's refusal.
    pub fn refused(&mut self, now_ms: u64, account: u64, wait_ms: u64) {
        if let Some(usage) = self.by_account.get_mut(&account) {
            usage.refused_until_ms = now_ms + wait_ms.min(REFUSAL_CACHE_MAX_MS);
        }
    }

    /// Returns whether a request may run although no owner answered.
    ///
    /// For a limited time an instance continues at the rate that owners granted it before. Units
    /// used this way are requested once an owner answers again, so that owners that are briefly
    /// late do not increase the total usage.
    pub fn may_run_without_owner(&mut self, now_ms: u64, account: u64, cost: f64) -> bool {
        let Some(usage) = self.by_account.get_mut(&account) else {
            return false;
        };
        let granted_at_ms = usage.granted_at_ms;
        let is_recent = granted_at_ms.is_some_and(|at_ms| now_ms < at_ms + FALLBACK_FOR_MS);
        let may_run = is_recent && usage.fallback.wait_ms(now_ms, cost) == 0;
        if may_run {
            usage.fallback.spend(now_ms, cost);
            usage.balance -= cost;
        }
        may_run
    }

    /// Gives back the units of a request that did not run, and returns how many of them have to be
    /// returned to an owner.
    ///
    /// Units that accumulate here could be used in a later window on top of what owners grant in
    /// that window.
    #[must_use]
    pub fn give_back(
        &mut self,
        now_ms: u64,
        account: u64,
        tolerance: &Tolerance,
        units: f64,
    ) -> f64 {
        let Some(usage) = self.by_account.get_mut(&account) else {
            return units;
        };
        let kept_max = usage.prefetch_units(now_ms, tolerance);
        usage.balance += units;
        let surplus = (usage.balance - kept_max).max(0.0);
        usage.balance -= surplus;
        surplus
    }

    /// Returns an account's usage; a new entry if there is none or the limit has changed.
    fn account_usage(&mut self, now_ms: u64, account: u64, limit: Limit) -> &mut Usage {
        if !self.by_account.contains_key(&account) {
            self.by_account
                .retain(|_, usage| now_ms < usage.used_at_ms + IDLE_EXPIRY_MS);
        }
        let usage = self
            .by_account
            .entry(account)
            .or_insert_with(|| Usage::new(now_ms, limit));
        if usage.limit != limit {
            // Units granted under another limit do not count under this one.
            *usage = Usage {
                rate_per_s: usage.rate_per_s.min(limit.rate_per_s),
                used_at_ms: usage.used_at_ms,
                ..Usage::new(now_ms, limit)
            };
        }
        usage
    }
}

impl Usage {
    /// Creates the usage of an account that has used nothing.
    fn new(now_ms: u64, limit: Limit) -> Self {
        Self {
            limit,
            balance: 0.0,
            rate_per_s: 0.0,
            used_at_ms: now_ms,
            refused_until_ms: 0,
            granted_at_ms: None,
            fallback: TokenBucket::new(0.0, 0.0, now_ms),
        }
    }

    /// Records units used with an owner's grant.
    fn record(&mut self, now_ms: u64, cost: f64) {
        self.rate_per_s = self.rate(now_ms) + cost * 1_000.0 / USAGE_AVERAGE_MS;
        self.used_at_ms = now_ms;
        // The burst allows one request at a time.
        let rate_per_s = self.rate_per_s.min(self.limit.rate_per_s);
        self.fallback.change(now_ms, rate_per_s, cost);
    }

    /// Returns how many units this instance may prefetch: all instances together hold a share of
    /// the tolerated excess, each in proportion to its usage.
    fn prefetch_units(&self, now_ms: u64, tolerance: &Tolerance) -> f64 {
        let held_units = tolerance.excess(self.limit) * PREFETCH_SHARE;
        self.rate(now_ms) * held_units / self.limit.rate_per_s.max(1.0)
    }

    /// Returns the usage averaged until now, in units per second.
    fn rate(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.used_at_ms) as f64;
        self.rate_per_s * (-since_ms / USAGE_AVERAGE_MS).exp()
    }
}
