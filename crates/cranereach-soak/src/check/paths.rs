//! Checks what follows when single gateways can't reach workers that others reach.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Finding;
use super::contact::RecordIndex;
use super::contact::SETTLE_MS;
use crate::record::Arrival;
use crate::record::Component;
use crate::record::Disturbance;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;
use crate::record::RequestRecord;

/// Time within which a gateway must find out that its paths are cut, in milliseconds.
pub const DETECTION_MS: u64 = 2_000;

/// Smallest number of requests by which a share is judged.
pub const JUDGED_MIN_COUNT: usize = 20;

/// Smallest share of their requests that others must serve for a comparison to say anything.
const COMPARABLE_SHARE: f64 = 0.5;

/// Share of the requests that an isolated gateway must serve, of the share that others serve.
const SERVED_SHARE: f64 = 0.5;

/// Smallest number of requests that others send to a service while a path to one of its workers is
/// cut, by which it is judged whether they still use that worker.
pub const USED_MIN_COUNT: usize = 60;

/// Checks that a gateway that is cut off from all workers still serves, through others.
pub fn isolated(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let isolations = isolations(records);
    let mut finding = Finding::default();
    for (gateway, from_ms, to_ms) in &isolations {
        let is_isolated = |other: usize| {
            let mut isolations = isolations.iter();
            isolations.any(|(isolated, other_from_ms, other_to_ms)| {
                *isolated == other && other_from_ms <= to_ms && from_ms <= other_to_ms
            })
        };
        let during = records.asked.iter().filter(|record| {
            let gateway = Component::Gateway(record.gateway);
            (from_ms + DETECTION_MS..*to_ms).contains(&record.sent_ms)
                && index.is_undisturbed(gateway, record.sent_ms - DETECTION_MS, record.ended_ms)
        });
        let (own, others): (Vec<_>, Vec<_>) = during
            .filter(|record| record.gateway == *gateway || !is_isolated(record.gateway))
            .partition(|record| record.gateway == *gateway);
        if own.len().min(others.len()) < JUDGED_MIN_COUNT {
            continue;
        }
        let (own_share, others_share) = (served_share(&own), served_share(&others));
        if others_share < COMPARABLE_SHARE {
            continue;
        }
        let message = || {
            format!(
                "gateway {gateway}, isolated from {from_ms} to {to_ms} ms, served {own_share:.2} \
                 of {} requests, the others {others_share:.2} of {}",
                own.len(),
                others.len()
            )
        };
        finding.add_trial((own_share < others_share * SERVED_SHARE).then(message));
    }
    finding
}

/// Returns the gateways that were cut off from all workers, with start and end.
fn isolations(records: &Records) -> Vec<(usize, u64, u64)> {
    let events = records.events.iter();
    let isolations = events.filter_map(|event| match event {
        Event::Isolated {
            gateway,
            from_ms,
            to_ms,
        } => Some((*gateway, *from_ms, *to_ms)),
        _ => None,
    });
    isolations.collect()
}

/// Returns the share of requests that were served.
fn served_share(records: &[&RequestRecord]) -> f64 {
    let is_served = |record: &&&RequestRecord| matches!(&record.end, End::Answered(answer) if answer.status == 200 && answer.is_whole);
    let served_count = records.iter().filter(is_served).count();
    served_count as f64 / records.len().max(1) as f64
}

/// Checks that gateways whose paths to a worker are not cut go on using it while that of another
/// one is.
pub fn used(records: &Records) -> Finding {
    let services = services(records);
    let mut finding = Finding::default();
    for cut in &records.troubles {
        let Component::Path { gateway, worker } = cut.whom else {
            continue;
        };
        let Some(service) = services.get(&worker) else {
            continue;
        };
        if !is_worker_calm(records, worker, cut) {
            continue;
        }
        let cut_off = cut_off_gateways(records, worker, cut);
        let from_others = others_arrivals(records, &cut_off, cut);
        let of_service = from_others.filter(|(_, other_service)| other_service == service);
        let workers: Vec<usize> = of_service.map(|(worker, _)| worker).collect();
        if workers.len() < USED_MIN_COUNT {
            continue;
        }
        let message = || {
            format!(
                "worker {worker}: none of {} requests of others while the path of gateway {gateway} \
                 was cut from {} to {} ms",
                workers.len(),
                cut.from_ms,
                cut.to_ms
            )
        };
        finding.add_trial((!workers.contains(&worker)).then(message));
    }
    finding
}

/// Returns the service of each worker slot.
fn services(records: &Records) -> HashMap<usize, &str> {
    let arrivals = records.arrivals.iter();
    arrivals
        .map(|arrival| (arrival.worker, arrival.service.as_str()))
        .collect()
}

/// Returns whether a worker had no trouble of its own from some time before a cut until its end,
/// and neither it nor the operator asked to leave it alone.
fn is_worker_calm(records: &Records, worker: usize, cut: &Disturbance) -> bool {
    let overlaps =
        |from_ms: u64, to_ms: u64| from_ms <= cut.to_ms && cut.from_ms <= to_ms + SETTLE_MS;
    let is_disturbed = records.troubles.iter().any(|trouble| {
        trouble.whom == Component::Worker(worker) && overlaps(trouble.from_ms, trouble.to_ms)
    });
    let arrivals = records.arrivals.iter();
    let arrivals: Vec<&Arrival> = arrivals
        .filter(|arrival| arrival.worker == worker)
        .collect();
    let has_rested = arrivals.iter().any(|arrival| {
        let rest_ms = arrival.rest_ms;
        rest_ms.is_some_and(|rest_ms| overlaps(arrival.at_ms, arrival.at_ms + rest_ms))
    });
    let started_ids: HashSet<&str> = arrivals
        .iter()
        .map(|arrival| arrival.worker_id.as_str())
        .collect();
    let is_avoided = records.events.iter().any(|event| match event {
        Event::Evacuated { from_ms, to_ms, .. } => overlaps(*from_ms, *to_ms),
        Event::Leaves { worker_id, at_ms } | Event::Cold { worker_id, at_ms } => {
            started_ids.contains(worker_id.as_str()) && overlaps(*at_ms, *at_ms)
        }
        Event::Limited {
            place,
            from_ms,
            to_ms,
            ..
        } => *place == worker && overlaps(*from_ms, *to_ms),
        _ => false,
    });
    !is_disturbed && !is_avoided && !has_rested
}

/// Returns the gateways whose paths to a worker were cut at some moment of a cut.
fn cut_off_gateways(records: &Records, worker: usize, cut: &Disturbance) -> HashSet<usize> {
    let troubles = records.troubles.iter();
    let overlapping =
        troubles.filter(|trouble| trouble.from_ms <= cut.to_ms && cut.from_ms <= trouble.to_ms);
    overlapping
        .filter_map(|trouble| match trouble.whom {
            Component::Path {
                gateway,
                worker: other,
            } if other == worker => Some(gateway),
            _ => None,
        })
        .collect()
}

/// Returns worker and service of each request that others than these gateways sent on, long enough
/// after the start of a cut.
fn others_arrivals<'a>(
    records: &'a Records,
    cut_off: &'a HashSet<usize>,
    cut: &'a Disturbance,
) -> impl Iterator<Item = (usize, &'a str)> {
    let index = RecordIndex::new(records);
    records.arrivals.iter().filter_map(move |arrival| {
        let record = index.request_record(&arrival.id)?;
        let is_judged = (cut.from_ms + DETECTION_MS..cut.to_ms).contains(&arrival.at_ms)
            && !cut_off.contains(&record.gateway);
        is_judged.then_some((arrival.worker, arrival.service.as_str()))
    })
}
