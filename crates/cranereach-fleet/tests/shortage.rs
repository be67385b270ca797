//! Retry delays of refused callers.

use cranereach_fleet::shortage::Shortages;

/// Key of the resource that is short.
const LIMIT: u64 = 1;

#[test]
fn in_a_lasting_overload_few_callers_return_too_early() {
    // For ten seconds, ten callers a second are refused; each comes back once.
    let mut shortages = Shortages::default();
    let ends_at_ms = 10_000;
    let return_times_ms = (0..100).map(|number| {
        let now_ms = number * 100;
        now_ms + shortages.retry_delay_ms(now_ms, LIMIT, 60, 0.5)
    });
    let early_count = return_times_ms.filter(|at_ms| *at_ms < ends_at_ms).count();
    // With a constant delay of 60 ms, all of them would return too early.
    assert!(early_count <= 50, "{early_count}");
}

#[test]
fn a_short_shortage_gives_short_retry_delays() {
    let mut shortages = Shortages::default();
    assert_eq!(shortages.retry_delay_ms(5_000, LIMIT, 60, 0.5), 60);
    assert_eq!(shortages.retry_delay_ms(5_050, LIMIT, 60, 0.5), 60);
    // Another shortage, later.
    assert_eq!(shortages.retry_delay_ms(9_000, LIMIT, 80, 0.5), 80);
    assert_eq!(shortages.retry_delay_ms(9_100, LIMIT + 1, 80, 0.5), 80);
}

#[test]
fn callers_refused_together_are_spread() {
    let mut shortages = Shortages::default();
    shortages.retry_delay_ms(0, LIMIT, 60, 0.5);
    let back_ms = [0.0, 0.5, 1.0].map(|varied| shortages.retry_delay_ms(1_000, LIMIT, 60, varied));
    assert_eq!(back_ms, [700, 1_000, 1_300]);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut shortages = Shortages::default();
    for key in 0..10_000 {
        shortages.retry_delay_ms(1_000, key, 60, 0.5);
    }
    assert_eq!(shortages.retry_delay_ms(2_000, 9_999, 60, 0.5), 60);
    assert_eq!(shortages.retry_delay_ms(2_000, 1, 60, 0.5), 1_000);
}
