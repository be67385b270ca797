//! The roster of known workers and the choice of one for a request.

mod health;
mod starts;
#[path = "../workers/mod.rs"]
mod workers;

use std::sync::Arc;

use assert_matches::assert_matches;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::load::Load;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::owned::WorkerStatus;
use cranereach_fleet::prefixes::hash_parts;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

/// Returns the position of a version of a store that has never been restored from a backup.
fn position_at(version: u64) -> StorePosition {
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

fn choose(
    roster: &Roster,
    now_ms: u64,
    routing_request: &RoutingRequest<'_>,
) -> Result<String, NoWorker> {
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = roster.choose(now_ms, routing_request, None, &mut rng);
    choice.map(|choice| choice.id.to_string())
}

#[test]
fn the_newest_row_wins_in_any_order_of_arrival() {
    let mut roster = Roster::default();
    assert!(roster.put(position_at(5), record("a", &[])));
    let mut leaving = record("a", &[]);
    leaving.is_leaving = true;
    assert!(
        !roster.put(position_at(4), leaving.clone()),
        "an older row changes nothing"
    );
    assert!(roster.put(position_at(6), leaving));
    assert!(
        !roster.remove(position_at(5), "a"),
        "an older removal changes nothing"
    );
    assert!(roster.remove(position_at(7), "a"));
    assert!(
        !roster.put(position_at(7), record("a", &[])),
        "the removal was at that version"
    );
    assert!(
        roster.put(position_at(8), record("a", &[])),
        "a newer row lists it again"
    );
}

#[test]
fn tombstones_are_bounded() {
    let mut roster = Roster::default();
    for version in 1..10_000_u64 {
        roster.remove(position_at(version), &format!("w{version}"));
    }
    assert!(roster.tombstone_count() <= 2_048);
    assert!(
        !roster.put(position_at(9_990), record("w9999", &[])),
        "the newest are kept"
    );
}

#[test]
fn a_worker_whose_row_lapsed_serves_until_it_is_due_back() {
    let mut roster = Roster::default();
    roster.put(position_at(5), record("back", &[]));
    roster.put(position_at(5), record("lost", &[]));
    let mut leaving = record("leaving", &[]);
    leaving.is_leaving = true;
    roster.put(position_at(5), leaving);
    assert!(roster.lapse(position_at(8), "back", 1_000));
    assert!(roster.lapse(position_at(8), "lost", 1_000));
    assert!(
        !roster.lapse(position_at(8), "leaving", 1_000),
        "it had announced that it leaves"
    );
    assert!(
        !roster.lapse(position_at(4), "back", 1_000),
        "an older removal changes nothing"
    );
    assert_matches!(choose(&roster, 500, &routing_request(None)), Ok(_));
    roster.put(position_at(9), record("back", &[]));
    // A later report of the same removal doesn't extend the time.
    assert!(roster.lapse(position_at(8), "lost", 2_000));
    assert!(roster.lapsed(999).is_empty());
    assert_eq!(roster.lapsed(1_000), [(position_at(8), Arc::from("lost"))]);
}

#[test]
fn a_worker_that_a_peer_reports_leaving_gets_nothing() {
    let mut roster = Roster::default();
    roster.put(position_at(5), record("a", &[]));
    assert!(
        !roster.leaves(position_at(5), worker_key("a")),
        "this instance's row is as new"
    );
    assert!(roster.leaves(position_at(7), worker_key("a")));
    // A row from before it began to leave arrives late.
    roster.put(position_at(6), record("a", &[]));
    assert_eq!(
        choose(&roster, 0, &routing_request(None)),
        Err(NoWorker::Leaving)
    );
    // A newer row, which doesn't say that it is leaving, makes it usable again.
    roster.put(position_at(7), record("a", &[]));
    assert_eq!(
        choose(&roster, 0, &routing_request(None)).as_deref(),
        Ok("a")
    );
}

#[test]
fn a_request_goes_where_its_model_and_adapter_are() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m1", &[])]));
    roster.put(position_at(2), record("b", &[("m2", &["a1"])]));
    let table = [
        (Some(("m1", None)), Ok("a")),
        (Some(("m2", None)), Ok("b")),
        (Some(("m2", Some("a1"))), Ok("b")),
        (Some(("m2", Some("a2"))), Err(NoWorker::NoAdapter)),
        (Some(("m1", Some("a1"))), Err(NoWorker::NoAdapter)),
        (Some(("m3", None)), Err(NoWorker::NoModel)),
    ];
    for (model, expected) in table {
        let chosen = choose(&roster, 0, &routing_request(model));
        assert_eq!(chosen.as_deref().map_err(|why| *why), expected, "{model:?}");
    }
    roster
        .get_mut("b")
        .unwrap()
        .note_adapter_loaded(0, "m2", "a2");
    assert_eq!(
        choose(&roster, 1, &routing_request(Some(("m2", Some("a2"))))).as_deref(),
        Ok("b")
    );
    roster.get_mut("b").unwrap().lacks(2, "m2", Some("a2"));
    assert_matches!(
        choose(&roster, 3, &routing_request(Some(("m2", Some("a2"))))),
        Err(NoWorker::NoAdapter)
    );
    roster
        .get_mut("b")
        .unwrap()
        .withhold([Arc::from("m2")].into());
    assert_matches!(
        choose(&roster, 4, &routing_request(Some(("m2", None)))),
        Err(NoWorker::NoModel)
    );
}

