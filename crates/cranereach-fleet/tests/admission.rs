//! Which requests are sent, delayed or refused when a worker's queue is long.

use cranereach_fleet::admission::Admission;
use cranereach_fleet::admission::Verdict;

/// Latency target of urgent and of ordinary requests, in milliseconds.
const LATENCY_TARGET_MS: f64 = 800.0;

/// Prefill time of one prompt, in milliseconds.
const PREFILL_MS: f64 = 94.0;

const URGENT: Admission = Admission {
    latency_target_ms: LATENCY_TARGET_MS,
    urgent_latency_target_ms: None,
    is_whole: false,
};

const ORDINARY: Admission = Admission {
    urgent_latency_target_ms: Some(LATENCY_TARGET_MS),
    ..URGENT
};

/// Simulates an overloaded worker for ten seconds, with an ordinary request every 60 ms and an
/// urgent one every 300 ms; returns how many urgent requests were late or refused.
fn missed_urgent_count(ordinary: Admission) -> usize {
    let mut prefill_until_ms = 0.0_f64;
    let mut missed_count = 0;
    for step in 0..166 {
        let now_ms = f64::from(step) * 60.0;
        let requests = if step % 5 == 0 {
            vec![ordinary, URGENT]
        } else {
            vec![ordinary]
        };
        for request in requests {
            let begins_in_ms = (prefill_until_ms - now_ms).max(0.0) + PREFILL_MS;
            let is_sent = request.judge(begins_in_ms, 0.0) == Verdict::Send;
            if is_sent {
                prefill_until_ms = now_ms + begins_in_ms;
            }
            let is_urgent = request == URGENT;
            if is_urgent && (!is_sent || begins_in_ms > LATENCY_TARGET_MS) {
                missed_count += 1;
            }
        }
    }
    missed_count
}

#[test]
fn urgent_requests_meet_their_target_under_overload() {
    assert_eq!(missed_urgent_count(ORDINARY), 0);
    // If all requests were admitted alike, most urgent ones would be late.
    let without_priority = Admission {
        urgent_latency_target_ms: None,
        latency_target_ms: LATENCY_TARGET_MS + 1.0,
        ..ORDINARY
    };
    assert!(missed_urgent_count(without_priority) > 20);
}

#[test]
fn a_request_with_a_long_target_waits_and_is_sent_in_time() {
    let with_long_target = Admission {
        latency_target_ms: 6_000.0,
        ..ORDINARY
    };
    assert_eq!(with_long_target.judge(640.0, 0.0), Verdict::Send);
    assert_eq!(
        with_long_target.judge(650.0, 0.0),
        Verdict::RecheckAfter(40.0)
    );
    assert_eq!(
        with_long_target.judge(2_000.0, 1_000.0),
        Verdict::RecheckAfter(200.0)
    );
    assert_eq!(with_long_target.judge(2_000.0, 1_500.0), Verdict::Send);
    assert_eq!(with_long_target.judge(4_500.0, 1_500.0), Verdict::Refuse);
}

#[test]
fn a_non_streamed_answer_is_admitted_by_its_completion_time() {
    let whole = Admission {
        latency_target_ms: 300.0,
        urgent_latency_target_ms: None,
        is_whole: true,
    };
    assert_eq!(whole.judge(210.0, 0.0), Verdict::Send);
    assert_eq!(whole.judge(211.0, 0.0), Verdict::Refuse);
}
