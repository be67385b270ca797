//! Checks that changes take effect at all gateways within a time bound.
//!
//! Except for revoked keys, only gateways that were connected to the store are judged. A bound
//! starts when the store has accepted the change.

use std::collections::HashMap;

use super::Finding;
use super::contact::RecordIndex;
use crate::record::Arrival;
use crate::record::Component;
use crate::record::Event;
use crate::record::Kind;
use crate::record::Records;
use crate::record::RequestRecord;

/// Bound on the time until a leaving worker gets no more requests, in milliseconds.
pub const DRAIN_MS: u64 = 3_000;

/// Bound on the time until a configuration takes effect, in milliseconds.
pub const CONFIGURATION_MS: u64 = 3_000;

/// Bound on the time until a revoked key is refused, in milliseconds.
pub const REVOCATION_MS: u64 = 5_000;

/// Bound on the time until an evacuation takes effect, in milliseconds.
pub const EVACUATION_MS: u64 = 5_000;

/// Returns the arrivals from connected gateways over undisturbed links, with the callers' records
/// of their requests.
fn judged_arrivals<'a>(
    records: &'a Records,
    index: &'a RecordIndex<'a>,
) -> impl Iterator<Item = (&'a RequestRecord, &'a Arrival)> {
    records.arrivals.iter().filter_map(|arrival| {
        let record = index.request_record(&arrival.id)?;
        let (from_ms, to_ms) = (record.sent_ms, arrival.at_ms);
        let is_judged = index.is_connected(record.gateway, from_ms, to_ms)
            && index.is_settled(Component::Worker(arrival.worker), from_ms, to_ms, true);
        is_judged.then_some((record, arrival))
    })
}

/// Checks that a leaving worker gets no request after the bound.
pub fn leaving(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let departures = records.events.iter().filter_map(|event| match event {
        Event::Leaves { worker_id, at_ms } => Some((worker_id.as_str(), *at_ms)),
        _ => None,
    });
    let departures: Vec<(&str, u64)> = departures.collect();
    let mut finding = Finding::default();
    for (worker_id, at_ms) in departures {
        let after_bound = judged_arrivals(records, &index)
            .filter(|(_, arrival)| arrival.at_ms > at_ms + DRAIN_MS);
        let mut after_bound = after_bound.peekable();
        // Without requests of connected gateways, nothing was tested.
        if after_bound.peek().is_none() {
            continue;
        }
        let late_arrival = after_bound.find(|(_, arrival)| arrival.worker_id == worker_id);
        let message = |(record, arrival): (&RequestRecord, &Arrival)| {
            format!(
                "{}: sent by gateway {} to {worker_id} {} ms after it announced that it leaves",
                record.id,
                record.gateway,
                arrival.at_ms - at_ms
            )
        };
        finding.add_trial(late_arrival.map(message));
    }
    finding
}

/// Checks that no request runs that was sent with a revoked key after the bound, whatever faults
/// affected the gateway.
pub fn revoked(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let revocations = records.events.iter().filter_map(|event| match event {
        Event::Revoked { key, at_ms } => Some((*key, *at_ms)),
        _ => None,
    });
    let revocations: HashMap<usize, u64> = revocations.collect();
    let is_late = |record: &RequestRecord| {
        revocations
            .get(&record.key)
            .is_some_and(|at_ms| record.sent_ms > at_ms + REVOCATION_MS)
    };
    let mut finding = Finding {
        tried_count: records
            .asked
            .iter()
            .filter(|record| is_late(record))
            .count(),
        violations: Vec::new(),
    };
    for run in records.arrivals.iter().filter(|arrival| arrival.is_run) {
        if let Some(record) = index
            .request_record(&run.id)
            .filter(|record| is_late(record))
        {
            finding.violations.push(format!(
                "{}: revoked key {} was accepted by gateway {} at {} ms",
                record.id, record.key, record.gateway, record.sent_ms
            ));
        }
    }
    finding
}

/// Checks that requests of the `moved` route reach a service that is named by a configuration that
/// may be in force.
pub fn configuration(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let moves = records.events.iter().filter_map(|event| match event {
        Event::Moved { service, at_ms } => Some((service.as_str(), *at_ms)),
        _ => None,
    });
    let moves: Vec<(&str, u64)> = moves.collect();
    let mut finding = Finding::default();
    let moved_arrivals =
        judged_arrivals(records, &index).filter(|(record, _)| record.kind == Kind::Moved);
    for (record, arrival) in moved_arrivals {
        // The last move that must be in force, and all later ones.
        let oldest_possible = moves
            .iter()
            .rposition(|(_, at_ms)| at_ms + CONFIGURATION_MS < record.sent_ms);
        let possible_moves = &moves[oldest_possible.unwrap_or(0)..];
        let is_allowed = possible_moves
            .iter()
            .any(|(service, at_ms)| *service == arrival.service && *at_ms <= arrival.at_ms);
        let message = || {
            format!(
                "{}: sent by gateway {} to service {} at {} ms",
                record.id, record.gateway, arrival.service, arrival.at_ms
            )
        };
        // Until a move must be in force, a request to an allowed service doesn't count as a trial.
        if oldest_possible.is_some_and(|position| position > 0) || !is_allowed {
            finding.add_trial((!is_allowed).then(message));
        }
    }
    finding
}

/// Checks that no request runs in an evacuated failure domain from the bound until the evacuation
/// is cancelled.
pub fn evacuated(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Evacuated {
            domain,
            from_ms,
            to_ms,
        } = event
        else {
            continue;
        };
        let is_late =
            |arrival: &Arrival| arrival.at_ms > from_ms + EVACUATION_MS && arrival.at_ms < *to_ms;
        let mut after_bound =
            judged_arrivals(records, &index).filter(|(_, arrival)| is_late(arrival));
        let mut after_bound = after_bound.by_ref().peekable();
        if after_bound.peek().is_none() {
            continue;
        }
        let late_arrival =
            after_bound.find(|(_, arrival)| arrival.is_run && arrival.domain == *domain);
        let message = |(record, arrival): (&RequestRecord, &Arrival)| {
            format!(
                "{}: sent by gateway {} to domain {domain} at {} ms, evacuated since {from_ms} ms",
                record.id, record.gateway, arrival.at_ms
            )
        };
        finding.add_trial(late_arrival.map(message));
    }
    finding
}