#[test]
fn local_and_reported_load_steer_requests_to_other_workers() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &[])]));
    roster.put(position_at(2), record("b", &[("m", &[])]));
    let request = routing_request(Some(("m", None)));
    roster.get_mut("a").unwrap().began(0, &request, 50.0);
    assert_eq!(choose(&roster, 0, &request).as_deref(), Ok("b"));
    let load = Load {
        open_count: 30,
        unread_ms: [0.0, 900.0, 0.0],
        held_tokens: 9_000.0,
        ..Load::default()
    };
    let status = |load: Load| WorkerStatus {
        load,
        slowdown_ratio: 1.0,
        ..WorkerStatus::default()
    };
    roster
        .get_mut("b")
        .unwrap()
        .set_owner_status(0, status(load));
    assert_eq!(choose(&roster, 1, &request).as_deref(), Ok("a"));
    // Only the newest status from an owner counts, and only while it is recent.
    assert_eq!(choose(&roster, 10_000, &request).as_deref(), Ok("b"));
    let idle = status(Load::default());
    roster.get_mut("b").unwrap().set_owner_status(2, idle);
    assert_eq!(choose(&roster, 3, &request).as_deref(), Ok("b"));
    // An owner that has just taken over knows less than this instance itself.
    roster.get_mut("a").unwrap().set_owner_status(2, idle);
    assert_eq!(roster.get("a").unwrap().load(3).open_count, 1);
    let worker = roster.get_mut("a").unwrap();
    worker.read(1, 50.0);
    worker.ended(1_100, 50.0);
    assert_eq!(worker.load(4), Load::default());
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &[])]));
    roster.put(position_at(2), record("b", &[("m", &[])]));
    let parts = hash_parts("m", &[("shared", 600), ("own", 400)]);
    let mut request = routing_request(Some(("m", None)));
    request.parts = &parts;
    let worker = roster.get_mut("b").unwrap();
    worker.began(0, &request, 50.0);
    worker.read(1, 50.0);
    worker.ended(1_100, 50.0);
    let mut rng = SmallRng::seed_from_u64(3);
    let engine = engine(8);
    let choice = roster.choose(1, &request, Some(&engine), &mut rng).unwrap();
    assert_eq!((choice.id.as_ref(), choice.unread_tokens), ("b", 0));
    assert!(choice.is_first);
}

#[test]
fn a_worker_with_a_free_slot_is_preferred_to_a_full_one() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &[])]));
    roster.put(position_at(2), record("b", &[("m", &[])]));
    let engine = engine(8);
    let mut request = routing_request(Some(("m", None)));
    request.stay_ms = 1_000.0;
    // The other one has more to prefill, but a request needn't wait there for a slot.
    roster.get_mut("b").unwrap().began(0, &request, 90.0);
    for _request in 0..8 {
        let worker = roster.get_mut("a").unwrap();
        worker.began(0, &request, 0.0);
        worker.read(1, 0.0);
    }
    let mut rng = SmallRng::seed_from_u64(5);
    let choice = roster.choose(0, &request, Some(&engine), &mut rng).unwrap();
    assert_eq!(choice.id.as_ref(), "b");
    assert!(!choice.is_first);
    // With one free slot it is still avoided; half full it isn't.
    for (end_count, expected) in [(1, "b"), (3, "a")] {
        for _request in 0..end_count {
            roster.get_mut("a").unwrap().ended(1_100, 1_000.0);
        }
        let choice = roster.choose(0, &request, Some(&engine), &mut rng).unwrap();
        assert_eq!(choice.id.as_ref(), expected);
    }
}

