//! Verdicts on attempts: a result code that says "not run" is given only if the call did not run,
//! for any sequence of events.

use assert_matches::assert_matches;
use proptest::prelude::*;

use cranereach_core::attempt::Attempt;
use cranereach_core::attempt::Event;
use cranereach_core::attempt::Verdict;
use cranereach_core::codes::Ran;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Repeatable;
use cranereach_core::retry_budget::RetryBudget;

/// Deadline of all attempts, in milliseconds.
const DEADLINE_AT_MS: u64 = 1_000;

/// One row: name, whether the call may be repeated, events with their times in milliseconds, and
/// the last verdict.
type Row = (&'static str, Repeatable, &'static [(u64, Event)], Verdict);

/// Table of faults and their verdicts.
const ROWS: [Row; 12] = [
    (
        "no connection",
        Repeatable::Unsafe,
        &[(0, Event::NotConnected)],
        Verdict::TryElsewhere,
    ),
    (
        "closed after the request was sent, unsafe",
        Repeatable::Unsafe,
        &[(0, Event::HandedToConnection), (1, Event::Broken)],
        Verdict::End(ResultCode::OutcomeUnknown),
    ),
    (
        "closed after the request was sent, safe",
        Repeatable::Safe,
        &[(0, Event::HandedToConnection), (1, Event::Broken)],
        Verdict::TryElsewhere,
    ),
    (
        "refused as not run, unsafe",
        Repeatable::Unsafe,
        &[
            (0, Event::HandedToConnection),
            (0, Event::Head),
            (1, Event::RefusedByUpstream),
        ],
        Verdict::TryElsewhere,
    ),
    (
        "broken off in the middle of the response",
        Repeatable::Safe,
        &[
            (0, Event::HandedToConnection),
            (0, Event::Head),
            (0, Event::FirstBytes),
            (1, Event::Broken),
        ],
        Verdict::End(ResultCode::BrokenMidway),
    ),
    (
        "malformed response, unsafe",
        Repeatable::Unsafe,
        &[
            (0, Event::HandedToConnection),
            (0, Event::Head),
            (1, Event::Garbled),
        ],
        Verdict::End(ResultCode::GarbledAnswer),
    ),
    (
        "deadline passed before sending",
        Repeatable::Unsafe,
        &[(1_000, Event::DeadlinePassed)],
        Verdict::End(ResultCode::DeadlinePassed),
    ),
    (
        "deadline passed after sending",
        Repeatable::Safe,
        &[
            (0, Event::HandedToConnection),
            (1_000, Event::DeadlinePassed),
        ],
        Verdict::End(ResultCode::DeadlinePassedRunning),
    ),
    (
        "no connection, deadline passed",
        Repeatable::Safe,
        &[(1_000, Event::NotConnected)],
        Verdict::End(ResultCode::DeadlinePassed),
    ),
    (
        "may have run, then no connection and deadline passed",
        Repeatable::Safe,
        &[
            (0, Event::HandedToConnection),
            (1, Event::Broken),
            (1_000, Event::NotConnected),
        ],
        Verdict::End(ResultCode::OutcomeUnknown),
    ),
    (
        "whole",
        Repeatable::Unsafe,
        &[
            (0, Event::HandedToConnection),
            (0, Event::Head),
            (0, Event::Completed),
        ],
        Verdict::End(ResultCode::Served),
    ),
    (
        "broken off after the complete response",
        Repeatable::Unsafe,
        &[
            (0, Event::HandedToConnection),
            (0, Event::Completed),
            (1, Event::Broken),
        ],
        Verdict::End(ResultCode::Served),
    ),
];

#[test]
fn each_fault_has_its_verdict() {
    for (name, repeat, events, verdict) in ROWS {
        let mut attempt = Attempt::new(repeat, DEADLINE_AT_MS);
        let mut budget = RetryBudget::default();
        let last = events
            .iter()
            .map(|(now_ms, event)| attempt.on(*now_ms, *event, &mut budget))
            .last();
        assert_eq!(last, Some(verdict), "{name}");
    }
}

#[test]
fn the_retry_budget_bounds_retries() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _call in 0..1_000 {
        budget.record_first_attempt();
        retries += u32::from(budget.spend());
    }
    assert!(retries <= 103, "{retries}");
}

/// Returns a strategy that generates any event.
fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::NotConnected),
        Just(Event::HandedToConnection),
        Just(Event::RefusedByUpstream),
        Just(Event::Head),
        Just(Event::FirstBytes),
        Just(Event::Completed),
        Just(Event::Broken),
        Just(Event::Garbled),
        Just(Event::DeadlinePassed),
    ]
}

proptest! {
    /// Once an upstream may have acted on a call, no result code says "not run", and an unsafe
    /// call is not sent again.
    #[test]
    fn not_run_is_reported_only_if_true_for_any_event_sequence(
        is_unsafe in any::<bool>(),
        events in prop::collection::vec((0_u64..1_500, any_event()), 1..12),
        refusal_follows in any::<bool>(),
    ) {
        let repeat = if is_unsafe { Repeatable::Unsafe } else { Repeatable::Safe };
        let mut attempt = Attempt::new(repeat, DEADLINE_AT_MS);
        let mut budget = RetryBudget::default();
        // Whether any upstream may have acted on the call, tracked independently of `Attempt`.
        let mut may_have_run = false;
        let mut in_flight = false;
        let mut ended = None;
        for (now_ms, event) in events {
            if matches!(event, Event::HandedToConnection | Event::Head | Event::FirstBytes) {
                in_flight = true;
            }
            let verdict = attempt.on(now_ms, event, &mut budget);
            if verdict == Verdict::Continue {
                continue;
            }
            // Only a refusal by the upstream proves that an attempt did not run, and only if no
            // part of the response has been passed on.
            let is_not_run = event == Event::RefusedByUpstream && verdict == Verdict::TryElsewhere;
            may_have_run |= in_flight && !is_not_run && event != Event::RefusedByUpstream;
            in_flight = false;
            if verdict == Verdict::TryElsewhere && is_unsafe {
                prop_assert!(!may_have_run, "an unsafe call is sent again");
            }
            if let Verdict::End(code) = verdict {
                ended = Some(code);
                break;
            }
        }
        let code = match ended {
            Some(code) => Some(code),
            None if refusal_follows && !in_flight => Some(attempt.refused(ResultCode::NoUpstream)),
            None => None,
        };
        if may_have_run && let Some(code) = code {
            prop_assert_ne!(code.row().ran, Ran::No, "{:?}", code);
        }
    }
}

#[test]
fn a_queue_refusal_accounts_for_earlier_attempts() {
    let mut attempt = Attempt::new(Repeatable::Safe, DEADLINE_AT_MS);
    let mut budget = RetryBudget::default();
    attempt.on(0, Event::HandedToConnection, &mut budget);
    assert_matches!(
        attempt.on(1, Event::Broken, &mut budget),
        Verdict::TryElsewhere
    );
    assert_eq!(
        attempt.refused(ResultCode::DeadlinePassed),
        ResultCode::OutcomeUnknown
    );
}
