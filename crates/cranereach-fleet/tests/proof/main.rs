//! No instance accepts a revoked key beyond the bound, and undisturbed instances always serve, in a
//! simulated network with delays, loss, duplication, suspended processes, partitions and restarts,
//! and a store that is restored from backups.

mod answers;
mod fleets;
mod world;

use proptest::prelude::*;

use crate::world::Network;
use crate::world::World;

/// Age of the oldest backup that the store is restored from, in milliseconds.
const BACKUP_AGE_MAX_MS: u64 = 8_000;

/// A fault, a change of the configuration, or another event.
#[derive(Clone, Copy, Debug)]
enum Event {
    Change,
    Freeze(u64),
    Partition(u64),
    Restart,
    /// Sets how many instances watch the store.
    Watchers(usize),
    /// The store is restored from a backup of the given age.
    Restore(u64),
}

fn event(is_restored: bool) -> impl Strategy<Value = Event> {
    prop_oneof![
        2 * u32::from(is_restored) => (0..BACKUP_AGE_MAX_MS).prop_map(Event::Restore),
        3 => Just(Event::Change),
        2 => (500_u64..12_000).prop_map(Event::Freeze),
        2 => (500_u64..12_000).prop_map(Event::Partition),
        1 => Just(Event::Restart),
        1 => (0_usize..4).prop_map(Event::Watchers),
    ]
}

/// Events, each with the pause before it in milliseconds and the instance that it happens to.
type Events = Vec<(u64, usize, Event)>;

/// Simulates events and checks that no instance accepts a revoked key beyond the bound.
fn simulate(network: Network, seed: u64, events: Events) {
    let mut world = World::start(9, 2, network, seed);
    world.write_version();
    for (pause_ms, number, event) in events {
        let until_ms = world.now_ms + pause_ms;
        while world.now_ms < until_ms {
            world.step();
            world.check();
        }
        match event {
            Event::Change => world.write_version(),
            Event::Freeze(for_ms) => {
                world.instances[number].frozen_until_ms = world.now_ms + for_ms;
            }
            Event::Partition(for_ms) => {
                world.instances[number].partitioned_until_ms = world.now_ms + for_ms;
            }
            Event::Restart => {
                world.instances[number] = world.new_instance();
            }
            Event::Watchers(count) => world.watcher_count = count,
            Event::Restore(age_ms) => world.restore(age_ms),
        }
    }
    for _ in 0..1_000 {
        world.step();
        world.check();
    }
}

fn events(is_restored: bool) -> impl Strategy<Value = Events> {
    let event = (0_u64..2_500, 0_usize..9, event(is_restored));
    prop::collection::vec(event, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn no_instance_accepts_a_revoked_key_beyond_the_bound(
        seed in any::<u64>(),
        delay_max_ms in 2_u64..6_000,
        loss_ratio in 0.0..0.5,
        duplication_ratio in 0.0..0.5,
        events in events(false),
    ) {
        simulate(Network { delay_max_ms, loss_ratio, duplication_ratio }, seed, events);
    }

    /// Guards against a restored store that proves that nothing newer exists, while it lacks the
    /// version that revoked a key.
    #[test]
    fn no_instance_accepts_a_key_whose_revocation_the_store_lost(
        seed in any::<u64>(),
        delay_max_ms in 2_u64..600,
        loss_ratio in 0.0..0.5,
        duplication_ratio in 0.0..0.5,
        events in events(true),
    ) {
        simulate(Network { delay_max_ms, loss_ratio, duplication_ratio }, seed, events);
    }
}
