//! Which of several reports of a worker's limit holds, and what ends a limit.

use proptest::prelude::*;

use cranereach_fleet::named_limit::LIMIT_EXPIRES_AFTER_MS;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::named_limit::NamedLimit;
use cranereach_fleet::named_limit::NamedRate;

/// Incarnation of the worker.
const START: u64 = 5;

/// Returns a limit named in an answer at `at_ms`, to a request sent 50 ms before.
fn limit_received(rate: f64, at_ms: u64) -> NamedLimit {
    let mut limit = NamedLimit::default();
    limit.observe(NamedRate::Limit(rate), true, at_ms - 50, at_ms);
    limit
}

#[test]
fn a_lower_limit_applies_at_once_and_a_higher_one_only_from_a_later_request() {
    let mut limit = limit_received(10.0, 1_000);
    assert!(limit.observe(NamedRate::Limit(2.0), true, 900, 1_010));
    // This answer may have been made before the other one.
    assert!(!limit.observe(NamedRate::Limit(10.0), true, 1_005, 1_020));
    assert_eq!(limit.rate_per_s(1_030), Some(2.0));
    assert!(limit.observe(NamedRate::Limit(10.0), true, 1_011, 1_100));
    assert_eq!(limit.rate_per_s(1_100), Some(10.0));
}

#[test]
fn what_ends_a_limit() {
    // A successful answer without a limit, to a request sent after the limit was received.
    let mut limit = limit_received(2.0, 1_000);
    assert!(
        !limit.observe(NamedRate::Nothing, false, 1_500, 1_600),
        "a failure"
    );
    assert!(
        !limit.observe(NamedRate::Nothing, true, 999, 1_600),
        "sent before"
    );
    assert!(limit.observe(NamedRate::Nothing, true, 1_500, 1_600));
    assert_eq!(limit.rate_per_s(1_600), None);
    // No report within the expiry time.
    let limit = limit_received(2.0, 1_000);
    assert_eq!(limit.rate_per_s(999 + LIMIT_EXPIRES_AFTER_MS), Some(2.0));
    assert_eq!(limit.rate_per_s(1_000 + LIMIT_EXPIRES_AFTER_MS), None);
    // A peer's report that the limit has ended.
    let mut limit = limit_received(2.0, 1_000);
    let mut other = limit_received(2.0, 1_000);
    other.observe(NamedRate::Nothing, true, 1_500, 1_600);
    assert!(limit.merge(1_610, &other.report(1_605, || START).unwrap()));
    assert_eq!(limit.rate_per_s(1_610), None);
}

#[test]
fn a_worker_that_never_named_a_limit_is_not_reported() {
    let mut limit = NamedLimit::default();
    limit.observe(NamedRate::Nothing, true, 900, 1_000);
    assert_eq!(limit.report(1_000, || START), None);
    assert_eq!(
        limit_received(2.0, 1_000).report(1_000 + LIMIT_EXPIRES_AFTER_MS, || START),
        None
    );
}

#[test]
fn an_old_report_does_not_revive_an_ended_limit() {
    let old = limit_received(2.0, 1_000);
    let old_report = old.report(1_000, || START).unwrap();
    let mut limit = limit_received(2.0, 1_000);
    limit.observe(NamedRate::Nothing, true, 1_500, 1_600);
    let late = LimitReport {
        asked_age_ms: 1_050,
        heard_age_ms: 1_000,
        ..old_report
    };
    assert!(!limit.merge(2_000, &late));
    assert_eq!(limit.rate_per_s(2_000), None);
}

#[test]
fn circulating_reports_do_not_keep_a_limit_alive() {
    let mut first = limit_received(2.0, 1_000);
    let mut second = NamedLimit::default();
    let mut now_ms = 1_000;
    while now_ms < 1_000 + 2 * LIMIT_EXPIRES_AFTER_MS {
        if let Some(limit_report) = first.report(now_ms, || START) {
            second.merge(now_ms + 10, &limit_report);
        }
        if let Some(limit_report) = second.report(now_ms + 10, || START) {
            first.merge(now_ms + 20, &limit_report);
        }
        now_ms += 20;
    }
    assert_eq!(first.rate_per_s(now_ms), None);
    assert_eq!(second.rate_per_s(now_ms), None);
}

#[test]
fn invalid_reports_from_peers_change_nothing() {
    let mut limit = limit_received(2.0, 1_000);
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        let limit_report = LimitReport {
            start: START,
            rate_per_s: Some(rate),
            asked_age_ms: 0,
            heard_age_ms: 0,
        };
        assert!(!limit.merge(5_000, &limit_report), "{rate}");
        assert_eq!(limit.rate_per_s(5_000), Some(2.0));
    }
}

proptest! {
    /// Answers of one worker reach an instance in any order, within their delays. Once the answer
    /// to a request sent after the worker's last change has arrived, its limit holds, and no older
    /// answer changes that.
    #[test]
    fn the_latest_limit_holds_in_whatever_order_answers_arrive(
        rates in prop::collection::vec((1_u64..400, prop::option::of(0_u8..5)), 1..12),
        delays_ms in prop::collection::vec((0_u64..200, 0_u64..200), 1..60),
    ) {
        // Limits of the worker, each with the time from which it applies.
        let mut changes = vec![(0_u64, Some(1.0))];
        let mut at_ms = 1_000;
        for (for_ms, rate) in rates {
            changes.push((at_ms, rate.map(f64::from)));
            at_ms += for_ms;
        }
        let (last_ms, last_rate) = *changes.last().unwrap();
        let rate_at = |at_ms: u64| {
            changes.iter().rfind(|(from_ms, _)| *from_ms <= at_ms).unwrap().1
        };
        let mut answers: Vec<(u64, u64, Option<f64>)> = Vec::new();
        for (index, (request_delay_ms, answer_delay_ms)) in (0_u64..).zip(&delays_ms) {
            let asked_ms = 500 + index * 45;
            answers.push((
                asked_ms + request_delay_ms + answer_delay_ms,
                asked_ms,
                rate_at(asked_ms + request_delay_ms),
            ));
        }
        answers.sort_by_key(|(heard_ms, ..)| *heard_ms);
        let mut limit = NamedLimit::default();
        let mut is_settled = false;
        let mut tightest_since_ms = 0;
        for (heard_ms, asked_ms, rate) in answers {
            let named_rate = rate.map_or(NamedRate::Nothing, NamedRate::Limit);
            limit.observe(named_rate, true, asked_ms, heard_ms);
            // All answers made before the last change have arrived 200 ms after it.
            is_settled |= asked_ms >= last_ms + 200 && asked_ms >= tightest_since_ms;
            if asked_ms < last_ms {
                tightest_since_ms = heard_ms;
            }
            if is_settled {
                prop_assert_eq!(limit.rate_per_s(heard_ms), last_rate);
            }
        }
    }
}
