//! The state of a worker that its owner keeps.

use proptest::prelude::*;

use cranereach_fleet::owned::Outcome;
use cranereach_fleet::owned::OwnedWorkers;
use cranereach_fleet::owned::SentRequest;
use cranereach_fleet::prefixes::PromptPart;

/// Key of the worker.
const WORKER: u64 = 7;

fn sent_request(unread_ms: f32) -> SentRequest {
    SentRequest {
        rank: 1,
        unread_ms,
        stay_ms: 500.0,
        held_tokens: 1_000,
        ends_within_ms: 10_000,
        gap_aim_ms: 0,
        event_tokens: 0,
        send_in_ms: 0,
        runs_alone: false,
    }
}

fn part(chain: u64) -> PromptPart {
    PromptPart { chain, tokens: 100 }
}

#[test]
fn requests_of_all_instances_count_from_send_to_end() {
    let mut owned = OwnedWorkers::default();
    owned.request_started(0, WORKER, (1, 1), sent_request(80.0), &[]);
    // The same number from another instance is another request.
    owned.request_started(1, WORKER, (2, 1), sent_request(40.0), &[]);
    let load = owned.status(2, WORKER, &[], 0.0).load;
    assert_eq!((load.open_count, load.waiting_count), (2, [0, 2, 0]));
    assert!((load.unread_ms[1] - 120.0).abs() < 0.01);
    owned.prefilled(80, WORKER, (1, 1), 80.0);
    let load = owned.status(81, WORKER, &[], 0.0).load;
    assert_eq!((load.open_count, load.waiting_count), (2, [0, 1, 0]));
    owned.request_ended(500, WORKER, (1, 1), Outcome::Whole);
    owned.request_ended(500, WORKER, (2, 1), Outcome::Neutral);
    assert_eq!(owned.status(501, WORKER, &[], 0.0).load.open_count, 0);
    // A repeated end, and the end of a prefill without a start, have no effect.
    owned.request_ended(502, WORKER, (2, 1), Outcome::Neutral);
    owned.prefilled(502, WORKER, (9, 9), 80.0);
    assert_eq!(owned.status(503, WORKER, &[], 0.0).load.open_count, 0);
}

#[test]
fn requests_whose_end_was_lost_expire() {
    let mut owned = OwnedWorkers::default();
    owned.request_started(0, WORKER, (1, 1), sent_request(100.0), &[]);
    assert_eq!(
        owned.status(1_399, WORKER, &[], 0.0).load.waiting_count[1],
        1
    );
    assert_eq!(
        owned.status(1_400, WORKER, &[], 0.0).load.waiting_count[1],
        0
    );
    assert_eq!(owned.status(9_999, WORKER, &[], 0.0).load.open_count, 1);
    assert_eq!(owned.status(10_000, WORKER, &[], 0.0).load.open_count, 0);
}

#[test]
fn prompt_parts_sent_by_any_instance_count_as_cached() {
    let mut owned = OwnedWorkers::default();
    let sent = [part(1), part(2)];
    owned.request_started(0, WORKER, (1, 1), sent_request(80.0), &sent);
    let kept = |owned: &mut OwnedWorkers, chains: &[u64]| {
        owned.status(1, WORKER, chains, 0.0).kept_part_count
    };
    assert_eq!(kept(&mut owned, &[1, 2, 3]), 2);
    assert_eq!(kept(&mut owned, &[2]), 1);
    assert_eq!(kept(&mut owned, &[3, 1]), 0);
    assert_eq!(
        owned.status(1, 8, &[1], 0.0).kept_part_count,
        0,
        "another worker"
    );
}

#[test]
fn a_slow_worker_is_detected_after_a_few_answers_and_retried() {
    let mut owned = OwnedWorkers::default();
    let answer = |owned: &mut OwnedWorkers, at_ms: u64, peer: u32, took_ms: f64| {
        owned.request_started(at_ms, WORKER, (peer, at_ms), sent_request(100.0), &[]);
        let prefilled_ms = at_ms + took_ms as u64;
        owned.prefilled(prefilled_ms, WORKER, (peer, at_ms), took_ms);
        owned.request_ended(prefilled_ms, WORKER, (peer, at_ms), Outcome::Whole);
    };
    for round in 0..5 {
        answer(&mut owned, round * 200, round as u32, 100.0);
    }
    assert!(owned.status(1_000, WORKER, &[], 0.0).slowdown_ratio < 1.05);
    // One slow answer is not enough evidence; several are.
    answer(&mut owned, 1_000, 9, 1_300.0);
    assert!(owned.status(2_300, WORKER, &[], 0.0).slowdown_ratio < 4.0);
    for round in 0..4 {
        answer(&mut owned, 2_300 + round * 10, round as u32, 1_300.0);
    }
    assert!(owned.status(3_600, WORKER, &[], 0.0).slowdown_ratio > 4.0);
    // Without new answers the evidence decays.
    assert!(owned.status(40_000, WORKER, &[], 0.0).slowdown_ratio < 1.05);
}

