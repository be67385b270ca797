//! Workers that announced that they are leaving, and the check right before a request is sent.

use super::Roster;
use crate::departure::Departure;
use crate::departure::DepartureNews;
use crate::departure::DepartureSource;
use crate::key::incarnation_key;
use crate::key::worker_key;
use crate::purpose::Purpose;
use crate::store_position::StorePosition;

/// Reason why nothing is sent to a worker that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barred {
    /// It is no longer listed.
    Gone,
    /// It is leaving.
    Leaving,
    /// It asked this instance to send nothing for a while.
    Resting,
    /// Its failure domain is being evacuated.
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
    /// Returns why no request of a rank may be sent to a worker now; none if one may be. After a
    /// wait, the worker chosen before it is checked again with this.
    pub fn barred(&self, now_ms: u64, id: &str, purpose: Purpose, rank: usize) -> Option<Barred> {
        let Some(worker) = self.workers.get(id) else {
            return Some(Barred::Gone);
        };
        if worker.is_leaving() {
            return Some(Barred::Leaving);
        }
        let is_call = purpose == Purpose::Call;
        // The order by rank at the end of a rest applies to callers' requests only.
        let waits_its_turn = is_call && !worker.rest.may_send(now_ms, rank);
        if waits_its_turn || worker.rest.is_resting(now_ms) {
            return Some(Barred::Resting);
        }
        // Orders still go to evacuated domains: they are what empties them.
        let is_evacuated = is_call && !self.evacuations.may_send(now_ms, worker.domain_key);
        is_evacuated.then_some(Barred::Evacuated)
    }

    /// Marks a worker as leaving because a peer has read a row that says so; false if that changes
    /// nothing.
    pub fn leaves(&mut self, position: StorePosition, key: u64) -> bool {
        let Some(worker) = self
            .by_key
            .get(&key)
            .and_then(|id| self.workers.get_mut(id))
        else {
            return false;
        };
        // Checks the row only, not `departure`: what the row says is passed on to peers even if the
        // worker has announced its departure itself.
        if worker.position >= position || worker.record.is_leaving {
            return false;
        }
        worker.record.is_leaving = true;
        worker.leaves_at = position;
        true
    }

    /// Takes the announcement of an incarnation of a worker that it is leaving; false if that is
    /// known.
    pub fn note_leaving_announced(&mut self, now_ms: u64, id: &str, started_unix_ms: u64) -> bool {
        let departure = Departure {
            since_ms: now_ms,
            reporter: DepartureSource::Worker,
        };
        if let Some(worker) = self.workers.get_mut(id)
            && worker.record.started_unix_ms == started_unix_ms
        {
            return worker.note_departure(departure);
        }
        self.unlisted_departures
            .keep(incarnation_key(id, started_unix_ms), departure)
    }

    /// Takes another instance's report that an incarnation of a worker is leaving; false if that is
    /// known. An incarnation that isn't listed yet will count as leaving once it is.
    pub fn note_leaving_reported(&mut self, now_ms: u64, news: &DepartureNews) -> bool {
        let departure = Departure {
            since_ms: now_ms,
            reporter: DepartureSource::Peer,
        };
        if let Some(worker) = self.by_key_mut(news.worker)
            && worker.record.incarnation_key() == news.start
        {
            return worker.note_departure(departure);
        }
        self.unlisted_departures.keep(news.start, departure)
    }

    /// Returns what peers are told of a worker that was reported as leaving; none if there is no
    /// report besides its row.
    pub fn departure_news(&self, id: &str) -> Option<DepartureNews> {
        let start = self.workers.get(id)?.leaving_start()?;
        let worker = worker_key(id);
        Some(DepartureNews { worker, start })
    }

    /// Counts the incarnations known to be leaving that aren't listed.
    pub fn unlisted_departure_count(&self) -> usize {
        self.unlisted_departures.count()
    }
}
