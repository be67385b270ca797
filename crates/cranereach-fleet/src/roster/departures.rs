//! Which workers leave by their own word, and what speaks against a send right before it.

use super::Roster;
use crate::departure::Departure;
use crate::departure::DepartureNews;
use crate::departure::Teller;
use crate::key::start_key;
use crate::key::worker_key;
use crate::purpose::Purpose;
use crate::store_position::StorePosition;

/// Why nothing is sent to a worker that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barred {
    /// It is no longer listed.
    Gone,
    /// It leaves.
    Leaving,
    /// It asked this instance for rest.
    Resting,
    /// Its failure domain is to be evacuated.
    Evacuated,
}

impl Barred {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Leaving => "leaving",
            Self::Resting => "resting",
            Self::Evacuated => "evacuated",
        }
    }
}

impl Roster {
    /// Returns what speaks against sending something of a rank to a worker now; what was chosen
    /// before a wait is asked again.
    pub fn barred(&self, now_ms: u64, id: &str, purpose: Purpose, rank: usize) -> Option<Barred> {
        let Some(worker) = self.workers.get(id) else {
            return Some(Barred::Gone);
        };
        if worker.is_leaving() {
            return Some(Barred::Leaving);
        }
        let is_call = purpose == Purpose::Call;
        // Who goes first at the end of a rest is a question among callers.
        let waits_its_turn = is_call && !worker.rest.may_send(now_ms, rank);
        if waits_its_turn || worker.rest.is_resting(now_ms) {
            return Some(Barred::Resting);
        }
        // Orders empty what is evacuated.
        let is_evacuated = is_call && !self.evacuations.may_send(now_ms, worker.domain_key);
        is_evacuated.then_some(Barred::Evacuated)
    }

    /// Marks a worker as leaving because a peer has read so.
    pub fn leaves(&mut self, position: StorePosition, key: u64) -> bool {
        let Some(worker) = self
            .by_key
            .get(&key)
            .and_then(|id| self.workers.get_mut(id))
        else {
            return false;
        };
        // Also where the worker has said so itself: the row is told on.
        if worker.position >= position || worker.record.is_leaving {
            return false;
        }
        worker.record.is_leaving = true;
        worker.leaves_at = position;
        true
    }

    /// Takes the word of a start of a worker that it leaves; false if it is known.
    pub fn heard_leaving(&mut self, now_ms: u64, id: &str, started_unix_ms: u64) -> bool {
        let departure = Departure {
            since_ms: now_ms,
            teller: Teller::Worker,
        };
        if let Some(worker) = self.workers.get_mut(id)
            && worker.record.started_unix_ms == started_unix_ms
        {
            return worker.note_departure(departure);
        }
        self.unlisted_departures
            .keep(start_key(id, started_unix_ms), departure)
    }

    /// Takes another instance's word that a start of a worker leaves; false if it is known. One that isn't listed yet will be taken for leaving.
    pub fn told_leaving(&mut self, now_ms: u64, news: &DepartureNews) -> bool {
        let departure = Departure {
            since_ms: now_ms,
            teller: Teller::Peer,
        };
        if let Some(worker) = self.by_key_mut(news.worker)
            && worker.record.start_key() == news.start
        {
            return worker.note_departure(departure);
        }
        self.unlisted_departures.keep(news.start, departure)
    }

    /// Returns what others are told of a worker that leaves by its own word.
    pub fn departure_news(&self, id: &str) -> Option<DepartureNews> {
        let start = self.workers.get(id)?.leaving_start()?;
        let worker = worker_key(id);
        Some(DepartureNews { worker, start })
    }

    /// Counts the starts that leave and aren't listed.
    pub fn remembered_departure_count(&self) -> usize {
        self.unlisted_departures.count()
    }
}
