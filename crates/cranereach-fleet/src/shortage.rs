//! When refused callers had better come back, from how long there has been no room.
//!
//! What a refusal knows is when there would be room for this one caller. In overload
//! that time is near and wrong: new callers take the room first, and who comes back
//! at once is refused again. Nothing tells how long an overload goes on; the best
//! guess is that it lasts for as long again as it has lasted so far. So the first
//! callers are told to come back soon, and the later ones are spread ever wider.

use std::collections::HashMap;

/// Time without a refusal after which a shortage is over, in milliseconds: an instance
/// among many sees a caller of the same kind every second or so.
const ENDED_AFTER_MS: u64 = 2_000;

/// Longest time that a caller is told to stay away for by this, in milliseconds: few
/// deadlines are further off.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// Share by which the time is varied either way, so that callers who were refused
/// together don't come back together.
const JITTER_SHARE: f64 = 0.3;

/// Shortages that are remembered at most.
const SHORTAGE_MAX_COUNT: usize = 4_096;

/// Refusals of one kind that follow each other.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    since_ms: u64,
    last_ms: u64,
}

/// Shortages by what there is none of: an account's limit, a service's or model's
/// workers, each by a key of the caller's choice.
///
/// ```
/// use cranereach_fleet::shortage::Shortages;
///
/// let mut shortages = Shortages::default();
/// // With 0.5 the time isn't random.
/// assert_eq!(shortages.back_after_ms(1_000, 7, 60, 0.5), 60);
/// assert_eq!(shortages.back_after_ms(2_000, 7, 60, 0.5), 1_000);
/// assert_eq!(shortages.back_after_ms(3_500, 7, 60, 0.5), 2_500);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    by_key: HashMap<u64, Shortage>,
}

impl Shortages {
    /// Notes a refusal for want of something; returns after what time its caller had
    /// better come back, in milliseconds, at least `room_in_ms`.
    ///
    /// `varied` is a number by chance from 0 to 1.
    pub fn back_after_ms(&mut self, now_ms: u64, key: u64, room_in_ms: u64, random: f64) -> u64 {
        if self.by_key.len() >= SHORTAGE_MAX_COUNT {
            self.by_key
                .retain(|_, shortage| now_ms < shortage.last_ms + ENDED_AFTER_MS);
        }
        if self.by_key.len() >= SHORTAGE_MAX_COUNT && !self.by_key.contains_key(&key) {
            return room_in_ms;
        }
        let started = Shortage {
            since_ms: now_ms,
            last_ms: now_ms,
        };
        let shortage = self.by_key.entry(key).or_insert(started);
        if now_ms >= shortage.last_ms + ENDED_AFTER_MS {
            *shortage = started;
        }
        shortage.last_ms = now_ms;
        let lasted_ms = (now_ms - shortage.since_ms).min(RETRY_AFTER_MAX_MS) as f64;
        let jitter = 1.0 + (random - 0.5) * 2.0 * JITTER_SHARE;
        room_in_ms.max((lasted_ms * jitter) as u64)
    }
}
