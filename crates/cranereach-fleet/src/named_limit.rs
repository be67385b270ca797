//! Rate limit that an overloaded worker names in its answers: the requests per second that
//! it accepts from all instances together, valid until it names another one.
//!
//! Each instance keeps the newest report, received from the worker itself or from a peer.
//! Arrival order doesn't tell which report is newer, because answers overtake one another.
//! So a report that loosens the limit counts only if the request it answers was sent after
//! the tighter limit had been received; one that tightens the limit counts at once.
//!
//! A limit ends with a successful answer that names none, with a peer's report that there
//! is none, when nothing has named it for [`LIMIT_EXPIRES_AFTER_MS`], when the worker restarts,
//! and when its row is removed.

use serde::Deserialize;
use serde::Serialize;

use crate::freshness::TRANSIT_ALLOWANCE_MS;

/// Time after which a limit that is no longer named expires, in milliseconds: six requests
/// at the lowest rate that any worker gets ([`MIN_RATE_PER_S`]). A worker that receives
/// requests names its limit again long before.
pub const LIMIT_EXPIRES_AFTER_MS: u64 = 60_000;

/// Minimum rate of requests to any worker, in requests per second, whatever limit it names:
/// without an answer it could not report its recovery. One request in ten seconds is within
/// what is tolerated of a worker that names no limit at all.
pub const MIN_RATE_PER_S: f64 = 0.1;

/// Requests per second from which a limit counts as none: no worker is sent that many.
const UNLIMITED_RATE_PER_S: f64 = 1_000_000.0;

/// Maximum length of a header value, in bytes; a decimal number needs no more.
const VALUE_MAX_BYTES: usize = 32;

/// What one answer says about a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedRate {
    /// No limit is named.
    Nothing,
    /// A limit in requests per second.
    Limit(f64),
    /// The value is invalid and is ignored.
    Unreadable,
}

/// Parses the header values of an answer; returns the lowest of the valid ones.
///
/// ```
/// use cranereach_fleet::named_limit::NamedRate;
/// use cranereach_fleet::named_limit::read;
///
/// assert_eq!(read([].into_iter()), NamedRate::Nothing);
/// assert_eq!(read([&b"1.2"[..]].into_iter()), NamedRate::Limit(1.2));
/// assert_eq!(read([&b"-1"[..]].into_iter()), NamedRate::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> NamedRate {
    let mut named = NamedRate::Nothing;
    for value in values {
        named = match (named, parse_rate(value)) {
            (NamedRate::Limit(known), Some(rate)) => NamedRate::Limit(rate.min(known)),
            (NamedRate::Limit(known), None) => NamedRate::Limit(known),
            (NamedRate::Nothing | NamedRate::Unreadable, Some(rate)) => NamedRate::Limit(rate),
            (NamedRate::Nothing | NamedRate::Unreadable, None) => NamedRate::Unreadable,
        };
    }
    named
}

/// Parses one value; none if it isn't a valid rate.
fn parse_rate(value: &[u8]) -> Option<f64> {
    let value = Some(value).filter(|value| value.len() <= VALUE_MAX_BYTES)?;
    let rate: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Report about a worker's limit, as exchanged between instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Key of the worker's incarnation that the report is about.
    pub start: u64,
    /// Requests per second; none if the worker no longer names a limit.
    pub rate_per_s: Option<f64>,
    /// Time since the request was sent whose answer contained the report, in milliseconds.
    pub asked_age_ms: u32,
    /// Time since that answer was received, in milliseconds.
    pub heard_age_ms: u32,
}

/// Newest report about one worker.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    rate_per_s: Option<f64>,
    /// When the request was sent whose answer contained the report, in milliseconds.
    sent_ms: u64,
    /// When that answer was received, in milliseconds.
    received_ms: u64,
}

impl KnownLimit {
    /// Returns the rate, infinite if there is no limit.
    fn effective_per_s(&self) -> f64 {
        self.rate_per_s.unwrap_or(f64::INFINITY)
    }
}

