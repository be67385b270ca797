//! A planned stop breaks off no request in flight.

use std::sync::Arc;

use hyper::Method;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use crate::harness::ProcessDeployment;
use crate::harness::call_until_status;
use cranereach_bench::waiting::wait_until;
use cranereach_http::pool::Pool;
use cranereach_standin::load;
use cranereach_standin::load::Call;

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_lets_open_streams_finish_and_a_second_one_has_no_effect() {
    let mut deployment = ProcessDeployment::start("planned-stop").await;
    let pool = Arc::new(Pool::new(&deployment.entry.address_of("callers")));
    let warm = Call::chat("crews-key", "harvest-a", "warm", 1, true);
    call_until_status(&pool, &warm, 200).await;
    // At 20 ms or more per token, 200 tokens outlast the phase of the shutdown in which new calls
    // are still accepted.
    let stream = Call::chat("crews-key", "harvest-a", "long", 200, true);
    let whole = Call::chat("crews-key", "harvest-a", "long", 200, false);
    let ledger_call = Call::plain("clerks-key", Method::POST, "/ledger/tickets", "{}");
    let open_calls: Vec<_> = [stream, whole]
        .into_iter()
        .map(|call| {
            let pool = Arc::clone(&pool);
            tokio::spawn(async move { load::send(&pool, &call).await })
        })
        .collect();
    deployment.wait_for_runs(3).await;
    deployment.entry.signal("TERM");
    // The load balancer may still direct calls here; they are served.
    let late_outcome = call_until_status(&pool, &ledger_call, 200).await;
    deployment.entry.signal("TERM");
    assert_eq!(late_outcome.status, 200);
    for call in open_calls {
        let outcome = call.await.unwrap();
        assert!(outcome.is_whole && outcome.status == 200, "{outcome:?}");
    }
    assert_eq!(deployment.entry.next_line()["stopped"], "entry-1");
    assert_eq!(deployment.entry.wait(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn two_instances_stopping_at_once_break_off_no_stream() {
    let mut deployment = fixture::start(Shape {
        entry_count: 3,
        ..Shape::default()
    })
    .await;
    let call = Call::chat("a", "m0", "warm", 2, true);
    for entry in 0..3 {
        fixture::assert_served(&deployment, entry, &call).await;
    }
    let callers = deployment.callers();
    let long = Call::chat("a", "m0", "long", 1_500, true);
    let open_streams: Vec<_> = (0..3)
        .flat_map(|entry| std::iter::repeat_n(Arc::clone(&callers[entry]), 4))
        .map(|caller| {
            let long = long.clone();
            tokio::spawn(async move { caller.send(&long).await })
        })
        .collect();
    let has_started =
        |count: u64| deployment.engines[0].stand_in.state().ledger().run_count >= count;
    wait_until("twelve open streams", WAIT_TIMEOUT_MS, || has_started(15))
        .await
        .unwrap();
    // The cell's lease may be held by one of the two stopping instances or by the third.
    let (first, second) = (
        deployment.entries[0].take().unwrap(),
        deployment.entries[1].take().unwrap(),
    );
    tokio::join!(first.drain(), second.drain());
    for stream in open_streams {
        let outcome = stream.await.unwrap();
        assert!(
            outcome.is_whole && outcome.status == 200,
            "{}",
            outcome.text.len()
        );
    }
    let next = Call::chat("a", "m1", "hello", 2, true);
    fixture::assert_served(&deployment, 2, &next).await;
    assert_eq!(fixture::excess_count(&deployment), 0);
    deployment.stop().await;
}
