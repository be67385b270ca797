//! Expected time for which answers occupy a slot of a worker's batch.

use cranereach_fleet::slot_times::SlotTimes;

#[test]
fn known_models_use_their_own_answers_and_others_the_overall_average() {
    let mut slot_times = SlotTimes::default();
    let first_ms = slot_times.expected_ms("slow", 100);
    assert!(first_ms > 0.0);
    for _answer in 0..200 {
        slot_times.learn("slow", 100, 2_000.0);
        slot_times.learn("fast", 100, 500.0);
    }
    assert!((slot_times.expected_ms("slow", 100) - 2_000.0).abs() < 1.0);
    assert!((slot_times.expected_ms("fast", 50) - 250.0).abs() < 1.0);
    let unknown_ms = slot_times.expected_ms("other", 100);
    assert!((1_000.0..1_500.0).contains(&unknown_ms), "{unknown_ms}");
}

#[test]
fn wrong_length_estimates_average_out() {
    let mut slot_times = SlotTimes::default();
    // Every answer takes 1,000 ms; callers announce 25 or 400 tokens for it.
    for _pair in 0..200 {
        slot_times.learn("m", 25, 1_000.0);
        slot_times.learn("m", 400, 1_000.0);
    }
    let sum_ms = slot_times.expected_ms("m", 25) + slot_times.expected_ms("m", 400);
    assert!((sum_ms - 2_000.0).abs() < 30.0, "{sum_ms}");
}

#[test]
fn answers_without_an_expected_length_teach_nothing() {
    let mut slot_times = SlotTimes::default();
    let before_ms = slot_times.expected_ms("m", 10);
    slot_times.learn("m", 0, 5_000.0);
    assert!((slot_times.expected_ms("m", 10) - before_ms).abs() < f64::EPSILON);
    assert!(slot_times.expected_ms("m", 0).abs() < f64::EPSILON);
}
