//! Send times that a worker's owner gives to prompts.

#![expect(clippy::float_cmp, reason = "times are whole milliseconds here")]

use cranereach_fleet::prefill_schedule::PrefillSchedule;

/// Returns the schedule of a worker with three tokens per event whose streams may pause for 400 ms.
fn schedule() -> PrefillSchedule {
    let mut schedule = PrefillSchedule::default();
    schedule.set_limits(400.0, 3);
    schedule
}

/// Schedules a prompt and returns its send time in milliseconds.
fn schedule_prompt(
    schedule: &mut PrefillSchedule,
    now_ms: u64,
    number: u64,
    reading_ms: f64,
) -> f64 {
    let at_ms = schedule.find_send_time(now_ms, reading_ms).at_ms;
    schedule.sent(now_ms, (1, number), at_ms, reading_ms);
    at_ms
}

#[test]
fn prompts_that_arrive_together_are_spread() {
    let mut schedule = schedule();
    let send_times_ms: Vec<f64> = (0..4)
        .map(|number| schedule_prompt(&mut schedule, 1_000, number, 200.0))
        .collect();
    assert_eq!(send_times_ms[0], 1_000.0);
    // Two at once would cause a pause of 439 ms; 320 ms are allowed.
    assert!(
        send_times_ms.is_sorted_by(|left, right| left + 200.0 < *right),
        "{send_times_ms:?}"
    );
}

#[test]
fn a_faster_prefill_than_predicted_lets_the_next_prompt_go_earlier() {
    let mut schedule = schedule();
    schedule_prompt(&mut schedule, 1_000, 1, 300.0);
    let send_at_ms = schedule.find_send_time(1_090, 200.0).at_ms;
    assert!(send_at_ms > 1_300.0);
    schedule.read(1_100, (1, 1));
    assert!(schedule.find_send_time(1_100, 200.0).at_ms < 1_150.0);
}

#[test]
fn a_cancelled_prompt_lets_the_next_prompt_go_earlier() {
    let mut schedule = schedule();
    schedule.sent(1_000, (1, 1), 1_000.0, 250.0);
    schedule.sent(1_000, (1, 2), 1_300.0, 250.0);
    assert!(schedule.find_send_time(1_000, 250.0).at_ms > 1_550.0);
    schedule.ended(1_100, (1, 2));
    assert!(schedule.find_send_time(1_100, 250.0).at_ms < 1_400.0);
}

#[test]
fn the_schedule_predicts_the_pause() {
    let mut schedule = schedule();
    assert_eq!(schedule.find_send_time(1_000, 100.0).pause_ms, 139.0);
    schedule_prompt(&mut schedule, 1_000, 1, 100.0);
    assert_eq!(schedule.find_send_time(1_000, 100.0).pause_ms, 239.0);
}

#[test]
fn without_a_pause_limit_prompts_are_sent_at_once() {
    let mut schedule = PrefillSchedule::default();
    for number in 0..10 {
        assert_eq!(
            schedule_prompt(&mut schedule, 1_000, number, 500.0),
            1_000.0
        );
    }
}
