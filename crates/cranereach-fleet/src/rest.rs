//! The rest that a worker asks an instance for, where it turns a request away.
//!
//! From that answer on the instance sends it nothing until the end. Then one request goes
//! first, of the most urgent rank that is there, and another one only every [`TRIED_EVERY_MS`]
//! until one has been taken: what waited, and who was told to come back, doesn't fall on the
//! worker at once.
//!
//! The latest end that was asked for holds; a shorter rest never shortens it.

/// Longest rest that is believed, in milliseconds. A worker that wants nothing for longer
/// is asked once an hour: its misprint, or a wrong clock, must not cost the worker for good.
pub const BELIEVED_MAX_MS: u64 = 3_600_000;

/// Time between two requests to a worker whose rest is over until it has taken one, in
/// milliseconds: one that turns it away says so within some.
pub const TRIED_EVERY_MS: u64 = 40;

/// Time by which each less urgent rank comes later at the end of a rest, in milliseconds.
const RANK_STEP_MS: u64 = 25;

/// Longest value that is read, in bytes: a decimal number needs no more.
const VALUE_MAX_BYTES: usize = 32;

/// What one answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It asks for no rest.
    Nothing,
    /// It asks for so many milliseconds.
    For(u64),
    /// What it asks for can't be read, and says nothing.
    Unreadable,
}

/// Reads the values that an answer names, in seconds; the longest of several that can be
/// read.
///
/// ```
/// use cranereach_fleet::rest::Said;
/// use cranereach_fleet::rest::read;
///
/// assert_eq!(read([].into_iter()), Said::Nothing);
/// assert_eq!(read([&b"1.5"[..]].into_iter()), Said::For(1_500));
/// assert_eq!(read([&b"0"[..]].into_iter()), Said::Nothing);
/// assert_eq!(read([&b"-1"[..]].into_iter()), Said::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Said {
    let mut longest_ms = None;
    let mut has_invalid = false;
    for value in values {
        let for_ms = read_ms(value);
        has_invalid |= for_ms.is_none();
        longest_ms = longest_ms.max(for_ms);
    }
    match longest_ms {
        Some(0) => Said::Nothing,
        Some(for_ms) => Said::For(for_ms),
        None if has_invalid => Said::Unreadable,
        None => Said::Nothing,
    }
}

/// Reads one value as milliseconds, rounded up; none if it is no time.
fn read_ms(value: &[u8]) -> Option<u64> {
    let value = Some(value).filter(|value| value.len() <= VALUE_MAX_BYTES)?;
    let seconds: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    // A number as large as these has no meaning beyond the most that is believed.
    is_time.then(|| ((seconds * 1_000.0).ceil() as u64).min(BELIEVED_MAX_MS))
}

/// The rest of one worker, as one instance keeps it.
///
/// ```
/// use cranereach_fleet::rest::Rest;
///
/// let mut rest = Rest::default();
/// assert!(rest.asked(1_000, 3_000));
/// assert!(!rest.may_send(3_999, 0));
/// assert!(rest.may_send(4_000, 0));
/// // One goes first.
/// rest.sent(4_000);
/// assert!(!rest.may_send(4_010, 0));
/// rest.taken(4_000);
/// assert!(rest.may_send(4_010, 0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    since_ms: u64,
    until_ms: u64,
    /// Whether nothing has shown yet that it takes requests again.
    is_on_trial: bool,
    /// From when the next request may be sent while it is.
    next_trial_ms: u64,
}

impl Rest {
    /// Takes the wish for a rest; returns whether it ends later than known.
    pub fn asked(&mut self, now_ms: u64, for_ms: u64) -> bool {
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

    /// Whether the worker rests.
    pub fn is_resting(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Whether a caller's request of a rank may be sent.
    pub fn may_send(&self, now_ms: u64, rank: usize) -> bool {
        now_ms >= self.free_at_ms(rank)
    }

    /// Returns from when a caller's request of a rank may be sent, in milliseconds; zero if
    /// nothing is in its way.
    pub fn free_at_ms(&self, rank: usize) -> u64 {
        if self.is_on_trial {
            self.next_trial_ms + rank as u64 * RANK_STEP_MS
        } else {
            0
        }
    }

    /// Notes that a caller's request is sent.
    pub fn sent(&mut self, now_ms: u64) {
        if self.is_on_trial {
            self.next_trial_ms = now_ms + TRIED_EVERY_MS;
        }
    }

    /// Notes that the worker took a request that was sent at a time; returns whether others
    /// may follow now. One that was sent before the rest says nothing of its end.
    pub fn taken(&mut self, sent_ms: u64) -> bool {
        let has_ended = self.is_on_trial && sent_ms >= self.until_ms;
        self.is_on_trial &= !has_ended;
        has_ended
    }

    /// Returns since when the worker rests and until when, in milliseconds, if it does.
    pub fn span_ms(&self, now_ms: u64) -> Option<(u64, u64)> {
        let is_resting = self.is_resting(now_ms);
        is_resting.then_some((self.since_ms, self.until_ms))
    }
}
