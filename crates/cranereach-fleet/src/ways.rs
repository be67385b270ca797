//! Round-trip times to other instances, by distance, and the reply timeouts derived from
//! them.
//!
//! No constant suits both the next rack and another continent: too short a timeout loses
//! every reply from far away, too long a one delays requests nearby whenever an owner has
//! just died. So the round-trip time is estimated from replies as in TCP: its mean plus
//! four times its mean deviation.

use crate::topology::Distance;

/// Weight of the old mean when a new sample is added; it averages over about eight replies.
const MEAN_DECAY: f64 = 0.875;

/// Weight of the old mean deviation when a new sample is added.
const DEVIATION_DECAY: f64 = 0.75;

/// Number of mean deviations added to the mean for the timeout.
const DEVIATION_FACTOR: f64 = 4.0;

/// Time added to the timeout, in milliseconds: the instance that is asked may be busy.
const SLACK_MS: f64 = 10.0;

/// Minimum timeout, in milliseconds: about ten round trips within a region.
const TIMEOUT_MIN_MS: f64 = 20.0;

/// Maximum timeout by distance, in milliseconds. Within a region a slower reply comes from
/// an instance that is slow or dead, and waiting for it would delay every call. Across
/// regions the timeout is still small against the latency targets of the requests that ask
/// an owner.
const TIMEOUT_MAX_MS: [f64; 3] = [20.0, 25.0, 80.0];

/// Initial mean round-trip time by distance, in milliseconds, used until the first reply.
const INITIAL_MEANS_MS: [f64; 3] = [2.0, 4.0, 40.0];

/// Round trips until a call on a new connection reaches a worker: one to connect, one for
/// the call.
const ROUND_TRIPS_PER_CALL: f64 = 2.0;

/// Consecutive unanswered requests after which the deviation is doubled: a single dead
/// owner answers nobody and says nothing about the round-trip time.
const MISSED_REPLY_LIMIT: u32 = 4;

/// Estimate of the round-trip time for one distance.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean_ms: f64,
    deviation_ms: f64,
    is_measured: bool,
    missed_reply_count: u32,
}

/// Estimates of the round-trip times for all distances.
///
/// ```
/// use cranereach_fleet::topology::Distance;
/// use cranereach_fleet::ways::RoundTrips;
///
/// let mut round_trips = RoundTrips::default();
/// for _answer in 0..20 {
///     round_trips.reply_received(Distance::OtherRegion, 17.0);
/// }
/// assert!((17..40).contains(&round_trips.wait_ms(Distance::OtherRegion)));
/// assert_eq!(round_trips.wait_ms(Distance::OwnDomain), 20);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RoundTrips {
    /// Indexed by distance, as in [`Distance::ALL`].
    estimates: [RoundTrip; 3],
}

impl Default for RoundTrips {
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

impl RoundTrips {
    /// Records the time that a reply took, in milliseconds.
    pub fn reply_received(&mut self, distance: Distance, took_ms: f64) {
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

    /// Records that no reply came before the timeout.
    pub fn reply_missed(&mut self, distance: Distance) {
        let estimate = &mut self.estimates[distance as usize];
        estimate.missed_reply_count += 1;
        if estimate.missed_reply_count >= MISSED_REPLY_LIMIT {
            estimate.missed_reply_count = 0;
            estimate.deviation_ms =
                (estimate.deviation_ms * 2.0 + 1.0).min(TIMEOUT_MAX_MS[distance as usize]);
        }
    }

    /// Returns the reply timeout, in milliseconds.
    pub fn wait_ms(&self, distance: Distance) -> u64 {
        let estimate = &self.estimates[distance as usize];
        let wait_ms = estimate.mean_ms + estimate.deviation_ms * DEVIATION_FACTOR + SLACK_MS;
        wait_ms.clamp(TIMEOUT_MIN_MS, TIMEOUT_MAX_MS[distance as usize]) as u64
    }

    /// Returns by how much later a call begins at a worker of each distance than at one in
    /// the own failure domain, in milliseconds: one extra round trip for the connection and
    /// one for the call.
    ///
    /// ```
    /// use cranereach_fleet::topology::Distance;
    /// use cranereach_fleet::ways::RoundTrips;
    ///
    /// let mut round_trips = RoundTrips::default();
    /// round_trips.reply_received(Distance::OwnDomain, 1.0);
    /// round_trips.reply_received(Distance::OtherRegion, 17.0);
    /// assert_eq!(round_trips.extra_start_delays_ms()[0], 0.0);
    /// assert_eq!(round_trips.extra_start_delays_ms()[2], 32.0);
    /// ```
    pub fn extra_start_delays_ms(&self) -> [f64; 3] {
        let near_ms = self.round_trip_ms(Distance::OwnDomain);
        let extra_ms = |distance| ROUND_TRIPS_PER_CALL * (self.round_trip_ms(distance) - near_ms);
        Distance::ALL.map(|distance| extra_ms(distance).max(0.0))
    }

    /// Returns the mean round-trip time, in milliseconds.
    pub fn round_trip_ms(&self, distance: Distance) -> f64 {
        self.estimates[distance as usize].mean_ms
    }
}
