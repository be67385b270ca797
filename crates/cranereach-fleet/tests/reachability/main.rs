//! Evidence about the paths to workers: single judgements, and fleets whose paths are cut at random.

mod world;

use std::net::Ipv4Addr;

use rand::SeedableRng;
use rand::rngs::StdRng;

use self::world::Cut;
use self::world::World;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_fleet::reachability::PathState;
use cranereach_fleet::reachability::ReachReport;
use cranereach_fleet::reachability::Reachability;
use cranereach_fleet::topology::Distance;

/// Key of a worker.
const WORKER: u64 = 7;

/// Number of living peers.
const ALIVE_COUNT: usize = 5;

/// Number of random fleets per test.
const SEED_COUNT: u64 = 60;

/// Least share of the first tries at partitioned instances that must be served, relative to the
/// others.
const SERVED_SHARE: f64 = 0.95;

fn peer(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

fn reports(percents: &[u8]) -> Reachability {
    let mut reachability = Reachability::default();
    for (number, percent) in percents.iter().enumerate() {
        let report = ReachReport {
            reached_percent: *percent,
        };
        reachability.take_reach_report(0, peer(number as u8), Some(report));
    }
    reachability
}

#[test]
fn both_results_together_tell_a_cut_path_from_a_dark_worker() {
    let mut reachability = reports(&[100, 100]);
    reachability.direct_failed(100, WORKER, ConnectFailure::Silent);
    assert_eq!(reachability.state(101, WORKER), PathState::Unknown);
    reachability.peer_missed(110, WORKER, peer(0));
    assert_eq!(reachability.state(111, WORKER), PathState::Dark);
    // The other peer was asked at the same time.
    reachability.peer_reached(120, WORKER, peer(1));
    assert_eq!(reachability.state(121, WORKER), PathState::Cut);
    assert!(!reachability.may_ask(121, peer(0)), "its own path is cut");
    reachability.direct_succeeded(130, WORKER);
    assert_eq!(reachability.state(131, WORKER), PathState::Open);
}

#[test]
fn a_worker_that_is_silent_for_a_second_is_not_reported() {
    let mut reachability = reports(&[100]);
    reachability.direct_succeeded(90, WORKER + 1);
    reachability.direct_failed(100, WORKER, ConnectFailure::Silent);
    reachability.peer_missed(110, WORKER, peer(0));
    assert!(!reachability.is_dark_for_all(1_100, WORKER));
    reachability.direct_succeeded(1_350, WORKER + 1);
    reachability.direct_failed(1_400, WORKER, ConnectFailure::Silent);
    assert!(reachability.is_dark_for_all(1_410, WORKER));
    // One whose machine refuses connections has ended.
    reachability.direct_failed(1_420, WORKER + 2, ConnectFailure::Refused);
    reachability.peer_missed(1_421, WORKER + 2, peer(0));
    reachability.direct_succeeded(1_430, WORKER + 3);
    assert!(reachability.is_dark_for_all(1_440, WORKER + 2));
}

#[test]
fn an_own_success_outweighs_the_reports_of_peers() {
    let mut reachability = reports(&[100, 100, 100]);
    let tell = |at_ms, number, reachability: &mut Reachability| {
        reachability.take_unreachable_report(at_ms, WORKER, peer(number), ALIVE_COUNT)
    };
    reachability.direct_succeeded(100, WORKER);
    assert!(!tell(200, 0, &mut reachability));
    assert!(!tell(300, 1, &mut reachability));
    assert!(!tell(1_200, 0, &mut reachability), "too long ago");
    assert!(tell(1_300, 1, &mut reachability));
}

#[test]
fn reports_of_peers_that_reach_few_workers_do_not_count() {
    let mut reachability = reports(&[0, 40, 100, 100]);
    let mut tell =
        |number| reachability.take_unreachable_report(100, WORKER, peer(number), ALIVE_COUNT);
    assert!(!tell(0));
    assert!(!tell(1));
    assert!(!tell(2));
    assert!(tell(3));
}

#[test]
fn a_large_fleet_needs_more_reports() {
    let mut reachability = reports(&[100; 6]);
    let needed = (0..6)
        .position(|number| reachability.take_unreachable_report(100, WORKER, peer(number), 1_000));
    assert_eq!(needed, Some(3));
}

#[test]
fn an_isolated_instance_is_back_after_two_workers_answered() {
    let mut reachability = reports(&[100]);
    for worker in 0..5 {
        reachability.direct_failed(100, worker, ConnectFailure::Silent);
        reachability.peer_reached(110, worker, peer(0));
    }
    assert!(reachability.is_isolated(120));
    assert!(!reachability.plan(120, 9).tries_direct, "an untried worker");
    assert!(!reachability.plan(120, 9).reuses_direct);
    assert_eq!(reachability.report(120).reached_percent, 0);
    reachability.direct_succeeded(130, 0);
    assert!(reachability.is_isolated(131));
    reachability.direct_succeeded(140, 1);
    assert!(!reachability.is_isolated(141));
    assert!(reachability.plan(141, 4).tries_direct);
    assert_eq!(reachability.report(141).reached_percent, 100);
}

#[test]
fn one_cut_path_among_many_does_not_isolate() {
    let mut reachability = reports(&[100]);
    reachability.direct_failed(100, WORKER, ConnectFailure::Refused);
    reachability.peer_reached(110, WORKER, peer(0));
    reachability.direct_succeeded(120, WORKER + 1);
    assert!(!reachability.is_isolated(121));
    assert!(!reachability.plan(121, WORKER).tries_direct);
    assert!(reachability.plan(121, WORKER + 2).tries_direct);
    // Open connections live on where new ones are refused.
    assert!(reachability.plan(121, WORKER).reuses_direct);
}

#[test]
fn peers_are_asked_near_first_and_only_if_they_reach_workers() {
    let mut reachability = reports(&[100, 100, 20, 100]);
    reachability.take_reach_report(0, peer(4), None);
    let distances = [
        Distance::OwnRegion,
        Distance::OwnDomain,
        Distance::OwnDomain,
        Distance::OwnDomain,
        Distance::OwnDomain,
        Distance::OwnDomain,
    ];
    let peers = || (0_u8..).map(peer).zip(distances);
    let choose = |reachability: &Reachability| {
        reachability.choose_peers(10, peers(), 5, &mut StdRng::seed_from_u64(1))
    };
    let chosen = choose(&reachability);
    // The second is of another domain; peers 2, 4 and 5 reach few, relay nothing or are unknown.
    assert!([peer(1), peer(3)].contains(&chosen[0]), "{chosen:?}");
    assert_eq!(chosen[1], peer(0));
    assert_eq!(chosen.len(), 3);
    reachability.peer_failed(5, peer(1));
    reachability.peer_missed(6, WORKER, peer(3));
    assert_eq!(choose(&reachability), [peer(0), peer(3)]);
}

/// Guards against callers at partitioned instances, or at the others, being served less than the
/// workers that somebody reaches allow.
#[test]
fn callers_are_served_whatever_paths_are_cut() {
    for seed in 0..SEED_COUNT {
        let mut world = World::new(seed);
        world.run_calm();
        let cut = world.cut_at_random();
        let (at_cut, at_others) = world.run_partition();
        let others = at_others.unwrap_or(1.0);
        assert!(others >= 0.97, "seed {seed}, {cut:?}: others {others}");
        let at_cut = at_cut.unwrap_or(1.0);
        assert!(
            at_cut >= SERVED_SHARE * others,
            "seed {seed}, {cut:?}: partitioned {at_cut}, others {others}"
        );
        world.heal();
        assert!(world.run_healed() <= 1_000, "seed {seed}: back to direct");
    }
}

/// Guards against a worker that nobody reaches being offered calls for long, and against one that
/// some instance reaches being avoided by all.
#[test]
fn dark_workers_are_avoided_and_others_are_not() {
    for seed in 0..SEED_COUNT {
        let mut world = World::new(seed);
        world.run_calm();
        world.darken_some_workers();
        world.run_partition();
        let share = world.dark_offer_share();
        assert!(
            share < 0.15,
            "seed {seed}: {share} of the offers went to dark workers"
        );
        assert!(!world.avoids_sound_workers(), "seed {seed}");
    }
}

/// Guards against an instance that is cut from some workers being taken for an isolated one for
/// good, which would load its peers for nothing.
#[test]
fn instances_that_are_cut_from_few_workers_use_their_own_paths_to_the_others() {
    for seed in 0..SEED_COUNT {
        let mut world = World::new(seed);
        world.run_calm();
        world.cut(Cut::OneWorker);
        world.run_partition();
        let share = world.relayed_share();
        assert!(
            share < 0.3,
            "seed {seed}: {share} of the calls were relayed"
        );
    }
}
