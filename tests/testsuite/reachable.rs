//! Every model that an account may use stays reachable.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_bench::waiting::wait_until;
use cranereach_standin::load::Call;
use cranereach_standin::platform::state::PlatformFaults;
use cranereach_standin::platform::state::StoreFaults;
use cranereach_wire::platform::ListState;

/// Faults of a platform whose stores all refuse every request.
const OUTAGE: PlatformFaults = PlatformFaults {
    table: REFUSING_STORE,
    objects: REFUSING_STORE,
    list: REFUSING_STORE,
    list_frozen: false,
    lose_answer_count: 0,
};

/// Faults of a store that refuses every request.
const REFUSING_STORE: StoreFaults = StoreFaults {
    refuses: true,
    holds: false,
    slow_ms: 0,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_model_is_served_while_hot_ones_fill_everything() {
    let deployment = Arc::new(
        fixture::start(Shape {
            entry_count: 2,
            engine_count: 2,
            ..Shape::default()
        })
        .await,
    );
    let stop = Arc::new(AtomicBool::new(false));
    let hot: Vec<_> = (0..16)
        .map(|number| {
            let deployment = Arc::clone(&deployment);
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let call = Call::chat("a", &format!("m{}", number % 2), "hot", 20, true);
                while !stop.load(Ordering::Relaxed) {
                    deployment.call(number % 2, &call).await;
                }
            })
        })
        .collect();
    for model in ["m0", "m1"] {
        deployment
            .wait_for_resident(model, WAIT_TIMEOUT_MS)
            .await
            .unwrap();
    }
    let cold = Call::chat("b", "m3", "cold", 2, true);
    let outcome = deployment
        .call_until_served(0, &cold, WAIT_TIMEOUT_MS)
        .await;
    stop.store(true, Ordering::Relaxed);
    for task in hot {
        task.await.unwrap();
    }
    assert!(outcome.status == 200 && outcome.is_whole, "{outcome:?}");
    assert_eq!(fixture::excess_count(&deployment), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_whose_only_worker_dies_is_loaded_elsewhere() {
    let mut deployment = fixture::start(Shape {
        engine_count: 2,
        domain_count: 2,
        ..Shape::default()
    })
    .await;
    let call = Call::chat("a", "m0", "hello", 2, true);
    fixture::assert_served(&deployment, 0, &call).await;
    let holder = deployment
        .engines
        .iter()
        .position(|engine| engine.stand_in.state().is_resident("m0"))
        .unwrap();
    deployment.kill_engine(holder);
    let dead_engine = &deployment.engines[holder];
    deployment.platform.state().unlist(&dead_engine.id);
    let outcome = deployment
        .call_until_served(0, &call, WAIT_TIMEOUT_MS)
        .await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cold_model_is_loaded_while_the_platform_is_out() {
    let deployment = fixture::start(Shape {
        entry_count: 3,
        ..Shape::default()
    })
    .await;
    let first = Call::chat("a", "m0", "hello", 2, true);
    fixture::assert_served(&deployment, 0, &first).await;
    *deployment.platform.state().faults.lock().unwrap() = OUTAGE;
    // Longer than a lease term and than the time within which an instance's configuration must
    // be confirmed.
    tokio::time::sleep(std::time::Duration::from_secs(9)).await;
    for entry in 0..3 {
        let next = Call::chat("a", &format!("m{}", entry + 1), "hello", 2, true);
        let outcome = deployment
            .call_until_served(entry, &next, WAIT_TIMEOUT_MS)
            .await;
        assert_eq!(outcome.status, 200, "entry {entry}: {outcome:?}");
    }
    assert_eq!(fixture::excess_count(&deployment), 0);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_no_new_work() {
    let deployment = fixture::start(Shape {
        engine_count: 2,
        ..Shape::default()
    })
    .await;
    let call = Call::chat("a", "m0", "hello", 2, true);
    for by_list in [true, false] {
        fixture::assert_served(&deployment, 0, &call).await;
        let holder = deployment
            .engines
            .iter()
            .position(|engine| engine.stand_in.state().is_resident("m0"))
            .unwrap();
        let engine = &deployment.engines[holder];
        if by_list {
            deployment.list_worker(
                &engine.id,
                &engine.pool,
                &engine.domain,
                &engine.address,
                ListState::Leaving,
            );
        } else {
            // With the list unavailable, only the worker's own report tells that it leaves. Wait
            // first until the last list read shows all workers live.
            let shared = deployment.entries[0].as_ref().unwrap().shared();
            let all_live = || {
                shared
                    .listed()
                    .iter()
                    .all(|listed| listed.state == ListState::Live)
            };
            wait_until("all listed live", WAIT_TIMEOUT_MS, all_live)
                .await
                .unwrap();
            deployment.platform.state().faults.lock().unwrap().list = REFUSING_STORE;
            engine.stand_in.state().leave();
        }
        tokio::time::sleep(std::time::Duration::from_secs(3)).await;
        let run_count_before = engine.stand_in.state().ledger().run_count;
        let outcome = deployment
            .call_until_served(0, &call, WAIT_TIMEOUT_MS)
            .await;
        assert_eq!(
            outcome.status, 200,
            "leaving by list {by_list}: {outcome:?}"
        );
        assert_eq!(
            engine.stand_in.state().ledger().run_count,
            run_count_before,
            "leaving by list {by_list}"
        );
        if by_list {
            deployment.list_worker(
                &engine.id,
                &engine.pool,
                &engine.domain,
                &engine.address,
                ListState::Live,
            );
        }
    }
    deployment.stop().await;
}
