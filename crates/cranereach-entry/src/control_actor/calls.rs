//! Calls of the control actor to the table and to workers, each in its own task.

use std::sync::Arc;

use futures_util::FutureExt;
use slog::debug;
use slog::info;
use xtra::Address;
use xtra::Handler;

use super::CallEnd;
use super::ControlActor;
use super::LEASE_READ_INTERVAL_MS;
use cranereach_core::cell::CellId;
use cranereach_core::control::IntentRow;
use cranereach_core::control::Order;
use cranereach_core::control::OrderEnd;
use cranereach_core::lease::LeaseWrite;
use cranereach_core::ledger::OrderKind;

/// Sends a message to an actor without waiting for it to be handled.
///
/// Mailboxes are unbounded, so no message is lost.
pub(crate) fn notify<A, M>(address: &Address<A>, message: M)
where
    A: Handler<M, Return = ()>,
    M: Send + 'static,
{
    let _sent = address.send(message).detach().now_or_never();
}

impl ControlActor {
    /// Runs a call in its own task and sends its result, if any, back to the actor.
    fn spawn_call(&self, call: impl Future<Output = Option<CallEnd>> + Send + 'static) {
        let own_address = self.own_address.clone();
        tokio::spawn(async move {
            if let (Some(end), Some(address)) = (call.await, own_address.try_upgrade()) {
                notify(&address, end);
            }
        });
    }

    /// Requests a load report from each worker of a cell.
    pub(super) fn poll(&self, id: &CellId) {
        let Some(cell) = self.cells.get(id) else {
            return;
        };
        for worker in &cell.workers {
            let Some(client) = self.clients.get(worker).map(Arc::clone) else {
                continue;
            };
            let (id, worker) = (id.clone(), worker.clone());
            self.spawn_call(async move {
                client
                    .report()
                    .await
                    .ok()
                    .map(|load| CallEnd::Polled(id, worker, load))
            });
        }
    }

    /// Reads a cell's lease row if the read interval has passed.
    pub(super) fn read_lease(&mut self, now_ms: u64, id: &CellId) {
        let Some(cell) = self.cells.get_mut(id) else {
            return;
        };
        let is_due = cell
            .lease_read_at_ms
            .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= LEASE_READ_INTERVAL_MS);
        if !is_due {
            return;
        }
        cell.lease_read_at_ms = Some(now_ms);
        let shared = Arc::clone(&self.shared);
        let id = id.clone();
        self.spawn_call(async move {
            let row = shared.table.read(&lease_key(&id)).await;
            Some(CallEnd::LeaseRead(id, row))
        });
    }

    /// Writes a cell's lease row.
    pub(super) fn write_lease(&self, id: &CellId, write: LeaseWrite) {
        let shared = Arc::clone(&self.shared);
        let id = id.clone();
        debug!(shared.log, "lease write"; "cell" => id.to_string(), "epoch" => write.row.epoch_major);
        self.spawn_call(async move {
            let written = shared
                .table
                .write(&lease_key(&id), write.expected_version, &write.row)
                .await;
            Some(CallEnd::LeaseWritten(id, write.row, written))
        });
    }

    /// Reads a cell's intents row.
    pub(super) fn read_intents(&self, id: &CellId) {
        let shared = Arc::clone(&self.shared);
        let id = id.clone();
        self.spawn_call(async move {
            let row = shared.table.read::<IntentRow>(&intents_key(&id)).await;
            Some(CallEnd::IntentsRead(id, row))
        });
    }

    /// Writes a cell's intents row.
    pub(super) fn write_intents(&self, id: &CellId, row: IntentRow) {
        let Some(expected_version) = self.cells.get(id).map(|cell| cell.intents_version) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        let id = id.clone();
        self.spawn_call(async move {
            let written = shared
                .table
                .write(&intents_key(&id), expected_version, &row)
                .await;
            Some(CallEnd::IntentsWritten(id, written))
        });
    }

    /// Sends an order to its worker.
    ///
    /// Workers that don't check fences can't reject an order of a former holder, so
    /// such an order isn't sent once the lease has expired.
    pub(super) fn send_order(&self, id: &CellId, order: Order) {
        let Some(client) = self.clients.get(&order.worker).map(Arc::clone) else {
            return;
        };
        let Some(cell) = self.cells.get(id) else {
            return;
        };
        let send_deadline_ms = if cell.control.checks_fences() {
            None
        } else {
            cell.control.lease().expires_at_ms()
        };
        let shared = Arc::clone(&self.shared);
        let id = id.clone();
        match order.kind {
            OrderKind::Load => shared
                .metrics
                .moves_total
                .with_label_values(&["load"])
                .inc(),
            OrderKind::Unload => shared
                .metrics
                .moves_total
                .with_label_values(&["unload"])
                .inc(),
            OrderKind::Seal => {}
        }
        self.spawn_call(async move {
            let is_expired = send_deadline_ms.is_some_and(|at_ms| shared.now_ms() >= at_ms);
            let end = if is_expired { OrderEnd::NeverSent } else { client.order(&order).await };
            info!(shared.log, "order"; "cell" => id.to_string(), "worker" => order.worker.as_str(),
                "kind" => format!("{:?}", order.kind), "target" => order.target.as_str(), "end" => format!("{end:?}"));
            Some(CallEnd::Ordered(id, order.worker, order.fence, end))
        });
    }
}

/// Returns the table key of a cell's lease row.
fn lease_key(id: &CellId) -> String {
    format!("lease-{}", id.to_string().replace('/', "-"))
}

/// Returns the table key of a cell's intents row.
fn intents_key(id: &CellId) -> String {
    format!("intents-{}", id.to_string().replace('/', "-"))
}
