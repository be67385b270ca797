//! What a worker in need names in its answers: the requests a second that it takes from
//! all instances together, for as long as it says so.
//!
//! Each instance keeps the newest word that it heard from the worker or from others. Which
//! word is the newest can't be told by when it came: answers overtake one another. So a
//! word that loosens counts only if the request that it answers was sent after the tighter
//! one had been heard; one that tightens counts at once.
//!
//! A limit ends with an answer of success that names none, with a word of no limit from
//! another instance, when nothing named it for [`LAPSES_AFTER_MS`], with a new start of the
//! worker, and with its row.

use serde::Deserialize;
use serde::Serialize;

/// Time without a word after which a limit counts no more, in milliseconds: six requests
/// at the lowest rate that any worker gets ([`LEAST_RATE_PER_S`]). One that is asked for
/// is heard long before.
pub const LAPSES_AFTER_MS: u64 = 60_000;

/// Requests a second that a worker gets whatever it names: without an answer it could not
/// say that it is well again. One in ten seconds is within what is tolerated of a worker
/// that names nothing at all.
pub const LEAST_RATE_PER_S: f64 = 0.1;

/// Requests a second from which on a limit is none: no worker is sent as many.
const UNLIMITED_RATE_PER_S: f64 = 1_000_000.0;

/// Longest value that is read, in bytes: a decimal number needs no more.
const VALUE_MAX_BYTES: usize = 32;

/// Time added to an age that another instance tells, in milliseconds, for its way and its
/// wait to be read.
const TRANSIT_ALLOWANCE_MS: u64 = 50;

/// What one answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// It names no limit.
    Nothing,
    /// Requests a second.
    Limit(f64),
    /// What it names can't be read, and says nothing.
    Unreadable,
}

/// Reads the values that an answer names; the lowest of several that can be read.
///
/// ```
/// use cranereach_fleet::named_limit::Said;
/// use cranereach_fleet::named_limit::read;
///
/// assert_eq!(read([].into_iter()), Said::Nothing);
/// assert_eq!(read([&b"1.2"[..]].into_iter()), Said::Limit(1.2));
/// assert_eq!(read([&b"-1"[..]].into_iter()), Said::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Said {
    let mut said = Said::Nothing;
    for value in values {
        said = match (said, parse_rate(value)) {
            (Said::Limit(known), Some(rate)) => Said::Limit(rate.min(known)),
            (Said::Limit(known), None) => Said::Limit(known),
            (Said::Nothing | Said::Unreadable, Some(rate)) => Said::Limit(rate),
            (Said::Nothing | Said::Unreadable, None) => Said::Unreadable,
        };
    }
    said
}

/// Reads one value; none if it is no rate.
fn parse_rate(value: &[u8]) -> Option<f64> {
    let value = Some(value).filter(|value| value.len() <= VALUE_MAX_BYTES)?;
    let rate: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// A word on a limit as instances tell it each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitWord {
    /// Start of the worker that it is about.
    pub start: u64,
    /// Requests a second; none if the worker names no limit any more.
    pub rate_per_s: Option<f64>,
    /// Time since the request was sent whose answer said so, in milliseconds.
    pub asked_age_ms: u32,
    /// Time since that answer, in milliseconds.
    pub heard_age_ms: u32,
}

/// The newest word on one worker.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    rate_per_s: Option<f64>,
    asked_ms: u64,
    heard_ms: u64,
}

impl KnownLimit {
    /// Returns how much it allows.
    fn effective_per_s(&self) -> f64 {
        self.rate_per_s.unwrap_or(f64::INFINITY)
    }
}

/// What a worker is believed to take.
///
/// ```
/// use cranereach_fleet::named_limit::NamedLimit;
/// use cranereach_fleet::named_limit::Said;
///
/// let mut limit = NamedLimit::default();
/// limit.heard(Said::Limit(1.2), true, 900, 1_000);
/// assert_eq!(limit.rate_per_s(1_500), Some(1.2));
/// // Sent before the limit was known: this answer may be older.
/// limit.heard(Said::Nothing, true, 950, 1_100);
/// assert_eq!(limit.rate_per_s(1_500), Some(1.2));
/// limit.heard(Said::Nothing, true, 1_200, 1_300);
/// assert_eq!(limit.rate_per_s(1_500), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    newest: Option<KnownLimit>,
    since_ms: u64,
}

impl NamedLimit {
    /// Takes what an answer says to a request that was sent at `asked_ms`; returns whether
    /// another rate holds now. `may_end` says whether such an answer ends a limit by naming
    /// none.
    pub fn heard(&mut self, said: Said, may_end: bool, asked_ms: u64, now_ms: u64) -> bool {
        let rate_per_s = match said {
            Said::Limit(rate) if rate < UNLIMITED_RATE_PER_S => Some(rate),
            Said::Limit(_) => None,
            Said::Nothing if may_end => None,
            Said::Nothing | Said::Unreadable => return false,
        };
        let report = KnownLimit {
            rate_per_s,
            asked_ms,
            heard_ms: now_ms,
        };
        self.take(now_ms, report)
    }

    /// Takes another instance's word; returns whether another rate holds now.
    pub fn told(&mut self, now_ms: u64, received: &LimitWord) -> bool {
        let is_rate = |rate: f64| (0.0..UNLIMITED_RATE_PER_S).contains(&rate);
        if !received.rate_per_s.is_none_or(is_rate) {
            return false;
        }
        let ago = |age_ms: u32| now_ms.saturating_sub(u64::from(age_ms) + TRANSIT_ALLOWANCE_MS);
        let report = KnownLimit {
            rate_per_s: received.rate_per_s,
            asked_ms: ago(received.asked_age_ms),
            heard_ms: ago(received.heard_age_ms),
        };
        self.take(now_ms, report)
    }

    /// Keeps the newer of two words.
    fn take(&mut self, now_ms: u64, report: KnownLimit) -> bool {
        let before = self.rate_per_s(now_ms);
        let is_newer = match &self.newest {
            // Most workers never name one: nothing is kept of them.
            None => report.rate_per_s.is_some(),
            Some(known) if report.rate_per_s == known.rate_per_s => {
                report.heard_ms > known.heard_ms
            }
            Some(known) => {
                let is_tighter = report.effective_per_s() < known.effective_per_s();
                let is_asked_later = report.asked_ms >= known.heard_ms;
                let has_expired = now_ms >= known.heard_ms + LAPSES_AFTER_MS;
                is_asked_later || has_expired || (is_tighter && report.heard_ms > known.asked_ms)
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

    /// Returns the requests a second that the worker takes; none if it named no limit, or
    /// none any more.
    pub fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let newest = self.newest.as_ref();
        let fresh = newest.filter(|report| now_ms < report.heard_ms + LAPSES_AFTER_MS);
        fresh.and_then(|report| report.rate_per_s)
    }

    /// Returns since when a limit holds, in milliseconds.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns what others are told of the worker, whose start has a key; nothing where no
    /// limit was named lately, nor one that ended.
    pub fn word(&self, now_ms: u64, start: impl FnOnce() -> u64) -> Option<LimitWord> {
        let newest = self.newest.as_ref();
        let report = newest.filter(|report| now_ms < report.heard_ms + LAPSES_AFTER_MS)?;
        let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        Some(LimitWord {
            start: start(),
            rate_per_s: report.rate_per_s,
            asked_age_ms: age_ms(report.asked_ms),
            heard_age_ms: age_ms(report.heard_ms),
        })
    }
}
