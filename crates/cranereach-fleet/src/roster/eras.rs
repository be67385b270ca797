//! What this instance still knows after the store was restored from a backup, so that the old rows
//! there don't undo it.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Roster;
use super::Tombstone;
use crate::departure::Departure;
use crate::departure::DepartureNews;
use crate::departure::DepartureSource;

/// Time after which a row that is still in a restored store counts as a sign of life, in
/// milliseconds: the row of a silent worker ends after three heartbeats of 1.2 s, and its end is
/// known here 2 s later.
const RESTORED_TRUSTED_AFTER_MS: u64 = 6_000;

/// Maximum number of replaced incarnations remembered.
const SUPERSEDED_MAX_COUNT: usize = 2_048;

/// Records that an incarnation of a worker was replaced by another one, as two rows of the same era
/// show. A restored store may list the replaced one again.
pub(super) fn note_superseded(superseded: &mut VecDeque<u64>, incarnation: u64, next: u64) {
    superseded.retain(|known| *known != next);
    superseded.push_back(incarnation);
    if superseded.len() > SUPERSEDED_MAX_COUNT {
        superseded.pop_front();
    }
}

impl Roster {
    /// Enters an era of the store, before any row of it is taken; returns what peers are to be
    /// told.
    ///
    /// The restored rows may show workers as serving that are leaving, or list workers that are
    /// gone. What is known of their incarnations stays in force.
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

    /// Records every replaced incarnation as leaving.
    fn record_superseded(&mut self, now_ms: u64) {
        let departure = Departure {
            since_ms: now_ms,
            reporter: DepartureSource::Row,
        };
        for incarnation in &self.superseded {
            self.unlisted_departures.keep(*incarnation, departure);
        }
    }

    /// Records every worker whose row says that it is leaving; returns the news for peers.
    fn record_leaving(&mut self, now_ms: u64) -> Vec<DepartureNews> {
        let departure = Departure {
            since_ms: now_ms,
            reporter: DepartureSource::Row,
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

    /// Records every incarnation whose row had ended.
    fn record_all_ended(&mut self, now_ms: u64) {
        let all: Vec<Tombstone> = self.tombstones.values().copied().collect();
        for tombstone in all {
            self.record_ended(tombstone, now_ms);
        }
    }

    /// Records an incarnation whose row had ended as leaving.
    pub(super) fn record_ended(&mut self, tombstone: Tombstone, now_ms: u64) {
        let reporter = if tombstone.was_leaving {
            DepartureSource::Row
        } else {
            DepartureSource::Copy
        };
        let departure = Departure {
            since_ms: now_ms,
            reporter,
        };
        if let Some(incarnation) = tombstone.incarnation {
            self.unlisted_departures.keep(incarnation, departure);
        }
    }

    /// Returns the tombstone of a worker's last row, or an empty one if none is kept.
    pub(super) fn last_tombstone(&self, id: &str) -> Tombstone {
        self.tombstones.get(id).copied().unwrap_or_default()
    }

    /// Records that an outage of the store is over. The rows of silent workers end that much later,
    /// so the time after which restored rows are trusted starts again.
    pub fn distrust_restored_rows(&mut self, now_ms: u64) {
        if self.restored_trusted_at_ms.is_some() {
            self.restored_trusted_at_ms = Some(now_ms + RESTORED_TRUSTED_AFTER_MS);
        }
    }

    /// Trusts the rows that are still in the restored store, once they have been there for long
    /// enough; a fresh list must just have confirmed them.
    pub fn trust_restored_rows(&mut self, now_ms: u64) {
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
            worker.departure = departure.filter(|known| known.reporter != DepartureSource::Copy);
        }
    }
}
