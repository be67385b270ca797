//! Checks that all gateways together keep to the rate limit that a worker announces, within a
//! tolerance.

use std::collections::HashMap;

use super::Finding;
use super::contact::RecordIndex;
use crate::record::Component;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;
use cranereach_platform::standin::content::signature;

/// Tolerated number of requests in a window, as a multiple of what the limit allows.
const EXCESS_RATIO: f64 = 1.5;

/// Number of requests that are tolerated in addition.
const ALLOWANCE_COUNT: f64 = 5.0;

/// Length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time after the first answer with the limit from which a gateway's requests count, in
/// milliseconds. Earlier ones may have been in flight.
const IN_FLIGHT_MS: u64 = 500;

/// Time after the announcement from which windows are judged, by their ends, in milliseconds.
const JUDGED_AFTER_MS: u64 = 3_000;

/// A worker and the period in which it announced a limit.
#[derive(Clone, Copy, Debug)]
struct Limited<'a> {
    worker_id: &'a str,
    place: usize,
    rate_per_s: f64,
    from_ms: u64,
    to_ms: u64,
}

/// Judges a sliding window over the requests to each worker that announced a limit. Counts only
/// requests of connected gateways that had already passed on one of its answers with the limit.
pub fn check(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Limited {
            worker_id,
            place,
            rate_per_s,
            from_ms,
            to_ms,
        } = event
        else {
            continue;
        };
        let limited = Limited {
            worker_id,
            place: *place,
            rate_per_s: *rate_per_s,
            from_ms: *from_ms,
            to_ms: *to_ms,
        };
        if limited.to_ms > limited.from_ms + JUDGED_AFTER_MS {
            finding.add_trial(excess(records, &index, limited));
        }
    }
    finding
}

/// Describes by how much a worker's limit was exceeded, if it was.
fn excess(records: &Records, index: &RecordIndex<'_>, limited: Limited<'_>) -> Option<String> {
    let informed_at = informed_at(records, limited);
    let arrivals = records.arrivals.iter();
    let judged = arrivals.filter(|arrival| {
        let at_ms = arrival.at_ms;
        let is_at_worker = arrival.worker_id == limited.worker_id;
        is_at_worker
            && at_ms <= limited.to_ms
            && index.is_settled(Component::Worker(limited.place), at_ms, at_ms, true)
            && index.request_record(&arrival.id).is_some_and(|record| {
                let informed_ms = informed_at.get(&record.gateway);
                informed_ms.is_some_and(|informed_ms| at_ms >= informed_ms + IN_FLIGHT_MS)
                    && index.is_connected(record.gateway, at_ms, at_ms)
            })
    });
    let mut times: Vec<u64> = judged.map(|arrival| arrival.at_ms).collect();
    times.sort_unstable();
    let max_count =
        limited.rate_per_s * EXCESS_RATIO * WINDOW_MS as f64 / 1_000.0 + ALLOWANCE_COUNT;
    let window_ends = times.iter().enumerate();
    let window_ends = window_ends.filter(|(_, at_ms)| **at_ms >= limited.from_ms + JUDGED_AFTER_MS);
    let counts = window_ends.map(|(last_index, at_ms)| {
        let first_index = times.partition_point(|other| other + WINDOW_MS <= *at_ms);
        last_index + 1 - first_index
    });
    let worst_count = counts.max().unwrap_or(0);
    (worst_count as f64 > max_count).then(|| {
        format!(
            "{}: {worst_count} requests in {WINDOW_MS} ms, {max_count} are tolerated",
            limited.worker_id
        )
    })
}

/// Returns when each gateway first passed on an answer with the limit.
fn informed_at(records: &Records, limited: Limited<'_>) -> HashMap<usize, u64> {
    let expected = signature(limited.worker_id);
    let mut informed_at: HashMap<usize, u64> = HashMap::new();
    for record in &records.asked {
        let End::Answered(answer) = &record.end else {
            continue;
        };
        let is_from_worker = answer.signature.as_ref() == Some(&expected);
        if is_from_worker && (limited.from_ms..=limited.to_ms).contains(&record.sent_ms) {
            let at_ms = informed_at.entry(record.gateway).or_insert(record.ended_ms);
            *at_ms = record.ended_ms.min(*at_ms);
        }
    }
    informed_at
}
