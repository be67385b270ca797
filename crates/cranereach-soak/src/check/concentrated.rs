//! Checks that requests are served while most new connections go to one gateway.

use std::collections::BTreeMap;
use std::collections::HashSet;

use super::Finding;
use crate::concentrated_callers::request_number;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;
use crate::record::RequestRecord;

/// Time within which a gateway has to adapt, in milliseconds; the time before the concentration in
/// which the share that is served is measured is as long.
pub const ADAPTING_MS: u64 = 3_000;

/// Smallest number of requests by which a share is judged.
pub const JUDGED_MIN_COUNT: usize = 20;

/// Least share of the requests that are served at the first attempt that was read, relative to the
/// time before.
const SERVED_SHARE: f64 = 0.75;

/// Judges each time of concentration.
pub fn check(records: &Records) -> Finding {
    let arrived: HashSet<&str> = records
        .arrivals
        .iter()
        .map(|arrival| arrival.id.as_str())
        .collect();
    let requests = by_request(records);
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Concentrated { from_ms, to_ms } = event else {
            continue;
        };
        let share = |from_ms: u64, to_ms: u64| {
            let sent = requests.values().filter(|tries| {
                let sent_ms = tries.first().map_or(0, |first| first.sent_ms);
                (from_ms..to_ms).contains(&sent_ms)
            });
            let (mut count, mut served_count) = (0, 0);
            for tries in sent {
                count += 1;
                served_count += usize::from(is_served_at_once(tries, &arrived));
            }
            (count >= JUDGED_MIN_COUNT).then(|| f64::from(served_count as u32) / count as f64)
        };
        let before = share(from_ms.saturating_sub(ADAPTING_MS), *from_ms);
        let during = share(from_ms + ADAPTING_MS, *to_ms);
        let (Some(before), Some(during)) = (before, during) else {
            continue;
        };
        let message = || {
            format!(
                "from {from_ms} to {to_ms} ms, {during:.2} of the requests were served at the first \
                 attempt that was read, {before:.2} before"
            )
        };
        finding.add_trial((during < before * SERVED_SHARE).then(message));
    }
    finding
}

/// Returns the tries of each request of the callers that are concentrated, in order.
fn by_request(records: &Records) -> BTreeMap<u64, Vec<&RequestRecord>> {
    let mut requests: BTreeMap<u64, Vec<&RequestRecord>> = BTreeMap::new();
    for record in &records.asked {
        if let Some(number) = request_number(&record.id) {
            requests.entry(number).or_default().push(record);
        }
    }
    for tries in requests.values_mut() {
        tries.sort_by_key(|record| record.sent_ms);
    }
    requests
}

/// Returns whether a request was served at the first attempt that was read. A connection that was
/// closed without an answer was unread if no worker got the request.
fn is_served_at_once(tries: &[&RequestRecord], arrived: &HashSet<&str>) -> bool {
    let is_read = |record: &&&RequestRecord| {
        record.end != End::Closed || arrived.contains(record.id.as_str())
    };
    let first_read = tries.iter().find(is_read);
    first_read.is_some_and(|record| matches!(&record.end, End::Answered(answer) if answer.status == 200 && answer.is_whole))
}
