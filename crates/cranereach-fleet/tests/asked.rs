//! Which workers the lease holder asks for reports.

use std::sync::Arc;

use cranereach_fleet::ledger::Ledger;
use cranereach_fleet::ledger::WorkerRow;
use cranereach_fleet::ledger::WorkerState;
use cranereach_fleet::placement::Order;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker_view::ModelReplica;

#[test]
fn a_large_fleet_asks_a_bounded_number_of_workers_and_those_in_the_plan() {
    let mut ledger = Ledger::default();
    let ids: Vec<Arc<str>> = (0..10_000)
        .map(|number| Arc::from(format!("w-{number:05}")))
        .collect();
    let replicas_of = |model: u16| {
        vec![ModelReplica {
            model,
            ..ModelReplica::default()
        }]
    };
    for id in &ids {
        ledger.row(
            0,
            WorkerRow {
                id,
                position: StorePosition::new(0, 1),
                started_unix_ms: 0,
                replicas: replicas_of(1),
                copies: Vec::new(),
                is_serving: true,
            },
        );
    }
    assert_eq!(
        ledger.reports_due(0).len(),
        256,
        "no more than in a small fleet"
    );
    let (last, order) = (&ids[9_999], Order::LoadAdapter((1, 3)));
    assert!(
        ledger.view(last).unwrap().is_free,
        "the plan may choose this worker"
    );
    assert_eq!(ledger.begin(last, order), None);
    let planned = ledger.view(last).unwrap();
    assert!(!planned.is_free);
    assert_eq!(
        planned.replicas[0].adapters,
        [3],
        "the adapter counts as loaded, so no other worker is ordered to load it"
    );
    assert_eq!(ledger.reports_due(0), [Arc::clone(last)]);
    // The report gives the replicas that the worker really holds and its sequence number.
    let state = WorkerState {
        sequence: 7,
        is_busy: false,
        replicas: replicas_of(1),
    };
    ledger.reported(10, last, Some(state));
    assert!(ledger.view(last).unwrap().replicas[0].adapters.is_empty());
    let open = ledger.begin(last, order).unwrap();
    assert_eq!((open.order, open.expected_sequence), (order, 7));
}
