//! Departures and rests that workers announce, observed by many simulated instances despite late
//! rows, new incarnations, restarts, freezes, disconnections, store outages, lost datagrams and
//! reordered answers.

mod judge;
#[path = "../workers/mod.rs"]
mod workers;
mod world;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::world::Mutant;
use self::world::World;

/// Number of workers in a world.
const WORKER_COUNT: usize = 5;

/// Time between two disturbances of a world, in milliseconds.
const DISTURBANCE_INTERVAL_MS: u64 = 300;

/// Number of disturbances of a world.
const DISTURBANCE_COUNT: usize = 60;

/// Time within which all instances in contact learn of a departure, in milliseconds: rounds of
/// digests, in each of which an instance reaches four of up to a hundred others.
const GOSSIP_WITHIN_MS: u64 = 3_000;

/// Causes a random disturbance of a world.
fn disturb(world: &mut World, instance_count: usize, rng: &mut StdRng) {
    let instance = rng.random_range(0..instance_count);
    let worker = rng.random_range(0..WORKER_COUNT);
    let for_ms = rng.random_range(200..4_000);
    match rng.random_range(0..12) {
        0 => world.restart_instance(instance, for_ms),
        1 => world.freeze_instance(instance, for_ms),
        2 => world.cut_off_instance(instance, for_ms),
        3 => world.stop_store(for_ms * 3),
        4 | 5 => world.leave(worker),
        6 => world.restart_worker(worker),
        7 => world.write_as_ready(worker),
        8 | 9 => world.set_shedding(worker, true),
        _ => world.set_shedding(worker, false),
    }
}

/// Simulates a world with its disturbances.
fn simulate(instance_count: usize, per_s: f64, seed: u64, mutant: Mutant) -> World {
    let mut world = World::start(instance_count, WORKER_COUNT, mutant, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    world.demand(per_s, 2_000);
    for _ in 0..DISTURBANCE_COUNT {
        disturb(&mut world, instance_count, &mut rng);
        world.demand(per_s, DISTURBANCE_INTERVAL_MS);
    }
    world
}

/// Returns how a world broke a guarantee, if it did.
fn violation(world: &World) -> Option<String> {
    let record = &world.record;
    let after_leaving = record
        .after_leaving()
        .map(|arrival| format!("leaving: {arrival}"));
    let after_gossip = || {
        let after_gossip = record.after_gossip(GOSSIP_WITHIN_MS);
        after_gossip.map(|arrival| format!("after gossip: {arrival}"))
    };
    let during_rest = || record.during_rest().map(|rest| format!("rest: {rest}"));
    after_leaving.or_else(after_gossip).or_else(during_rest)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn no_announcement_is_lost_under_disturbances(
        seed in any::<u64>(),
        instance_count in prop_oneof![Just(1_usize), Just(3), Just(12), Just(100)],
        per_s in prop_oneof![Just(30.0), Just(150.0), Just(600.0)],
    ) {
        let world = simulate(instance_count, per_s, seed, Mutant::None);
        prop_assert_eq!(violation(&world), None);
    }
}

#[test]
fn each_planted_fault_is_found() {
    for mutant in [
        Mutant::RowOverridesDeparture,
        Mutant::CheckBeforeDelay,
        Mutant::RestShortened,
        Mutant::PeersNotNotified,
    ] {
        let found = (0..40).filter_map(|seed| violation(&simulate(12, 300.0, seed, mutant)));
        let found = found.into_iter().next();
        println!("{mutant:?}: {found:?}");
        assert!(found.is_some(), "{mutant:?}");
    }
}

/// Simulates workers that all request rests for three of every four seconds.
#[test]
fn workers_that_rest_most_of_the_time_are_used_when_they_do_not() {
    let mut world = World::start(6, WORKER_COUNT, Mutant::None, 7);
    world.demand(300.0, 1_000);
    let from_ms = world.now_ms;
    for _ in 0..5 {
        (0..WORKER_COUNT).for_each(|worker| world.set_shedding(worker, true));
        world.demand(300.0, 3_000);
        (0..WORKER_COUNT).for_each(|worker| world.set_shedding(worker, false));
        world.demand(300.0, 1_000);
    }
    // Rests last for a random time of up to 5 s, different for each instance and worker.
    let arrived = world.record.arrivals.iter();
    let arrived = arrived.filter(|arrival| arrival.at_ms > from_ms).count();
    let rests = world.record.rests.len();
    println!("{arrived} requests, {rests} refused");
    assert!(arrived - rests > 300, "{arrived} less {rests}");
}
