//! What an instance's own delays explain.

use cranereach_core::overload::load::SAMPLE_INTERVAL_MS;
use cranereach_core::overload::own_delays::OwnDelays;

/// Guards against a worker that counts as silent because this instance stood still, whichever of
/// its tasks runs first afterwards.
#[test]
fn a_pause_explains_a_time_out_before_the_sample_after_it() {
    let mut delays = OwnDelays::default();
    delays.add(1_000, 0, false);
    let now_ms = 1_000 + SAMPLE_INTERVAL_MS + 200;
    assert!(delays.explain(now_ms, now_ms - 250, 250));
}

/// Guards against silent workers that go unnoticed because of short delays, which there always are.
#[test]
fn a_short_delay_does_not_explain_a_long_time() {
    let mut delays = OwnDelays::default();
    delays.add(1_000, 90, false);
    assert!(!delays.explain(1_050, 800, 250));
    assert!(delays.explain(1_050, 900, 150));
}

#[test]
fn a_delay_before_the_measured_time_explains_nothing() {
    let mut delays = OwnDelays::default();
    delays.add(1_000, 500, false);
    delays.add(1_100, 0, false);
    assert!(!delays.explain(1_150, 1_050, 100));
    assert!(delays.explain(1_150, 950, 200));
}

#[test]
fn a_full_link_explains_any_time() {
    let mut delays = OwnDelays::default();
    delays.add(1_000, 0, true);
    assert!(delays.explain(1_050, 900, 2_000));
    assert!(!delays.explain(1_050, 1_010, 40));
}

#[test]
fn the_longest_delay_includes_one_that_goes_on() {
    let mut delays = OwnDelays::default();
    delays.add(1_000, 70, false);
    assert_eq!(delays.longest_since_ms(1_050, 950), 70);
    let later_ms = 1_000 + SAMPLE_INTERVAL_MS + 300;
    assert_eq!(delays.longest_since_ms(later_ms, 950), 300);
}
