//! The list of workers as rows at one position of the store, and the deltas of it that peers are
//! sent.
//!
//! A delta takes an instance from one position to a later one. One read from the store as changes
//! names every row that changed in between, so it applies to an instance at any position between
//! the two. One computed from two whole lists doesn't: a row that was added and removed in between
//! is on neither. Such a delta applies only at its first position, and so does one that starts
//! before the first read.
//!
//! An instance that is further behind than the last few reads, or missed a delta that was too large
//! for a datagram, is sent all changes since its own position: rows carry the position of their
//! last change, and the ends of rows are remembered.
//!
//! In a new era of the store only the whole list tells the current state. Rows that are the same in
//! it keep their positions of the era before, which sort before all new ones.

mod history;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

pub use self::history::History;
use crate::store_position::StorePosition;

/// Deltas of the last reads that are sent together, so that the loss of one message does no harm.
const DELTA_MAX_COUNT: usize = 3;

/// Largest size of the rows of one read that are sent as a delta, in bytes.
const PART_MAX_BYTES: usize = 128 * 1_024;

/// Size of the rows of a message up to which the deltas of earlier reads are added to it, in bytes.
const REPEATED_MAX_BYTES: usize = 6 * 1_024;

/// A changed row, as peers are sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedRow {
    /// Key of the row.
    pub key: String,
    /// Position of its last change.
    pub position: StorePosition,
    /// Content; none if the row has ended.
    pub value: Option<Vec<u8>>,
}

impl ChangedRow {
    /// Returns the approximate size of the row in a message, in bytes.
    fn byte_count(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + 8
    }
}

/// What the rows of a delta tell about the time between its two positions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Span {
    /// They include every row that changed.
    Changes,
    /// They are the difference between the lists at the two positions.
    Difference,
}

/// What one read changed.
#[derive(Clone, Debug)]
struct Delta {
    from: StorePosition,
    span: Span,
    rows: Vec<ChangedRow>,
}

impl Delta {
    fn byte_count(&self) -> usize {
        self.rows.iter().map(ChangedRow::byte_count).sum()
    }
}

/// A delta as peers are sent it: rows that take a list from one position to a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPart<'a> {
    /// Position that the delta starts from.
    pub from: StorePosition,
    /// Position of the list once the rows are applied.
    pub position: StorePosition,
    /// What the rows tell about the time in between.
    pub span: Span,
    /// The rows, those of the oldest read first.
    pub rows: Vec<&'a ChangedRow>,
}

/// Whether a delta that a peer sent is of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has nothing new.
    Old,
    /// Its rows complete this instance's list up to its position.
    Applies,
    /// Changes between this instance's list and the delta may be missing.
    Gap,
}

/// The list of workers at one position of the store.
///
/// ```
/// use cranereach_fleet::listing::ChangedRow;
/// use cranereach_fleet::listing::Listing;
/// use cranereach_fleet::store_position::StorePosition;
///
/// let at = |version| StorePosition::new(1, version);
/// let row = ChangedRow { key: "w1".to_owned(), position: at(3), value: Some(vec![1]) };
/// let mut listing = Listing::default();
/// assert_eq!(listing.take_whole(at(5), vec![row]).len(), 1);
/// // At version 7 the list is empty: the row has ended.
/// let ends = listing.take_whole(at(7), Vec::new());
/// assert_eq!((ends[0].position, &ends[0].value), (at(7), &None));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Listing {
    position: StorePosition,
    rows: HashMap<String, (StorePosition, Vec<u8>)>,
    deltas: VecDeque<Delta>,
    history: History,
}

impl Listing {
    /// Returns the position at which the list is complete; none before the first read.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Iterates over the rows: key, position, content.
    pub fn rows(&self) -> impl Iterator<Item = (&str, StorePosition, &[u8])> {
        let rows = self.rows.iter();
        rows.map(|(key, (position, value))| (key.as_str(), *position, value.as_slice()))
    }

    /// Returns whether a peer's delta applies to this instance's list.
    pub fn judge(&self, from: StorePosition, position: StorePosition, span: Span) -> Verdict {
        if position.is_none() || position < self.position {
            return Verdict::Old;
        }
        let fits = match span {
            _ if position == self.position => true,
            Span::Changes => from <= self.position && from.era == position.era,
            Span::Difference => from == self.position,
        };
        if fits { Verdict::Applies } else { Verdict::Gap }
    }

    /// Applies rows that complete the list up to a position, and returns those that are new.
    ///
    /// [`Listing::judge`] must have said that they apply.
    pub fn take(
        &mut self,
        position: StorePosition,
        span: Span,
        rows: Vec<ChangedRow>,
    ) -> Vec<ChangedRow> {
        if position <= self.position {
            return Vec::new();
        }
        // The list is complete up to its position, so older rows have nothing new.
        let new: Vec<ChangedRow> = rows
            .into_iter()
            .filter(|row| row.position > self.position && self.is_newer(row))
            .collect();
        for row in &new {
            self.put(row);
        }
        self.add_delta(position, span, new.clone());
        new
    }

    /// Replaces the list by the whole list as of a position, and returns what that changes.
    pub fn take_whole(
        &mut self,
        position: StorePosition,
        listed: Vec<ChangedRow>,
    ) -> Vec<ChangedRow> {
        if position < self.position {
            return Vec::new();
        }
        let ends = self.ends(position, &listed);
        let listed = listed.into_iter();
        let changed = listed.filter_map(|row| self.changed_in_whole(position, row));
        let mut new: Vec<ChangedRow> = changed.collect();
        new.extend(ends);
        for row in &new {
            self.put(row);
        }
        if position > self.position {
            self.add_delta(position, Span::Difference, new.clone());
        }
        new
    }

