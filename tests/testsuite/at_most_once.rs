//! A call that is unsafe to repeat runs at most once, and a refusal that says "not run" is true.

use hyper::Method;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_standin::load::Call;
use cranereach_standin::platform::state::PlatformFaults;
use cranereach_standin::platform::state::StoreFaults;
use cranereach_standin::relay::LinkMode;
use cranereach_standin::service::ServiceFaults;

/// Returns a call to the ledger service with a name, under which the service counts its runs.
fn ledger_call(name: &str) -> Call {
    Call::plain("a", Method::POST, "/ledger/tickets", "{}").with_header("x-call", name)
}

/// Returns how often the service ran the named call.
fn run_count(deployment: &cranereach_bench::deployment::Deployment, name: &str) -> u32 {
    let run_counts = deployment.services[0].stand_in.state().runs.lock().unwrap();
    run_counts.get(name).copied().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_call_without_an_answer_is_not_sent_again() {
    let deployment = fixture::start(Shape::default()).await;
    let warm = ledger_call("warm");
    fixture::assert_served(&deployment, 0, &warm).await;
    *deployment.services[0]
        .stand_in
        .state()
        .faults
        .lock()
        .unwrap() = ServiceFaults {
        close_unanswered_count: 1,
        slow_ms: 0,
    };
    let outcome = deployment.call(0, &ledger_call("c1")).await;
    assert_eq!(outcome.code, Some(3001), "{outcome:?}");
    assert_eq!(run_count(&deployment, "c1"), 1);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_refused_as_not_run_did_not_run() {
    let deployment = fixture::start(Shape::default()).await;
    fixture::assert_served(&deployment, 0, &ledger_call("warm")).await;
    deployment.services.iter().for_each(|service| {
        deployment.list_worker(
            &service.id,
            &service.pool,
            &service.domain,
            "127.0.0.1:1",
            cranereach_wire::platform::ListState::Live,
        );
    });
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let outcome = deployment.call(0, &ledger_call("c1")).await;
    assert!(outcome.text.contains("\"ran\":\"no\""), "{outcome:?}");
    assert!(outcome.retry_after_s.is_some(), "{outcome:?}");
    assert_eq!(run_count(&deployment, "c1"), 0);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_with_the_same_key_through_another_instance_gets_the_first_answer() {
    let mut deployment = fixture::start(Shape {
        entry_count: 2,
        ..Shape::default()
    })
    .await;
    fixture::assert_served(&deployment, 0, &ledger_call("warm")).await;
    let keyed = ledger_call("c1").with_header("idempotency-key", "k1");
    let first = deployment.call(0, &keyed).await;
    assert_eq!(first.status, 200, "{first:?}");
    deployment.kill_entry(0).await;
    let second = deployment
        .call_until_served(1, &keyed, WAIT_TIMEOUT_MS)
        .await;
    assert_eq!(second.text, first.text);
    assert_eq!(run_count(&deployment, "c1"), 1);
    let other = ledger_call("c1").with_header("idempotency-key", "k1");
    let other = Call {
        body: bytes::Bytes::from_static(b"{\"other\":1}"),
        ..other
    };
    let reused = deployment.call(1, &other).await;
    assert_eq!(reused.code, Some(1007), "{reused:?}");
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_while_the_first_is_killed_midway_never_runs_again() {
    let mut deployment = fixture::start(Shape {
        entry_count: 2,
        ..Shape::default()
    })
    .await;
    for entry in 0..2 {
        fixture::assert_served(&deployment, entry, &ledger_call("warm")).await;
    }
    deployment.services[0]
        .stand_in
        .state()
        .faults
        .lock()
        .unwrap()
        .slow_ms = 60_000;
    let keyed = ledger_call("c1").with_header("idempotency-key", "k1");
    let call_timeout = std::time::Duration::from_secs(2);
    let first = tokio::time::timeout(call_timeout, deployment.call(0, &keyed)).await;
    assert!(first.is_err(), "{first:?}");
    deployment.kill_entry(0).await;
    deployment.services[0]
        .stand_in
        .state()
        .faults
        .lock()
        .unwrap()
        .slow_ms = 0;
    let second = deployment.call(1, &keyed).await;
    assert_eq!(second.code, Some(3004), "{second:?}");
    assert_eq!(run_count(&deployment, "c1"), 1);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_lost_still_runs_once() {
    let deployment = fixture::start(Shape::default()).await;
    fixture::assert_served(&deployment, 0, &ledger_call("warm")).await;
    deployment
        .platform
        .state()
        .faults
        .lock()
        .unwrap()
        .lose_answer_count = 1;
    let keyed = ledger_call("c1").with_header("idempotency-key", "k1");
    let outcome = deployment
        .call_until_served(0, &keyed, WAIT_TIMEOUT_MS)
        .await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert_eq!(run_count(&deployment, "c1"), 1);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_table_a_keyed_unsafe_call_is_refused_as_not_run() {
    let deployment = fixture::start(Shape {
        entry_count: 2,
        ..Shape::default()
    })
    .await;
    fixture::assert_served(&deployment, 0, &ledger_call("warm")).await;
    let refuses = StoreFaults {
        refuses: true,
        ..StoreFaults::default()
    };
    *deployment.platform.state().faults.lock().unwrap() = PlatformFaults {
        table: refuses,
        ..PlatformFaults::default()
    };
    let keyed = ledger_call("c1").with_header("idempotency-key", "k1");
    let outcome = deployment.call(0, &keyed).await;
    assert_eq!(outcome.code, Some(2009), "{outcome:?}");
    assert_eq!(run_count(&deployment, "c1"), 0);
    *deployment.platform.state().faults.lock().unwrap() = PlatformFaults::default();
    let outcome = deployment
        .call_until_served(0, &keyed, WAIT_TIMEOUT_MS)
        .await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert_eq!(run_count(&deployment, "c1"), 1);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_at_any_time_of_a_call_runs_it_at_most_once() {
    let deployment = fixture::start(Shape::default()).await;
    let service = &deployment.services[0];
    let any_port = "127.0.0.1:0".parse().unwrap();
    let relay = cranereach_standin::relay::Relay::start(any_port, &service.address);
    let (relay, address) = relay.unwrap();
    let address = address.to_string();
    deployment.list_worker(
        &service.id,
        &service.pool,
        &service.domain,
        &address,
        cranereach_wire::platform::ListState::Live,
    );
    fixture::assert_served(&deployment, 0, &ledger_call("warm")).await;
    service.stand_in.state().faults.lock().unwrap().slow_ms = 5;
    for number in 0..40 {
        let name = format!("c{number}");
        let call = ledger_call(&name);
        let delayed_cut = async {
            tokio::time::sleep(std::time::Duration::from_micros(number * 400)).await;
            relay.set(LinkMode::Cut);
        };
        let (outcome, ()) = tokio::join!(deployment.call(0, &call), delayed_cut);
        relay.set(LinkMode::Open);
        let ran = run_count(&deployment, &name);
        assert!(ran <= 1, "{name} ran {ran} times");
        if outcome.text.contains("\"ran\":\"no\"") {
            assert_eq!(ran, 0, "{name}: {outcome:?}");
        }
        // The worker gets no calls for a while after a cut, so wait until it is used again.
        deployment
            .call_until_served(0, &ledger_call("between"), WAIT_TIMEOUT_MS)
            .await;
    }
    deployment.stop().await;
}
