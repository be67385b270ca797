//! All known workers, and the choice of one for a request.
//!
//! The rows come from the store's table of workers. The newest row of a worker wins by the position
//! that the store gave it, whichever instance passes it on.

mod brittle;
mod candidates;
mod departures;
mod eras;
mod holders;
mod restrictions;
mod scoring;
mod versions;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;

pub use self::brittle::BrittleAnswer;
use self::brittle::BrittleServices;
pub use self::brittle::BrittleUpdate;
pub use self::departures::Barred;
use self::holders::Holders;
use self::scoring::ScoredWorker;
use self::scoring::cheapest;
use self::scoring::score_workers;
use self::versions::VersionCounts;
use crate::configuration::Engine;
use crate::departure::DepartureSource;
use crate::departure::UnlistedDepartures;
use crate::evacuation::Evacuations;
use crate::key::worker_key;
use crate::load::Load;
use crate::no_worker::NoWorker;
use crate::routing_request::RoutingRequest;
use crate::store_position::StorePosition;
use crate::worker::EJECTED_PENALTY_MS;
use crate::worker::RowDoubt;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// Maximum number of tombstones kept. A tombstone keeps an older row that arrives late from
/// bringing its worker back.
const TOMBSTONE_MAX_COUNT: usize = 2_048;

/// The end of a worker's row: its position, and whose row it was.
#[derive(Clone, Copy, Debug, Default)]
struct Tombstone {
    position: StorePosition,
    /// Key of the incarnation that the row described; none if the row was not known here.
    incarnation: Option<u64>,
    /// Whether that row said that the worker was leaving.
    was_leaving: bool,
}

impl Tombstone {
    /// Creates the tombstone of a known worker, at the position of its last row.
    fn from_worker(worker: &Worker) -> Self {
        Self {
            position: worker.position,
            incarnation: Some(worker.record.incarnation_key()),
            was_leaving: worker.record.is_leaving,
        }
    }
}

/// A chosen worker, and what was predicted for the request there.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identity of the worker.
    pub id: Arc<str>,
    /// Address of the worker.
    pub address: String,
    /// Prompt tokens that the worker has to prefill, as its prefix cache doesn't hold them.
    pub unread_tokens: u32,
    /// Whether, as far as known, the worker has no other prompt to prefill first.
    pub is_first: bool,
    /// Predicted time until the worker will have prefilled the prompt, in milliseconds.
    pub begins_in_ms: f64,
    /// Time to wait before sending the request, in milliseconds, so that the answers the worker is
    /// streaming don't stall.
    pub send_in_ms: u64,
    /// Load of the worker that the choice was based on.
    pub load: Load,
    /// Requests that the worker runs concurrently.
    pub slot_count: u32,
}

/// All workers that this instance knows, with indexes by service, key and model.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    workers: HashMap<Arc<str>, Worker>,
    by_service: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// Identities by the keys that peers use.
    by_key: HashMap<u64, Arc<str>>,
    /// Workers by the models that their rows list.
    holders: Holders,
    /// Workers by the versions of software that their rows name.
    versions: VersionCounts,
    /// Workers whose rows ended during an outage of the store and may come back.
    lapsing: HashSet<Arc<str>>,
    /// Last ended rows, by identity.
    tombstones: HashMap<Arc<str>, Tombstone>,
    /// Incarnations that are leaving and are not, or not yet, listed.
    unlisted_departures: UnlistedDepartures,
    /// Keys of incarnations that a later incarnation of the same worker has replaced, oldest first.
    superseded: VecDeque<u64>,
    /// Newest era of the store that this instance has entered.
    era: u64,
    /// When rows that are still in a restored store count as a sign of life, in milliseconds; none
    /// while no restored rows are distrusted.
    restored_trusted_at_ms: Option<u64>,
    /// Failure domains that are being evacuated.
    pub evacuations: Evacuations,
    /// What the workers of each service have said of their brittleness.
    brittle_services: BrittleServices,
}

impl Roster {
    /// Takes a row of the list; returns whether it changes anything. A row that isn't newer than
    /// the known one is ignored.
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
            // A peer may already have read a later row that says that the worker is leaving.
            record.is_leaving |= known.leaves_at > position;
            self.lapsing.remove(&record.id);
            self.holders.change(&known.record, &record);
            self.versions.change(&known.record, &record);
            if known.record.started_unix_ms != record.started_unix_ms {
                if known.position.era == position.era {
                    let (incarnation, next) =
                        (known.record.incarnation_key(), record.incarnation_key());
                    eras::note_superseded(&mut self.superseded, incarnation, next);
                }
                let row_doubt = known.row_doubt.after_row_of(record.started_unix_ms);
                if known.row_doubt.is_told(record.started_unix_ms) {
                    // What has been learned since the worker told its start is about this one.
                    known.row_doubt = row_doubt;
                } else {
                    replace(&mut self.unlisted_departures, known, position, record);
                    known.row_doubt = row_doubt;
                    return true;
                }
            }
            let has_changed = known.record != record;
            if has_changed && known.position.era == position.era {
                // A row that differs from the restored one was written after the restore: a sign of
                // life.
                known.departure = known
                    .departure
                    .filter(|reported| reported.reporter != DepartureSource::Copy);
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
            && incarnation != record.incarnation_key()
            && tombstone.position.era == position.era
        {
            eras::note_superseded(&mut self.superseded, incarnation, record.incarnation_key());
        }
        self.by_key.insert(worker_key(&id), Arc::clone(&id));
        self.holders.add(&record);
        self.versions.add(&record);
        let ids = self.by_service.entry(Arc::clone(&record.service));
        ids.or_default().push(Arc::clone(&id));
        let mut worker = Worker::new(position, record);
        worker.departure = self
            .unlisted_departures
            .take(|| worker.record.incarnation_key());
        self.workers.insert(id, worker);
        true
    }

