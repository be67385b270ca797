//! Tests of the checks of notices in workers' answers.

use crate::planted::add;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_soak::check::notices;
use cranereach_soak::check::notices::DRAIN_MS;
use cranereach_soak::record::Component;
use cranereach_soak::record::Disturbance;
use cranereach_soak::record::Event;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;

/// Time at which the first request of the fault-free records is sent, in milliseconds.
const FIRST_MS: u64 = 20_000;

/// Makes the worker of the first request leave right before it, and sends it another request
/// `later_ms` after the first answer.
fn depart(records: &mut Records, later_ms: u64) {
    records.asked.truncate(1);
    records.arrivals.truncate(1);
    let worker_id = records.arrivals[0].worker_id.clone();
    let at_ms = FIRST_MS - 1;
    records.events.push(Event::Leaves { worker_id, at_ms });
    let informed_ms = records.asked[0].ended_ms;
    add(records, served("late", Kind::Again, informed_ms + later_ms));
}

#[test]
fn late_requests_from_a_gateway_that_passed_on_a_notice_are_found() {
    finds(notices::leaving, |records| depart(records, DRAIN_MS + 1));
    passes(notices::leaving, |records| depart(records, DRAIN_MS));
    // Disturbances of the store or of the gateway's link to it are no excuse.
    finds(notices::leaving, |records| {
        depart(records, DRAIN_MS + 1);
        for whom in [Component::Store, Component::Gateway(0)] {
            records.troubles.push(Disturbance {
                whom,
                is_planned: false,
                from_ms: FIRST_MS,
                to_ms: FIRST_MS + 60_000,
            });
        }
    });
    let interruption = |gateway| Event::Stood {
        gateway,
        from_ms: FIRST_MS + 500,
        to_ms: FIRST_MS + 600,
    };
    passes(notices::leaving, |records| {
        depart(records, DRAIN_MS + 1);
        records.events.push(interruption(0));
    });
    finds(notices::leaving, |records| {
        depart(records, DRAIN_MS + 1);
        records.events.push(interruption(1));
    });
}

/// Makes the worker of the first request ask for a rest in its answer, and sends it `count` more
/// requests `step_ms` apart.
fn add_rest(records: &mut Records, rest_ms: u64, count: u64, step_ms: u64) {
    records.asked.truncate(1);
    records.arrivals.truncate(1);
    records.arrivals[0].rest_ms = Some(rest_ms);
    for number in 1..=count {
        let sent_ms = FIRST_MS + number * step_ms;
        add(
            records,
            served(&format!("more-{number}"), Kind::Again, sent_ms),
        );
    }
}

#[test]
fn too_many_requests_during_a_rest_are_found() {
    finds(notices::resting, |records| add_rest(records, 3_000, 3, 700));
    passes(notices::resting, |records| add_rest(records, 3_000, 2, 700));
    passes(notices::resting, |records| add_rest(records, 1_000, 3, 700));
    // Requests that were in flight before the answer arrived are tolerated.
    passes(notices::resting, |records| add_rest(records, 3_000, 9, 20));
    for whom in [Component::Gateway(0), Component::Worker(0)] {
        passes(notices::resting, |records| {
            add_rest(records, 3_000, 3, 700);
            records.troubles.push(Disturbance {
                whom,
                is_planned: false,
                from_ms: FIRST_MS + 100,
                to_ms: FIRST_MS + 200,
            });
        });
    }
}
