//! What a store that came back from a copy must not take back.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Roster;
use super::Tombstone;
use crate::departure::Departure;
use crate::departure::DepartureNews;
use crate::departure::Teller;

/// Time after which a row that still stands in a restored store is a sign of life, in
/// milliseconds: rows of silent workers end after three heartbeats of 1.2 s, which is heard
/// of 2 s later.
const RESTORED_TRUSTED_AFTER_MS: u64 = 6_000;

/// Starts that others have followed that are remembered at most.
const SUPERSEDED_MAX_COUNT: usize = 2_048;

/// Notes that another start of a worker has followed one, as rows of one era say: a copy's
/// row may name the start before.
pub(super) fn note_superseded(superseded: &mut VecDeque<u64>, incarnation: u64, next: u64) {
    superseded.retain(|known| *known != next);
    superseded.push_back(incarnation);
    if superseded.len() > SUPERSEDED_MAX_COUNT {
        superseded.pop_front();
    }
}

impl Roster {
    /// Begins an era of the store, before any of its rows is taken.
    ///
    /// Its copy may say that workers serve which left, or list some that are gone: what is
    /// known of their starts holds on. Returns what others are told of it.
    pub fn enter_era(&mut self, now_ms: u64, era: u64) -> Vec<DepartureNews> {
        if era <= self.era {
            return Vec::new();
        }
        self.era = era;
        self.restored_trusted_at_ms = Some(now_ms + RESTORED_TRUSTED_AFTER_MS);
        self.record_all_ended(now_ms);
        self.record_superseded(now_ms);
        self.record_leaving(now_ms)
    }

    /// Remembers which starts are over since another one has followed.
    fn record_superseded(&mut self, now_ms: u64) {
        let departure = Departure {
            since_ms: now_ms,
            teller: Teller::Row,
        };
        for incarnation in &self.superseded {
            self.unlisted_departures.keep(*incarnation, departure);
        }
    }

    /// Remembers for their starts which workers leave by their rows.
    fn record_leaving(&mut self, now_ms: u64) -> Vec<DepartureNews> {
        let departure = Departure {
            since_ms: now_ms,
            teller: Teller::Row,
        };
        let mut leaving = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.record.is_leaving && worker.note_departure(departure) {
                leaving.push(Arc::clone(&worker.record.id));
            }
        }
        let news = leaving.iter().filter_map(|id| self.departure_news(id));
        news.collect()
    }

    /// Remembers which starts are gone.
    fn record_all_ended(&mut self, now_ms: u64) {
        let all: Vec<Tombstone> = self.tombstones.values().copied().collect();
        for tombstone in all {
            self.record_ended(tombstone, now_ms);
        }
    }

    /// Remembers that a start is gone.
    pub(super) fn record_ended(&mut self, tombstone: Tombstone, now_ms: u64) {
        let teller = if tombstone.was_leaving {
            Teller::Row
        } else {
            Teller::Copy
        };
        let departure = Departure {
            since_ms: now_ms,
            teller,
        };
        if let Some(incarnation) = tombstone.incarnation {
            self.unlisted_departures.keep(incarnation, departure);
        }
    }

    /// Returns the last end of a worker's row, as far as it is remembered.
    pub(super) fn last_tombstone(&self, id: &str) -> Tombstone {
        self.tombstones.get(id).copied().unwrap_or_default()
    }

    /// Notes that the store was away: the ends of silent workers' rows come as much later.
    pub fn distrust_copy(&mut self, now_ms: u64) {
        if self.restored_trusted_at_ms.is_some() {
            self.restored_trusted_at_ms = Some(now_ms + RESTORED_TRUSTED_AFTER_MS);
        }
    }

    /// Trusts rows of a copy that have stood for long enough, as a fresh list says.
    pub fn trust_copy(&mut self, now_ms: u64) {
        if self
            .restored_trusted_at_ms
            .is_none_or(|at_ms| now_ms < at_ms)
        {
            return;
        }
        self.restored_trusted_at_ms = None;
        self.unlisted_departures.forget_restored();
        for worker in self.workers.values_mut() {
            let departure = worker.departure;
            worker.departure = departure.filter(|known| known.teller != Teller::Copy);
        }
    }
}
