//! All workers that are known, and the choice of one for a request.
//!
//! The list comes from the table; a worker's newest row wins by the position
//! that the store gave it, whoever passes it on.

mod candidates;
mod departures;
mod eras;
mod holders;
mod restrictions;
mod scoring;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;

pub use self::departures::Barred;
use self::holders::Holders;
use self::scoring::ScoredWorker;
use self::scoring::cheapest;
use self::scoring::score_workers;
use crate::configuration::Engine;
use crate::departure::Teller;
use crate::departure::UnlistedDepartures;
use crate::evacuation::Evacuations;
use crate::key::worker_key;
use crate::load::Load;
use crate::no_worker::NoWorker;
use crate::store_position::StorePosition;
use crate::wanted::Wanted;
use crate::worker::EJECTED_PENALTY_MS;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// Ends of rows that are remembered at most, so that no older row brings one back.
const TOMBSTONE_MAX_COUNT: usize = 2_048;

/// The end of a row.
#[derive(Clone, Copy, Debug, Default)]
struct Tombstone {
    position: StorePosition,
    /// Key of the start whose row it was, if it was known here.
    incarnation: Option<u64>,
    /// Whether that start had said that it leaves.
    was_leaving: bool,
}

impl Tombstone {
    /// Makes the end of a worker's row.
    fn from_worker(worker: &Worker) -> Self {
        Self {
            position: worker.position,
            incarnation: Some(worker.record.start_key()),
            was_leaving: worker.record.is_leaving,
        }
    }
}

/// A worker that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its identity.
    pub id: Arc<str>,
    /// Its address.
    pub address: String,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u32,
    /// Whether it has, as far as known, no other prompt to read before.
    pub is_first: bool,
    /// Time until it will have read the prompt, in milliseconds, as predicted.
    pub begins_in_ms: f64,
    /// Time until it is to be sent, so that answers that run get on, in milliseconds.
    pub send_in_ms: u64,
    /// The load that the choice was made by.
    pub load: Load,
    /// Requests that the worker runs at once.
    pub slot_count: u32,
}

/// All workers.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: HashMap<Arc<str>, Worker>,
    by_service: HashMap<Arc<str>, Vec<Arc<str>>>,
    by_key: HashMap<u64, Arc<str>>,
    /// Workers by the models that their rows list.
    holders: Holders,
    /// Workers whose rows ended and may come back.
    lapsing: HashSet<Arc<str>>,
    tombstones: HashMap<Arc<str>, Tombstone>,
    /// Starts that leave and aren't listed, or not yet.
    unlisted_departures: UnlistedDepartures,
    /// Keys of starts that another start of their worker has followed, oldest first.
    superseded: VecDeque<u64>,
    /// Era of the store that rows are of.
    era: u64,
    /// When rows of a copy are no longer held against a sign of life; none if that is over.
    restored_trusted_at_ms: Option<u64>,
    /// Failure domains that are to be evacuated.
    pub evacuations: Evacuations,
}

impl Roster {
    /// Takes a row of the list; an older one than known changes nothing.
    pub fn put(&mut self, position: StorePosition, mut record: WorkerRecord) -> bool {
        if self
            .tombstones
            .get(&record.id)
            .is_some_and(|tombstone| tombstone.position >= position)
        {
            return false;
        }
        if let Some(known) = self.workers.get_mut(&record.id) {
            if known.position >= position {
                return false;
            }
            // A peer may know already that a later row says so.
            record.is_leaving |= known.leaves_at > position;
            self.lapsing.remove(&record.id);
            self.holders.change(&known.record, &record);
            if known.record.started_unix_ms != record.started_unix_ms {
                if let Some(departure) = known.departure {
                    self.unlisted_departures
                        .keep(known.record.start_key(), departure);
                }
                if known.position.era == position.era {
                    let (incarnation, next) = (known.record.start_key(), record.start_key());
                    eras::note_superseded(&mut self.superseded, incarnation, next);
                }
                // It holds and knows nothing of before.
                let leaves_at = known.leaves_at;
                *known = Worker::new(position, record);
                known.leaves_at = leaves_at;
                known.departure = self.unlisted_departures.take(|| known.record.start_key());
                return true;
            }
            let has_changed = known.record != record;
            if has_changed && known.position.era == position.era {
                // A row that says something else than the copy's is a sign of life.
                known.departure = known
                    .departure
                    .filter(|reported| reported.teller != Teller::Copy);
            }
            known.position = position;
            known.lapsed = None;
            known.announced_until_ms.clear();
            known.domain_key = worker_key(&record.failure_domain);
            known.record = record;
            return has_changed;
        }
        let id = Arc::clone(&record.id);
        let tombstone = self.last_tombstone(&id);
        if let Some(incarnation) = tombstone.incarnation
            && incarnation != record.start_key()
            && tombstone.position.era == position.era
        {
            eras::note_superseded(&mut self.superseded, incarnation, record.start_key());
        }
        self.by_key.insert(worker_key(&id), Arc::clone(&id));
        self.holders.add(&record);
        let ids = self.by_service.entry(Arc::clone(&record.service));
        ids.or_default().push(Arc::clone(&id));
        let mut worker = Worker::new(position, record);
        worker.departure = self.unlisted_departures.take(|| worker.record.start_key());
        self.workers.insert(id, worker);
        true
    }