#[test]
fn a_long_prompt_goes_where_it_delays_the_fewest_streams() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &[])]));
    roster.put(position_at(2), record("b", &[("m", &[])]));
    let engine = engine(16);
    let mut request = routing_request(Some(("m", None)));
    request.stay_ms = 100.0;
    // Worker "b" runs fewer answers than "a", but has a prompt to prefill.
    for worker in ["a", "b"] {
        for _request in 0..4 {
            let worker = roster.get_mut(worker).unwrap();
            worker.began(0, &request, 0.0);
            worker.read(1, 0.0);
        }
    }
    let worker = roster.get_mut("b").unwrap();
    worker.ended(1_100, 100.0);
    worker.ended(1_100, 100.0);
    worker.began(0, &request, 2.0);
    let chosen = |roster: &Roster, request: &RoutingRequest<'_>| {
        let mut rng = SmallRng::seed_from_u64(5);
        let choice = roster.choose(0, request, Some(&engine), &mut rng).unwrap();
        choice.id.to_string()
    };
    // A prefill of 120 ms makes some pauses longer than 0.4 of 250 ms; at worker "b" it holds up
    // two streams fewer.
    request.prompt_tokens = 2_400;
    request.gap_aim_ms = Some(250.0);
    assert_eq!(chosen(&roster, &request), "b");
}

#[test]
fn a_missing_adapter_is_tried_again_soon() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &["a1"])]));
    let with_adapter = routing_request(Some(("m", Some("a1"))));
    let bare = routing_request(Some(("m", None)));
    roster.get_mut("a").unwrap().lacks(0, "m", Some("a1"));
    assert_eq!(choose(&roster, 10, &with_adapter), Err(NoWorker::NoAdapter));
    assert_eq!(choose(&roster, 10, &bare).as_deref(), Ok("a"));
    assert_eq!(choose(&roster, 100, &with_adapter).as_deref(), Ok("a"));
    // A missing model is tried again later than an adapter: loading it takes seconds.
    roster.get_mut("a").unwrap().lacks(200, "m", None);
    assert_eq!(choose(&roster, 1_000, &bare), Err(NoWorker::NoModel));
    assert_eq!(choose(&roster, 2_000, &bare).as_deref(), Ok("a"));
}

#[test]
fn an_urgent_request_waits_only_for_equally_urgent_ones() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &[])]));
    let mut request = routing_request(Some(("m", None)));
    request.rank = 2;
    roster.get_mut("a").unwrap().began(0, &request, 400.0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut begins_in_ms = |rank: usize| {
        let request = RoutingRequest { rank, ..request };
        let choice = roster.choose(0, &request, None, &mut rng).unwrap();
        choice.begins_in_ms
    };
    assert!(begins_in_ms(0) < 100.0);
    assert!(begins_in_ms(2) > 400.0);
    assert!(
        begins_in_ms(7) > 400.0,
        "lower ranks count as the lowest one"
    );
}

#[test]
fn a_restarted_worker_keeps_no_state() {
    let mut roster = Roster::default();
    let started = |started_unix_ms: u64, held: &[(&str, &[&str])]| WorkerRecord {
        started_unix_ms,
        ..record("a", held)
    };
    roster.put(position_at(1), started(1_000, &[("m1", &["a1"])]));
    let worker = roster.get_mut("a").unwrap();
    for _ in 0..3 {
        worker.health.failed(0);
    }
    worker.note_adapter_loaded(0, "m1", "a2");
    assert!(worker.health.is_ejected(10));
    assert!(roster.put(position_at(2), started(2_000, &[("m1", &["a1"])])));
    let worker = roster.get("a").unwrap();
    assert!(!worker.health.is_ejected(10));
    let of_adapter = routing_request(Some(("m1", Some("a2"))));
    assert_eq!(choose(&roster, 10, &of_adapter), Err(NoWorker::NoAdapter));
    // A row of the same start keeps what was learned since.
    roster
        .get_mut("a")
        .unwrap()
        .note_adapter_loaded(10, "m1", "a2");
    assert!(!roster.put(position_at(3), started(2_000, &[("m1", &["a1"])])));
}
