//! Each caller gets the complete answer to its own request, or a specific error.

use std::sync::Arc;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_standin::engine::state::EngineFaults;
use cranereach_standin::load::Call;

/// A test case: its name, a fault, whether the call streams, and the expected result code.
type Row = (&'static str, EngineFaults, bool, Option<u16>);

/// Test cases; without a code, a retry by the entry instance yields a complete answer.
fn rows() -> Vec<Row> {
    let no_faults = EngineFaults::default();
    vec![
        (
            "an answer to another request, stream",
            EngineFaults {
                wrong_request_count: 1,
                ..no_faults
            },
            true,
            None,
        ),
        (
            "an answer to another request, whole",
            EngineFaults {
                wrong_request_count: 1,
                ..no_faults
            },
            false,
            None,
        ),
        (
            "a garbled answer, stream",
            EngineFaults {
                garble_count: 1,
                ..no_faults
            },
            true,
            None,
        ),
        (
            "a garbled answer, whole",
            EngineFaults {
                garble_count: 1,
                ..no_faults
            },
            false,
            None,
        ),
        (
            "no answer after the request ran",
            EngineFaults {
                close_unanswered_count: 1,
                ..no_faults
            },
            true,
            None,
        ),
        (
            "refused as not run",
            EngineFaults {
                refuse_count: 1,
                ..no_faults
            },
            true,
            None,
        ),
        (
            "a stream that breaks midway",
            EngineFaults {
                break_stream_count: 1,
                ..no_faults
            },
            true,
            Some(3002),
        ),
        (
            "a stream that ends after a token with the text of the marker",
            EngineFaults {
                marker_text_count: 1,
                ..no_faults
            },
            true,
            Some(3002),
        ),
    ]
}

/// Faults that last longer than all retries.
fn lasting_rows() -> Vec<Row> {
    let no_faults = EngineFaults::default();
    vec![
        (
            "garbled for good",
            EngineFaults {
                garble_count: 100,
                ..no_faults
            },
            false,
            Some(3005),
        ),
        (
            "unanswered for good",
            EngineFaults {
                close_unanswered_count: 100,
                ..no_faults
            },
            false,
            Some(3001),
        ),
        (
            "refused for good",
            EngineFaults {
                refuse_count: 100,
                ..no_faults
            },
            false,
            Some(2007),
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_is_never_reported_as_complete() {
    let deployment = fixture::start(Shape::default()).await;
    let warm = Call::chat("a", "m0", "warm", 1, true);
    fixture::assert_served(&deployment, 0, &warm).await;
    let engine = deployment.engines[0].stand_in.state();
    for (name, faults, stream, code) in rows().into_iter().chain(lasting_rows()) {
        *engine.faults.lock().unwrap() = faults;
        let call = Call::chat("a", "m0", name, 6, stream);
        let outcome = deployment.call(0, &call).await;
        *engine.faults.lock().unwrap() = EngineFaults::default();
        assert_eq!(outcome.code, code, "{name}: {outcome:?}");
        assert_eq!(
            outcome.is_whole && outcome.status == 200,
            code.is_none(),
            "{name}: {outcome:?}"
        );
        assert_eq!(
            outcome.text.contains(name),
            code.is_none() || code == Some(3002),
            "{name}: {outcome:?}"
        );
        // Refills the retry budget for the next case.
        for _call in 0..60 {
            deployment.call(0, &warm).await;
        }
    }
    deployment.stop().await;
}

/// Guards against a stream that ends inside its last event looking complete to its caller, whether by
/// the end of the body or by an event that is made of the beginning of one and the error.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_its_last_event_is_not_complete() {
    let deployment = fixture::start(Shape::default()).await;
    let warm = Call::chat("a", "m0", "warm", 1, true);
    fixture::assert_served(&deployment, 0, &warm).await;
    let engine = deployment.engines[0].stand_in.state();
    *engine.faults.lock().unwrap() = EngineFaults {
        cut_marker_count: 1,
        ..EngineFaults::default()
    };
    let call = Call::chat("a", "m0", "cut", 3, true);
    let outcome = deployment.call(0, &call).await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert!(!outcome.has_declared_end, "{outcome:?}");
    assert!(outcome.text.ends_with("data: [DONE]\n"), "{outcome:?}");
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_at_once_each_get_their_own_answer() {
    let deployment = Arc::new(
        fixture::start(Shape {
            entry_count: 2,
            engine_count: 2,
            ..Shape::default()
        })
        .await,
    );
    let warm = Call::chat("a", "m0", "warm", 1, true);
    fixture::assert_served(&deployment, 0, &warm).await;
    let calls: Vec<_> = (0..200)
        .map(|number| {
            let deployment = Arc::clone(&deployment);
            tokio::spawn(async move {
                let own_prompt = format!("own words of caller {number}.");
                let call = Call::chat("a", "m0", &own_prompt, 5, number % 2 == 0);
                // Every seventh caller disconnects early; no other may get its answer.
                if number % 7 == 0 {
                    let leave_after = std::time::Duration::from_millis(5);
                    let _left =
                        tokio::time::timeout(leave_after, deployment.call(number % 2, &call)).await;
                    return;
                }
                let outcome = deployment
                    .call_until_served(number % 2, &call, WAIT_TIMEOUT_MS)
                    .await;
                assert!(
                    outcome.is_whole && outcome.text.contains(&own_prompt),
                    "{outcome:?}"
                );
            })
        })
        .collect();
    for call in calls {
        call.await.unwrap();
    }
}
