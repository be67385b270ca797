//! One simulated instance: its list of workers, and how it applies rows.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::freshness::Freshness;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::Listing;
use cranereach_fleet::listing::Span;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

use crate::store::RowState;
use crate::world::DRAIN_MS;
use crate::world::Mutant;

/// Time for which departures are gossiped, in milliseconds.
const DEPARTURE_GOSSIP_MS: u64 = 4_000;

/// A list of workers, or changes to one, as the store or an instance had it.
#[derive(Clone, Debug)]
pub struct ListPart {
    pub from: StorePosition,
    pub position: StorePosition,
    pub span: Span,
    pub rows: Vec<ChangedRow>,
    /// Whether the rows are the complete list.
    pub is_whole: bool,
    /// Time at which it was up to date, in milliseconds.
    pub as_of_ms: u64,
}

/// One simulated instance.
pub struct Instance {
    pub listing: Listing,
    pub freshness: Freshness,
    pub roster: Roster,
    pub era: u64,
    pub started_at_ms: u64,
    pub frozen_until_ms: u64,
    pub partitioned_until_ms: u64,
    pub disturbed_at_ms: u64,
    pub read_pending_until_ms: u64,
    pub next_digest_ms: u64,
    pub gossiped_departures: Vec<(u64, DepartureNews)>,
    /// Worker starts that it knew to be leaving: worker, start.
    pub known_leaving: HashSet<(usize, u64)>,
    /// Worker starts whose rows it knew to have been removed, with the era of the removal.
    pub known_gone: HashMap<(usize, u64), u64>,
    mutant: Mutant,
}

impl Instance {
    pub fn start(now_ms: u64, mutant: Mutant) -> Self {
        Self {
            listing: Listing::default(),
            freshness: Freshness::new(DRAIN_MS),
            roster: Roster::default(),
            era: 0,
            started_at_ms: now_ms,
            frozen_until_ms: 0,
            partitioned_until_ms: 0,
            disturbed_at_ms: now_ms,
            read_pending_until_ms: 0,
            next_digest_ms: now_ms,
            gossiped_departures: Vec::new(),
            known_leaving: HashSet::new(),
            known_gone: HashMap::new(),
            mutant,
        }
    }

    /// Takes note of an era of the store.
    pub fn observe_era(&mut self, now_ms: u64, era: u64) {
        if era <= self.era || self.mutant == Mutant::NoEras {
            return;
        }
        self.era = era;
        self.freshness.enter_era(now_ms, era);
        let leaving = self.roster.enter_era(now_ms, era);
        match self.mutant {
            Mutant::RestoreClearsLeaving => {
                for news in leaving {
                    if let Some(worker) = self.roster.by_key_mut(news.worker) {
                        worker.departure = None;
                    }
                }
            }
            Mutant::RestoreRevivesWorker => self.roster.trust_restored_rows(u64::MAX),
            Mutant::None | Mutant::NoEras => {
                let gossiped_departures = leaving.into_iter().map(|news| (now_ms, news));
                self.gossiped_departures.extend(gossiped_departures);
            }
        }
    }

    /// Applies a list or changes if they fit; returns whether they advanced the list.
    pub fn apply(&mut self, now_ms: u64, part: &ListPart) -> bool {
        let part = self.as_mutant_sees(part);
        self.observe_era(now_ms, part.position.era);
        let before = self.listing.position();
        let changed = if part.is_whole {
            self.listing.take_whole(part.position, part.rows)
        } else {
            self.listing.take(part.position, part.span, part.rows)
        };
        let mut lapse_until_ms = None;
        if part.position.era >= self.era {
            if self.freshness.ends_outage(part.as_of_ms) {
                self.roster.distrust_restored_rows(now_ms);
            }
            lapse_until_ms = self.freshness.lapse_until_ms(now_ms, part.as_of_ms);
            self.freshness.confirm(part.as_of_ms);
        }
        for row in &changed {
            self.apply_row(row, lapse_until_ms);
        }
        self.listing.position() > before
    }

