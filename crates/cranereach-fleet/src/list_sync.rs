//! How an instance keeps its list of workers fresh at the price of few reads.
//!
//! Each instance knows the version of the table up to which its list is complete
//! and since when that is so. Whoever reads tells all others what has changed;
//! the others read only when their own list grows old. How old depends on a
//! [rank] that all instances work out alike, so that one reads, a second one
//! follows if the first falls silent, and at last everybody reads. Nothing is
//! agreed on: an instance that nobody tells anything reads for itself in time.
//!
//! [rank]: ListSync::read_due_at_ms

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// Age at which the first in rank reads, as a share of the bound.
const FIRST_READ_SHARE: f64 = 0.4;

/// Age added for each rank, as a share of the bound.
const RANK_SHARE: f64 = 0.12;

/// Ranks that are told apart; all lower ones read as the last.
const RANK_MAX: u64 = 3;

/// Reads whose changes are passed on together, so that a lost message does no harm.
const STEP_MAX_COUNT: usize = 3;

/// Time added to the age that a peer tells, in milliseconds.
const TRANSIT_MS: u64 = 20;

/// Size of the rows of one read up to which they are passed on, in bytes.
const PART_MAX_BYTES: usize = 128 * 1_024;

/// Size of the rows up to which those of reads before are repeated, in bytes.
const REPEATED_MAX_BYTES: usize = 6 * 1_024;

/// Time in which rows that lapsed during an outage are back, in milliseconds.
const BACK_WITHIN_MS: u64 = 2_300;

/// A changed row, as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRow {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Content; none if the row is gone.
    pub value: Option<Vec<u8>>,
}

impl ChangedRow {
    /// Returns about how many bytes the row takes in a message.
    fn byte_count(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + 8
    }
}

/// What one read has changed.
#[derive(Clone, Debug)]
struct Step {
    from_version: u64,
    rows: Vec<ChangedRow>,
}

/// Changes that make a list complete at one version complete at a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPart<'a> {
    /// Version from which on the changes are complete.
    pub from_version: u64,
    /// Version that the list has with them.
    pub version: u64,
    /// Time for which that version has been known to hold, in milliseconds.
    pub age_ms: u64,
    /// The changes, oldest first.
    pub rows: Vec<&'a ChangedRow>,
}

/// What a part that a peer sent is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing new.
    Old,
    /// Its rows make the own list complete at its version.
    Applies,
    /// Changes between the own list and the part are missing.
    Gap,
}

/// Returns when news was true that a peer told with its age, in milliseconds.
///
/// ```
/// use cranereach_fleet::list_sync::told_at_ms;
///
/// assert!(told_at_ms(5_000, 300) < 4_700);
/// assert_eq!(told_at_ms(5_000, u64::MAX), 0);
/// ```
pub fn told_at_ms(now_ms: u64, age_ms: u64) -> u64 {
    now_ms.saturating_sub(age_ms.saturating_add(TRANSIT_MS))
}

/// The state of one instance's list of workers.
///
/// ```
/// use cranereach_fleet::list_sync::ListSync;
///
/// let mut list = ListSync::new(2_000);
/// assert_eq!(list.read_due_at_ms(0), 0);
/// list.advance(100, 7, Vec::new());
/// assert_eq!(list.read_due_at_ms(0), 900);
/// assert!(list.read_due_at_ms(1) > 900);
/// ```
#[derive(Clone, Debug)]
pub struct ListSync {
    bound_ms: u64,
    version: u64,
    true_at_ms: Option<u64>,
    lapses_until_ms: u64,
    steps: VecDeque<Step>,
}

impl ListSync {
    /// Makes the state of an empty list that must not grow older than a bound.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            version: 0,
            true_at_ms: None,
            lapses_until_ms: 0,
            steps: VecDeque::new(),
        }
    }

    /// Returns the version up to which the list is complete; zero for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns for how long the list may have been out of date, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.true_at_ms
            .map(|true_at_ms| now_ms.saturating_sub(true_at_ms))
    }

    /// Returns when this instance reads unless it is told of changes before.
    ///
    /// `rank` counts the instances that go before this one.
    pub fn read_due_at_ms(&self, rank: u64) -> u64 {
        let share = FIRST_READ_SHARE + RANK_SHARE * rank.min(RANK_MAX) as f64;
        self.true_at_ms.map_or(0, |true_at_ms| {
            true_at_ms + (self.bound_ms as f64 * share) as u64
        })
    }

    /// Whether news that was true at a time ends an outage: the list had been out
    /// of date for longer than the bound.
    pub fn ends_outage(&self, true_at_ms: u64) -> bool {
        self.true_at_ms
            .is_some_and(|before_ms| true_at_ms > before_ms + self.bound_ms)
    }

    /// Notes that news has come that was true at a time, and returns until when
    /// rows that it ends may only have lapsed; none in calm times.
    ///
    /// While the store is away, rows of live workers may lapse; they come back
    /// when it does.
    pub fn lapse_until_ms(&mut self, now_ms: u64, true_at_ms: u64) -> Option<u64> {
        if self.ends_outage(true_at_ms) {
            self.lapses_until_ms = now_ms + BACK_WITHIN_MS;
        }
        (now_ms < self.lapses_until_ms).then_some(self.lapses_until_ms)
    }

    /// Takes the changes that make the list complete at a version.
    ///
    /// `true_at_ms` is a time at which that version was the newest.
    pub fn advance(&mut self, true_at_ms: u64, version: u64, rows: Vec<ChangedRow>) {
        self.true_at_ms = Some(true_at_ms.max(self.true_at_ms.unwrap_or(0)));
        if version > self.version {
            self.steps.push_back(Step {
                from_version: self.version,
                rows,
            });
            self.version = version;
            while self.steps.len() > STEP_MAX_COUNT {
                self.steps.pop_front();
            }
        }
    }

    /// Forgets how fresh the list is, as after a pause of the whole process.
    pub fn distrust(&mut self) {
        self.true_at_ms = None;
    }

    /// Says what a peer's part is good for.
    pub fn judge(&self, from_version: u64, version: u64) -> Verdict {
        if version == 0 || version < self.version {
            Verdict::Old
        } else if from_version <= self.version {
            Verdict::Applies
        } else {
            Verdict::Gap
        }
    }

    /// Returns what peers are told; none before the first read.
    pub fn part(&self, now_ms: u64) -> Option<ListPart<'_>> {
        let age_ms = self.age_ms(now_ms)?;
        let mut from_version = self.version;
        let mut byte_count = 0;
        let mut taken = Vec::new();
        for step in self.steps.iter().rev() {
            byte_count += step.rows.iter().map(ChangedRow::byte_count).sum::<usize>();
            let max_bytes = if taken.is_empty() {
                PART_MAX_BYTES
            } else {
                REPEATED_MAX_BYTES
            };
            if byte_count > max_bytes {
                break;
            }
            from_version = step.from_version;
            taken.push(step);
        }
        let rows = taken.into_iter().rev().flat_map(|step| &step.rows);
        Some(ListPart {
            from_version,
            version: self.version,
            age_ms,
            rows: rows.collect(),
        })
    }
}
