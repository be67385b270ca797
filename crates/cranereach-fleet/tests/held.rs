//! Prompts whose send is delayed by the owner of their worker.

mod workers;

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::owned::WorkerStatus;
use cranereach_fleet::roster::Choice;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Returns the choice of the only worker, whose owner requests at 1,000 ms that a prompt be sent
/// after `send_in_ms`.
fn choice(now_ms: u64, send_in_ms: f64) -> Choice {
    let mut roster = Roster::default();
    roster.put(at(1), record("a", &[]));
    let status = WorkerStatus {
        slowdown_ratio: 1.0,
        send_in_ms,
        ..WorkerStatus::default()
    };
    roster.get_mut("a").unwrap().set_owner_status(1_000, status);
    let mut rng = SmallRng::seed_from_u64(1);
    let candidates = [Arc::from("a")];
    let chosen = roster.choose_among(now_ms, &candidates, &routing_request(None), None, &mut rng);
    chosen.unwrap()
}

#[test]
fn a_delayed_prompt_is_not_used_to_measure_prefill_cost() {
    assert!(choice(1_000, 0.0).is_first);
    assert!(!choice(1_000, 80.0).is_first);
}

#[test]
fn the_delay_counts_from_the_owners_status() {
    assert_eq!(choice(1_000, 80.0).send_in_ms, 80);
    assert_eq!(choice(1_015, 80.0).send_in_ms, 65);
    assert_eq!(choice(1_015, 10.0).send_in_ms, 0);
}
