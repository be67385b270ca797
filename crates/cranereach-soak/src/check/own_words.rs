//! What workers say of themselves in their answers is kept by each gateway that has passed
//! one on, in touch or not.

use std::collections::HashMap;

use super::Finding;
use super::contact::Seen;
use crate::record::Arrival;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;
use crate::record::Whom;
use cranereach_platform::standin::content::signature;

/// Bound of a leaving worker at a gateway that has passed its word on, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;

/// Time after an answer that asks for rest from which requests count, in milliseconds.
pub const ON_THE_WAY_MS: u64 = 500;

/// Requests that are tolerated in a rest.
const TOLERATED_COUNT: usize = 2;

/// Gateways and spans in which they stood still or were started again.
fn stood(records: &Records) -> Vec<(usize, u64, u64)> {
    let stood = records.events.iter().filter_map(|event| match event {
        Event::Stood {
            gateway,
            from_ms,
            to_ms,
        } => Some((*gateway, *from_ms, *to_ms)),
        Event::EndedByItself { gateway, at_ms } => Some((*gateway, *at_ms, *at_ms)),
        _ => None,
    });
    stood.collect()
}

/// A gateway that has passed on that a worker leaves sends it nothing that callers send
/// later than the bound.
pub fn leaving(records: &Records) -> Finding {
    let seen = Seen::new(records);
    let stood = stood(records);
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Leaves { worker_id, at_ms } = event else {
            continue;
        };
        for (gateway, told_ms) in told_at(records, worker_id, *at_ms) {
            let late = records.arrivals.iter().find(|arrival| {
                let asked = seen.asked(&arrival.id);
                let is_late = asked.is_some_and(|asked| {
                    asked.gateway == gateway && asked.sent_ms > told_ms + DRAIN_MS
                });
                let mut stood = stood.iter().filter(|(number, ..)| *number == gateway);
                is_late
                    && arrival.worker_id == *worker_id
                    && !stood
                        .any(|(_, from_ms, to_ms)| *from_ms <= arrival.at_ms && told_ms <= *to_ms)
            });
            finding.note(late.map(|late| {
                let after_ms = late.at_ms - told_ms;
                format!(
                    "{}: {worker_id} {after_ms} ms after {gateway} knew",
                    late.id
                )
            }));
        }
    }
    finding
}

/// Returns when each gateway first passed on an answer of a worker that leaves.
fn told_at(records: &Records, worker_id: &str, leaves_ms: u64) -> HashMap<usize, u64> {
    let own = signature(worker_id);
    let mut told_at: HashMap<usize, u64> = HashMap::new();
    for asked in records.asked.iter().filter(|of| of.sent_ms >= leaves_ms) {
        let End::Answered(answer) = &asked.end else {
            continue;
        };
        if answer.signature.as_ref() == Some(&own) {
            let at_ms = told_at.entry(asked.gateway).or_insert(asked.ended_ms);
            *at_ms = asked.ended_ms.min(*at_ms);
        }
    }
    told_at
}

/// A worker that asked a gateway for rest gets next to nothing of it until the end.
pub fn resting(records: &Records) -> Finding {
    let seen = Seen::new(records);
    let gateway_of = |arrival: &Arrival| seen.asked(&arrival.id).map(|asked| asked.gateway);
    let mut finding = Finding::default();
    for first in &records.arrivals {
        let (Some(rest_ms), Some(gateway)) = (first.rest_ms, gateway_of(first)) else {
            continue;
        };
        let (from_ms, to_ms) = (first.at_ms + ON_THE_WAY_MS, first.at_ms + rest_ms);
        let is_bound = seen.is_undisturbed(Whom::Gateway(gateway), first.at_ms, to_ms)
            && seen.is_undisturbed(Whom::Worker(first.worker), first.at_ms, to_ms);
        if to_ms <= from_ms || !is_bound {
            continue;
        }
        let during = records.arrivals.iter().filter(|arrival| {
            (from_ms..to_ms).contains(&arrival.at_ms)
                && arrival.worker_id == first.worker_id
                && gateway_of(arrival) == Some(gateway)
        });
        let count = during.count();
        finding.note((count > TOLERATED_COUNT).then(|| {
            format!(
                "{}: {count} of {gateway} in {rest_ms} ms of rest",
                first.worker_id
            )
        }));
    }
    finding
}
