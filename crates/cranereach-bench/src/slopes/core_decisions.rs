//! Costs of the decisions of `cranereach_core` and of messages between instances, by size.

use std::hint::black_box;
use std::time::Instant;

use super::Point;
use super::Slope;
use super::fit;
use super::fixtures::dispatcher;
use super::fixtures::waiting_request;
use super::fixtures::worker;
use super::fixtures::worker_report;
use crate::scenario::Scenario;
use crate::scenario::arrivals;
use cranereach_core::cell::CellId;
use cranereach_core::cell::hosts_of;
use cranereach_core::codes::ResultCode;
use cranereach_core::demand::TargetDemand;
use cranereach_core::ledger::Residence;
use cranereach_core::membership::Membership;
use cranereach_core::names::InstanceId;
use cranereach_core::names::RequestId;
use cranereach_core::residency;
use cranereach_core::residency::PlanInput;
use cranereach_core::residency::PlanOccupant;
use cranereach_core::residency::PlanTarget;
use cranereach_core::residency::PlanWeights;
use cranereach_core::residency::PlanWorker;
use cranereach_core::snapshot::Snapshot;
use cranereach_wire::peer::Digest;
use cranereach_wire::peer::DigestPart;
use cranereach_wire::peer::PeerKey;
use cranereach_wire::peer::open;
use cranereach_wire::peer::pack;
use cranereach_wire::peer::seal;

/// Measuring time for each point, in milliseconds.
const POINT_MS: u128 = 150;

/// Measures how all these decisions and messages scale.
pub fn measure(scenario: &Scenario) -> Vec<Slope> {
    vec![
        measure_slope(
            "route and send one request",
            "workers that hold the target",
            "us",
            &[12, 24, 48, 120, 200],
            route_us,
        ),
        measure_slope(
            "admit one request into a queue",
            "accounts that wait",
            "us",
            &[10, 30, 100, 300],
            admit_us,
        ),
        measure_slope(
            "plan one cell",
            "models x workers (models = 5 x workers)",
            "us",
            &[5, 10, 21, 48],
            plan_us,
        ),
        measure_slope(
            "plan one cell of 48 workers",
            "models",
            "us",
            &[33, 90, 165, 330],
            plan_models_us,
        ),
        measure_slope(
            "order the cells for one target",
            "cells of the pool",
            "us",
            &[3, 8, 16, 32],
            hosts_us,
        ),
        measure_slope(
            "list the live instances",
            "instances of the group",
            "us",
            &[2, 6, 16, 20],
            live_us,
        ),
        measure_slope(
            "seal and open one digest",
            "parts",
            "us",
            &[4, 12, 24, 40],
            digest_us,
        ),
        measure_slope(
            "bytes of demand in a digest",
            "targets",
            "bytes",
            &[33, 90, 165, 330],
            demand_bytes,
        ),
        measure_slope(
            "bytes of reports in a digest",
            "workers",
            "bytes",
            &[4, 12, 24, 48],
            report_bytes,
        ),
        measure_slope(
            "resolve a configuration",
            "accounts",
            "us",
            &[100, 300, 1_000, 3_000],
            |count| resolve_us(scenario, count),
        ),
        measure_slope(
            "bytes of a configuration's body",
            "accounts",
            "bytes",
            &[100, 300, 1_000, 3_000],
            |count| body_bytes(scenario, count),
        ),
    ]
}

/// Measures a cost at each size and fits a line.
pub(super) fn measure_slope(
    name: &'static str,
    per: &'static str,
    unit: &'static str,
    sizes: &[usize],
    value: impl Fn(usize) -> f64,
) -> Slope {
    let points = sizes
        .iter()
        .map(|&size| Point {
            count: size as f64,
            value: value(size),
        })
        .collect();
    fit(name, per, unit, points)
}