    /// Returns the ends of the rows that are missing from a whole list as of a position.
    fn ends(&self, position: StorePosition, listed: &[ChangedRow]) -> Vec<ChangedRow> {
        let keys: HashSet<&str> = listed.iter().map(|row| row.key.as_str()).collect();
        let gone = self
            .rows
            .iter()
            .filter(|(key, (known, _))| *known <= position && !keys.contains(key.as_str()));
        gone.map(|(key, _)| ChangedRow {
            key: key.clone(),
            position,
            value: None,
        })
        .collect()
    }

    /// Returns a row of a whole list as of a position; none if it is known already.
    fn changed_in_whole(&self, position: StorePosition, row: ChangedRow) -> Option<ChangedRow> {
        let is_of_era = row.position.era == position.era;
        if is_of_era && self.position.era == position.era {
            return self.is_newer(&row).then_some(row);
        }
        // Versions of two eras say nothing about each other, so the contents are compared.
        let known = self.rows.get(&row.key);
        if known.is_some_and(|(_, value)| Some(value) == row.value.as_ref()) {
            return None;
        }
        let position = if is_of_era { row.position } else { position };
        Some(ChangedRow { position, ..row })
    }

    /// Returns the delta that peers are sent; none before the first read.
    pub fn part(&self) -> Option<ListPart<'_>> {
        if self.position.is_none() {
            return None;
        }
        let mut part = ListPart {
            from: self.position,
            position: self.position,
            span: Span::Changes,
            rows: Vec::new(),
        };
        let mut byte_count = 0;
        let mut taken: Vec<&Delta> = Vec::new();
        for delta in self.deltas.iter().rev() {
            byte_count += delta.byte_count();
            let max_bytes = if taken.is_empty() {
                PART_MAX_BYTES
            } else {
                REPEATED_MAX_BYTES
            };
            let joins = delta.span == Span::Changes || taken.is_empty();
            if byte_count > max_bytes || !joins {
                break;
            }
            part.from = delta.from;
            part.span = delta.span;
            taken.push(delta);
            if delta.span == Span::Difference {
                break;
            }
        }
        let rows = taken.into_iter().rev().flat_map(|delta| &delta.rows);
        part.rows = rows.collect();
        Some(part)
    }

    /// Returns all changes since a position, oldest first, for an instance whose list is at that
    /// position; none if they aren't all known, so that it must be sent the whole list.
    ///
    /// ```
    /// use cranereach_fleet::listing::ChangedRow;
    /// use cranereach_fleet::listing::Listing;
    /// use cranereach_fleet::listing::Span;
    /// use cranereach_fleet::store_position::StorePosition;
    ///
    /// let at = |version| StorePosition::new(1, version);
    /// let mut listing = Listing::default();
    /// listing.take_whole(at(5), Vec::new());
    /// let row = ChangedRow { key: "w1".to_owned(), position: at(6), value: Some(vec![1]) };
    /// listing.take(at(7), Span::Changes, vec![row]);
    /// assert_eq!(listing.since(at(5)).map(|rows| rows.len()), Some(1));
    /// assert_eq!(listing.since(at(6)).map(|rows| rows.len()), Some(0));
    /// assert_eq!(listing.since(at(4)), None);
    /// ```
    pub fn since(&self, since: StorePosition) -> Option<Vec<ChangedRow>> {
        let ended = self.history.ends_since(since)?;
        let changed = self.rows().filter(|(_, changed, _)| *changed > since);
        let changed = changed.map(|(key, position, value)| ChangedRow {
            key: key.to_owned(),
            position,
            value: Some(value.to_vec()),
        });
        let mut rows: Vec<ChangedRow> = ended.into_iter().chain(changed).collect();
        rows.sort_by_key(|row| row.position);
        Some(rows)
    }

    /// Returns whether the changes since a position, up to this list's position, include every row
    /// that changed in between.
    pub fn span_since(&self, since: StorePosition) -> Span {
        self.history.span_since(since)
    }

    /// Returns what is known of the time before this list's position, to be sent along with the
    /// whole list.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Adopts the history of a peer whose whole list was taken.
    ///
    /// All instances that got their first list from the same reader can then send each other the
    /// changes since any position that one of their lists was at.
    pub fn adopt_history(&mut self, position: StorePosition, history: History) {
        if position == self.position {
            self.history = history;
        }
    }

    /// Whether a row, or its end, is newer than what is known of it.
    fn is_newer(&self, row: &ChangedRow) -> bool {
        let known = self.rows.get(&row.key);
        known.is_none_or(|(position, _)| *position < row.position)
    }

    /// Applies one row, or its end.
    fn put(&mut self, row: &ChangedRow) {
        if let Some(value) = &row.value {
            let content = (row.position, value.clone());
            self.rows.insert(row.key.clone(), content);
        } else {
            self.rows.remove(&row.key);
            self.history.ended(row.position, &row.key);
        }
    }

    /// Keeps a delta for peers, and moves the list to its position.
    fn add_delta(&mut self, position: StorePosition, span: Span, rows: Vec<ChangedRow>) {
        let delta = Delta {
            from: self.position,
            span,
            rows,
        };
        if delta.byte_count() > PART_MAX_BYTES {
            // Neither it nor any delta before it can be sent; an instance that lacks it asks for
            // it.
            self.deltas.clear();
        } else {
            self.deltas.push_back(delta);
        }
        if self.deltas.len() > DELTA_MAX_COUNT {
            self.deltas.pop_front();
        }
        self.history
            .note_advance(self.position, position, span, self.rows.len());
        self.position = position;
    }
}
