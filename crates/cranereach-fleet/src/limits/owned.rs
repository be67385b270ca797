//! Parts of limits on the instances that own them.

use std::collections::HashMap;

use super::Grant;
use super::IDLE_EXPIRY_MS;
use super::PartKey;
use super::Tolerance;
use super::UnitRequest;
use crate::accounts::Limit;
use cranereach_core::token_bucket::TokenBucket;

/// Share of the tolerated excess that owners grant beyond the limit within a window: requests reach
/// instances in another order than their callers sent them.
const REORDERING_SHARE: f64 = 0.15;

/// Share of the tolerated excess that a new owner's bucket holds at first: one change of membership
/// may bring two new owners, when ownership moves away and back.
const INITIAL_LEVEL_SHARE: f64 = 0.15;

/// Share of the tolerated excess that stand-ins grant within a window: instances that are asked in
/// place of owners that answer late.
const STAND_IN_SHARE: f64 = 0.15;

/// Share of its rate that a new owner grants at first: instances that do not know of it yet may
/// still ask the previous owner.
const RAMP_UP_RATE_SHARE: f64 = 0.3;

/// Time for which a new owner grants only that share, in milliseconds: until all instances know of
/// it.
const RAMP_UP_MS: u64 = 2_500;

/// Number of parts from which on an owner removes idle entries.
const OWNED_MAX_COUNT: usize = 65_536;

/// Role of an instance for a part of a limit that it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// It owns the part, and the membership has not changed for a window: a part without an entry
    /// was not used in that time.
    Settled,
    /// It owns the part, but the membership has just changed: another instance may have granted
    /// before and may go on for a moment.
    Fresh,
    /// It owns the part, and all instances have just started: the processes that granted before
    /// have ended.
    Restarted,
    /// It does not own the part. The caller got no answer from the owner in time, but the owner may
    /// be alive and still grant to others.
    StandIn,
}

/// One part of a limit on its owner.
#[derive(Clone, Debug)]
struct OwnedPart {
    bucket: TokenBucket,
    asked_at_ms: u64,
    /// Time until which only a share of the rate is granted, in milliseconds.
    ramp_up_until_ms: u64,
    is_stand_in: bool,
}

/// The parts of limits that one instance owns.
#[derive(Clone, Debug, Default)]
pub struct OwnedLimits {
    parts: HashMap<PartKey, OwnedPart>,
}

impl OwnedLimits {
    /// Grants units from a part of a limit.
    ///
    /// The total that stand-ins grant within a window stays within their share of the excess,
    /// however many owners answer late at the same time.
    pub fn take(
        &mut self,
        now_ms: u64,
        key: PartKey,
        limit: Limit,
        tolerance: &Tolerance,
        request: UnitRequest,
        ownership: Ownership,
    ) -> Grant {
        if self.parts.len() >= OWNED_MAX_COUNT {
            self.forget(now_ms);
        }
        let count = f64::from(tolerance.part_count(limit));
        let excess = tolerance.excess(limit);
        let capacity = limit.burst / count;
        let reordering_per_s = excess * REORDERING_SHARE / tolerance.window_s;
        let rate_per_s = (limit.rate_per_s + reordering_per_s) / count;
        let part = self.parts.entry(key).or_insert_with(|| {
            let initial_level = (excess * INITIAL_LEVEL_SHARE / count).min(capacity);
            let (level, ramp_up_ms) = match ownership {
                Ownership::Settled => (capacity, 0),
                Ownership::Restarted => (initial_level, 0),
                Ownership::Fresh | Ownership::StandIn => (initial_level, RAMP_UP_MS),
            };
            OwnedPart {
                bucket: TokenBucket::new(0.0, capacity, now_ms).with_level(level),
                asked_at_ms: now_ms,
                ramp_up_until_ms: now_ms + ramp_up_ms,
                is_stand_in: ownership == Ownership::StandIn,
            }
        });
        part.asked_at_ms = now_ms;
        let is_stand_in = ownership == Ownership::StandIn;
        if part.is_stand_in && !is_stand_in {
            // The previous owner may have granted until just now.
            part.ramp_up_until_ms = now_ms + RAMP_UP_MS;
        }
        part.is_stand_in = is_stand_in;
        let stand_in_per_s = excess * STAND_IN_SHARE / tolerance.window_s / count;
        let rate_per_s = if is_stand_in {
            stand_in_per_s
        } else if now_ms < part.ramp_up_until_ms {
            rate_per_s * RAMP_UP_RATE_SHARE
        } else {
            rate_per_s
        };
        part.bucket.change(now_ms, rate_per_s, capacity);
        // A request larger than the bucket is granted when the bucket is full; the debt is paid off
        // afterwards.
        let min_units = request.min_units.min(capacity);
        match part.bucket.wait_ms(now_ms, min_units) {
            0 => {
                let max_units = request.max_units.min(part.bucket.level(now_ms));
                let units = request.min_units.max(max_units);
                part.bucket.spend(now_ms, units);
                Grant::Units(units)
            }
            wait_ms => Grant::After(wait_ms),
        }
    }

    /// Takes back units that were granted and not used.
    pub fn give_back(&mut self, now_ms: u64, key: PartKey, units: f64) {
        let part = self.parts.get_mut(&key);
        if let Some(part) = part.filter(|part| !part.is_stand_in) {
            part.bucket.spend(now_ms, -units.max(0.0));
        }
    }

    /// Removes parts that nobody has asked for in a while.
    pub fn forget(&mut self, now_ms: u64) {
        self.parts
            .retain(|_, part| now_ms < part.asked_at_ms + IDLE_EXPIRY_MS);
    }
}
