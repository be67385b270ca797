//! Checks that a request that crashes its workers reaches few of them.

use super::Finding;
use super::contact::RecordIndex;
use super::contact::SETTLE_MS;
use crate::crash_requests::is_crash_request;
use crate::record::Records;

/// Number of worker crashes after which a request must not be sent to any worker.
const CRASH_LIMIT_COUNT: usize = 3;

/// Number of sends that are tolerated after all gateways must know of these crashes.
pub const LATE_MAX_COUNT: usize = 3;

/// Checks that connected gateways send a request that crashed `CRASH_LIMIT_COUNT` workers at most
/// `LATE_MAX_COUNT` times after all of them must know of the crashes.
pub fn check(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let arrivals = records.arrivals.iter();
    let crash_arrivals: Vec<_> = arrivals
        .filter(|arrival| is_crash_request(&arrival.id))
        .collect();
    let runs = crash_arrivals.iter().filter(|arrival| arrival.is_run);
    let mut finding = Finding::default();
    let Some(limit_reached_ms) = runs.map(|arrival| arrival.at_ms).nth(CRASH_LIMIT_COUNT - 1)
    else {
        return finding;
    };
    let is_late = |id: &str| {
        let record = index.request_record(id)?;
        let from_ms = record.sent_ms;
        (from_ms > limit_reached_ms + SETTLE_MS
            && index.is_connected(record.gateway, from_ms, from_ms))
        .then_some(record.gateway)
    };
    let late_sends: Vec<String> = crash_arrivals
        .iter()
        .filter_map(|arrival| {
            let gateway = is_late(&arrival.id)?;
            let at_ms = arrival.at_ms;
            Some(format!(
                "{} sent by gateway {gateway}, arrived at {at_ms} ms",
                arrival.id
            ))
        })
        .collect();
    let is_exceeded = late_sends.len() > LATE_MAX_COUNT;
    finding.add_trial(is_exceeded.then(|| late_sends.join(", ")));
    finding
}
