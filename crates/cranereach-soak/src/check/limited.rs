//! What all gateways send to a worker that names a limit stays within what is tolerated.

use std::collections::HashMap;

use super::Finding;
use super::contact::Seen;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;
use crate::record::Whom;
use cranereach_platform::standin::content::signature;

/// How many times what the limit allows is tolerated in one window.
const EXCESS_RATIO: f64 = 1.5;

/// Requests that are tolerated besides.
const ALLOWANCE_COUNT: f64 = 5.0;

/// Length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time after an answer that named the limit from which its gateway's requests count, in
/// milliseconds.
const TOLD_MS: u64 = 500;

/// Time after the first word in which no window ends, in milliseconds.
const JUDGED_AFTER_MS: u64 = 3_000;

/// A worker and the span in which it named a limit.
#[derive(Clone, Copy, Debug)]
struct Limited<'a> {
    worker_id: &'a str,
    place: usize,
    rate_per_s: f64,
    from_ms: u64,
    to_ms: u64,
}

/// Looks at each window of each worker that named a limit: requests of gateways that had
/// passed on one of its answers, and that were in touch.
pub fn check(records: &Records) -> Finding {
    let seen = Seen::new(records);
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
            finding.note(excess(records, &seen, limited));
        }
    }
    finding
}

/// Returns how a worker got more than it named, if it did.
fn excess(records: &Records, seen: &Seen<'_>, limited: Limited<'_>) -> Option<String> {
    let told_at = told_at(records, limited);
    let arrivals = records.arrivals.iter();
    let judged = arrivals.filter(|arrival| {
        let at_ms = arrival.at_ms;
        let is_here = arrival.worker_id == limited.worker_id;
        is_here
            && at_ms <= limited.to_ms
            && seen.is_calm(Whom::Worker(limited.place), at_ms, at_ms, true)
            && seen.asked(&arrival.id).is_some_and(|asked| {
                let told_ms = told_at.get(&asked.gateway);
                told_ms.is_some_and(|told_ms| at_ms >= told_ms + TOLD_MS)
                    && seen.is_in_touch(asked.gateway, at_ms, at_ms)
            })
    });
    let mut times: Vec<u64> = judged.map(|arrival| arrival.at_ms).collect();
    times.sort_unstable();
    let most_count =
        limited.rate_per_s * EXCESS_RATIO * WINDOW_MS as f64 / 1_000.0 + ALLOWANCE_COUNT;
    let ends = times.iter().enumerate();
    let ends = ends.filter(|(_, at_ms)| **at_ms >= limited.from_ms + JUDGED_AFTER_MS);
    let counts = ends.map(|(last, at_ms)| {
        let first = times.partition_point(|other| other + WINDOW_MS <= *at_ms);
        last + 1 - first
    });
    let worst_count = counts.max().unwrap_or(0);
    (worst_count as f64 > most_count).then(|| {
        format!(
            "{}: {worst_count} in {WINDOW_MS} ms, {most_count} are tolerated",
            limited.worker_id
        )
    })
}

/// Returns when each gateway first passed on an answer that named the limit.
fn told_at(records: &Records, limited: Limited<'_>) -> HashMap<usize, u64> {
    let own = signature(limited.worker_id);
    let mut told_at: HashMap<usize, u64> = HashMap::new();
    for asked in &records.asked {
        let End::Answered(answer) = &asked.end else {
            continue;
        };
        let is_own = answer.signature.as_ref() == Some(&own);
        if is_own && (limited.from_ms..=limited.to_ms).contains(&asked.sent_ms) {
            let at_ms = told_at.entry(asked.gateway).or_insert(asked.ended_ms);
            *at_ms = asked.ended_ms.min(*at_ms);
        }
    }
    told_at
}
