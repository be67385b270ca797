//! Checks that all gateways together send a cold worker no more than its tolerated rate.

use std::collections::BTreeMap;

use super::Finding;
use super::contact::RecordIndex;
use crate::record::Event;
use crate::record::Records;
use cranereach_platform::standin::declared::COLD_FOR_MS;
use cranereach_platform::standin::declared::COLD_PER_S;

/// Tolerated rate in one second, as a multiple of the rate that a cold worker can handle.
pub const EXCESS_RATIO: f64 = 1.5;

/// Number of requests that are tolerated in addition.
pub const ALLOWANCE_COUNT: f64 = 5.0;

/// Length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Judges a sliding window of one second over each worker's cold time. Requests that were sent
/// before a window began don't count in it: a relay may have held them back.
pub fn check(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let mut arrivals: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for arrival in records.arrivals.iter().filter(|arrival| arrival.is_run) {
        if let Some(record) = index.request_record(&arrival.id) {
            let of_worker = arrivals.entry(arrival.worker_id.as_str()).or_default();
            of_worker.push((record.sent_ms, arrival.at_ms));
        }
    }
    let max_count = COLD_PER_S * EXCESS_RATIO + ALLOWANCE_COUNT;
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Cold { worker_id, at_ms } = event else {
            continue;
        };
        let requests = arrivals.get(worker_id.as_str());
        let requests = requests.map(Vec::as_slice).unwrap_or_default();
        let is_cold = |at: u64| (*at_ms..at_ms + COLD_FOR_MS).contains(&at);
        let begins = requests.iter().map(|(_, at)| *at).filter(|at| is_cold(*at));
        let counts = begins.map(|begin_ms| {
            let in_window = requests.iter().filter(|(sent_ms, at)| {
                *sent_ms >= begin_ms.saturating_sub(1)
                    && (begin_ms..begin_ms + WINDOW_MS).contains(at)
                    && is_cold(*at)
            });
            in_window.count()
        });
        let worst_count = counts.max().unwrap_or(0);
        let message = || {
            format!("{worker_id}: {worst_count} requests in one second, {max_count} are tolerated")
        };
        finding.add_trial((worst_count as f64 > max_count).then(message));
    }
    finding
}
