//! Engine memory is never overcommitted, over real sockets, while load and unload orders are
//! lost, late or duplicated.

use crate::fixture;
use crate::fixture::MODEL_COUNT;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_standin::engine::state::EngineFaults;
use cranereach_standin::load::Call;

/// Faults of load and unload orders that are injected while models are swapped.
const ROWS: [(&str, EngineFaults); 4] = [
    (
        "orders lost",
        EngineFaults {
            lose_order_count: 3,
            ..NO_FAULTS
        },
    ),
    (
        "orders late",
        EngineFaults {
            delay_order_count: 3,
            delay_order_ms: 1_500,
            ..NO_FAULTS
        },
    ),
    (
        "orders duplicated",
        EngineFaults {
            repeat_order_count: 6,
            ..NO_FAULTS
        },
    ),
    (
        "orders lost and late",
        EngineFaults {
            lose_order_count: 2,
            delay_order_count: 2,
            delay_order_ms: 700,
            ..NO_FAULTS
        },
    ),
];

/// No faults.
const NO_FAULTS: EngineFaults = EngineFaults {
    lose_order_count: 0,
    delay_order_count: 0,
    delay_order_ms: 0,
    lose_one_of_count: 0,
    repeat_order_count: 0,
    close_unanswered_count: 0,
    break_stream_count: 0,
    wrong_request_count: 0,
    garble_count: 0,
    refuse_count: 0,
    marker_text_count: 0,
    cut_marker_count: 0,
};

/// Calls each model in turn; each has to be loaded in place of another.
async fn load_all_models(deployment: &cranereach_bench::deployment::Deployment, entry: usize) {
    for number in 0..MODEL_COUNT {
        let call = Call::chat("a", &format!("m{number}"), "hello", 2, true);
        let outcome = deployment
            .call_until_served(entry, &call, WAIT_TIMEOUT_MS)
            .await;
        assert!(
            outcome.status == 200 && outcome.is_whole,
            "m{number}: {outcome:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn swapping_models_while_orders_go_wrong_stays_within_memory() {
    for (name, faults) in ROWS {
        let deployment = fixture::start(Shape {
            entry_count: 2,
            ..Shape::default()
        })
        .await;
        *deployment.engines[0]
            .stand_in
            .state()
            .faults
            .lock()
            .unwrap() = faults;
        load_all_models(&deployment, 1).await;
        assert_eq!(fixture::excess_count(&deployment), 0, "{name}");
        deployment.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn swapping_models_on_engines_without_fences_stays_within_memory() {
    let deployment = fixture::start(Shape {
        checks_fences: false,
        ..Shape::default()
    })
    .await;
    let faults = EngineFaults {
        repeat_order_count: 4,
        ..NO_FAULTS
    };
    *deployment.engines[0]
        .stand_in
        .state()
        .faults
        .lock()
        .unwrap() = faults;
    for number in 0..2 {
        let call = Call::chat("a", &format!("m{number}"), "hello", 2, true);
        let outcome = deployment
            .call_until_served(0, &call, 2 * WAIT_TIMEOUT_MS)
            .await;
        assert_eq!(outcome.status, 200, "m{number}: {outcome:?}");
    }
    assert_eq!(fixture::excess_count(&deployment), 0);
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn another_instance_swaps_models_after_the_lease_holder_is_killed() {
    let mut deployment = fixture::start(Shape {
        entry_count: 3,
        ..Shape::default()
    })
    .await;
    let first = Call::chat("a", "m0", "hello", 2, true);
    fixture::assert_served(&deployment, 0, &first).await;
    let holds_lease =
        |entry: &cranereach_entry::entry::Entry| entry.shared().metrics.cells_held.get() > 0;
    let lease_holder = deployment
        .entries
        .iter()
        .position(|entry| entry.as_ref().is_some_and(holds_lease));
    let lease_holder = lease_holder.expect("an instance holds the lease of a cell");
    deployment.kill_entry(lease_holder).await;
    let other = (lease_holder + 1) % 3;
    let next = Call::chat("a", "m1", "hello", 2, true);
    let outcome = deployment
        .call_until_served(other, &next, WAIT_TIMEOUT_MS)
        .await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    assert_eq!(fixture::excess_count(&deployment), 0);
    deployment.stop().await;
}
