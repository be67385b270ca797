//! Fleets that start on a backup, and fleets that nothing disturbs.

use crate::HEALTHY_NETWORK;
use crate::STEP_MS;
use crate::World;

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
