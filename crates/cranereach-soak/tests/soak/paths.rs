//! Tests of the checks of paths between single gateways and workers.

use crate::planted::add;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_soak::check::paths;
use cranereach_soak::check::paths::DETECTION_MS;
use cranereach_soak::check::paths::JUDGED_MIN_COUNT;
use cranereach_soak::check::paths::USED_MIN_COUNT;
use cranereach_soak::check::stop;
use cranereach_soak::record::Component;
use cranereach_soak::record::Disturbance;
use cranereach_soak::record::End;
use cranereach_soak::record::Event;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;

/// Start and end of a cut, in milliseconds.
const CUT_MS: (u64, u64) = (30_000, 40_000);

/// Time of the first request that is judged, in milliseconds.
const JUDGED_FROM_MS: u64 = CUT_MS.0 + DETECTION_MS;

/// Adds `count` requests to a gateway while the cut lasts, of which one in `served_every` is
/// served, by a worker slot.
fn add_requests(
    records: &mut Records,
    (gateway, worker): (usize, usize),
    count: usize,
    served_every: usize,
) {
    for number in 0..count {
        let id = format!("{gateway}-{worker}-{number}");
        let sent_ms = JUDGED_FROM_MS + 10 * number as u64;
        let (mut record, mut arrival) = served(&id, Kind::Again, sent_ms);
        record.gateway = gateway;
        arrival.worker = worker;
        if number % served_every != 0 {
            record.end = End::Closed;
        }
        add(records, (record, arrival));
    }
}

/// Plants a disturbance that lasts as long as the cut.
fn disturb(records: &mut Records, whom: Component) {
    records.troubles.push(Disturbance {
        whom,
        is_planned: false,
        from_ms: CUT_MS.0,
        to_ms: CUT_MS.1,
    });
}

/// Cuts a gateway off from all workers.
fn isolate(records: &mut Records, gateway: usize) {
    let (from_ms, to_ms) = CUT_MS;
    records.events.push(Event::Isolated {
        gateway,
        from_ms,
        to_ms,
    });
}

/// Guards against an isolated gateway that refuses its callers passing for one that serves.
#[test]
fn an_isolated_gateway_that_serves_too_little_is_found() {
    let plant = |records: &mut Records, served_every| {
        isolate(records, 0);
        add_requests(records, (0, 0), JUDGED_MIN_COUNT, served_every);
        add_requests(records, (1, 0), JUDGED_MIN_COUNT, 1);
    };
    finds(paths::isolated, |records| plant(records, 3));
    passes(paths::isolated, |records| plant(records, 2));
    // It isn't judged while it is disturbed, nor by others that are isolated as well.
    passes(paths::isolated, |records| {
        plant(records, 3);
        disturb(records, Component::Gateway(0));
    });
    passes(paths::isolated, |records| {
        plant(records, 3);
        isolate(records, 1);
    });
}

/// Guards against a worker that one gateway can't reach being given up by all.
#[test]
fn a_worker_that_nobody_uses_while_one_path_is_cut_is_found() {
    let path = Component::Path {
        gateway: 0,
        worker: 2,
    };
    let plant = |records: &mut Records, used: usize| {
        disturb(records, path);
        // Arrivals tell the service of the worker.
        add_requests(records, (0, 2), 1, 1);
        add_requests(records, (1, 1), USED_MIN_COUNT, 1);
        add_requests(records, (1, 2), used, 1);
    };
    finds(paths::used, |records| plant(records, 0));
    passes(paths::used, |records| plant(records, 1));
    for whom in [
        Component::Worker(2),
        Component::Path {
            gateway: 1,
            worker: 2,
        },
    ] {
        passes(paths::used, |records| {
            plant(records, 0);
            disturb(records, whom);
        });
    }
    // A worker that asks for a rest or names a limit may get nothing.
    passes(paths::used, |records| {
        plant(records, 0);
        let arrival = records
            .arrivals
            .iter_mut()
            .find(|arrival| arrival.worker == 2);
        arrival.unwrap().rest_ms = Some(1_000);
    });
    let limit = |records: &mut Records, place| {
        plant(records, 0);
        records.events.push(Event::Limited {
            worker_id: "w-0".to_owned(),
            place,
            rate_per_s: 0.5,
            from_ms: CUT_MS.0,
            to_ms: CUT_MS.1,
        });
    };
    passes(paths::used, |records| limit(records, 2));
    finds(paths::used, |records| limit(records, 1));
}

/// Guards against a broken path counting as a request that a planned stop cut off, and against
/// another gateway's path excusing it.
#[test]
fn only_the_own_path_excuses_a_request_that_a_stop_cut_off() {
    let path = |gateway| Component::Path { gateway, worker: 0 };
    let plant = |records: &mut Records, gateway| {
        let (from_ms, _) = CUT_MS;
        add_requests(records, (0, 0), 1, 1);
        records.asked.last_mut().unwrap().end = End::Closed;
        records.events.push(Event::StopAsked {
            gateway: 0,
            at_ms: from_ms,
        });
        disturb(records, path(gateway));
    };
    finds(stop::check, |records| plant(records, 1));
    passes(stop::check, |records| plant(records, 0));
}
