//! A worker that is known to be gone gets nothing, for however long a restored row lists it.

use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use crate::events;
use crate::simulate_world;
use crate::world::Mutant;
use crate::world::World;

/// Number of worlds that are simulated.
const WORLD_COUNT: u64 = 200;

/// Guards against trusting a restored row whose worker is gone.
#[test]
fn a_worker_known_to_be_gone_gets_nothing_however_long_a_backup_lists_it() {
    let mut runner = TestRunner::deterministic();
    for seed in 0..WORLD_COUNT {
        let events = events().new_tree(&mut runner).unwrap().current();
        let mut world = World::start(seed, 12, Mutant::None);
        world.checks_gone_always = true;
        let violations = simulate_world(world, &events);
        assert!(
            violations.is_empty(),
            "seed {seed}: {}",
            violations.join("\n")
        );
    }
}
