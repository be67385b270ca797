//! The ledger of the lease holder when a worker restarts under the same identity.

use std::sync::Arc;

use cranereach_fleet::ledger::Ledger;
use cranereach_fleet::ledger::WorkerRow;
use cranereach_fleet::ledger::WorkerState;
use cranereach_fleet::placement::Order;
use cranereach_fleet::store_position::StorePosition;

/// Enters the row of one start of the worker.
fn take_row(ledger: &mut Ledger, id: &Arc<str>, version: u64, started_unix_ms: u64) {
    let row = WorkerRow {
        id,
        position: StorePosition::new(0, version),
        started_unix_ms,
        replicas: Vec::new(),
        copies: Vec::new(),
        is_serving: true,
    };
    ledger.row(version * 1_000, row);
}

#[test]
fn a_restart_resets_the_sequence_and_allows_new_orders() {
    let id: Arc<str> = Arc::from("w");
    let mut ledger = Ledger::default();
    let report = |sequence: u64| {
        Some(WorkerState {
            sequence,
            ..WorkerState::default()
        })
    };
    take_row(&mut ledger, &id, 1, 5_000);
    ledger.reports_due(1_000);
    ledger.reported(1_000, &id, report(40));
    assert!(ledger.begin(&id, Order::Load(0)).is_some());
    // The order is still open when the worker restarts.
    take_row(&mut ledger, &id, 2, 9_000);
    assert_eq!(ledger.reports_due(2_000), [Arc::clone(&id)]);
    ledger.reported(2_000, &id, report(0));
    let open = ledger.begin(&id, Order::Load(1)).unwrap();
    assert_eq!(open.expected_sequence, 0);
}
