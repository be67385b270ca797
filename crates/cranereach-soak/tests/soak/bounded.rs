//! Tests of the checks with time bounds or rates, and of planned stops.

use crate::planted::add;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_soak::check::bounded;
use cranereach_soak::check::cold;
use cranereach_soak::check::contact::SETTLE_MS;
use cranereach_soak::check::rate_limits;
use cranereach_soak::check::stop;
use cranereach_soak::record::Component;
use cranereach_soak::record::Disturbance;
use cranereach_soak::record::End;
use cranereach_soak::record::Event;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;

/// Time at which the first request of the fault-free records is sent, in milliseconds.
const FIRST_MS: u64 = 20_000;

/// Plants a disturbance that ended `ended_before_ms` before the first request.
fn add_disturbance(records: &mut Records, whom: Component, ended_before_ms: u64) {
    let to_ms = FIRST_MS - ended_before_ms;
    records.troubles.push(Disturbance {
        whom,
        is_planned: false,
        from_ms: to_ms - 10,
        to_ms,
    });
}

/// Makes the worker of the first request leave `before_ms` before it, and drops all other arrivals.
fn depart(records: &mut Records, before_ms: u64) {
    records.arrivals.truncate(1);
    let worker_id = records.arrivals[0].worker_id.clone();
    let at_ms = records.arrivals[0].at_ms - before_ms;
    records.events.push(Event::Leaves { worker_id, at_ms });
}

#[test]
fn requests_to_a_worker_that_left_are_found() {
    let late_ms = bounded::DRAIN_MS + 1;
    finds(bounded::leaving, |records| depart(records, late_ms));
    passes(bounded::leaving, |records| depart(records, late_ms - 1));
    // A disturbance that is long past, or of another gateway, is no excuse.
    finds(bounded::leaving, |records| {
        depart(records, late_ms);
        add_disturbance(records, Component::Store, SETTLE_MS + 1);
        add_disturbance(records, Component::Gateway(1), 1);
    });
    for whom in [
        Component::Store,
        Component::Gateway(0),
        Component::Worker(0),
    ] {
        passes(bounded::leaving, |records| {
            depart(records, late_ms);
            add_disturbance(records, whom, SETTLE_MS - 1);
        });
    }
}

#[test]
fn a_revoked_key_accepted_too_late_is_found_despite_gateway_faults() {
    let revoke = |records: &mut Records, before_ms: u64| {
        records.arrivals.truncate(1);
        records.events.push(Event::Revoked {
            key: 0,
            at_ms: FIRST_MS - before_ms,
        });
    };
    let late_ms = bounded::REVOCATION_MS + 1;
    finds(bounded::revoked, |records| {
        revoke(records, late_ms);
        add_disturbance(records, Component::Gateway(0), 1);
    });
    passes(bounded::revoked, |records| revoke(records, late_ms - 1));
    passes(bounded::revoked, |records| {
        revoke(records, late_ms);
        records.arrivals[0].is_run = false;
    });
}

#[test]
fn an_outdated_or_unknown_route_target_is_found() {
    let add_moves = |records: &mut Records, services: &[(&str, u64)]| {
        for (service, before_ms) in services {
            records.events.push(Event::Moved {
                service: (*service).to_owned(),
                at_ms: FIRST_MS - before_ms,
            });
        }
    };
    let long_ms = bounded::CONFIGURATION_MS + 1;
    let check = bounded::configuration;
    let add_first_move = |records: &mut Records| add_moves(records, &[("plain", FIRST_MS)]);
    let violation_count = |plant: &dyn Fn(&mut Records)| {
        let mut records = crate::planted::fault_free_records();
        add_first_move(&mut records);
        plant(&mut records);
        check(&records).violations.len()
    };
    assert_eq!(violation_count(&|_| {}), 0);
    assert_eq!(
        violation_count(&|records| add_moves(records, &[("spare", long_ms)])),
        1
    );
    assert_eq!(
        violation_count(&|records| add_moves(records, &[("spare", 10)])),
        0
    );
    assert_eq!(
        violation_count(&|records| records.arrivals[2].service = "spare".to_owned()),
        1
    );
    // The route came back before the first move had to be in force.
    assert_eq!(
        violation_count(&|records| add_moves(records, &[("spare", long_ms), ("plain", 10)])),
        0
    );
}

