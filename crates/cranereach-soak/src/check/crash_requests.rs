//! Checks that requests that crash their workers reach few of them, and that others are served.

use super::Finding;
use super::contact::RecordIndex;
use super::contact::SETTLE_MS;
use crate::crash_requests::has_crash_part;
use crate::crash_requests::is_crash_request;
use crate::record::End;
use crate::record::Kind;
use crate::record::Records;

/// Number of worker crashes after which a request must not be sent to any worker.
const CRASH_LIMIT_COUNT: usize = 3;

/// Number of sends that are tolerated after all gateways must know of these crashes.
pub const LATE_MAX_COUNT: usize = 3;

/// Number of worker crashes after which requests that share a part must not be sent to any worker.
pub const PART_CRASH_LIMIT_COUNT: usize = 5;

/// Status of the response to a quarantined request.
const QUARANTINED_STATUS: u16 = 501;

/// Checks that connected gateways send a request that crashed `CRASH_LIMIT_COUNT` workers at most
/// `LATE_MAX_COUNT` times after all of them must know of the crashes.
pub fn check(records: &Records) -> Finding {
    check_late_sends(records, is_crash_request, CRASH_LIMIT_COUNT)
}

/// Checks the same of requests that share a part under which `PART_CRASH_LIMIT_COUNT` workers
/// crashed.
pub fn check_parts(records: &Records) -> Finding {
    check_late_sends(records, has_crash_part, PART_CRASH_LIMIT_COUNT)
}

/// Checks that connected gateways refuse fewer than half of the streams without the crash part as
/// quarantined, once all of them must know of the crashes under the part.
pub fn check_sound_streams(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let mut finding = Finding::default();
    let Some(crashed_ms) = crash_ms(records, has_crash_part, PART_CRASH_LIMIT_COUNT) else {
        return finding;
    };
    let from_ms = crashed_ms + 2 * SETTLE_MS;
    let sound = records.asked.iter().filter(|record| {
        record.kind == Kind::Stream
            && !has_crash_part(&record.id)
            && record.sent_ms > from_ms
            && index.is_connected(record.gateway, record.sent_ms, record.ended_ms)
    });
    let (mut sound_count, mut refused_count) = (0, 0);
    for record in sound {
        sound_count += 1;
        let is_refused =
            matches!(&record.end, End::Answered(answer) if answer.status == QUARANTINED_STATUS);
        refused_count += usize::from(is_refused);
    }
    if sound_count > 0 {
        let is_exceeded = 2 * refused_count >= sound_count;
        let violation = format!("{refused_count} of {sound_count} sound streams refused");
        finding.add_trial(is_exceeded.then_some(violation));
    }
    finding
}

/// Returns the time of the `count`th worker crash under requests whose IDs are recognized, in
/// milliseconds.
fn crash_ms(records: &Records, is_crash: fn(&str) -> bool, count: usize) -> Option<u64> {
    let arrivals = records.arrivals.iter();
    let runs = arrivals.filter(|arrival| is_crash(&arrival.id) && arrival.is_run);
    runs.map(|arrival| arrival.at_ms).nth(count - 1)
}

/// Checks that connected gateways send crash requests at most `LATE_MAX_COUNT` times after all of
/// them must know of `crash_count` crashes.
fn check_late_sends(records: &Records, is_crash: fn(&str) -> bool, crash_count: usize) -> Finding {
    let index = RecordIndex::new(records);
    let mut finding = Finding::default();
    let Some(limit_reached_ms) = crash_ms(records, is_crash, crash_count) else {
        return finding;
    };
    let is_late = |id: &str| {
        let record = index.request_record(id)?;
        let from_ms = record.sent_ms;
        (from_ms > limit_reached_ms + SETTLE_MS
            && index.is_connected(record.gateway, from_ms, from_ms))
        .then_some(record.gateway)
    };
    let crash_arrivals = records
        .arrivals
        .iter()
        .filter(|arrival| is_crash(&arrival.id));
    let late_sends: Vec<String> = crash_arrivals
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
