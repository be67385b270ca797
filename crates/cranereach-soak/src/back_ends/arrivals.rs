//! Collects the requests that arrived at the workers of a run.

use super::BackEnds;
use super::lock;
use crate::journal::Journal;
use crate::record::Arrival;
use crate::schedule::DOMAINS;
use cranereach_platform::requests::HEADERS;
use cranereach_platform::standin::ending::Framing;

impl BackEnds {
    /// Returns all requests that arrived at any worker.
    pub fn arrivals(&self, journal: &Journal) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for slot in &self.slots {
            for worker in lock(&slot.started_workers).iter() {
                let worker_arrivals = worker.seen().into_iter().map(|seen| Arrival {
                    id: seen
                        .headers
                        .get(HEADERS.request_id)
                        .cloned()
                        .unwrap_or_default(),
                    worker: slot.number,
                    worker_id: worker.id.clone(),
                    service: slot.service.to_owned(),
                    domain: slot.number % DOMAINS.len(),
                    account: seen.headers.get(HEADERS.account).cloned(),
                    at_ms: journal.ms_since_start(seen.at),
                    is_run: seen.is_run,
                    rest_ms: seen.retry_after_s.and_then(|retry_after_s| {
                        let seconds: f64 = retry_after_s.parse().ok()?;
                        Some((seconds * 1_000.0) as u64)
                    }),
                    software_version: worker.software_version(),
                    is_end_unmarked: seen.ending.framing == Framing::Connection,
                    is_cut_hidden: seen
                        .ending
                        .hides_cut(seen.headers.contains_key(HEADERS.model)),
                    worker_ended_ms: worker.ended_at().map(|at| journal.ms_since_start(at)),
                });
                arrivals.extend(worker_arrivals);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}
