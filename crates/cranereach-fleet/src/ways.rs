//! How long answers of other instances take, by distance, and how long to wait for one.
//!
//! A constant doesn't fit both the next rack and the other side of a sea: what is too
//! short there loses every answer, what is enough there holds up a request here whenever
//! an owner has just died. So the way there and back is learned from answers, as
//! transport protocols do: its mean, and four times its mean deviation.

use crate::topology::Distance;

/// Part of the old mean that one more answer leaves; some eight answers count.
const MEAN_DECAY: f64 = 0.875;

/// Part of the old deviation that one more answer leaves.
const DEVIATION_DECAY: f64 = 0.75;

/// Deviations beyond the mean that are waited for.
const DEVIATION_FACTOR: f64 = 4.0;

/// Time that is waited besides, in milliseconds: whoever is asked may be busy.
const SLACK_MS: f64 = 10.0;

/// Least that an answer is waited for, in milliseconds: some ten times the way there and
/// back within a region.
const TIMEOUT_MIN_MS: f64 = 20.0;

/// Most that an answer is waited for, in milliseconds, by distance. Within a region one
/// that takes longer comes from an instance that is slow or gone, and waiting for it
/// would hold up every call; beyond it is little against the aims of requests that are
/// worth a choice.
const TIMEOUT_MAX_MS: [f64; 3] = [20.0, 25.0, 80.0];

/// Time there and back before anything is known, in milliseconds, by distance.
const INITIAL_MEANS_MS: [f64; 3] = [2.0, 4.0, 40.0];

/// Ways there and back until a call begins on a new connection.
const ROUND_TRIPS_PER_CALL: f64 = 2.0;

/// Questions in a row without an answer from which on the wait is doubled: one owner
/// that has died answers nobody, and says nothing of the way.
const MISSED_REPLY_LIMIT: u32 = 4;

/// The way to one distance and back.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean_ms: f64,
    deviation_ms: f64,
    is_measured: bool,
    missed_reply_count: u32,
}

/// The ways to all distances and back.
///
/// ```
/// use cranereach_fleet::topology::Distance;
/// use cranereach_fleet::ways::Ways;
///
/// let mut ways = Ways::default();
/// for _answer in 0..20 {
///     ways.answered(Distance::OtherRegion, 17.0);
/// }
/// assert!((17..40).contains(&ways.wait_ms(Distance::OtherRegion)));
/// assert_eq!(ways.wait_ms(Distance::OwnDomain), 20);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    /// By distance, as in [`Distance::ALL`].
    estimates: [RoundTrip; 3],
}

impl Default for Ways {
    fn default() -> Self {
        let estimates = INITIAL_MEANS_MS.map(|mean_ms| RoundTrip {
            mean_ms,
            deviation_ms: mean_ms / 4.0,
            is_measured: false,
            missed_reply_count: 0,
        });
        Self { estimates }
    }
}

impl Ways {
    /// Notes that an answer took a time, in milliseconds.
    pub fn answered(&mut self, distance: Distance, took_ms: f64) {
        let estimate = &mut self.estimates[distance as usize];
        estimate.missed_reply_count = 0;
        if !estimate.is_measured {
            estimate.is_measured = true;
            estimate.mean_ms = took_ms;
            estimate.deviation_ms = took_ms / 2.0;
            return;
        }
        let error_ms = (took_ms - estimate.mean_ms).abs();
        estimate.deviation_ms =
            estimate.deviation_ms * DEVIATION_DECAY + error_ms * (1.0 - DEVIATION_DECAY);
        estimate.mean_ms = estimate.mean_ms * MEAN_DECAY + took_ms * (1.0 - MEAN_DECAY);
    }

    /// Notes that an answer was waited for in vain.
    pub fn missed(&mut self, distance: Distance) {
        let estimate = &mut self.estimates[distance as usize];
        estimate.missed_reply_count += 1;
        if estimate.missed_reply_count >= MISSED_REPLY_LIMIT {
            estimate.missed_reply_count = 0;
            estimate.deviation_ms =
                (estimate.deviation_ms * 2.0 + 1.0).min(TIMEOUT_MAX_MS[distance as usize]);
        }
    }

    /// Returns for how long an answer is waited for, in milliseconds.
    pub fn wait_ms(&self, distance: Distance) -> u64 {
        let estimate = &self.estimates[distance as usize];
        let wait_ms = estimate.mean_ms + estimate.deviation_ms * DEVIATION_FACTOR + SLACK_MS;
        wait_ms.clamp(TIMEOUT_MIN_MS, TIMEOUT_MAX_MS[distance as usize]) as u64
    }

    /// Returns by how much later a call begins at a worker of each distance than at a
    /// near one, in milliseconds: the way there and back for its connection, and once
    /// more for itself.
    ///
    /// ```
    /// use cranereach_fleet::topology::Distance;
    /// use cranereach_fleet::ways::Ways;
    ///
    /// let mut ways = Ways::default();
    /// ways.answered(Distance::OwnDomain, 1.0);
    /// ways.answered(Distance::OtherRegion, 17.0);
    /// assert_eq!(ways.crossings_ms()[0], 0.0);
    /// assert_eq!(ways.crossings_ms()[2], 32.0);
    /// ```
    pub fn crossings_ms(&self) -> [f64; 3] {
        let near_ms = self.round_trip_ms(Distance::OwnDomain);
        let extra_ms = |distance| ROUND_TRIPS_PER_CALL * (self.round_trip_ms(distance) - near_ms);
        Distance::ALL.map(|distance| extra_ms(distance).max(0.0))
    }

    /// Returns the time there and back, in milliseconds.
    pub fn round_trip_ms(&self, distance: Distance) -> f64 {
        self.estimates[distance as usize].mean_ms
    }
}
