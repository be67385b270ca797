//! Places that an owner gives to prompts.

#![expect(clippy::float_cmp, reason = "times are whole milliseconds here")]

use cranereach_fleet::prefill_schedule::PrefillSchedule;

/// A plan of a worker whose streams may pause for 400 ms, three tokens an event.
fn plan() -> PrefillSchedule {
    let mut plan = PrefillSchedule::default();
    plan.set_limits(400.0, 3);
    plan
}

/// Puts a prompt in its place; returns when that is.
fn send(plan: &mut PrefillSchedule, now_ms: u64, number: u64, reading_ms: f64) -> f64 {
    let at_ms = plan.find_send_time(now_ms, reading_ms).at_ms;
    plan.sent(now_ms, (1, number), at_ms, reading_ms);
    at_ms
}

#[test]
fn prompts_that_come_at_once_are_spread() {
    let mut plan = plan();
    let places: Vec<f64> = (0..4)
        .map(|number| send(&mut plan, 1_000, number, 200.0))
        .collect();
    assert_eq!(places[0], 1_000.0);
    // Two would make a pause of 439 ms, 320 are allowed.
    assert!(
        places.is_sorted_by(|left, right| left + 200.0 < *right),
        "{places:?}"
    );
}

#[test]
fn a_prompt_that_was_read_faster_than_predicted_makes_room() {
    let mut plan = plan();
    send(&mut plan, 1_000, 1, 300.0);
    let waits_until_ms = plan.find_send_time(1_090, 200.0).at_ms;
    assert!(waits_until_ms > 1_300.0);
    plan.read(1_100, (1, 1));
    assert!(plan.find_send_time(1_100, 200.0).at_ms < 1_150.0);
}

#[test]
fn a_prompt_that_is_given_up_before_it_is_sent_makes_room() {
    let mut plan = plan();
    plan.sent(1_000, (1, 1), 1_000.0, 250.0);
    plan.sent(1_000, (1, 2), 1_300.0, 250.0);
    assert!(plan.find_send_time(1_000, 250.0).at_ms > 1_550.0);
    plan.ended(1_100, (1, 2));
    assert!(plan.find_send_time(1_100, 250.0).at_ms < 1_400.0);
}

#[test]
fn the_places_say_how_long_streams_pause() {
    let mut plan = plan();
    assert_eq!(plan.find_send_time(1_000, 100.0).pause_ms, 139.0);
    send(&mut plan, 1_000, 1, 100.0);
    assert_eq!(plan.find_send_time(1_000, 100.0).pause_ms, 239.0);
}

#[test]
fn streams_that_may_pause_for_any_time_hold_nothing_back() {
    let mut plan = PrefillSchedule::default();
    for number in 0..10 {
        assert_eq!(send(&mut plan, 1_000, number, 500.0), 1_000.0);
    }
}
