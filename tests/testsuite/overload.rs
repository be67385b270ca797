//! A flood of one client account fills only its own queue; retries stay within the retry budget.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_standin::engine::state::EngineFaults;
use cranereach_standin::load::Call;

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_is_refused_at_once_and_the_other_account_is_served() {
    let deployment = Arc::new(fixture::start(Shape::default()).await);
    let warm = Call::chat("b", "m0", "warm", 2, true);
    fixture::assert_served(&deployment, 0, &warm).await;
    let stop = Arc::new(AtomicBool::new(false));
    let flood_tasks: Vec<_> = (0..400)
        .map(|_| {
            let deployment = Arc::clone(&deployment);
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut codes = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let outcome = deployment
                        .call(0, &Call::chat("a", "m0", "flood", 10, true))
                        .await;
                    if let Some(code) = outcome.code {
                        assert!(outcome.retry_after_s.is_some(), "{outcome:?}");
                        codes.push(code);
                        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                    }
                }
                codes
            })
        })
        .collect();
    let entry_state = deployment.entries[0].as_ref().unwrap().shared();
    let is_full = || entry_state.metrics.queue_waiting.get() >= 256;
    cranereach_bench::waiting::wait_until("a full queue", WAIT_TIMEOUT_MS, is_full)
        .await
        .unwrap();
    for number in 0..10 {
        let outcome = deployment
            .call(0, &Call::chat("b", "m0", "calm", 10, true))
            .await;
        assert!(
            outcome.status == 200 && outcome.is_whole,
            "call {number}: {outcome:?}"
        );
    }
    stop.store(true, Ordering::Relaxed);
    let mut codes = Vec::new();
    for task in flood_tasks {
        codes.extend(task.await.unwrap());
    }
    assert!(codes.contains(&2001), "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_refuses_everything_causes_no_retry_storm() {
    let deployment = fixture::start(Shape::default()).await;
    let call = Call::chat("a", "m0", "hello", 1, true);
    fixture::assert_served(&deployment, 0, &call).await;
    let engine = deployment.engines[0].stand_in.state();
    *engine.faults.lock().unwrap() = EngineFaults {
        refuse_count: u32::MAX,
        ..EngineFaults::default()
    };
    let call_count = 300;
    for _call in 0..call_count {
        let outcome = deployment.call(0, &call).await;
        assert_ne!(outcome.status, 200);
    }
    let arrived_count = u32::MAX - engine.faults.lock().unwrap().refuse_count;
    // The retry budget allows a tenth of the calls and up to 50 unused retries.
    assert!(
        arrived_count <= call_count + call_count / 10 + 50,
        "{arrived_count} attempts for {call_count} calls"
    );
    deployment.stop().await;
}
