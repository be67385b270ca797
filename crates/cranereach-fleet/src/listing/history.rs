//! The ends of rows that a list remembers from before its position.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::ChangedRow;
use super::Span;
use crate::store_position::StorePosition;

/// Ends of rows remembered whatever the size of the list. A longer list remembers as many ends as
/// it has rows, so that they never take more memory than the list.
const ENDED_MIN_COUNT: usize = 1_024;

/// Maximum number of gaps between two whole reads that are remembered.
const UNSEEN_MAX_COUNT: usize = 8;

/// Ends of rows, and the position from which all of them are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Ends, oldest first: position, key.
    ended: VecDeque<(StorePosition, String)>,
    /// Position from which all ends are remembered.
    ends_from: StorePosition,
    /// Gaps between two positions within which rows may have been added and removed unnoticed.
    unseen: VecDeque<(StorePosition, StorePosition)>,
}

impl History {
    /// Returns the ends of rows since a position; none if not all of them are known.
    pub(super) fn ends_since(&self, since: StorePosition) -> Option<Vec<ChangedRow>> {
        let is_within = |(from, to): &(StorePosition, StorePosition)| *from < since && since < *to;
        if since < self.ends_from || self.unseen.iter().any(is_within) {
            return None;
        }
        let ended = self.ended.iter().filter(|(ended, _)| *ended > since);
        let ended = ended.map(|(position, key)| ChangedRow {
            key: key.clone(),
            position: *position,
            value: None,
        });
        Some(ended.collect())
    }

    /// Returns what the changes since a position tell about the time in between.
    pub(super) fn span_since(&self, since: StorePosition) -> Span {
        if self.unseen.iter().any(|(_, to)| *to > since) {
            Span::Difference
        } else {
            Span::Changes
        }
    }

    /// Takes the end of a row.
    pub(super) fn ended(&mut self, position: StorePosition, key: &str) {
        self.ended.push_back((position, key.to_owned()));
    }

    /// Records that the list moved from one position to another, and how many rows it has.
    pub(super) fn note_advance(
        &mut self,
        from: StorePosition,
        position: StorePosition,
        span: Span,
        row_count: usize,
    ) {
        if from.is_none() {
            // The ends before the first list are not known.
            self.raise_ends_from(position);
        } else if span == Span::Difference {
            self.unseen.push_back((from, position));
        }
        if self.unseen.len() > UNSEEN_MAX_COUNT {
            let oldest = self.unseen.pop_front();
            self.raise_ends_from(oldest.map_or(StorePosition::default(), |(_, to)| to));
        }
        let max_count = row_count.max(ENDED_MIN_COUNT);
        while self.ended.len() > max_count {
            let oldest = self.ended.pop_front();
            self.raise_ends_from(oldest.map_or(StorePosition::default(), |(position, _)| position));
        }
    }

    /// Records that the ends of rows are known only from a position on.
    fn raise_ends_from(&mut self, position: StorePosition) {
        self.ends_from = self.ends_from.max(position);
    }
}
