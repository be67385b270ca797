//! Fixtures for measuring the costs of the decision logic in `cranereach_core`.

use cranereach_core::declarations::Class;
use cranereach_core::dispatch::DispatchOptions;
use cranereach_core::dispatch::Dispatcher;
use cranereach_core::dispatch::queues::Waiting;
use cranereach_core::dispatch::workers::ListedWorker;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::names::RequestId;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;
use cranereach_core::order;
use cranereach_core::route;

/// Creates a dispatcher with workers that all have the target `m` resident.
pub(super) fn dispatcher(worker_count: usize) -> Dispatcher {
    let options = DispatchOptions {
        order: &order::VIRTUAL_TIME,
        route: &route::SAMPLED,
        refuses_early: true,
        domain: "d0".into(),
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(options);
    let listed = |number: usize| ListedWorker {
        worker: worker(number),
        domain: format!("d{}", number % 3).into(),
        is_leaving: false,
        serves: None,
        slot_count: 16,
    };
    dispatcher
        .workers_mut()
        .set_workers((0..worker_count).map(listed).collect());
    for number in 0..worker_count {
        dispatcher.reported(0, &worker_report(number), &mut Vec::new());
    }
    dispatcher
}

/// Returns the id of a worker.
pub(super) fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("worker-{number:05}"))
}

/// Returns a worker's report with eight resident targets.
pub(super) fn worker_report(number: usize) -> WorkerReport {
    let others = (0..7).map(|other| TargetName::from(format!("model-{}", (number + other) % 330)));
    WorkerReport {
        worker: worker(number),
        boot_id: 1,
        report_number: 1,
        outstanding_count: 0,
        slot_count: 16,
        is_leaving: false,
        free_bytes: 0,
        resident: std::iter::once(TargetName::from("m"))
            .chain(others)
            .collect(),
    }
}

/// Returns a waiting request of an account.
pub(super) fn waiting_request(number: u64, account: usize) -> Waiting {
    Waiting {
        request: RequestId(number),
        account: format!("account-{account}").into(),
        share: 1.0,
        queue_count: u32::MAX,
        target: "m".into(),
        class: Class::Standard,
        arrived_at_ms: 0,
        start_by_ms: 1_000_000 + number,
        cost_tokens: 100.0,
        prefix_hash: number % 64 + 1,
    }
}
