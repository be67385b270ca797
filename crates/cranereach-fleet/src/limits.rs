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

use std::collections::HashMap;
use std::mem;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::accounts::Limit;
use cranereach_core::token_bucket::TokenBucket;

/// Share of the tolerated excess that owners grant beyond the limit within a window:
/// instances see requests in another order than their callers sent them.
const BEYOND_SHARE: f64 = 0.15;

/// Share of it that all instances hold in advance together.
const ADVANCE_SHARE: f64 = 0.15;

/// Share of it that new owners begin with: a change may have two, there and back.
const BEGINNING_SHARE: f64 = 0.15;

/// Share of it that two owners of one part may grant in the time of a change of owner.
const OVERLAP_SHARE: f64 = 0.25;

/// Time for which two instances may own one part, in seconds: a sign of life takes so
/// long to reach all of some hundred instances (`tests/membership.rs`).
const OVERLAP_S: f64 = 1.5;

/// Share of its rate that a new owner grants at first: another one may still be asked
/// by instances that don't know of it yet.
const FIRST_RATE_SHARE: f64 = 0.3;

/// Time for which it does so, in milliseconds: until all know of it.
const FIRST_FOR_MS: u64 = 2_500;

/// Parts of one limit at most.
const PART_MAX_COUNT: u32 = 64;

/// Smallest requests that one part allows within a window at least.
const PART_LEAST_COUNT: f64 = 16.0;

/// Time without a question after which an owner forgets a part, in milliseconds: much
/// longer than windows.
const FORGOTTEN_AFTER_MS: u64 = 60_000;

/// Parts that an owner remembers at most.
const OWNED_MAX_COUNT: usize = 65_536;

/// Time over which an instance's use of an account is averaged, in milliseconds.
const USE_OVER_MS: f64 = 3_000.0;

/// Longest time for which a refusal by owners holds for further requests without
/// asking again, in milliseconds.
const REFUSED_FOR_MAX_MS: u64 = 100;

/// Time for which an instance that reaches no owner goes on by what it used before, in
/// milliseconds.
const ALONE_FOR_MS: u64 = 4_000;

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
        let fitting = self.whole(limit) / (limit.smallest_cost.max(1.0) * PART_LEAST_COUNT);
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

/// One part of a limit at its owner.
#[derive(Clone, Debug)]
struct OwnedPart {
    bucket: TokenBucket,
    asked_at_ms: u64,
    /// Until when it grants a share of its rate only, in milliseconds.
    first_until_ms: u64,
}

/// The parts that one instance owns.
#[derive(Clone, Debug, Default)]
pub struct OwnedLimits {
    parts: HashMap<PartKey, OwnedPart>,
}

impl OwnedLimits {
    /// Grants what is asked for out of a part of a limit.
    ///
    /// `is_settled` says that this instance and the fleet have been the same for a
    /// window: a part that nobody has asked for since then wasn't used.
    pub fn take(
        &mut self,
        now_ms: u64,
        key: PartKey,
        limit: Limit,
        tolerance: &Tolerance,
        wanted: Wanted,
        is_settled: bool,
    ) -> Grant {
        if self.parts.len() >= OWNED_MAX_COUNT {
            self.forget(now_ms);
        }
        let count = f64::from(tolerance.part_count(limit));
        let excess = tolerance.excess(limit);
        let capacity = limit.burst / count;
        let beyond_per_s = excess * BEYOND_SHARE / tolerance.window_s;
        let rate_per_s = (limit.rate_per_s + beyond_per_s) / count;
        let part = self.parts.entry(key).or_insert_with(|| {
            let beginning = (excess * BEGINNING_SHARE / count).min(capacity);
            let level = if is_settled { capacity } else { beginning };
            let first_for_ms = if is_settled { 0 } else { FIRST_FOR_MS };
            OwnedPart {
                bucket: TokenBucket::new(0.0, capacity, now_ms).with_level(level),
                asked_at_ms: now_ms,
                first_until_ms: now_ms + first_for_ms,
            }
        });
        part.asked_at_ms = now_ms;
        let is_first = now_ms < part.first_until_ms;
        let share = if is_first { FIRST_RATE_SHARE } else { 1.0 };
        part.bucket.change(now_ms, rate_per_s * share, capacity);
        // A request larger than the bucket goes when it is full, and is paid off after.
        let least = wanted.least.min(capacity);
        match part.bucket.wait_ms(now_ms, least) {
            0 => {
                let most = wanted.most.min(part.bucket.level(now_ms));
                let units = wanted.least.max(most);
                part.bucket.spend(now_ms, units);
                Grant::Units(units)
            }
            wait_ms => Grant::After(wait_ms),
        }
    }

