//! The lease: single steps, and simulated machines that contend for it.

mod simulation;

use cranereach_fleet::lease_state::EndedTerm;
use cranereach_fleet::lease_state::LeaseRow;
use cranereach_fleet::lease_state::LeaseState;
use cranereach_fleet::lease_state::MARGIN_MS;
use cranereach_fleet::lease_state::Step;
use cranereach_fleet::lease_state::TERM_MS;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Time that must lie between the orders of two holders, in milliseconds.
const PAUSE_MS: u64 = 3_000;

/// Guards against orders that stop for a whole term and pause after each restore.
#[test]
fn a_holder_whose_row_was_lost_continues_within_its_term() {
    let mut lease_state = LeaseState::new("a", PAUSE_MS);
    lease_state.written(0, StorePosition::new(1, 80));
    let token = lease_state.token(400);
    lease_state.enter_era(2);
    assert_eq!(lease_state.step(400, false), Step::Read);
    let copied = LeaseRow {
        holder: "b".to_owned(),
        era: 1,
        ..LeaseRow::default()
    };
    let expected = StorePosition::new(2, 50);
    lease_state.read(420, expected, Some(copied));
    assert_eq!(lease_state.step(420, false), Step::Write { expected });
    lease_state.written(420, StorePosition::new(2, 58));
    assert_eq!(lease_state.token(900), token);
    // A holder whose term has ended waits like any other candidate.
    let mut late = LeaseState::new("a", PAUSE_MS);
    late.written(0, StorePosition::new(1, 80));
    late.enter_era(2);
    assert_eq!(late.step(TERM_MS, false), Step::Read);
    late.read(TERM_MS, StorePosition::start_of(2), None);
    assert_eq!(late.step(TERM_MS + PAUSE_MS, false), Step::Wait);
}

/// Guards against a candidate that takes a row of the copy, or a missing row, for the state that
/// the last holder left.
#[test]
fn a_restored_row_does_not_shorten_the_wait() {
    let copied_row = |holder: &str, is_released: bool| LeaseRow {
        holder: holder.to_owned(),
        is_released,
        era: 1,
        ..LeaseRow::default()
    };
    for row in [
        None,
        Some(copied_row("a", false)),
        Some(copied_row("b", true)),
        Some(copied_row("b", false)),
    ] {
        let mut lease_state = LeaseState::new("a", PAUSE_MS);
        lease_state.enter_era(2);
        lease_state.read(0, StorePosition::new(2, 50), row.clone());
        // An announcement from the previous era, about a row that had the same version.
        lease_state.record_ended_term(EndedTerm {
            position: StorePosition::new(1, 50),
            at_ms: 0,
        });
        let full_wait_ms = TERM_MS + PAUSE_MS;
        assert_eq!(lease_state.step(full_wait_ms, false), Step::Wait, "{row:?}");
    }
}

#[test]
fn a_term_starts_before_the_write() {
    let mut lease_state = LeaseState::new("a", PAUSE_MS);
    lease_state.read(0, at(0), None);
    assert_eq!(lease_state.step(1, false), Step::Write { expected: at(0) });
    lease_state.written(10, at(7));
    assert_eq!(lease_state.token(10 + TERM_MS - 1), Some(7));
    assert_eq!(lease_state.token(10 + TERM_MS), None);
    assert!(lease_state.is_holder());
}

#[test]
fn a_restarted_holder_continues_at_once_and_others_wait() {
    let held_by_a = LeaseRow {
        holder: "a".to_owned(),
        ..LeaseRow::default()
    };
    let table = [
        ("a", false, 1),
        ("b", false, TERM_MS + PAUSE_MS),
        ("b", true, PAUSE_MS),
    ];
    for (machine, is_released, least_ms) in table {
        let mut lease_state = LeaseState::new(machine, PAUSE_MS);
        let seen = LeaseRow {
            is_released,
            ..held_by_a.clone()
        };
        lease_state.read(0, at(5), Some(seen));
        let wait_end_ms = (0..20_000).find(|now_ms| lease_state.step(*now_ms, false) != Step::Wait);
        assert!(
            wait_end_ms.is_some_and(|ms| ms + 1 >= least_ms),
            "{machine} {is_released}: {wait_end_ms:?}"
        );
        assert_eq!(
            wait_end_ms == Some(0),
            machine == "a",
            "{machine} {is_released}"
        );
    }
}

#[test]
fn the_holders_announcement_of_its_ended_term_shortens_the_wait() {
    let mut lease_state = LeaseState::new("b", PAUSE_MS);
    let held = LeaseRow {
        holder: "a".to_owned(),
        ..LeaseRow::default()
    };
    lease_state.read(0, at(5), Some(held));
    let ended = |version: u64, at_ms: u64| EndedTerm {
        position: at(version),
        at_ms,
    };
    lease_state.record_ended_term(ended(4, 10));
    assert_eq!(
        lease_state.step(PAUSE_MS + 500, false),
        Step::Wait,
        "another version"
    );
    // The earliest announcement counts, even if it is heard last.
    lease_state.record_ended_term(ended(5, 900));
    lease_state.record_ended_term(ended(5, 20));
    lease_state.record_ended_term(ended(5, 400));
    let due_ms = 20 + PAUSE_MS + MARGIN_MS;
    assert_eq!(lease_state.step(due_ms - 1, false), Step::Wait);
    let write = Step::Write { expected: at(5) };
    assert_eq!(lease_state.step(due_ms, false), write);
}

#[test]
fn a_machine_that_hears_the_holder_does_not_touch_the_row() {
    let mut lease_state = LeaseState::new("b", PAUSE_MS);
    assert_eq!(lease_state.step(0, true), Step::Wait);
    assert_eq!(lease_state.step(0, false), Step::Read);
    // Guards against an incident in which every instance based its write on a row read long ago
    // when the holder fell silent: the writes conflicted, and the wait began anew.
    let held = LeaseRow {
        holder: "a".to_owned(),
        ..LeaseRow::default()
    };
    lease_state.read(0, at(5), Some(held));
    assert_eq!(lease_state.step(60_000, true), Step::Wait);
    assert_eq!(lease_state.step(60_010, false), Step::Read);
}

#[test]
fn a_holder_that_resigns_sends_no_orders_until_it_acquires_the_lease_again() {
    let mut lease_state = LeaseState::new("a", PAUSE_MS);
    assert_eq!(lease_state.resign(), None);
    lease_state.read(0, at(5), None);
    lease_state.written(10, at(6));
    assert!(lease_state.may_order(20));
    assert_eq!(lease_state.resign(), Some(at(6)));
    assert!(!lease_state.may_order(20));
    assert!(!lease_state.is_holder());
    // Nobody else has taken it since.
    assert_eq!(lease_state.step(30, false), Step::Read);
    let released = LeaseRow {
        holder: "a".to_owned(),
        is_released: true,
        ..LeaseRow::default()
    };
    lease_state.read(40, at(7), Some(released));
    let write = Step::Write { expected: at(7) };
    assert_eq!(lease_state.step(40, false), write);
    lease_state.written(50, at(8));
    assert!(lease_state.may_order(60));
}