    /// Takes the end of a row.
    pub fn remove(&mut self, position: StorePosition, id: &str) -> bool {
        let known = self.workers.get(id);
        if known.is_some_and(|known| known.position > position) {
            return false;
        }
        let tombstone = Tombstone {
            position,
            ..known.map_or_else(|| self.last_tombstone(id), Tombstone::from_worker)
        };
        self.tombstones.insert(Arc::from(id), tombstone);
        if position.era < self.era {
            // The copy's list, which may name it, is still to come.
            self.record_ended(tombstone, 0);
        }
        if self.tombstones.len() > TOMBSTONE_MAX_COUNT {
            self.drop_older_tombstones();
        }
        let Some(removed) = self.workers.remove(id) else {
            return false;
        };
        if let Some(departure) = removed.departure {
            // Its row may come back.
            self.unlisted_departures
                .keep(removed.record.start_key(), departure);
        }
        self.by_key.remove(&worker_key(id));
        self.holders.remove(&removed.record);
        self.lapsing.remove(id);
        if let Some(ids) = self.by_service.get_mut(&removed.record.service) {
            ids.retain(|known| known.as_ref() != id);
        }
        true
    }

    /// Forgets the older half of the ends of rows.
    fn drop_older_tombstones(&mut self) {
        let all = self.tombstones.values();
        let mut positions: Vec<StorePosition> = all.map(|tombstone| tombstone.position).collect();
        let middle = positions.len() / 2;
        let (_, &mut limit, _) = positions.select_nth_unstable(middle);
        self.tombstones
            .retain(|_, tombstone| tombstone.position > limit);
    }

    /// Counts the ends of rows that are remembered.
    pub fn remembered_end_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Sets the models that are being unloaded, by the keys of their workers; all others
    /// serve what they hold.
    pub fn withhold(&mut self, by_worker: HashMap<u64, HashSet<Arc<str>>>) {
        for worker in self.workers.values_mut() {
            worker.withhold(HashSet::new());
        }
        for (key, models) in by_worker {
            if let Some(worker) = self.by_key_mut(key) {
                worker.withhold(models);
            }
        }
    }

    /// Returns a worker.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a worker to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Returns a worker by the key that peers use.
    pub fn by_key(&self, key: u64) -> Option<&Worker> {
        self.workers.get(self.by_key.get(&key)?)
    }

    /// Returns a worker by the key that peers use, to be changed.
    pub fn by_key_mut(&mut self, key: u64) -> Option<&mut Worker> {
        let id = self.by_key.get(&key)?;
        self.workers.get_mut(id)
    }

    /// Lists the workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Lists the workers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.workers.get(id))
    }

    /// Chooses a worker for a request, the one that will begin it first as far as
    /// this instance knows.
    pub fn choose<R: Rng>(
        &self,
        now_ms: u64,
        wanted: &Wanted<'_>,
        engine: Option<&Engine>,
        rng: &mut R,
    ) -> Result<Choice, NoWorker> {
        let scored = self.score_all(now_ms, wanted, engine, rng)?;
        Ok(cheapest(scored))
    }

    /// Chooses among some workers: those whose owners have just said how they stand, if
    /// there are any. Of the others little is known here, so that they look idle.
    pub fn choose_among<R: Rng>(
        &self,
        now_ms: u64,
        among: &[Arc<str>],
        wanted: &Wanted<'_>,
        engine: Option<&Engine>,
        rng: &mut R,
    ) -> Result<Choice, NoWorker> {
        let workers = || among.iter().filter_map(|id| self.workers.get(id));
        let known = workers().filter(|worker| worker.standing(now_ms).is_some());
        let evacuations = &self.evacuations;
        let scored = match score_workers(now_ms, known, evacuations, wanted, engine, rng) {
            Ok(scored)
                if scored
                    .iter()
                    .any(|candidate| candidate.cost < EJECTED_PENALTY_MS) =>
            {
                scored
            }
            Ok(_) | Err(_) => score_workers(now_ms, workers(), evacuations, wanted, engine, rng)?,
        };
        Ok(cheapest(scored))
    }

    /// Lists the workers that this instance could not reach lately itself, by key.
    pub fn unreachable(&self, now_ms: u64) -> Vec<u64> {
        let known = self.workers.values();
        known
            .filter(|worker| worker.health.has_missed(now_ms))
            .map(|worker| worker_key(&worker.record.id))
            .collect()
    }
}
