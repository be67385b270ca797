//! Checks that a gateway follows the notices in workers' answers (that a worker leaves, or asks for
//! a rest by `Retry-After`) once it has passed such an answer on, whether it is connected to the
//! store or not.

use std::collections::HashMap;

use super::Finding;
use super::contact::RecordIndex;
use crate::record::Arrival;
use crate::record::Component;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;
use cranereach_platform::standin::content::signature;

/// Time after which a gateway that has passed on a worker's notice of leaving must send it nothing,
/// in milliseconds.
pub const DRAIN_MS: u64 = 2_000;

/// Time after an answer that asks for a rest from which requests count, in milliseconds. Earlier
/// ones may have been in flight.
pub const IN_FLIGHT_MS: u64 = 500;

/// Number of requests that are tolerated during a rest.
const TOLERATED_COUNT: usize = 2;

/// Returns the gateways and periods in which they were frozen or restarted.
fn interruptions(records: &Records) -> Vec<(usize, u64, u64)> {
    let interruptions = records.events.iter().filter_map(|event| match event {
        Event::Stood {
            gateway,
            from_ms,
            to_ms,
        } => Some((*gateway, *from_ms, *to_ms)),
        Event::EndedByItself { gateway, at_ms } => Some((*gateway, *at_ms, *at_ms)),
        _ => None,
    });
    interruptions.collect()
}

/// Checks that a gateway that has passed on a worker's notice of leaving sends it no request that a
/// caller sent after the bound.
pub fn leaving(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let interruptions = interruptions(records);
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Leaves { worker_id, at_ms } = event else {
            continue;
        };
        for (gateway, informed_ms) in informed_at(records, worker_id, *at_ms) {
            let late_arrival = records.arrivals.iter().find(|arrival| {
                let record = index.request_record(&arrival.id);
                let is_late = record.is_some_and(|record| {
                    record.gateway == gateway && record.sent_ms > informed_ms + DRAIN_MS
                });
                let mut interruptions = interruptions
                    .iter()
                    .filter(|(number, ..)| *number == gateway);
                is_late
                    && arrival.worker_id == *worker_id
                    && !interruptions.any(|(_, from_ms, to_ms)| {
                        *from_ms <= arrival.at_ms && informed_ms <= *to_ms
                    })
            });
            finding.add_trial(late_arrival.map(|late| {
                let after_ms = late.at_ms - informed_ms;
                format!(
                    "{}: sent to leaving {worker_id} {after_ms} ms after gateway {gateway} knew",
                    late.id
                )
            }));
        }
    }
    finding
}

/// Returns when each gateway first passed on an answer of a leaving worker.
fn informed_at(records: &Records, worker_id: &str, leaves_ms: u64) -> HashMap<usize, u64> {
    let expected = signature(worker_id);
    let mut informed_at: HashMap<usize, u64> = HashMap::new();
    for record in records
        .asked
        .iter()
        .filter(|request| request.sent_ms >= leaves_ms)
    {
        let End::Answered(answer) = &record.end else {
            continue;
        };
        if answer.signature.as_ref() == Some(&expected) {
            let at_ms = informed_at.entry(record.gateway).or_insert(record.ended_ms);
            *at_ms = record.ended_ms.min(*at_ms);
        }
    }
    informed_at
}

/// Checks that a worker gets almost no requests from a gateway that it has asked for a rest, until
/// the rest ends.
pub fn resting(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let gateway_of = |arrival: &Arrival| {
        index
            .request_record(&arrival.id)
            .map(|record| record.gateway)
    };
    let mut finding = Finding::default();
    for first in &records.arrivals {
        let (Some(rest_ms), Some(gateway)) = (first.rest_ms, gateway_of(first)) else {
            continue;
        };
        let (from_ms, to_ms) = (first.at_ms + IN_FLIGHT_MS, first.at_ms + rest_ms);
        let is_judged = index.is_undisturbed(Component::Gateway(gateway), first.at_ms, to_ms)
            && index.is_undisturbed(Component::Worker(first.worker), first.at_ms, to_ms);
        if to_ms <= from_ms || !is_judged {
            continue;
        }
        let requests_in_rest = records.arrivals.iter().filter(|arrival| {
            (from_ms..to_ms).contains(&arrival.at_ms)
                && arrival.worker_id == first.worker_id
                && gateway_of(arrival) == Some(gateway)
        });
        let count = requests_in_rest.count();
        finding.add_trial((count > TOLERATED_COUNT).then(|| {
            format!(
                "{}: {count} requests of gateway {gateway} in a rest of {rest_ms} ms",
                first.worker_id
            )
        }));
    }
    finding
}
