//! Criteria for choosing a worker besides load: the statuses that owners report, and the failure
//! domain in a worker's row.

mod workers;

use std::sync::Arc;

use assert_matches::assert_matches;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::evacuation::EvacuationList;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::load::Load;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::owned::WorkerStatus;
use cranereach_fleet::prefixes::PromptPart;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::quarantine::ALONE_FROM_COUNT;
use cranereach_fleet::roster::Barred;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

fn engine(slot_count: u32) -> Engine {
    Engine {
        slot_count,
        kv_tokens: 100_000,
        weights_mb: 100.0,
        adapter_slot_count: 0,
        loads_per_s: 1.0,
        event_tokens: 3,
        models: Vec::new(),
    }
}

#[test]
fn a_worker_belongs_to_the_domain_in_its_newest_row() {
    let mut roster = Roster::default();
    roster.put(at(1), record("w", &[("m", &[])]));
    let mut moved = record("w", &[("m", &[])]);
    moved.failure_domain = Arc::from("other");
    roster.put(at(2), moved);
    let evacuation_list = EvacuationList::default().changed(worker_key("other"), at(3), false);
    roster.evacuations.take(1_000, evacuation_list, None, 5_000);
    let barred = |purpose| roster.barred(1_001, "w", purpose, 0);
    assert_eq!(barred(Purpose::Call), Some(Barred::Evacuated));
    assert_eq!(
        barred(Purpose::Order),
        None,
        "orders are still sent, to empty the domain"
    );
    assert!(roster.is_evacuated("w"));
}

#[test]
fn a_worker_with_a_fresh_owner_status_is_preferred_to_one_that_looks_idle() {
    let mut roster = Roster::default();
    for id in ["a", "b"] {
        roster.put(at(1), record(id, &[("m", &[])]));
    }
    let candidates = [Arc::from("a"), Arc::from("b")];
    let routing_request = routing_request(Some(("m", None)));
    let chosen = |roster: &Roster, now_ms: u64| {
        let mut rng = SmallRng::seed_from_u64(1);
        let engine = engine(8);
        let choice = roster.choose_among(
            now_ms,
            &candidates,
            &routing_request,
            Some(&engine),
            &mut rng,
        );
        choice.unwrap().id.to_string()
    };
    let busy = WorkerStatus {
        load: Load {
            open_count: 3,
            unread_ms: [0.0, 400.0, 0.0],
            ..Load::default()
        },
        slowdown_ratio: 1.0,
        ..WorkerStatus::default()
    };
    roster
        .get_mut("b")
        .unwrap()
        .began(0, &routing_request, 400.0);
    assert_eq!(chosen(&roster, 900), "a");
    roster.get_mut("b").unwrap().set_owner_status(1_000, busy);
    assert_eq!(chosen(&roster, 1_010), "b");
    // An outdated status is ignored, and an ejected worker is not preferred.
    assert_eq!(chosen(&roster, 2_000), "a");
    let ejected = WorkerStatus {
        is_aside: true,
        ..busy
    };
    roster
        .get_mut("b")
        .unwrap()
        .set_owner_status(3_000, ejected);
    assert_eq!(chosen(&roster, 3_010), "a");
}

#[test]
fn requests_under_which_workers_ended_never_share_a_worker() {
    let mut roster = Roster::default();
    for id in ["a", "b"] {
        roster.put(at(1), record(id, &[]));
    }
    let mut choose = |end_count: usize, suspects: [bool; 2]| {
        for (id, has_suspect) in ["a", "b"].into_iter().zip(suspects) {
            let status = WorkerStatus {
                slowdown_ratio: 1.0,
                has_suspect,
                ..WorkerStatus::default()
            };
            roster.get_mut(id).unwrap().set_owner_status(1_000, status);
        }
        let request = RoutingRequest {
            end_count,
            ..routing_request(None)
        };
        let mut rng = SmallRng::seed_from_u64(1);
        let chosen = roster.choose(1_000, &request, None, &mut rng);
        chosen.map(|choice| choice.id)
    };
    assert_eq!(choose(ALONE_FROM_COUNT, [true, false]), Ok("b".into()));
    assert_eq!(choose(ALONE_FROM_COUNT, [false, true]), Ok("a".into()));
    assert_eq!(
        choose(ALONE_FROM_COUNT, [true, true]),
        Err(NoWorker::NotAlone)
    );
    // Other requests may run beside them.
    assert_matches!(choose(0, [true, true]), Ok(_));
}

#[test]
fn a_request_under_which_a_worker_ended_goes_to_the_least_busy_worker() {
    let mut roster = Roster::default();
    for (id, open_count) in [("busy", 6), ("idle", 0)] {
        roster.put(at(1), record(id, &[("m", &[])]));
        let load = Load {
            open_count,
            ..Load::default()
        };
        let status = WorkerStatus {
            slowdown_ratio: 1.0,
            load,
            // The busy worker has the prompt in its prefix cache.
            kept_part_count: usize::from(id == "busy"),
            ..WorkerStatus::default()
        };
        roster.get_mut(id).unwrap().set_owner_status(1_000, status);
    }
    let parts = [PromptPart {
        chain: 1,
        tokens: 1_000,
    }];
    let choose = |end_count: usize| {
        let request = RoutingRequest {
            end_count,
            parts: &parts,
            ..routing_request(Some(("m", None)))
        };
        let mut rng = SmallRng::seed_from_u64(1);
        roster
            .choose(1_000, &request, Some(&engine(64)), &mut rng)
            .unwrap()
            .id
    };
    assert_eq!(choose(0).as_ref(), "busy");
    assert_eq!(choose(1).as_ref(), "idle");
}
