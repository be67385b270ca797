//! Requests that end their workers reach few.

use super::Finding;
use super::record_index::RecordIndex;
use super::record_index::SETTLE_MS;
use crate::crash_requests::is_crash_request;
use crate::record::Records;

/// Ends of workers after which a request is to be sent to none.
const CRASH_LIMIT_COUNT: usize = 3;

/// Sends that are tolerated later than that is known.
pub const LATE_MAX_COUNT: usize = 3;

/// A request under which three workers ended is sent to no more than a few others, by
/// gateways that were in touch, later than all can know of it.
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
    let late: Vec<String> = crash_arrivals
        .iter()
        .filter_map(|arrival| {
            let gateway = is_late(&arrival.id)?;
            let at_ms = arrival.at_ms;
            Some(format!(
                "{} from gateway {gateway} at {at_ms} ms",
                arrival.id
            ))
        })
        .collect();
    let broken = late.len() > LATE_MAX_COUNT;
    finding.add_trial(broken.then(|| late.join(", ")));
    finding
}