    /// Returns a part of the list as the mutant reads it: without eras, if it ignores them.
    fn as_mutant_sees(&self, part: &ListPart) -> ListPart {
        let mut part = part.clone();
        if self.mutant == Mutant::NoEras {
            part.from.era = 0;
            part.position.era = 0;
            for row in &mut part.rows {
                row.position.era = 0;
            }
        }
        part
    }

    fn apply_row(&mut self, row: &ChangedRow, lapse_until_ms: Option<u64>) {
        let Some(value) = &row.value else {
            let lapses = lapse_until_ms
                .is_some_and(|until_ms| self.roster.lapse(row.position, &row.key, until_ms));
            if !lapses {
                self.remove(row.position, &row.key);
            }
            return;
        };
        let row_state = RowState::read(value);
        let start = (worker_number(&row.key), row_state.start);
        if self.known_gone.get(&start) == Some(&row.position.era) {
            // The row was written after the removal, not restored from a backup.
            self.known_gone.remove(&start);
        }
        self.roster.put(row.position, record(&row.key, row_state));
        if row_state.leaves {
            self.known_leaving
                .insert((worker_number(&row.key), row_state.start));
        }
    }

    fn remove(&mut self, position: StorePosition, id: &str) {
        if let Some(known) = self.roster.get(id) {
            let start = known.record.started_unix_ms;
            self.known_gone
                .insert((worker_number(id), start), position.era);
        }
        self.roster.remove(position, id);
    }

    /// Does the periodic work of an instance.
    pub fn tick(&mut self, now_ms: u64) {
        let age_ms = self.freshness.age_ms(now_ms);
        if age_ms.is_some_and(|age_ms| age_ms < DRAIN_MS) {
            self.roster.trust_restored_rows(now_ms);
        }
        for (position, id) in self.roster.lapsed(now_ms) {
            self.remove(position, &id);
        }
        self.gossiped_departures
            .retain(|(at_ms, _)| now_ms < at_ms + DEPARTURE_GOSSIP_MS);
    }

    /// Takes the departures that another instance reports.
    pub fn observe_departures(&mut self, now_ms: u64, reported: &[DepartureNews]) {
        for news in reported {
            if self.roster.note_leaving_reported(now_ms, news) {
                self.gossiped_departures.push((now_ms, *news));
            }
        }
    }

    /// Returns its newest changes, or all changes since a position.
    pub fn part(&self, now_ms: u64, since: Option<StorePosition>) -> Option<ListPart> {
        let age_ms = self.freshness.age_ms(now_ms)?;
        let as_of_ms = now_ms - age_ms;
        let position = self.listing.position();
        let Some(since) = since else {
            let part = self.listing.part()?;
            return Some(ListPart {
                from: part.from,
                position,
                span: part.span,
                rows: part.rows.into_iter().cloned().collect(),
                is_whole: false,
                as_of_ms,
            });
        };
        let missed = self.listing.since(since).filter(|_| !since.is_none());
        let is_whole = missed.is_none();
        let all_rows = || {
            let rows = self.listing.rows();
            let rows = rows.map(|(key, position, value)| ChangedRow {
                key: key.to_owned(),
                position,
                value: Some(value.to_vec()),
            });
            rows.collect()
        };
        Some(ListPart {
            from: since,
            position,
            span: self.listing.span_since(since),
            rows: missed.unwrap_or_else(all_rows),
            is_whole,
            as_of_ms,
        })
    }
}

/// Returns the number of a worker.
pub fn worker_number(id: &str) -> usize {
    id[1..].parse().unwrap()
}

fn record(id: &str, row_state: RowState) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from(id),
        started_unix_ms: row_state.start,
        service: Arc::from("s"),
        address: format!("{id}:1"),
        failure_domain: Arc::from("z"),
        software: SoftwareVersion::default(),
        slot_count: 8,
        is_leaving: row_state.leaves,
        cold_for_ms: 0,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}
