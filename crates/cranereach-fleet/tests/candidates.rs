//! Which workers' owners are queried before a worker is chosen.

mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::load::Load;
use cranereach_fleet::owned::WorkerStatus;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::Topology;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Number of workers whose owners are queried at once.
const CANDIDATE_COUNT: usize = 3;

fn engine() -> Engine {
    Engine {
        event_tokens: 3,
        slot_count: 8,
        kv_tokens: 100_000,
        weights_mb: 100.0,
        adapter_slot_count: 0,
        loads_per_s: 1.0,
        models: Vec::new(),
    }
}

/// Returns a topology with failure domains `z` and `y` in region `r`, and `x` in another region.
fn topology() -> Topology {
    let listed = [("z", "r"), ("y", "r"), ("x", "q")];
    let listed = listed.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    Topology::new("z", "r", &BTreeMap::from(listed)).unwrap()
}

/// Builds a roster of workers that hold model `m`, each given with its failure domain.
fn roster(workers: &[(&str, &str)]) -> Roster {
    let mut roster = Roster::default();
    for (id, domain) in workers {
        let mut record = record(id, &[("m", &[])]);
        record.failure_domain = Arc::from(*domain);
        roster.put(at(1), record);
    }
    roster
}

/// Returns a request at an instance that knows the failure domains.
fn request<'a>(
    topology: &'a Topology,
    model: Option<(&'a str, Option<&'a str>)>,
) -> RoutingRequest<'a> {
    RoutingRequest {
        topology,
        ..routing_request(model)
    }
}

/// Returns an owner's status of a worker with the given prefill backlog in milliseconds.
fn busy(unread_ms: f64) -> WorkerStatus {
    WorkerStatus {
        load: Load {
            open_count: 1,
            waiting_count: [1, 0, 0],
            unread_ms: [unread_ms, 0.0, 0.0],
            ..Load::default()
        },
        slowdown_ratio: 1.0,
        ..WorkerStatus::default()
    }
}

fn sorted_ids(queried: &[Arc<str>]) -> Vec<String> {
    let mut sorted: Vec<String> = queried.iter().map(ToString::to_string).collect();
    sorted.sort_unstable();
    sorted
}

#[test]
fn near_workers_are_queried_and_others_only_if_likely_to_be_chosen() {
    let topology = topology();
    let request = request(&topology, Some(("m", None)));
    let engine = Some(&engine());
    let all = [
        ("z1", "z"),
        ("z2", "z"),
        ("y1", "y"),
        ("y2", "y"),
        ("x1", "x"),
    ];
    let mut roster = roster(&all);
    let mut rng = SmallRng::seed_from_u64(1);
    let queried = roster
        .candidates(0, &request, engine, CANDIDATE_COUNT, &mut rng)
        .unwrap();
    assert_eq!(sorted_ids(&queried), ["z1", "z2"]);
    let further = |roster: &Roster, rng: &mut SmallRng| {
        let further =
            roster.further_candidates(1, &queried, &request, engine, CANDIDATE_COUNT, rng);
        sorted_ids(&further)
    };
    // One of them is idle or nearly idle: no other owners are queried.
    roster
        .get_mut("z1")
        .unwrap()
        .set_owner_status(0, busy(400.0));
    roster
        .get_mut("z2")
        .unwrap()
        .set_owner_status(0, busy(10.0));
    assert!(further(&roster, &mut rng).is_empty());
    // Both are busy: workers in other domains may be idle. Those in another region are
    // queried only if the backlog outweighs the network delay.
    roster
        .get_mut("z2")
        .unwrap()
        .set_owner_status(0, busy(75.0));
    assert_eq!(further(&roster, &mut rng), ["y1", "y2"]);
    roster
        .get_mut("z2")
        .unwrap()
        .set_owner_status(0, busy(400.0));
    assert_eq!(further(&roster, &mut rng), ["x1", "y1", "y2"]);
}

#[test]
fn without_a_near_replica_the_nearest_replicas_are_queried() {
    let topology = topology();
    let request = request(&topology, Some(("m", None)));
    let engine = Some(&engine());
    let mut rng = SmallRng::seed_from_u64(2);
    let mut roster = roster(&[("y1", "y"), ("y2", "y"), ("x1", "x"), ("x2", "x")]);
    let queried = roster
        .candidates(0, &request, engine, CANDIDATE_COUNT, &mut rng)
        .unwrap();
    assert_eq!(sorted_ids(&queried), ["y1", "y2"]);
    for id in ["y1", "y2"] {
        roster.remove(at(2), id);
    }
    let queried = roster
        .candidates(0, &request, engine, CANDIDATE_COUNT, &mut rng)
        .unwrap();
    assert_eq!(sorted_ids(&queried), ["x1", "x2"]);
    // An ejected worker is avoided while others, however far away, are healthy.
    let mut roster = self::roster(&[("z1", "z"), ("x1", "x")]);
    let ejected = WorkerStatus {
        is_aside: true,
        ..busy(0.0)
    };
    roster.get_mut("z1").unwrap().set_owner_status(0, ejected);
    let queried = roster
        .candidates(1, &request, engine, CANDIDATE_COUNT, &mut rng)
        .unwrap();
    assert_eq!(sorted_ids(&queried), ["x1"]);
}

#[test]
fn requests_to_services_without_an_engine_are_routed_by_load_alone() {
    let topology = topology();
    let request = request(&topology, None);
    let roster = roster(&[("z1", "z"), ("y1", "y"), ("x1", "x")]);
    let mut rng = SmallRng::seed_from_u64(3);
    let queried = roster
        .candidates(0, &request, None, CANDIDATE_COUNT, &mut rng)
        .unwrap();
    assert_eq!(sorted_ids(&queried), ["x1", "y1", "z1"]);
}

#[test]
fn network_delay_counts_against_workers_in_other_regions() {
    let topology = topology();
    let request = RoutingRequest {
        extra_start_delays_ms: [0.0, 4.0, 60.0],
        ..request(&topology, Some(("m", None)))
    };
    let engine = Some(&engine());
    let mut rng = SmallRng::seed_from_u64(4);
    for (far, unread_ms, chosen) in [
        ("y", 50.0, "y1"),
        ("x", 50.0, "z1"),
        ("x", 150.0, "x1"),
        ("y", 10.0, "z1"),
    ] {
        let id = format!("{far}1");
        let mut roster = roster(&[("z1", "z"), (&id, far)]);
        roster
            .get_mut("z1")
            .unwrap()
            .set_owner_status(0, busy(unread_ms));
        let choice = roster.choose(1, &request, engine, &mut rng).unwrap();
        assert_eq!(choice.id.as_ref(), chosen, "{unread_ms}");
    }
}