#[test]
fn requests_to_an_evacuated_domain_are_found() {
    let evacuate = |records: &mut Records, from_ms: u64, to_ms: u64| {
        records.events.push(Event::Evacuated {
            domain: 0,
            from_ms,
            to_ms,
        });
    };
    let late_ms = bounded::EVACUATION_MS + 1;
    let check = bounded::evacuated;
    finds(check, |records| {
        evacuate(records, FIRST_MS - late_ms, FIRST_MS + 1_000);
    });
    passes(check, |records| {
        evacuate(records, FIRST_MS - late_ms, FIRST_MS);
    });
    passes(check, |records| {
        evacuate(records, FIRST_MS - 1_000, FIRST_MS + 1_000);
    });
    passes(check, |records| {
        evacuate(records, FIRST_MS - late_ms, FIRST_MS + 1_000);
        records.troubles.push(Disturbance {
            whom: Component::Store,
            is_planned: false,
            from_ms: 0,
            to_ms: FIRST_MS,
        });
    });
}

#[test]
fn too_many_requests_per_second_to_a_cold_worker_are_found() {
    let crowd = |records: &mut Records, step_ms: u64, cold_at_ms: u64| {
        records.events.push(Event::Cold {
            worker_id: "w-0".to_owned(),
            at_ms: cold_at_ms,
        });
        for number in 0..25 {
            let sent_ms = FIRST_MS + 1_000 + step_ms * number;
            add(
                records,
                served(&format!("crowd-{number}"), Kind::Again, sent_ms),
            );
        }
    };
    finds(cold::check, |records| crowd(records, 30, FIRST_MS));
    passes(cold::check, |records| crowd(records, 90, FIRST_MS));
    passes(cold::check, |records| crowd(records, 30, 0));
}

#[test]
fn too_many_requests_to_a_rate_limited_worker_are_found() {
    let crowd = |records: &mut Records, step_ms: u64, rate_per_s: f64| {
        records.events.push(Event::Limited {
            worker_id: "w-0".to_owned(),
            place: 0,
            rate_per_s,
            from_ms: FIRST_MS,
            to_ms: FIRST_MS + 20_000,
        });
        for number in 0..100 {
            let sent_ms = FIRST_MS + 1_000 + step_ms * number;
            add(
                records,
                served(&format!("crowd-{number}"), Kind::Again, sent_ms),
            );
        }
    };
    finds(rate_limits::check, |records| crowd(records, 100, 1.2));
    passes(rate_limits::check, |records| crowd(records, 100, 10.0));
    passes(rate_limits::check, |records| crowd(records, 900, 1.2));
    passes(rate_limits::check, |records| {
        crowd(records, 100, 1.2);
        records.troubles.push(Disturbance {
            whom: Component::Gateway(0),
            is_planned: false,
            from_ms: 0,
            to_ms: FIRST_MS + 60_000,
        });
    });
}

#[test]
fn a_request_cut_by_a_planned_stop_is_found() {
    let cut = |records: &mut Records| {
        records.asked[0].end = End::Closed;
        records.events.push(Event::StopAsked {
            gateway: 0,
            at_ms: FIRST_MS + 10,
        });
    };
    finds(stop::check, cut);
    // A second signal doesn't make a second violation of it.
    finds(stop::check, |records| {
        cut(records);
        cut(records);
    });
    finds(stop::check, |records| {
        cut(records);
        records.arrivals.remove(0);
        records.asked[0].ended_ms = FIRST_MS + 250;
    });
    // The request crossed the close of the connection.
    passes(stop::check, |records| {
        cut(records);
        records.arrivals.remove(0);
    });
    passes(stop::check, |records| {
        cut(records);
        add_disturbance(records, Component::Worker(0), 1);
    });
}