#[test]
fn requests_cancelled_while_a_worker_stalls_count_against_it() {
    let mut owned = OwnedWorkers::default();
    let cancel = |owned: &mut OwnedWorkers, after_ms: u64| {
        for peer in 0..3 {
            owned.request_started(0, WORKER, (peer, after_ms), sent_request(80.0), &[]);
        }
        for peer in 0..3 {
            owned.request_ended(after_ms, WORKER, (peer, after_ms), Outcome::Neutral);
        }
        owned.status(after_ms, WORKER, &[], 0.0).is_aside
    };
    assert!(
        !cancel(&mut owned, 900),
        "callers may cancel for their own reasons"
    );
    assert!(cancel(&mut owned, 4_900));
    // A request cancelled after its prefill says nothing about the worker.
    let mut owned = OwnedWorkers::default();
    for peer in 0..3 {
        owned.request_started(0, WORKER, (peer, 1), sent_request(80.0), &[]);
        owned.prefilled(80, WORKER, (peer, 1), 80.0);
        owned.request_ended(9_000, WORKER, (peer, 1), Outcome::Neutral);
    }
    assert!(!owned.status(9_000, WORKER, &[], 0.0).is_aside);
}

#[test]
fn repeatable_calls_probe_an_ejected_worker_and_restore_it() {
    let mut owned = OwnedWorkers::default();
    let mut ticket = 0;
    let mut call = |owned: &mut OwnedWorkers, now_ms: u64, outcome: Outcome| {
        ticket += 1;
        owned.request_started(now_ms, WORKER, (1, ticket), sent_request(0.0), &[]);
        owned.request_ended(now_ms + 10, WORKER, (1, ticket), outcome);
    };
    // Each ejection lasts longer: there are four in this loop, the last for 4.8 s.
    let mut now_ms = 0;
    for _round in 0..4 {
        for _call in 0..3 {
            call(&mut owned, now_ms, Outcome::Failed);
        }
        now_ms += 5_000;
    }
    for _call in 0..3 {
        call(&mut owned, now_ms, Outcome::Failed);
    }
    let may_probe = |owned: &mut OwnedWorkers, now_ms: u64| {
        !owned
            .status_for_repeatable(now_ms, WORKER, &[], 0.0)
            .is_aside
    };
    // Meanwhile, calls that may not be repeated go elsewhere; others probe it one at a time.
    assert!(!may_probe(&mut owned, now_ms + 100));
    assert!(may_probe(&mut owned, now_ms + 300));
    assert!(!may_probe(&mut owned, now_ms + 301));
    call(&mut owned, now_ms + 300, Outcome::Failed);
    assert!(may_probe(&mut owned, now_ms + 600));
    for number in 0..3 {
        let at_ms = now_ms + 600 + number * 200;
        assert!(owned.status(at_ms, WORKER, &[], 0.0).is_aside, "{number}");
        call(&mut owned, at_ms, Outcome::Whole);
    }
    assert!(!owned.status(now_ms + 1_100, WORKER, &[], 0.0).is_aside);
}

/// Returns a prompt of a service whose streams may pause for 500 ms.
fn streamed(unread_ms: f32) -> SentRequest {
    SentRequest {
        gap_aim_ms: 500,
        event_tokens: 3,
        ..sent_request(unread_ms)
    }
}

/// Lets a worker finish `whole_count` answers without a long pause and `paused_count` with one.
fn answer(owned: &mut OwnedWorkers, now_ms: u64, whole_count: u64, paused_count: u64) {
    for number in 0..whole_count + paused_count {
        let ticket = (9, 1_000 + number);
        owned.request_started(now_ms, WORKER, ticket, streamed(1.0), &[]);
        let outcome = if number < paused_count {
            Outcome::Paused
        } else {
            Outcome::Whole
        };
        owned.request_ended(now_ms, WORKER, ticket, outcome);
    }
}

/// Sends a prompt after the delay that the owner requests, and returns the time of the send.
fn send(owned: &mut OwnedWorkers, now_ms: u64, number: u64) -> u64 {
    let status = owned.status(now_ms, WORKER, &[], 100.0);
    let sent = SentRequest {
        send_in_ms: status.send_in_ms as u32,
        ..streamed(100.0)
    };
    owned.request_started(now_ms, WORKER, (1, number), sent, &[]);
    now_ms + status.send_in_ms as u64
}