    /// Takes the end of a row; returns whether a worker was removed by it.
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
            // The list of the restored store, which may still contain this row, is yet to be read.
            self.record_ended(tombstone, 0);
        }
        if self.tombstones.len() > TOMBSTONE_MAX_COUNT {
            self.drop_older_tombstones();
        }
        let Some(removed) = self.workers.remove(id) else {
            return false;
        };
        if let Some(departure) = removed.departure {
            // The row may come back.
            self.unlisted_departures
                .keep(removed.record.incarnation_key(), departure);
        }
        self.by_key.remove(&worker_key(id));
        self.holders.remove(&removed.record);
        self.versions.remove(&removed.record);
        self.lapsing.remove(id);
        if let Some(ids) = self.by_service.get_mut(&removed.record.service) {
            ids.retain(|known| known.as_ref() != id);
        }
        true
    }

    /// Takes the start that a worker told, in milliseconds of Unix time. If it is later than that
    /// of its row, nothing learned about the worker applies any more, and the row is outdated. A
    /// row that names no start never is. Returns whether that is new.
    ///
    /// ```
    /// use cranereach_fleet::roster::Roster;
    ///
    /// assert!(!Roster::default().note_start("unknown", 5_000));
    /// ```
    pub fn note_start(&mut self, id: &str, started_unix_ms: u64) -> bool {
        let Some(known) = self.workers.get_mut(id) else {
            return false;
        };
        let told_unix_ms = known.row_doubt.told_start_unix_ms();
        let known_unix_ms = told_unix_ms.unwrap_or(known.record.started_unix_ms);
        if known_unix_ms == 0 || started_unix_ms <= known_unix_ms {
            return false;
        }
        let (position, record) = (known.position, known.record.clone());
        replace(&mut self.unlisted_departures, known, position, record);
        // It is about the start of the row, which is over.
        if let Some(departure) = known.departure.take() {
            let incarnation = known.record.incarnation_key();
            self.unlisted_departures.keep(incarnation, departure);
        }
        known.row_doubt = RowDoubt::of_later_start(started_unix_ms);
        true
    }

    /// Drops the older half of the tombstones.
    fn drop_older_tombstones(&mut self) {
        let all = self.tombstones.values();
        let mut positions: Vec<StorePosition> = all.map(|tombstone| tombstone.position).collect();
        let middle = positions.len() / 2;
        let (_, &mut limit, _) = positions.select_nth_unstable(middle);
        self.tombstones
            .retain(|_, tombstone| tombstone.position > limit);
    }

    /// Counts the tombstones kept.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Sets the models that are being unloaded, by worker key. Every other model that a worker
    /// holds may be served.
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

    /// Returns the worker with an identity.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns the worker with an identity, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Returns a worker by the key that peers use for it.
    pub fn by_key(&self, key: u64) -> Option<&Worker> {
        self.workers.get(self.by_key.get(&key)?)
    }

    /// Returns a worker by the key that peers use for it, to be changed.
    pub fn by_key_mut(&mut self, key: u64) -> Option<&mut Worker> {
        let id = self.by_key.get(&key)?;
        self.workers.get_mut(id)
    }

    /// Iterates over all workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Iterates over the workers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.workers.get(id))
    }

    /// Chooses a worker for a request: the one with the lowest cost, as far as this instance knows.
    pub fn choose<R: Rng>(
        &self,
        now_ms: u64,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        rng: &mut R,
    ) -> Result<Choice, NoWorker> {
        let scored = self.score_all(now_ms, request, engine, rng)?;
        Ok(cheapest(scored))
    }

    /// Chooses among some workers. Those whose owners have just reported on them go first, if there
    /// are any: little is known here of the others, so that they would look idle.
    pub fn choose_among<R: Rng>(
        &self,
        now_ms: u64,
        among: &[Arc<str>],
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        rng: &mut R,
    ) -> Result<Choice, NoWorker> {
        let workers = || among.iter().filter_map(|id| self.workers.get(id));
        let known = workers().filter(|worker| worker.owner_status(now_ms).is_some());
        let restrictions = (&self.evacuations, &self.brittle_services);
        let scored = match score_workers(now_ms, known, restrictions, request, engine, rng) {
            Ok(scored)
                if scored
                    .iter()
                    .any(|candidate| candidate.cost < EJECTED_PENALTY_MS) =>
            {
                scored
            }
            Ok(_) | Err(_) => score_workers(now_ms, workers(), restrictions, request, engine, rng)?,
        };
        Ok(cheapest(scored))
    }

    /// Lists the keys of workers that this instance itself recently failed to reach.
    pub fn unreachable(&self, now_ms: u64) -> Vec<u64> {
        let known = self.workers.values();
        known
            .filter(|worker| worker.health.has_failed_to_connect(now_ms))
            .map(|worker| worker_key(&worker.record.id))
            .collect()
    }
}

/// Replaces what is known of a worker by another start. It begins empty: nothing learned about the
/// one before applies to it, but a report that either is leaving is kept for its incarnation.
fn replace(
    unlisted_departures: &mut UnlistedDepartures,
    known: &mut Worker,
    position: StorePosition,
    record: WorkerRecord,
) {
    if let Some(departure) = known.departure {
        unlisted_departures.keep(known.record.incarnation_key(), departure);
    }
    let leaves_at = known.leaves_at;
    *known = Worker::new(position, record);
    known.leaves_at = leaves_at;
    known.departure = unlisted_departures.take(|| known.record.incarnation_key());
}
