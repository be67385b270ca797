//! Workers that get only some requests: those in failure domains that are being evacuated, cold
//! ones, those that name a limit, and those whose rows may have lapsed only because the store was
//! unavailable.

use std::sync::Arc;

use super::Roster;
use crate::routing_request::RoutingRequest;
use crate::store_position::StorePosition;
use crate::worker::Worker;

impl Roster {
    /// Takes the end of a row that may only have lapsed during an outage of the store: the worker
    /// stays until a time, unless it was leaving. Returns whether it stays.
    pub fn lapse(&mut self, position: StorePosition, id: &str, until_ms: u64) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        if worker.position > position || worker.is_leaving() {
            return false;
        }
        worker.lapsed.get_or_insert((position, until_ms));
        self.lapsing.insert(Arc::clone(&worker.record.id));
        true
    }

    /// Lists the workers whose rows lapsed and did not come back in time, with the positions at
    /// which they lapsed.
    pub fn lapsed(&self, now_ms: u64) -> Vec<(StorePosition, Arc<str>)> {
        let lapsing = self.lapsing.iter().filter_map(|id| self.workers.get(id));
        lapsing
            .filter_map(|worker| {
                let (position, until_ms) = worker.lapsed?;
                (now_ms >= until_ms).then(|| (position, Arc::clone(&worker.record.id)))
            })
            .collect()
    }

    /// Whether a worker asked this instance to send nothing for a while.
    pub fn is_resting(&self, now_ms: u64, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.rest.is_resting(now_ms))
    }

    /// Whether a worker currently limits the requests that it takes in a second.
    pub fn is_rate_limited(&self, now_ms: u64, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.limit.rate_per_s(now_ms).is_some())
    }

    /// Whether a worker may be cold. One whose failure domain is being evacuated counts as cold, as
    /// it may have become so unnoticed.
    pub fn is_cold(&self, now_ms: u64, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| {
            worker.coldness.is_cold(now_ms) || self.evacuations.is_listed(worker.domain_key)
        })
    }

    /// Returns two times, in milliseconds, for workers that have what a request needs but may be
    /// sent nothing for now: the earliest at which one's owner may be asked for a grant, and the
    /// earliest at which one needs no grant. None if there is no such worker.
    pub fn next_ask_and_free_ms(
        &self,
        now_ms: u64,
        request: &RoutingRequest<'_>,
    ) -> Option<(u64, u64)> {
        let is_blocked = |worker: &&Worker| {
            let may_send = worker.rest.may_send(now_ms, request.rank)
                && worker.ask_pause.may_ask(now_ms, request.rank);
            !worker.is_leaving()
                && request.accepts_version_of(worker)
                && worker.has(now_ms, request.model).is_ok()
                && !may_send
        };
        let all: Vec<&Worker> = match request.model {
            Some((model, _adapter)) => {
                let holders = self.holders_of(request.service, model);
                holders.filter(is_blocked).collect()
            }
            None => self
                .of_service(request.service)
                .filter(is_blocked)
                .collect(),
        };
        let times = all.into_iter().map(|worker| {
            let rested_at_ms = worker.rest.may_send_from_ms(request.rank);
            let ask_at_ms = worker.ask_pause.ask_at_ms(request.rank).max(rested_at_ms);
            let is_limited = worker.limit.rate_per_s(now_ms).is_some();
            // It is not known when a limit ends, so the time of its next possible grant counts.
            let may_send_from_ms = if is_limited {
                ask_at_ms
            } else {
                worker.coldness.warm_at_ms().max(rested_at_ms)
            };
            (ask_at_ms, may_send_from_ms)
        });
        times.reduce(|first, other| (first.0.min(other.0), first.1.min(other.1)))
    }

    /// Iterates over the workers of some failure domains, given by key, to be changed.
    pub fn in_domains_mut(&mut self, domains: &[u64]) -> impl Iterator<Item = &mut Worker> {
        let workers = self.workers.values_mut();
        workers.filter(|worker| domains.contains(&worker.domain_key))
    }

    /// Whether the failure domain of a worker is being evacuated.
    pub fn is_evacuated(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| self.evacuations.is_listed(worker.domain_key))
    }
}
