//! Keeps what an instance knows of the store fresh with few reads.
//!
//! Each instance keeps the last time at which its list of workers, or its configuration, is known
//! to have been the newest. An instance that reads tells the others, and they read only when what
//! they know grows old. The age at which they do depends on a [rank] that all instances compute
//! alike: one reads, a second one follows if the first falls silent, and in the end all of them
//! read. This needs no agreement: an instance that hears nothing reads for itself in time.
//!
//! [rank]: Freshness::read_due_at_ms

/// Age at which the instance of the first rank reads, as a share of the bound.
const FIRST_READ_SHARE: f64 = 0.4;

/// Age added for each further rank, as a share of the bound.
const RANK_SHARE: f64 = 0.12;

/// Highest rank told apart; instances of a higher rank read at the same age.
const RANK_MAX: u64 = 3;

/// Transit time added to the age that a peer reports, in milliseconds.
const TRANSIT_MS: u64 = 20;

/// Time added to the age in another instance's report that is passed on in turn, in milliseconds,
/// for its transit and its wait in the receive queue: an age that shrank on the way would keep a
/// dead member, or a word that has ended, alive.
pub(crate) const TRANSIT_ALLOWANCE_MS: u64 = 50;

/// Time within which rows that lapsed during an outage are back, and within which others have
/// written again what a restored store had lost, in milliseconds.
pub const OUTAGE_RECOVERY_MS: u64 = 2_300;

/// Returns the time as of which a peer's report was true, from the age that the peer gives for it,
/// in milliseconds.
///
/// ```
/// use cranereach_fleet::freshness::reported_as_of_ms;
///
/// assert!(reported_as_of_ms(5_000, 300) < 4_700);
/// assert_eq!(reported_as_of_ms(5_000, u64::MAX), 0);
/// ```
pub fn reported_as_of_ms(now_ms: u64, age_ms: u64) -> u64 {
    now_ms.saturating_sub(age_ms.saturating_add(TRANSIT_MS))
}

/// Freshness of one instance's list of workers, or of its configuration.
///
/// ```
/// use cranereach_fleet::freshness::Freshness;
///
/// let mut list = Freshness::new(2_000);
/// assert_eq!(list.read_due_at_ms(0), 0);
/// list.confirm(100);
/// assert_eq!(list.read_due_at_ms(0), 900);
/// assert!(list.read_due_at_ms(1) > 900);
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    /// Age that the list should not exceed, in milliseconds.
    bound_ms: u64,
    /// Last time at which the list is known to have been complete, in milliseconds.
    as_of_ms: Option<u64>,
    /// Until when rows that end may have lapsed only because of the last outage, in milliseconds.
    lapses_until_ms: u64,
    /// Newest era of the store that was entered; reports of earlier ones don't count.
    era: u64,
    /// When that era was entered, in milliseconds; none once the list is known to have been
    /// complete in it, and before the first read.
    restored_at_ms: Option<u64>,
}

impl Freshness {
    /// Creates the state of an empty list whose age is to stay within a bound.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            as_of_ms: None,
            lapses_until_ms: 0,
            era: 0,
            restored_at_ms: None,
        }
    }

    /// Enters an era of the store: the list counts as out of date until it is confirmed in this
    /// era. Returns whether the era is new.
    ///
    /// ```
    /// use cranereach_fleet::freshness::Freshness;
    ///
    /// let mut list = Freshness::new(2_000);
    /// list.confirm(100);
    /// assert!(list.enter_era(500, 1));
    /// assert_eq!(list.age_ms(500), None);
    /// // The first rank reads at once, the others later.
    /// assert_eq!(list.read_due_at_ms(0), 500);
    /// assert!(list.read_due_at_ms(1) > 500);
    /// ```
    pub fn enter_era(&mut self, now_ms: u64, era: u64) -> bool {
        let is_new = era > self.era;
        if is_new {
            self.era = era;
            // An instance that has read nothing yet reads as it does after a start.
            self.restored_at_ms = self.as_of_ms.or(self.restored_at_ms).map(|_| now_ms);
            self.as_of_ms = None;
        }
        is_new
    }

    /// Returns when the era was entered, in milliseconds, as long as the list has not been
    /// confirmed in it; else none.
    pub fn restored_at_ms(&self) -> Option<u64> {
        self.restored_at_ms
    }

    /// Returns for how long the list may have been out of date, in milliseconds; none if that isn't
    /// known.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.as_of_ms
            .map(|as_of_ms| now_ms.saturating_sub(as_of_ms))
    }

    /// Returns the last time at which the list is known to have been complete, in milliseconds.
    pub fn known_at_ms(&self) -> Option<u64> {
        self.as_of_ms
    }

    /// Whether the list isn't yet known to have been complete at a time.
    pub fn is_older_than(&self, as_of_ms: u64) -> bool {
        self.as_of_ms.is_none_or(|known_ms| known_ms < as_of_ms)
    }

    /// Returns when this instance reads unless it is told of changes before, in milliseconds.
    ///
    /// `rank` counts the instances that go before this one.
    pub fn read_due_at_ms(&self, rank: u64) -> u64 {
        let share = FIRST_READ_SHARE + RANK_SHARE * rank.min(RANK_MAX) as f64;
        let after_first_ms = (self.bound_ms as f64 * (share - FIRST_READ_SHARE)) as u64;
        let unknown_due_ms = self
            .restored_at_ms
            .map_or(0, |at_ms| at_ms + after_first_ms);
        self.as_of_ms.map_or(unknown_due_ms, |as_of_ms| {
            as_of_ms + (self.bound_ms as f64 * share) as u64
        })
    }

    /// Whether a confirmation of the list as of a time ends an outage: the list had been out of
    /// date for longer than the bound, or was of an earlier era.
    pub fn ends_outage(&self, as_of_ms: u64) -> bool {
        let is_late = |before_ms| as_of_ms > before_ms + self.bound_ms;
        self.restored_at_ms.is_some() || self.as_of_ms.is_some_and(is_late)
    }

    /// Returns until when rows that end with a confirmation of the list as of a time may have lapsed
    /// only because of an outage, in milliseconds; none if there was no recent outage. Must be called
    /// before [`Freshness::confirm`] for the same time.
    ///
    /// While the store is unavailable, the rows of live workers may lapse; they come back when it
    /// does.
    pub fn lapse_until_ms(&mut self, now_ms: u64, as_of_ms: u64) -> Option<u64> {
        if self.ends_outage(as_of_ms) {
            self.lapses_until_ms = now_ms + OUTAGE_RECOVERY_MS;
        }
        (now_ms < self.lapses_until_ms).then_some(self.lapses_until_ms)
    }

    /// Records a time at which the list was complete.
    pub fn confirm(&mut self, as_of_ms: u64) {
        self.restored_at_ms = None;
        self.as_of_ms = Some(as_of_ms.max(self.as_of_ms.unwrap_or(0)));
    }

    /// Discards what is known of the list's freshness, as after a pause of the whole process.
    pub fn invalidate(&mut self) {
        self.as_of_ms = None;
    }
}