#[test]
fn prompts_to_a_worker_with_long_pauses_are_spaced_out() {
    let mut owned = OwnedWorkers::default();
    answer(&mut owned, 0, 40, 4);
    // All prompts arrive at once. Three are prefilled in one step of 313 ms, so that an event of
    // three tokens takes 339 ms of the 400 planned for it. The next prompts are held back until
    // the event after it.
    let sent_at_ms: Vec<u64> = (0..8)
        .map(|number| send(&mut owned, 5_000, number))
        .collect();
    let expected = [5_000, 5_000, 5_000, 5_339, 5_339, 5_339, 5_678, 5_678];
    assert_eq!(sent_at_ms, expected);
    // The last step has room for one more.
    assert_eq!(send(&mut owned, 5_730, 9), 5_730);
    assert_eq!(send(&mut owned, 5_740, 10), 6_017);
    assert_eq!(send(&mut owned, 9_000, 11), 9_000);
}

#[test]
fn an_owner_predicts_how_long_a_prompt_pauses_streams() {
    let mut owned = OwnedWorkers::default();
    send(&mut owned, 5_000, 1);
    // The pause is predicted even if no prompt is delayed yet.
    let status = owned.status(5_000, WORKER, &[], 400.0);
    assert!(status.send_in_ms <= 0.0);
    assert!(status.pause_ms > 400.0, "{}", status.pause_ms);
}

#[test]
fn prompts_to_a_worker_without_long_pauses_are_not_delayed() {
    let mut owned = OwnedWorkers::default();
    answer(&mut owned, 0, 100, 1);
    let all_at_once = (0..10).all(|number| send(&mut owned, 1_000, number) == 1_000);
    assert!(all_at_once);
    answer(&mut owned, 1_000, 0, 10);
    assert!(send(&mut owned, 1_000, 10) > 1_900);
    // The evidence of old pauses decays.
    let all_at_once = (20..30).all(|number| send(&mut owned, 90_000, number) == 90_000);
    assert!(all_at_once);
}

#[test]
fn failures_at_several_instances_eject_a_worker() {
    let mut owned = OwnedWorkers::default();
    for peer in 0..3 {
        owned.request_started(0, WORKER, (peer, 1), sent_request(80.0), &[]);
        assert!(!owned.status(1, WORKER, &[], 0.0).is_aside);
        owned.request_ended(1, WORKER, (peer, 1), Outcome::Failed);
    }
    let status = owned.status(2, WORKER, &[], 0.0);
    assert!(status.is_aside && status.failed_share > 0.3);
    assert!(!owned.status(30_000, WORKER, &[], 0.0).is_aside);
}

proptest! {
    #[test]
    fn the_state_stays_bounded_whatever_arrives(
        events in prop::collection::vec(
            (0_u8..4, 0_u64..3, 0_u32..3, 0_u64..6, -1e9_f32..1e9),
            0..400,
        )
    ) {
        let mut owned = OwnedWorkers::default();
        let mut now_ms = 0;
        for (kind, worker, peer, number, value) in events {
            now_ms += number;
            let ticket = (peer, number);
            match kind {
                0 => owned.request_started(
                    now_ms,
                    worker,
                    ticket,
                    sent_request(value),
                    &[part(number)],
                ),
                1 => owned.prefilled(now_ms, worker, ticket, f64::from(value)),
                2 => owned.request_ended(now_ms, worker, ticket, Outcome::Failed),
                _ => owned.request_ended(now_ms, worker, ticket, Outcome::Whole),
            }
            let status = owned.status(now_ms, worker, &[number], f64::from(value));
            prop_assert!(status.load.open_count <= 18);
            prop_assert!((1.0..=20.0).contains(&status.slowdown_ratio));
            prop_assert!(status.load.unread_ms.iter().all(|unread_ms| *unread_ms >= 0.0));
        }
        prop_assert_eq!(owned.status(now_ms + 20_000, 0, &[], 0.0).load.open_count, 0);
    }
}

#[test]
fn an_owner_reports_whether_a_request_that_runs_alone_is_running() {
    let mut owned = OwnedWorkers::default();
    owned.request_started(1_000, WORKER, (1, 1), sent_request(10.0), &[]);
    assert!(!owned.status(1_010, WORKER, &[], 0.0).has_suspect);
    let alone = SentRequest {
        runs_alone: true,
        ..sent_request(10.0)
    };
    owned.request_started(1_020, WORKER, (2, 2), alone, &[]);
    assert!(owned.status(1_030, WORKER, &[], 0.0).has_suspect);
    owned.request_ended(1_040, WORKER, (2, 2), Outcome::Whole);
    assert!(!owned.status(1_050, WORKER, &[], 0.0).has_suspect);
}
