//! What the workers of a run saw arrive.

use super::BackEnds;
use super::lock;
use crate::journal::Journal;
use crate::record::Arrival;
use crate::schedule::DOMAINS;
use cranereach_platform::requests::HEADERS;

impl BackEnds {
    /// Returns all requests that arrived at any worker.
    pub fn arrivals(&self, journal: &Journal) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for place in &self.places {
            for worker in lock(&place.all).iter() {
                let seen = worker.seen().into_iter().map(|seen| Arrival {
                    id: seen
                        .headers
                        .get(HEADERS.request_id)
                        .cloned()
                        .unwrap_or_default(),
                    worker: place.number,
                    worker_id: worker.id.clone(),
                    service: place.service.to_owned(),
                    domain: place.number % DOMAINS.len(),
                    account: seen.headers.get(HEADERS.account).cloned(),
                    at_ms: journal.ms_of(seen.at),
                    is_run: seen.is_run,
                    rest_ms: seen.rest_s.and_then(|rest_s| {
                        let seconds: f64 = rest_s.parse().ok()?;
                        Some((seconds * 1_000.0) as u64)
                    }),
                });
                arrivals.extend(seen);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}
