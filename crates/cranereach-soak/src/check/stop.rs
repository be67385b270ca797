//! Checks that a planned stop finishes the requests that the gateway has read.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Finding;
use super::contact::RecordIndex;
use crate::record::Component;
use crate::record::End;
use crate::record::Event;
use crate::record::Kind;
use crate::record::Records;
use crate::record::RequestRecord;

/// Grace time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_S: f64 = 8.0;

/// Time within which a connection may close without an answer because the close crossed the
/// request on the wire, in milliseconds.
const CLOSE_RACE_MS: u64 = 200;

/// Judges the requests that were open at the start of a stop or sent during it, except those
/// whose gateway, store, worker or path between them had an unplanned disturbance.
pub fn check(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let mut workers: HashMap<&str, Vec<usize>> = HashMap::new();
    for arrival in &records.arrivals {
        let of_request = workers.entry(arrival.id.as_str()).or_default();
        of_request.push(arrival.worker);
    }
    let mut judged = HashSet::new();
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::StopAsked { gateway, at_ms } = event else {
            continue;
        };
        let until_ms = at_ms + (GRACE_S * 1_000.0) as u64 + 1_000;
        let during_stop = records.asked.iter().filter(|record| {
            record.gateway == *gateway && record.ended_ms >= *at_ms && record.sent_ms <= until_ms
        });
        for record in during_stop {
            let workers = workers.get(record.id.as_str()).map(Vec::as_slice);
            let workers = involved_workers(record, workers.unwrap_or_default());
            // A request may have been open at two stop signals.
            if is_undisturbed(&index, record, workers) && judged.insert(record.id.as_str()) {
                let is_cut = is_cut(record, !workers.is_empty());
                let message = || format!("{}: cut off by the stop of gateway {gateway}", record.id);
                finding.add_trial(is_cut.then(message));
            }
        }
    }
    finding
}

/// Returns the workers on which the end of an answer depended, of those that got the request: the
/// last one, and all of a stream that may be resumed.
fn involved_workers<'a>(record: &RequestRecord, workers: &'a [usize]) -> &'a [usize] {
    match record.kind {
        Kind::Resumable => workers,
        Kind::Once | Kind::Again | Kind::Moved | Kind::Stream => {
            &workers[workers.len().saturating_sub(1)..]
        }
    }
}

/// Returns whether no component that took part had an unplanned disturbance.
fn is_undisturbed(index: &RecordIndex<'_>, record: &RequestRecord, workers: &[usize]) -> bool {
    let is_settled =
        |component| index.is_settled(component, record.sent_ms, record.ended_ms, false);
    is_settled(Component::Gateway(record.gateway))
        && is_settled(Component::Store)
        && workers.iter().all(|worker| {
            let path = Component::Path {
                gateway: record.gateway,
                worker: *worker,
            };
            is_settled(Component::Worker(*worker)) && is_settled(path)
        })
}

/// Returns whether a request was read by the gateway but got no complete answer.
fn is_cut(record: &RequestRecord, has_arrived: bool) -> bool {
    let was_read = has_arrived || record.ended_ms > record.sent_ms + CLOSE_RACE_MS;
    let is_incomplete = match &record.end {
        End::Closed => true,
        End::Answered(answer) => !answer.is_whole && !record.is_left,
        End::GaveUp => false,
    };
    was_read && is_incomplete
}
