//! Rules for how many requests an owner grants in a window, by the reason why the worker is limited
//! and by the owner's role.

use super::GRANT_VALID_MS;
use super::Ownership;
use crate::named_limit::MIN_RATE_PER_S;

/// Maximum time that a request takes from its sender to the worker, in milliseconds.
const TRANSIT_MAX_MS: u64 = 60;

/// Window in which an owner counts its grants for a cold worker, in milliseconds: requests that
/// reach the worker within one second may have been granted this far apart.
const COLD_WINDOW_MS: u64 = 1_000 + GRANT_VALID_MS + TRANSIT_MAX_MS;

/// Share of its part that a new owner grants.
const NEW_OWNER_SHARE: f64 = 0.5;

/// Burst that a named limit allows, in seconds of its rate: a quarter of what one second allows.
/// With it, a busy worker gets nine tenths of the rate that it names (`tests/sends`), and all
/// windows stay within the tolerance.
const LIMIT_BURST_S: f64 = 0.25;

/// Maximum number of grants for a named limit that a window counts.
const LIMIT_MAX_COUNT: f64 = 1_024.0;

/// How many requests may be sent within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendRule {
    /// Grants of one owner within a window.
    pub(super) count: usize,
    /// Length of the window, in milliseconds.
    pub(super) window_ms: f64,
    /// Whether an owner that hears only a minority grants in proportion to it.
    has_minority_share: bool,
}

impl SendRule {
    /// Creates the rule for cold workers that sustain `rate_per_s`, where `excess_ratio` times that
    /// rate plus `allowance_count` requests are tolerated within one second.
    ///
    /// ```
    /// use cranereach_fleet::send_grants::SendRule;
    ///
    /// assert_eq!(SendRule::of_cold(8.7, 1.5, 5.0).count(), 9);
    /// assert_eq!(SendRule::of_cold(2.0, 1.5, 5.0).count(), 2);
    /// ```
    pub fn of_cold(rate_per_s: f64, excess_ratio: f64, allowance_count: f64) -> Self {
        let tolerated_count = (rate_per_s * excess_ratio + allowance_count).floor();
        let sustained_count = rate_per_s * COLD_WINDOW_MS as f64 / 1_000.0;
        // Two owners may grant at the same time.
        let count = (tolerated_count / 2.0).min(sustained_count.max(1.0));
        Self {
            count: count.max(0.0) as usize,
            window_ms: COLD_WINDOW_MS as f64,
            has_minority_share: false,
        }
    }

    /// Creates the rule for workers that name a limit: an average rate with a small burst. Within
    /// any four seconds one owner grants at most 4.4 times the limit plus two requests, and another
    /// one that takes over 1.5 times the limit plus two.
    ///
    /// ```
    /// use cranereach_fleet::send_grants::SendRule;
    ///
    /// assert_eq!(SendRule::of_limit(1.2).count(), 2);
    /// assert_eq!(SendRule::of_limit(200.0).count(), 51);
    /// ```
    pub fn of_limit(rate_per_s: f64) -> Self {
        let rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        let count = ((rate_per_s * LIMIT_BURST_S).ceil() + 1.0).min(LIMIT_MAX_COUNT);
        Self {
            count: count as usize,
            window_ms: count / rate_per_s * 1_000.0,
            has_minority_share: true,
        }
    }

    /// Returns how many requests one owner grants within a window.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the rule for an owner in the given role; none if it grants nothing.
    pub(super) fn for_ownership(self, ownership: Ownership) -> Option<Self> {
        match ownership {
            Ownership::Settled => Some(self),
            Ownership::New => Some(self.halved()),
            Ownership::Minority { share, for_ms } => {
                let interval_ms =
                    self.window_ms / self.count.max(1) as f64 / share.max(f64::EPSILON);
                let is_due = for_ms as f64 >= interval_ms;
                (self.has_minority_share && is_due).then_some(Self {
                    count: 1,
                    window_ms: interval_ms,
                    ..self
                })
            }
            Ownership::Other => None,
        }
    }

    /// Returns the rule of a new owner.
    fn halved(self) -> Self {
        if self.count > 1 {
            Self {
                count: (self.count as f64 * NEW_OWNER_SHARE) as usize,
                ..self
            }
        } else {
            Self {
                window_ms: self.window_ms / NEW_OWNER_SHARE,
                ..self
            }
        }
    }
}
