//! What a list remembers of the time before its position: ends of rows.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::ChangedRow;
use super::Span;
use crate::store_position::StorePosition;

/// Ends of rows that are remembered whatever the size of the list; of a longer list as
/// many ends as it has rows, so that they never take more room than the list.
const ENDED_MIN_COUNT: usize = 1_024;

/// Spans between two whole reads that are remembered.
const UNSEEN_MAX_COUNT: usize = 8;

/// Ends of rows, and from when on all of them are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Ends, oldest first: position, key.
    ended: VecDeque<(StorePosition, String)>,
    /// Position from which on all ends are remembered.
    ends_from: StorePosition,
    /// Spans within which rows may have come and gone unseen.
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

    /// Says what the changes since a position are.
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

    /// Notes that the list went from one position to another, and how many rows it has.
    pub(super) fn note_advance(
        &mut self,
        from: StorePosition,
        position: StorePosition,
        span: Span,
        row_count: usize,
    ) {
        if from.is_none() {
            // What ended before the first list is not known.
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

    /// Notes that changes can be told only to whoever stands at a position or later.
    fn raise_ends_from(&mut self, position: StorePosition) {
        self.ends_from = self.ends_from.max(position);
    }
}
