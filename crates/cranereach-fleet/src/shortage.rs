//! Chooses the retry delay of refused callers, from how long the shortage has lasted.
//!
//! When a caller is refused, the time until there would be room for it alone is known. Under
//! overload, that time is short and wrong: new callers take the room first, and a caller that
//! comes back at once is refused again. How long an overload will last is unknown; the best guess
//! is that it lasts as long again as it has so far. So the first callers are told to come back
//! soon, and later ones are spread over ever longer times.

use std::collections::HashMap;

/// Time without a refusal after which a shortage is over, in milliseconds: one instance among many
/// sees a caller of the same kind about every second.
const ENDED_AFTER_MS: u64 = 2_000;

/// Upper bound of the delay before jitter, in milliseconds: few requests have a later deadline.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// Maximum jitter in either direction, as a share of the delay, so that callers that were refused
/// together don't come back together.
const JITTER_SHARE: f64 = 0.3;

/// Maximum number of shortages that are tracked.
const SHORTAGE_MAX_COUNT: usize = 4_096;

/// A series of refusals for the same reason.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    since_ms: u64,
    last_ms: u64,
}

/// Ongoing shortages by what is lacking (an account's limit, a service's or model's workers), each
/// under a key that the caller chooses.
///
/// ```
/// use cranereach_fleet::shortage::Shortages;
///
/// let mut shortages = Shortages::default();
/// // A random number of 0.5 means no jitter.
/// assert_eq!(shortages.retry_delay_ms(1_000, 7, 60, 0.5), 60);
/// assert_eq!(shortages.retry_delay_ms(2_000, 7, 60, 0.5), 1_000);
/// assert_eq!(shortages.retry_delay_ms(3_500, 7, 60, 0.5), 2_500);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    by_key: HashMap<u64, Shortage>,
}

impl Shortages {
    /// Records a refusal; returns the delay after which the caller should retry, in milliseconds,
    /// at least `room_in_ms`.
    ///
    /// `random` is a random number from 0 to 1, for the jitter.
    pub fn retry_delay_ms(&mut self, now_ms: u64, key: u64, room_in_ms: u64, random: f64) -> u64 {
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