/// Returns the mean time of one run, in microseconds, after one warm-up run.
pub(super) fn time_us(mut run: impl FnMut()) -> f64 {
    run();
    let started = Instant::now();
    let mut count = 0_u32;
    while started.elapsed().as_millis() < POINT_MS {
        run();
        count += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// Returns the time to route a request immediately and to end it, in microseconds.
fn route_us(worker_count: usize) -> f64 {
    let mut dispatcher = dispatcher(worker_count);
    let mut number = 0;
    let mut actions = Vec::new();
    time_us(|| {
        number += 1;
        actions.clear();
        dispatcher.arrive(1, waiting_request(number, 0), &mut actions);
        dispatcher.ended(2, RequestId(number), 100.0, true, &mut actions);
        black_box(&actions);
    })
}

/// Returns the time to queue a request and to remove it again, in microseconds.
fn admit_us(account_count: usize) -> f64 {
    let mut dispatcher = dispatcher(1);
    let mut actions = Vec::new();
    let mut number = 0;
    for _fill in 0..(17 + account_count) {
        number += 1;
        dispatcher.arrive(
            1,
            waiting_request(number, number as usize % account_count),
            &mut actions,
        );
    }
    time_us(|| {
        number += 1;
        actions.clear();
        dispatcher.arrive(
            1,
            waiting_request(number, number as usize % account_count),
            &mut actions,
        );
        let was_waiting = dispatcher.caller_disconnected(RequestId(number));
        assert!(was_waiting, "{actions:?} {:?}", ResultCode::QueueFull);
    })
}

/// Returns the time to plan a cell with five times as many models as workers, in microseconds.
fn plan_us(worker_count: usize) -> f64 {
    plan(worker_count * 5, worker_count)
}

/// Returns the time to plan a cell of 48 workers, in microseconds.
fn plan_models_us(model_count: usize) -> f64 {
    plan(model_count, 48)
}

/// Returns the time to plan a cell, in microseconds.
fn plan(model_count: usize, worker_count: usize) -> f64 {
    let target = |number: usize| PlanTarget {
        target: format!("model-{number}").into(),
        memory_bytes: 20,
        base: None,
        concurrent_count: 30.0 / (1.0 + number as f64),
        waiting_count: u32::from(number.is_multiple_of(10)),
        oldest_wait_ms: 100,
        used_at_ms: 0,
        replicas_before: 0,
        replicas_elsewhere: 0,
        may_add_replica: number.is_multiple_of(3),
    };
    let targets: Vec<PlanTarget> = (0..model_count).map(target).collect();
    let occupant = |index: usize| PlanOccupant {
        target_index: Some(index),
        target: targets[index].target.clone(),
        memory_bytes: 20,
        residence: Residence::Resident,
        seen_at_ms: 0,
    };
    let worker = |number: usize| PlanWorker {
        worker: worker(number),
        free_bytes: 0,
        freeing_bytes: 0,
        slot_count: 16,
        occupants: (0..4)
            .map(|step| occupant((number * 4 + step) % model_count))
            .collect(),
    };
    let workers: Vec<PlanWorker> = (0..worker_count).map(worker).collect();
    let input = PlanInput {
        now_ms: 100_000,
        weights: PlanWeights::default(),
        targets: &targets,
        workers: &workers,
        forced_loads_allowed_count: 1,
    };
    time_us(|| {
        black_box((residency::MARGINAL.plan)(&input));
    })
}

/// Returns the time to order the cells in which a target's replicas are placed, in microseconds.
fn hosts_us(cell_count: usize) -> f64 {
    let cell = |number: usize| CellId {
        pool: "text".into(),
        domain: format!("d{}", number % 8).into(),
        part: number as u32,
    };
    let cells: Vec<CellId> = (0..cell_count).map(cell).collect();
    time_us(|| {
        black_box(hosts_of(&"model-7".into(), &cells));
    })
}

/// Returns the time to list the live instances, in microseconds.
fn live_us(instance_count: usize) -> f64 {
    let ids: Vec<InstanceId> = (0..instance_count)
        .map(|number| InstanceId::from(format!("entry-{number}")))
        .collect();
    let mut membership = Membership::new("own".into());
    membership.set_live(ids.clone());
    for id in &ids {
        membership.record_message(0, id);
    }
    time_us(|| {
        black_box(membership.live(1));
    })
}

/// Returns digest parts that report the demand of `count` targets.
fn demand_parts(count: usize) -> Vec<DigestPart> {
    let demand = |number: usize| TargetDemand {
        target: format!("model-{number}").into(),
        concurrent_count: 1.5,
        waiting_count: 3,
        oldest_wait_ms: 700,
    };
    (0..count).map(demand).map(DigestPart::Demand).collect()
}

/// Returns the time to seal and open a digest, in microseconds.
fn digest_us(part_count: usize) -> f64 {
    let key = PeerKey::derive("secret");
    let digests = pack(&"entry-1".into(), 1, 1, demand_parts(part_count));
    time_us(|| {
        for digest in &digests {
            let sealed = seal(&key, digest);
            black_box(open::<Digest>(&key, &sealed).is_ok());
        }
    })
}

/// Returns the number of bytes that digest parts take on the wire.
fn wire_bytes(parts: Vec<DigestPart>) -> f64 {
    let key = PeerKey::derive("secret");
    pack(&"entry-1".into(), 1, 1, parts)
        .iter()
        .map(|digest| seal(&key, digest).len() as f64)
        .sum()
}

/// Returns the number of digest bytes for the demand of `count` targets.
fn demand_bytes(count: usize) -> f64 {
    wire_bytes(demand_parts(count))
}

/// Returns the number of digest bytes for the reports of `count` workers.
fn report_bytes(count: usize) -> f64 {
    wire_bytes(
        (0..count)
            .map(worker_report)
            .map(DigestPart::Report)
            .collect(),
    )
}

/// Returns the time to parse and resolve a configuration, in microseconds.
fn resolve_us(scenario: &Scenario, account_count: usize) -> f64 {
    let scenario = Scenario {
        account_count,
        ..scenario.clone()
    };
    let folder = arrivals::declarations(&scenario);
    time_us(|| {
        let declared = folder
            .declarations()
            .expect("generated declarations are valid");
        black_box(Snapshot::resolve(&declared, 1).is_ok());
    })
}

/// Returns the size of a configuration's body, in bytes.
fn body_bytes(scenario: &Scenario, account_count: usize) -> f64 {
    let scenario = Scenario {
        account_count,
        ..scenario.clone()
    };
    arrivals::declarations(&scenario)
        .files
        .values()
        .map(|text| text.len() as f64)
        .sum()
}
