//! Admission control, queue order and routing: queues are bounded, accounts get fair shares, and
//! requests that cannot be served in time are refused early.

use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Class;
use cranereach_core::dispatch::Action;
use cranereach_core::dispatch::DispatchOptions;
use cranereach_core::dispatch::Dispatcher;
use cranereach_core::dispatch::queues::Waiting;
use cranereach_core::dispatch::workers::ListedWorker;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::names::RequestId;
use cranereach_core::order;
use cranereach_core::order::OrderPolicy;
use cranereach_core::route;

/// Number of slots of the only worker.
const SLOT_COUNT: u32 = 4;

/// Creates a dispatcher with one worker, on which target `m` is resident.
fn dispatcher(policy: &'static OrderPolicy) -> Dispatcher {
    let options = DispatchOptions {
        order: policy,
        route: &route::SAMPLED,
        refuses_early: true,
        domain: "d0".into(),
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(options);
    let listed = ListedWorker {
        worker: "w".into(),
        domain: "d0".into(),
        is_leaving: false,
        serves: None,
        slot_count: SLOT_COUNT,
    };
    dispatcher.workers_mut().set_workers(vec![listed]);
    dispatcher.reported(0, &report(false), &mut Vec::new());
    dispatcher
}

/// Creates the worker's report.
fn report(is_leaving: bool) -> WorkerReport {
    WorkerReport {
        worker: "w".into(),
        boot_id: 1,
        report_number: 1,
        outstanding_count: 0,
        slot_count: SLOT_COUNT,
        is_leaving,
        free_bytes: 0,
        resident: vec!["m".into()],
    }
}

/// Creates a waiting request of an account.
fn waiting_request(number: u64, account: &str, share: f64) -> Waiting {
    Waiting {
        request: RequestId(number),
        account: account.into(),
        share,
        queue_count: 100,
        target: "m".into(),
        class: Class::Standard,
        arrived_at_ms: 0,
        start_by_ms: 1_000_000,
        cost_tokens: 100.0,
        prefix_hash: 0,
    }
}

/// Simulates two accounts that keep their queues full; returns the cost served to each.
fn serve_competing_accounts(
    policy: &'static OrderPolicy,
    shares: [f64; 2],
    costs: [f64; 2],
) -> [f64; 2] {
    let mut dispatcher = dispatcher(policy);
    let mut served = [0.0, 0.0];
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut account_indexes = std::collections::HashMap::new();
    let mut number = 0;
    let mut actions = Vec::new();
    for now_ms in 0..3_000 {
        for (account, name) in ["a", "b"].into_iter().enumerate() {
            while dispatcher.queues().account_count(&name.into()) < 20 {
                number += 1;
                account_indexes.insert(number, account);
                let request = Waiting {
                    cost_tokens: costs[account],
                    ..waiting_request(number, name, shares[account])
                };
                dispatcher.arrive(now_ms, request, &mut actions);
            }
        }
        for action in actions.drain(..) {
            if let Action::Send { request, .. } = action {
                running.push((request.0, account_indexes[&request.0]));
            }
        }
        if !running.is_empty() {
            let (request, account) = running.remove(0);
            served[account] += costs[account];
            dispatcher.ended(
                now_ms,
                RequestId(request),
                costs[account],
                true,
                &mut actions,
            );
        }
    }
    served
}

#[test]
fn virtual_time_shares_served_cost_regardless_of_request_cost() {
    let served = serve_competing_accounts(&order::VIRTUAL_TIME, [1.0, 1.0], [100.0, 400.0]);
    let ratio = served[1] / served[0];
    assert!((0.95..1.05).contains(&ratio), "{served:?}");
    let served = serve_competing_accounts(&order::VIRTUAL_TIME, [3.0, 1.0], [100.0, 100.0]);
    let ratio = served[0] / served[1];
    assert!((2.85..3.15).contains(&ratio), "{served:?}");
}

#[test]
fn stride_shares_request_counts_and_so_favours_costly_requests() {
    let served = serve_competing_accounts(&order::STRIDE, [1.0, 1.0], [100.0, 400.0]);
    let ratio = served[1] / served[0];
    assert!((3.8..4.2).contains(&ratio), "{served:?}");
}

#[test]
fn a_full_queue_refuses_only_its_own_account() {
    let mut dispatcher = dispatcher(&order::VIRTUAL_TIME);
    let mut actions = Vec::new();
    for number in 0..200 {
        dispatcher.arrive(0, waiting_request(number, "flood", 1.0), &mut actions);
    }
    let refused = actions.iter().filter(|action| matches!(action, Action::Refuse { code: ResultCode::QueueFull, retry_after_ms, .. } if *retry_after_ms > 0));
    assert_eq!(refused.count(), 200 - 100 - SLOT_COUNT as usize - 1);
    actions.clear();
    dispatcher.arrive(0, waiting_request(1_000, "calm", 1.0), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    // It is queued at the same rank as the flooding account, so it is one of the next two sent.
    for number in 0..2 {
        dispatcher.ended(1, RequestId(number), 100.0, true, &mut actions);
    }
    let is_calm_sent = |action: &Action| {
        matches!(
            action,
            Action::Send {
                request: RequestId(1_000),
                ..
            }
        )
    };
    assert!(actions.iter().any(is_calm_sent), "{actions:?}");
}

#[test]
fn requests_that_cannot_start_in_time_are_refused_with_retry_after() {
    let mut dispatcher = dispatcher(&order::VIRTUAL_TIME);
    let mut actions = Vec::new();
    for number in 0..50 {
        dispatcher.arrive(0, waiting_request(number, "a", 1.0), &mut actions);
    }
    actions.clear();
    // About 45 requests wait for 4 slots of 500 ms: this one would start after 5 s.
    dispatcher.arrive(
        0,
        Waiting {
            start_by_ms: 1_000,
            ..waiting_request(99, "a", 1.0)
        },
        &mut actions,
    );
    let [
        Action::Refuse {
            code: ResultCode::DeadlineUnreachable,
            retry_after_ms,
            ..
        },
    ] = actions[..]
    else {
        panic!("{actions:?}")
    };
    assert!((3_000..7_000).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn a_queued_request_is_refused_exactly_at_its_start_deadline() {
    let mut dispatcher = dispatcher(&order::VIRTUAL_TIME);
    let mut actions = Vec::new();
    for number in 0..5 {
        dispatcher.arrive(0, waiting_request(number, "a", 1.0), &mut actions);
    }
    dispatcher.arrive(
        0,
        Waiting {
            start_by_ms: 500,
            ..waiting_request(9, "a", 1.0)
        },
        &mut actions,
    );
    actions.clear();
    dispatcher.tick(499, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    dispatcher.tick(500, &mut actions);
    assert!(
        matches!(
            actions[..],
            [Action::Refuse {
                request: RequestId(9),
                code: ResultCode::DeadlinePassed,
                ..
            }]
        ),
        "{actions:?}"
    );
}

#[test]
fn a_leaving_worker_gets_no_requests_and_refused_callers_count_as_demand() {
    let mut dispatcher = dispatcher(&order::VIRTUAL_TIME);
    let mut actions = Vec::new();
    dispatcher.reported(
        0,
        &WorkerReport {
            report_number: 2,
            ..report(true)
        },
        &mut actions,
    );
    dispatcher.arrive(
        0,
        Waiting {
            start_by_ms: 1_000,
            ..waiting_request(1, "a", 1.0)
        },
        &mut actions,
    );
    assert!(
        matches!(
            actions[..],
            [Action::Refuse {
                code: ResultCode::NotResident,
                ..
            }]
        ),
        "{actions:?}"
    );
    // The refused request still counts as demand for the target, with a growing wait.
    let demand = dispatcher.demand(4_000);
    assert_eq!(
        (demand[0].waiting_count, demand[0].oldest_wait_ms),
        (1, 4_000)
    );
}

#[test]
fn requests_sent_by_peers_occupy_worker_slots() {
    let mut dispatcher = dispatcher(&order::VIRTUAL_TIME);
    let mut actions = Vec::new();
    dispatcher.record_peer_load(0, &"peer".into(), &"w".into(), SLOT_COUNT);
    for number in 0..3 {
        dispatcher.arrive(0, waiting_request(number, "a", 1.0), &mut actions);
    }
    assert_eq!(actions.len(), 1, "{actions:?}");
    // No more messages from the peer: its reported load no longer counts.
    dispatcher.tick(10_000, &mut actions);
    assert_eq!(actions.len(), 3, "{actions:?}");
}
