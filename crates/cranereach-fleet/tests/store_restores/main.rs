//! Instances that follow the list of workers in a store that is restored from backups, in a
//! simulated network with delays, loss, suspended processes, partitions and restarts.
//!
//! No connected instance sends to a worker later than the bound after a stable store has accepted
//! that the worker leaves or is gone; no instance sends to a worker start that it knew to be
//! leaving; and lists are complete again within their bound.

mod gone;
mod instance;
mod store;
mod world;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use self::world::Event;
use self::world::Mutant;
use self::world::World;

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (200_u64..8_000).prop_map(Event::Restore),
        4 => any::<u8>().prop_map(Event::Leave),
        2 => any::<u8>().prop_map(Event::Crash),
        2 => any::<u8>().prop_map(Event::RowExpires),
        2 => (any::<u8>(), 300_u64..6_000).prop_map(|(index, ms)| Event::Freeze(index, ms)),
        2 => (any::<u8>(), 300_u64..6_000).prop_map(|(index, ms)| Event::Partition(index, ms)),
        1 => (300_u64..6_000).prop_map(Event::PartitionHalf),
        2 => any::<u8>().prop_map(Event::Restart),
        1 => (300_u64..4_000).prop_map(Event::StoreUnavailable),
    ]
}

type Events = Vec<(u64, Event)>;

fn events() -> impl Strategy<Value = Events> {
    proptest::collection::vec((100_u64..2_500, event()), 1..24)
}

/// Simulates events and an undisturbed end; returns the violations found.
fn simulate(seed: u64, instance_count: usize, mutant: Mutant, events: &Events) -> Vec<String> {
    simulate_world(World::start(seed, instance_count, mutant), events)
}

/// Simulates events and an undisturbed end in a given world; returns the violations found.
fn simulate_world(mut world: World, events: &Events) -> Vec<String> {
    world.run(4_000);
    for (pause_ms, event) in events {
        world.run(*pause_ms);
        world.apply_event(*event);
    }
    world.run(14_000);
    world.check_all_serve();
    world.violations
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, max_shrink_iters: 60, ..ProptestConfig::default() })]

    /// Guards against lists, and knowledge of workers, that revert together with the store.
    #[test]
    fn no_request_goes_to_departed_workers_and_lists_recover(
        seed in any::<u64>(),
        instance_count in 3_usize..24,
        events in events(),
    ) {
        let violations = simulate(seed, instance_count, Mutant::None, &events);
        prop_assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}

/// Guards against faults that only show with many instances.
#[test]
fn a_hundred_instances_follow_a_store_that_is_restored_twice() {
    let events = vec![
        (500, Event::Leave(3)),
        (900, Event::Restore(4_000)),
        (300, Event::Leave(5)),
        (700, Event::PartitionHalf(3_000)),
        (400, Event::Restore(2_000)),
        (3_500, Event::Leave(7)),
        (2_000, Event::RowExpires(2)),
    ];
    let violations = simulate(1, 100, Mutant::None, &events);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Shows that the checks find each deliberate fault.
#[test]
fn each_store_restore_mutant_is_found() {
    for mutant in [
        Mutant::NoEras,
        Mutant::RestoreClearsLeaving,
        Mutant::RestoreRevivesWorker,
    ] {
        let mut runner = TestRunner::deterministic();
        let is_found = (0..60).any(|seed| {
            let events = events().new_tree(&mut runner).unwrap().current();
            !simulate(seed, 6, mutant, &events).is_empty()
        });
        assert!(is_found, "{mutant:?} is not found");
    }
}
