//! The memory of engines is never overcommitted under any fault, and requested targets become
//! resident, also if the lease holder is paused or the table is unavailable.

mod control_world;

use control_world::CAPACITY_BYTES;
use control_world::Faults;
use control_world::NO_FAULTS;
use control_world::World;

/// Seeds per row of the table.
const SEEDS: u64 = 60;

/// Steps per seed: 120 s of simulated time.
const STEPS: u64 = 1_200;

/// One row: its name and the faults injected.
type Row = (&'static str, Faults);

/// Returns the table of faults; in every row, reports also lag and get lost.
fn rows() -> Vec<Row> {
    let lossy = Faults {
        lose_report: 0.2,
        ..NO_FAULTS
    };
    vec![
        ("reports lag and get lost", lossy),
        (
            "orders lost",
            Faults {
                lose_order: 0.3,
                ..lossy
            },
        ),
        (
            "orders delayed",
            Faults {
                delay_order: 0.3,
                ..lossy
            },
        ),
        (
            "orders duplicated",
            Faults {
                duplicate_order: 0.3,
                ..lossy
            },
        ),
        (
            "holders pause between deciding and sending",
            Faults {
                pause: 0.01,
                ..lossy
            },
        ),
        (
            "engines restart empty",
            Faults {
                restart_engine: 0.005,
                ..lossy
            },
        ),
        (
            "table answers lost after the write took effect",
            Faults {
                lose_table_answer: 0.5,
                ..lossy
            },
        ),
        (
            "long table outages",
            Faults {
                table_outage: 0.005,
                ..lossy
            },
        ),
        (
            "all faults together",
            Faults {
                lose_order: 0.2,
                delay_order: 0.2,
                duplicate_order: 0.2,
                pause: 0.01,
                restart_engine: 0.003,
                lose_table_answer: 0.3,
                table_outage: 0.003,
                lose_report: 0.3,
            },
        ),
    ]
}

/// Runs each row with all seeds and asserts after every step that no engine uses more memory than
/// it has.
fn assert_memory_within_capacity(fenced: bool) {
    for (name, faults) in rows() {
        let mut loaded_count = 0;
        for seed in 0..SEEDS {
            let mut world = World::new(seed, fenced, faults);
            for _step in 0..STEPS {
                world.step();
                let used_bytes = world.max_used_bytes();
                assert!(
                    used_bytes <= CAPACITY_BYTES,
                    "{name}, seed {seed}, {} ms: {used_bytes} bytes",
                    world.now_ms
                );
            }
            loaded_count += world.last_resident_ms.len();
        }
        assert!(
            loaded_count as u64 > SEEDS,
            "{name}: hardly any target was loaded ({loaded_count})"
        );
    }
}

#[test]
fn engines_that_check_fences_are_never_overcommitted() {
    assert_memory_within_capacity(true);
}

#[test]
fn engines_that_do_not_check_fences_are_never_overcommitted() {
    assert_memory_within_capacity(false);
}

#[test]
fn at_most_one_instance_may_order_without_fences() {
    for (name, faults) in rows() {
        for seed in 0..SEEDS {
            let mut world = World::new(seed, false, faults);
            for _step in 0..STEPS {
                world.step();
                assert!(
                    world.acting_count() <= 1,
                    "{name}, seed {seed}, {} ms",
                    world.now_ms
                );
            }
        }
    }
}

/// Steps until a target is resident; returns the time taken, in milliseconds, or none if it took
/// longer than `timeout_ms`.
fn step_until_resident(world: &mut World, index: usize, timeout_ms: u64) -> Option<u64> {
    let started_ms = world.now_ms;
    while world.now_ms < started_ms + timeout_ms {
        world.step();
        if world.is_resident(index) {
            return Some(world.now_ms - started_ms);
        }
    }
    None
}

#[test]
fn every_requested_target_becomes_resident() {
    for fenced in [true, false] {
        let mut world = World::new(7, fenced, NO_FAULTS);
        for round in 0..18 {
            let index = round % 6;
            world.request_only(index);
            assert!(
                step_until_resident(&mut world, index, 30_000).is_some(),
                "fenced {fenced}, round {round}"
            );
        }
    }
}

#[test]
fn a_successor_controls_fenced_engines_while_the_table_is_down() {
    let mut world = World::new(3, true, NO_FAULTS);
    world.request_only(0);
    assert!(step_until_resident(&mut world, 0, 30_000).is_some());
    world.table_down_until(world.now_ms + 600_000);
    world.pause_holder(600_000);
    world.request_only(5);
    assert!(step_until_resident(&mut world, 5, 30_000).is_some());
}

#[test]
fn a_successor_takes_over_from_a_paused_holder() {
    for fenced in [true, false] {
        let mut world = World::new(4, fenced, NO_FAULTS);
        world.request_only(0);
        assert!(step_until_resident(&mut world, 0, 30_000).is_some());
        world.pause_holder(600_000);
        world.request_only(5);
        assert!(
            step_until_resident(&mut world, 5, 60_000).is_some(),
            "fenced {fenced}"
        );
    }
}
