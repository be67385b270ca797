//! Choice of a worker for requests that only workers of one software version may serve, and the
//! versions of a service.

mod workers;

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

/// Number of changes of rows.
const CHANGE_COUNT: u64 = 2_000;

/// Identities of the workers.
const CHANGED_IDS: [&str; 5] = ["w-0", "w-1", "w-2", "w-3", "w-4"];

/// Services that a worker may belong to.
const SERVICES: [&str; 2] = ["s", "t"];

/// Number of times that a worker is chosen where the choice is random.
const DRAW_COUNT: usize = 50;

/// A model.
const MODEL: Option<(&str, Option<&str>)> = Some(("m", None));

/// Returns a version by its name; an empty name is that of workers whose rows name none.
fn version(name: &str) -> SoftwareVersion {
    if name.is_empty() {
        SoftwareVersion::default()
    } else {
        SoftwareVersion::named(name)
    }
}

/// Returns a position of the store.
fn position_at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Returns a roster of workers, each with its identity, its version and whether it holds the model.
fn roster(workers: &[(&str, &str, bool)]) -> Roster {
    let mut roster = Roster::default();
    for (id, name, is_holder) in workers {
        let models: &[(&str, &[&str])] = if *is_holder { &[("m", &[])] } else { &[] };
        let record = WorkerRecord {
            software: version(name),
            ..record(id, models)
        };
        roster.put(position_at(1), record);
    }
    roster
}

/// Returns a request that workers of one version may serve.
fn bound_to<'a>(name: &str, model: Option<(&'a str, Option<&'a str>)>) -> RoutingRequest<'a> {
    RoutingRequest {
        required_version_key: Some(version(name).key()),
        ..routing_request(model)
    }
}

/// Chooses a worker in each of the ways in which one is chosen; returns the identity, which must be
/// the same.
fn choose(roster: &Roster, request: &RoutingRequest<'_>, seed: u64) -> Result<String, NoWorker> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let choice = roster.choose(0, request, None, &mut rng);
    let chosen = choice.map(|choice| choice.id);
    let candidates = roster.candidates(0, request, None, 3, &mut rng);
    assert_eq!(candidates, chosen.clone().map(|id| vec![id]));
    let workers = roster.workers();
    let ids: Vec<Arc<str>> = workers
        .map(|worker| Arc::clone(&worker.record.id))
        .collect();
    let among = roster.choose_among(0, &ids, request, None, &mut rng);
    assert_eq!(among.ok().map(|choice| choice.id), chosen.clone().ok());
    chosen.map(|id| id.to_string())
}

/// Guards against streams that go on at a worker of another version.
#[test]
fn only_workers_of_the_required_version_are_chosen() {
    let workers = [("a", "v1", true), ("b", "v2", true), ("c", "", true)];
    let roster = roster(&workers);
    for (id, name, _) in workers {
        for model in [None, MODEL] {
            for seed in 0..DRAW_COUNT as u64 {
                let chosen = choose(&roster, &bound_to(name, model), seed);
                assert_eq!(chosen.as_deref(), Ok(id));
            }
        }
    }
    let gone = choose(&roster, &bound_to("v3", MODEL), 1);
    assert_eq!(gone, Err(NoWorker::OtherVersion));
}

/// Guards against streams that begin at a version that other instances may not list yet.
#[test]
fn workers_of_versions_that_are_not_settled_are_left_out() {
    let roster = roster(&[("a", "v1", true), ("b", "v2", true)]);
    let settled = [version("v1").key()];
    for model in [None, MODEL] {
        let request = RoutingRequest {
            settled_version_keys: &settled,
            ..routing_request(model)
        };
        for seed in 0..DRAW_COUNT as u64 {
            assert_eq!(choose(&roster, &request, seed).as_deref(), Ok("a"));
        }
    }
    let unlisted = [version("v3").key()];
    let request = RoutingRequest {
        settled_version_keys: &unlisted,
        ..routing_request(MODEL)
    };
    assert_eq!(choose(&roster, &request, 1), Err(NoWorker::OtherVersion));
}

/// Guards against a version that keeps requests from workers although none is required.
#[test]
fn requests_that_require_no_version_go_to_workers_of_all() {
    let roster = roster(&[("a", "v1", true), ("b", "", true)]);
    let mut rng = SmallRng::seed_from_u64(1);
    let request = routing_request(MODEL);
    let mut chosen: Vec<String> = (0..DRAW_COUNT)
        .map(|_draw| roster.choose(0, &request, None, &mut rng).unwrap())
        .map(|choice| choice.id.to_string())
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, ["a", "b"]);
}

/// Guards against a request that waits for a model to be loaded although none of its version's
/// workers is left, and against one that ends although such a worker may get the model.
#[test]
fn the_reason_tells_a_version_that_is_gone_from_a_model_that_is_missing() {
    let other_holds = [("a", "v1", true)];
    let nobody_holds = [("a", "v1", false)];
    let own_lacks = [("a", "v1", false), ("b", "v2", false)];
    let cases = [
        (&other_holds[..], NoWorker::OtherVersion),
        (&nobody_holds[..], NoWorker::OtherVersion),
        (&own_lacks[..], NoWorker::NoModel),
        (&[][..], NoWorker::None),
    ];
    for (workers, expected) in cases {
        let chosen = choose(&roster(workers), &bound_to("v2", MODEL), 1);
        assert_eq!(chosen, Err(expected), "{workers:?}");
    }
}

/// Guards against a request that waits until a worker of another version may be sent it.
#[test]
fn a_request_does_not_wait_for_a_worker_of_another_version() {
    let mut roster = roster(&[("a", "v1", true), ("b", "v2", true)]);
    roster.leaves(position_at(2), worker_key("b"));
    let worker = roster.get_mut("a").unwrap();
    worker.ask_pause.postponed_until(5_000);
    assert!(
        roster
            .next_ask_and_free_ms(0, &bound_to("v1", MODEL))
            .is_some()
    );
    assert_eq!(roster.next_ask_and_free_ms(0, &bound_to("v2", MODEL)), None);
}

/// Guards against versions that are taken for gone, or for still there, after any sequence of rows,
/// restarts and removals.
#[test]
fn the_versions_are_those_of_the_listed_workers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut roster = Roster::default();
    for number in 1..=CHANGE_COUNT {
        // Some rows arrive late.
        let position = StorePosition::new(0, number.saturating_sub(rng.random_range(0..4)));
        let id = CHANGED_IDS[rng.random_range(0..CHANGED_IDS.len())];
        if rng.random_bool(0.3) {
            roster.remove(position, id);
        } else {
            let row = WorkerRecord {
                service: Arc::from(SERVICES[rng.random_range(0..SERVICES.len())]),
                software: SoftwareVersion::named(&format!("v{}", rng.random_range(0..3))),
                started_unix_ms: rng.random_range(0..2),
                ..record(id, &[])
            };
            roster.put(position, row);
        }
        for service in SERVICES {
            let listed = CHANGED_IDS.iter().filter_map(|id| roster.get(id));
            let of_service = listed.filter(|worker| worker.record.service.as_ref() == service);
            let expected: BTreeSet<u64> = of_service
                .map(|worker| worker.record.software.key())
                .collect();
            let counted = roster.software_version_keys(service);
            assert!(counted.iter().eq(&expected), "{number} {service}");
        }
    }
}
