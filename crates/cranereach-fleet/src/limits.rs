//! Limits of client accounts, over all instances together.
//!
//! A limit is split into a few parts; each has an owner, the same for all instances,
//! that keeps its bucket and grants units to whoever asks. An instance
//! asks for what one request needs and for a little more in advance, by what it was
//! granted lately; what it doesn't use it keeps, so that nothing has to be given back.
//!
//! A new owner knows nothing of what the one before it granted, and for a moment two
//! may grant. What that can add up to is bounded: a deployment tolerates an excess
//! over its limits, and the number of parts, what is held in advance, and what a new
//! owner begins with are each a share of it.

mod owned;

use std::collections::HashMap;
use std::mem;

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::owned::OwnedLimits;
pub use self::owned::Ownership;
use crate::accounts::Limit;
use cranereach_core::token_bucket::TokenBucket;

/// Share of it that all instances hold in advance together.
const PREFETCH_SHARE: f64 = 0.15;

/// Share of it that two owners of one part may grant in the time of a change of owner.
const OVERLAP_SHARE: f64 = 0.25;

/// Time for which two instances may own one part, in seconds: a sign of life takes so
/// long to reach all of some hundred instances (`tests/membership.rs`).
const OVERLAP_S: f64 = 1.5;

/// Parts of one limit at most.
const PART_MAX_COUNT: u32 = 64;

/// Smallest requests that one part allows within a window at least.
const PART_MIN_REQUEST_COUNT: f64 = 16.0;

/// Time without a question after which an owner forgets a part, in milliseconds: much
/// longer than windows.
const IDLE_EXPIRY_MS: u64 = 60_000;

/// Time over which an instance's use of an account is averaged, in milliseconds.
const USAGE_AVERAGE_MS: f64 = 3_000.0;

/// Longest time for which a refusal by owners holds for further requests without
/// asking again, in milliseconds.
const REFUSAL_CACHE_MAX_MS: u64 = 100;

/// Time for which an instance that reaches no owner goes on by what it used before, in
/// milliseconds.
const FALLBACK_FOR_MS: u64 = 4_000;

/// What a deployment tolerates beyond a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window that use is counted in, in seconds.
    pub window_s: f64,
    /// Excess, as a share of what the limit allows in a window.
    pub excess_share: f64,
    /// Excess besides, in units.
    pub allowance: f64,
}

impl Tolerance {
    /// Returns what may be used beyond a limit within one window, in units.
    pub fn excess(&self, limit: Limit) -> f64 {
        self.excess_share * self.whole(limit) + self.allowance
    }

    /// Returns what a limit allows within one window, in units.
    pub fn whole(&self, limit: Limit) -> f64 {
        limit.rate_per_s * self.window_s + limit.burst
    }

    /// Returns the number of parts of a limit: as many as keep what two owners of one
    /// part may grant within its share of the excess, but none so small that single
    /// requests don't fit.
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
        let fitting = self.whole(limit) / (limit.smallest_cost.max(1.0) * PART_MIN_REQUEST_COUNT);
        let count = count.min(fitting).min(f64::from(PART_MAX_COUNT));
        (count as u32).max(1)
    }
}

/// Names one part of an account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey {
    /// Key of the account.
    pub account: u64,
    /// Number of the part.
    pub part: u32,
}

impl PartKey {
    /// Returns the key that the part's owner is chosen by.
    pub fn owner_key(self) -> u64 {
        xxh3_64_with_seed(&self.part.to_le_bytes(), self.account)
    }
}

/// What an owner is asked for, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    /// The least that is of use.
    pub least: f64,
    /// The most that is taken.
    pub most: f64,
}

/// What an owner grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grant {
    /// So many units.
    Units(f64),
    /// Nothing until after a time, in milliseconds.
    After(u64),
}

/// What an instance does with a request of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is paid for.
    Paid,
    /// Owners are to be asked for the rest; what is held already is set aside for it.
    Ask {
        /// What to ask for.
        wanted: Wanted,
        /// Units that are set aside; given back if the request doesn't run.
        held: f64,
    },
    /// It is beyond the limit; there may be room after a time, in milliseconds.
    Beyond(u64),
}