    /// Forgets parts that nobody has asked for in a while.
    pub fn forget(&mut self, now_ms: u64) {
        self.parts
            .retain(|_, part| now_ms < part.asked_at_ms + FORGOTTEN_AFTER_MS);
    }
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
struct Use {
    limit: Limit,
    /// Granted and not used yet, in units.
    in_advance: f64,
    /// Units used per second, averaged.
    rate_per_s: f64,
    used_at_ms: u64,
    /// Until when owners have refused, in milliseconds.
    refused_until_ms: u64,
    /// When an owner granted something last, in milliseconds.
    granted_at_ms: Option<u64>,
    /// What may be used while no owner answers.
    alone: TokenBucket,
}

/// What one instance uses of the accounts' limits.
#[derive(Clone, Debug, Default)]
pub struct Uses {
    by_account: HashMap<u64, Use>,
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
        let of = self.of(now_ms, account, limit);
        if cost > tolerance.whole(limit) {
            return Decision::Beyond((tolerance.window_s * 1_000.0) as u64);
        }
        if of.in_advance >= cost {
            of.in_advance -= cost;
            of.used(now_ms, cost);
            return Decision::Paid;
        }
        if now_ms < of.refused_until_ms {
            return Decision::Beyond(of.refused_until_ms - now_ms);
        }
        // Requests that ask at the same time must not count on the same units.
        let held = mem::take(&mut of.in_advance);
        let least = cost - held;
        let advance_s = tolerance.excess(limit) * ADVANCE_SHARE / limit.rate_per_s.max(1.0);
        let most = least + of.rate(now_ms) * advance_s;
        Decision::Ask {
            wanted: Wanted { least, most },
            held,
        }
    }

    /// Takes what an owner granted, with what was set aside, for a request that costs
    /// some units.
    pub fn granted(&mut self, now_ms: u64, account: u64, units: f64, cost: f64) {
        if let Some(of) = self.by_account.get_mut(&account) {
            of.in_advance += (units - cost).max(0.0);
            of.granted_at_ms = Some(now_ms);
            of.refused_until_ms = 0;
            of.used(now_ms, cost);
        }
    }

    /// Takes an owner's refusal.
    pub fn refused(&mut self, now_ms: u64, account: u64, wait_ms: u64) {
        if let Some(of) = self.by_account.get_mut(&account) {
            of.refused_until_ms = now_ms + wait_ms.min(REFUSED_FOR_MAX_MS);
        }
    }

    /// Whether a request may run although no owner answered: for a while an instance
    /// goes on at the rate that owners granted it before.
    pub fn may_run_alone(&mut self, now_ms: u64, account: u64, cost: f64) -> bool {
        let Some(of) = self.by_account.get_mut(&account) else {
            return false;
        };
        let granted_at_ms = of.granted_at_ms;
        let is_recent = granted_at_ms.is_some_and(|at_ms| now_ms < at_ms + ALONE_FOR_MS);
        let may_run = is_recent && of.alone.wait_ms(now_ms, cost) == 0;
        if may_run {
            of.alone.spend(now_ms, cost);
        }
        may_run
    }

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, account: u64, units: f64) {
        if let Some(of) = self.by_account.get_mut(&account) {
            of.in_advance += units;
        }
    }

    /// Returns an account's use, new if there is none or its limit has changed.
    fn of(&mut self, now_ms: u64, account: u64, limit: Limit) -> &mut Use {
        if !self.by_account.contains_key(&account) {
            self.by_account
                .retain(|_, of| now_ms < of.used_at_ms + FORGOTTEN_AFTER_MS);
        }
        let of = self
            .by_account
            .entry(account)
            .or_insert_with(|| Use::new(now_ms, limit));
        if of.limit != limit {
            // What was granted under another limit doesn't count under this one.
            *of = Use {
                rate_per_s: of.rate_per_s.min(limit.rate_per_s),
                used_at_ms: of.used_at_ms,
                ..Use::new(now_ms, limit)
            };
        }
        of
    }
}

impl Use {
    /// Makes the use of an account that has used nothing.
    fn new(now_ms: u64, limit: Limit) -> Self {
        Self {
            limit,
            in_advance: 0.0,
            rate_per_s: 0.0,
            used_at_ms: now_ms,
            refused_until_ms: 0,
            granted_at_ms: None,
            alone: TokenBucket::new(0.0, 0.0, now_ms),
        }
    }

    /// Notes units used with an owner's leave.
    fn used(&mut self, now_ms: u64, cost: f64) {
        self.rate_per_s = self.rate(now_ms) + cost * 1_000.0 / USE_OVER_MS;
        self.used_at_ms = now_ms;
        // Room for one request at a time.
        let rate_per_s = self.rate_per_s.min(self.limit.rate_per_s);
        self.alone.change(now_ms, rate_per_s, cost.max(rate_per_s));
    }

    /// Returns the units used per second, averaged until now.
    fn rate(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.used_at_ms) as f64;
        self.rate_per_s * (-since_ms / USE_OVER_MS).exp()
    }
}
