//! Backoff that a worker requests in an answer that rejects a request, called its rest.
//!
//! After such an answer the instance sends the worker nothing until the rest ends. Then a
//! single request is sent, the most urgent first, and another one only every
//! [`TRIAL_INTERVAL_MS`] until the worker accepts one, so that waiting requests and callers
//! told to retry don't all reach it at once.
//!
//! The latest requested end applies; a later request for a shorter rest never shortens it.

/// Maximum rest, in milliseconds; longer values are cut to it. A worker that asks for more
/// is tried once an hour, so that a typo or a wrong clock doesn't take it out of service
/// for good.
pub const REST_MAX_MS: u64 = 3_600_000;

/// Time between two requests to a worker whose rest is over but that hasn't accepted one
/// yet, in milliseconds; a worker that rejects requests answers within a few milliseconds.
pub const TRIAL_INTERVAL_MS: u64 = 40;

/// Additional delay per priority rank at the end of a rest, in milliseconds.
const RANK_STEP_MS: u64 = 25;

/// Maximum length of a header value, in bytes; a decimal number needs no more.
const VALUE_MAX_BYTES: usize = 32;

/// What one answer says about a rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestRequest {
    /// No rest is requested.
    Nothing,
    /// A rest of this many milliseconds is requested.
    For(u64),
    /// The value is invalid and is ignored.
    Unreadable,
}

/// Parses the header values of an answer, in seconds; returns the longest of the valid
/// ones.
///
/// ```
/// use cranereach_fleet::rest::RestRequest;
/// use cranereach_fleet::rest::read;
///
/// assert_eq!(read([].into_iter()), RestRequest::Nothing);
/// assert_eq!(read([&b"1.5"[..]].into_iter()), RestRequest::For(1_500));
/// assert_eq!(read([&b"0"[..]].into_iter()), RestRequest::Nothing);
/// assert_eq!(read([&b"-1"[..]].into_iter()), RestRequest::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> RestRequest {
    let mut longest_ms = None;
    let mut has_invalid = false;
    for value in values {
        let for_ms = parse_ms(value);
        has_invalid |= for_ms.is_none();
        longest_ms = longest_ms.max(for_ms);
    }
    match longest_ms {
        Some(0) => RestRequest::Nothing,
        Some(for_ms) => RestRequest::For(for_ms),
        None if has_invalid => RestRequest::Unreadable,
        None => RestRequest::Nothing,
    }
}

/// Parses one value into milliseconds, rounded up; none if it is invalid.
fn parse_ms(value: &[u8]) -> Option<u64> {
    let value = Some(value).filter(|value| value.len() <= VALUE_MAX_BYTES)?;
    let seconds: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    // The cast saturates, so numbers beyond the range of `u64` end up at the maximum rest
    // too.
    is_time.then(|| ((seconds * 1_000.0).ceil() as u64).min(REST_MAX_MS))
}

/// Rest of one worker, as known to one instance.
///
/// ```
/// use cranereach_fleet::rest::Rest;
///
/// let mut rest = Rest::default();
/// assert!(rest.requested(1_000, 3_000));
/// assert!(!rest.may_send(3_999, 0));
/// assert!(rest.may_send(4_000, 0));
/// // A single request is sent first.
/// rest.sent(4_000);
/// assert!(!rest.may_send(4_010, 0));
/// rest.accepted(4_000);
/// assert!(rest.may_send(4_010, 0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    since_ms: u64,
    until_ms: u64,
    /// Whether the worker has not yet accepted a request since the rest was requested.
    is_on_trial: bool,
    /// When the next request may be sent during the trial, in milliseconds.
    next_trial_ms: u64,
}

impl Rest {
    /// Records that the worker requested a rest; returns whether this extends the known
    /// rest.
    pub fn requested(&mut self, now_ms: u64, for_ms: u64) -> bool {
        let until_ms = now_ms + for_ms;
        if until_ms <= self.until_ms {
            return false;
        }
        if !self.is_resting(now_ms) {
            self.since_ms = now_ms;
        }
        self.until_ms = until_ms;
        self.is_on_trial = true;
        self.next_trial_ms = until_ms;
        true
    }

    /// Whether the rest is still running.
    pub fn is_resting(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Whether a caller's request of a priority rank may be sent.
    pub fn may_send(&self, now_ms: u64, rank: usize) -> bool {
        now_ms >= self.may_send_from_ms(rank)
    }

    /// Returns the time from which a caller's request of a priority rank may be sent, in
    /// milliseconds; zero if nothing prevents it.
    pub fn may_send_from_ms(&self, rank: usize) -> u64 {
        if self.is_on_trial {
            self.next_trial_ms + rank as u64 * RANK_STEP_MS
        } else {
            0
        }
    }

    /// Records that a caller's request is sent.
    pub fn sent(&mut self, now_ms: u64) {
        if self.is_on_trial {
            self.next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
        }
    }

    /// Records that the worker accepted a request sent at a given time; returns whether
    /// this ends the trial, so that others may follow. A request sent before the end of the
    /// rest proves nothing.
    pub fn accepted(&mut self, sent_ms: u64) -> bool {
        let has_ended = self.is_on_trial && sent_ms >= self.until_ms;
        self.is_on_trial &= !has_ended;
        has_ended
    }

    /// Returns the start and end of the rest, in milliseconds, while it is running.
    pub fn span_ms(&self, now_ms: u64) -> Option<(u64, u64)> {
        let is_resting = self.is_resting(now_ms);
        is_resting.then_some((self.since_ms, self.until_ms))
    }
}