/// Rate limit of one worker, as known to one instance.
///
/// ```
/// use cranereach_fleet::named_limit::NamedLimit;
/// use cranereach_fleet::named_limit::NamedRate;
///
/// let mut limit = NamedLimit::default();
/// limit.observe(NamedRate::Limit(1.2), true, 900, 1_000);
/// assert_eq!(limit.rate_per_s(1_500), Some(1.2));
/// // Sent before the limit was received: this answer may be older than it.
/// limit.observe(NamedRate::Nothing, true, 950, 1_100);
/// assert_eq!(limit.rate_per_s(1_500), Some(1.2));
/// limit.observe(NamedRate::Nothing, true, 1_200, 1_300);
/// assert_eq!(limit.rate_per_s(1_500), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    newest: Option<KnownLimit>,
    since_ms: u64,
}

impl NamedLimit {
    /// Records what the answer to a request sent at `sent_ms` says; returns whether the
    /// rate in force changes. `may_end` tells whether such an answer ends a limit by naming
    /// none.
    pub fn observe(&mut self, named: NamedRate, may_end: bool, sent_ms: u64, now_ms: u64) -> bool {
        let rate_per_s = match named {
            NamedRate::Limit(rate) if rate < UNLIMITED_RATE_PER_S => Some(rate),
            NamedRate::Limit(_) => None,
            NamedRate::Nothing if may_end => None,
            NamedRate::Nothing | NamedRate::Unreadable => return false,
        };
        let report = KnownLimit {
            rate_per_s,
            sent_ms,
            received_ms: now_ms,
        };
        self.keep_newer(now_ms, report)
    }

    /// Merges another instance's report; returns whether the rate in force changes.
    pub fn merge(&mut self, now_ms: u64, received: &LimitReport) -> bool {
        let is_rate = |rate: f64| (0.0..UNLIMITED_RATE_PER_S).contains(&rate);
        if !received.rate_per_s.is_none_or(is_rate) {
            return false;
        }
        let ago = |age_ms: u32| now_ms.saturating_sub(u64::from(age_ms) + TRANSIT_ALLOWANCE_MS);
        let report = KnownLimit {
            rate_per_s: received.rate_per_s,
            sent_ms: ago(received.asked_age_ms),
            received_ms: ago(received.heard_age_ms),
        };
        self.keep_newer(now_ms, report)
    }

    /// Keeps the newer of the known and the given report; returns whether the rate in force
    /// changes.
    fn keep_newer(&mut self, now_ms: u64, report: KnownLimit) -> bool {
        let before = self.rate_per_s(now_ms);
        let is_newer = match &self.newest {
            // Most workers never name a limit, so nothing is stored for them.
            None => report.rate_per_s.is_some(),
            Some(known) if report.rate_per_s == known.rate_per_s => {
                report.received_ms > known.received_ms
            }
            Some(known) => {
                let is_tighter = report.effective_per_s() < known.effective_per_s();
                let is_sent_later = report.sent_ms >= known.received_ms;
                let has_expired = now_ms >= known.received_ms + LIMIT_EXPIRES_AFTER_MS;
                is_sent_later || has_expired || (is_tighter && report.received_ms > known.sent_ms)
            }
        };
        if is_newer {
            self.newest = Some(report);
        }
        let after = self.rate_per_s(now_ms);
        if before.is_none() && after.is_some() {
            self.since_ms = now_ms;
        }
        before != after
    }

    /// Returns the rate limit in requests per second; none if the worker named none, or it
    /// has ended.
    pub fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let newest = self.newest.as_ref();
        let fresh = newest.filter(|report| now_ms < report.received_ms + LIMIT_EXPIRES_AFTER_MS);
        fresh.and_then(|report| report.rate_per_s)
    }

    /// Returns since when a limit has been in force, in milliseconds.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns the report for other instances, with the key of the worker's incarnation; none
    /// if neither a limit nor its end was reported within [`LIMIT_EXPIRES_AFTER_MS`].
    pub fn report(&self, now_ms: u64, incarnation: impl FnOnce() -> u64) -> Option<LimitReport> {
        let newest = self.newest.as_ref();
        let report =
            newest.filter(|report| now_ms < report.received_ms + LIMIT_EXPIRES_AFTER_MS)?;
        let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        Some(LimitReport {
            start: incarnation(),
            rate_per_s: report.rate_per_s,
            asked_age_ms: age_ms(report.sent_ms),
            heard_age_ms: age_ms(report.received_ms),
        })
    }
}
