//! Fleets that start on a backup, and fleets that nothing disturbs.

use crate::world::HEALTHY_NETWORK;
use crate::world::Network;
use crate::world::STEP_MS;
use crate::world::World;

/// Time within which all instances of a fleet that starts at once have a proof, in milliseconds.
const PROVEN_WITHIN_MS: u64 = 300;

/// Guards against instances that all start while the store is restored and accept a revoked key
/// because the backup lacks its revocation.
#[test]
fn instances_started_on_a_backup_accept_no_key_whose_revocation_it_lacks() {
    for seed in 0..40 {
        let mut world = World::start(9, 2, HEALTHY_NETWORK, seed);
        world.write_version();
        let advance = |world: &mut World, for_ms: u64| {
            for _ in 0..for_ms / STEP_MS {
                world.step();
                world.check();
            }
        };
        advance(&mut world, 3_000);
        world.write_version();
        advance(&mut world, 6_000);
        world.restore(7_000);
        for number in 0..world.instances.len() {
            world.instances[number] = world.new_instance();
        }
        advance(&mut world, 8_000);
        let all = 0..world.instances.len();
        assert!(all.into_iter().all(|number| world.serves(number)));
    }
}

#[test]
fn undisturbed_instances_always_serve_also_after_a_watcher_fails() {
    for (count, seed) in [(3, 1), (90, 2), (300, 3)] {
        let mut world = World::start(count, 2, HEALTHY_NETWORK, seed);
        world.write_version();
        for _ in 0..500 {
            world.step();
        }
        for step in 0..2_000 {
            world.step();
            if step % 300 == 0 {
                world.write_version();
            }
            if step == 1_000 && count > 2 {
                // The first watcher fails; the other one continues alone.
                world.instances[0].partitioned_until_ms = u64::MAX;
                world.instances[0].frozen_until_ms = u64::MAX;
            }
            let healthy =
                (0..count).filter(|number| world.instances[*number].partitioned_until_ms == 0);
            for number in healthy {
                assert!(
                    world.serves(number),
                    "instance {number} of {count}, step {step}"
                );
            }
        }
    }
}

/// Guards against a proof that needs several rounds of queries to reach instances that all have just
/// got the configuration: keys were refused meanwhile.
#[test]
fn a_fleet_that_starts_at_once_has_proofs_soon() {
    for (count, seed) in [(3, 1), (9, 2), (74, 3), (300, 4), (984, 5)] {
        let network = Network {
            loss_ratio: 0.0,
            ..HEALTHY_NETWORK
        };
        let mut world = World::start(count, 2, network, seed);
        world.write_version();
        world.tell_version();
        let started_ms = world.now_ms;
        while !(0..count).all(|number| world.serves(number)) {
            world.step();
            let passed_ms = world.now_ms - started_ms;
            assert!(passed_ms <= PROVEN_WITHIN_MS, "{count} instances");
        }
    }
}