/// What one instance uses of one account's limit.
#[derive(Clone, Debug)]
struct Usage {
    limit: Limit,
    /// Granted and not used yet, in units; below zero where more was used alone than
    /// owners have granted since.
    balance: f64,
    /// Units used per second, averaged.
    rate_per_s: f64,
    used_at_ms: u64,
    /// Until when owners have refused, in milliseconds.
    refused_until_ms: u64,
    /// When an owner granted something last, in milliseconds.
    granted_at_ms: Option<u64>,
    /// What may be used while no owner answers.
    fallback: TokenBucket,
}

/// What one instance uses of the accounts' limits.
#[derive(Clone, Debug, Default)]
pub struct Uses {
    by_account: HashMap<u64, Usage>,
}

impl Uses {
    /// Decides about a request that costs some units.
    pub fn decide(
        &mut self,
        now_ms: u64,
        account: u64,
        limit: Limit,
        tolerance: &Tolerance,
        cost: f64,
    ) -> Decision {
        let usage = self.account_usage(now_ms, account, limit);
        if cost > tolerance.whole(limit) {
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
        // Requests that ask at the same time must not count on the same units.
        let held = mem::take(&mut usage.balance);
        let least = cost - held;
        let most = least + usage.prefetch_units(now_ms, tolerance);
        Decision::Ask {
            wanted: Wanted { least, most },
            held,
        }
    }

    /// Takes what an owner granted, with what was set aside, for a request that costs
    /// some units.
    pub fn granted(&mut self, now_ms: u64, account: u64, units: f64, cost: f64) {
        if let Some(usage) = self.by_account.get_mut(&account) {
            usage.balance += (units - cost).max(0.0);
            usage.granted_at_ms = Some(now_ms);
            usage.refused_until_ms = 0;
            usage.record(now_ms, cost);
        }
    }

    /// Takes an owner's refusal.
    pub fn refused(&mut self, now_ms: u64, account: u64, wait_ms: u64) {
        if let Some(usage) = self.by_account.get_mut(&account) {
            usage.refused_until_ms = now_ms + wait_ms.min(REFUSAL_CACHE_MAX_MS);
        }
    }

    /// Whether a request may run although no owner answered: for a while an instance
    /// goes on at the rate that owners granted it before. What it uses so is asked for
    /// when one answers again, so that owners which are late for a moment add nothing.
    pub fn may_run_alone(&mut self, now_ms: u64, account: u64, cost: f64) -> bool {
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

    /// Gives back units of a request that did not run, and returns how many of them have
    /// to go back to an owner: what is saved up here could be used in a later window on
    /// top of what owners grant in that one.
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

    /// Returns an account's use, new if there is none or its limit has changed.
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
            // What was granted under another limit doesn't count under this one.
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
    /// Makes the use of an account that has used nothing.
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

    /// Notes units used with an owner's leave.
    fn record(&mut self, now_ms: u64, cost: f64) {
        self.rate_per_s = self.rate(now_ms) + cost * 1_000.0 / USAGE_AVERAGE_MS;
        self.used_at_ms = now_ms;
        // Room for one request at a time.
        let rate_per_s = self.rate_per_s.min(self.limit.rate_per_s);
        self.fallback.change(now_ms, rate_per_s, cost);
    }

    /// Returns what may be held in advance, in units: all instances together hold a
    /// share of the tolerated excess, each in proportion to what it uses.
    fn prefetch_units(&self, now_ms: u64, tolerance: &Tolerance) -> f64 {
        let held_units = tolerance.excess(self.limit) * PREFETCH_SHARE;
        self.rate(now_ms) * held_units / self.limit.rate_per_s.max(1.0)
    }

    /// Returns the units used per second, averaged until now.
    fn rate(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.used_at_ms) as f64;
        self.rate_per_s * (-since_ms / USAGE_AVERAGE_MS).exp()
    }
}
