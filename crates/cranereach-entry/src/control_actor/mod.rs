//! The actor that controls cells: it holds leases, polls workers and sends orders.
//!
//! [`CellControl`] makes the decisions, without any I/O. The actor reads and
//! writes rows, polls workers and sends orders, each in a task that sends its
//! result back as a message. `demand` aggregates demand over all instances;
//! `calls` holds the calls to the table and to workers.

mod calls;
mod cell_assignment;
mod demand;
mod handlers;
mod messages;
mod residents;

use std::collections::HashMap;
use std::sync::Arc;

use xtra::WeakAddress;

pub(crate) use self::calls::notify;
use self::demand::DemandTracker;
use self::messages::CallEnd;
pub use self::messages::CellView;
pub use self::messages::CollectDigestParts;
pub use self::messages::GetCellViews;
pub use self::messages::ListChanged;
pub use self::messages::PeerDigestReceived;
pub use self::messages::Tick;
use self::residents::Residents;
use crate::dispatch_actor::LoadCompleted;
use crate::dispatch_actor::WorkerReports;
use crate::platform::StoreError;
use crate::shared::Shared;
use crate::upstream::engine::EngineControl;
use cranereach_core::cell::CellId;
use cranereach_core::control::CellControl;
use cranereach_core::control::ControlAction;
use cranereach_core::declarations::PoolKind;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::drain::Phase;
use cranereach_core::fence::Epoch;
use cranereach_core::lease::LeaseView;
use cranereach_core::ledger::Residence;
use cranereach_core::membership::rendezvous_weight;
use cranereach_core::names::InstanceId;
use cranereach_core::names::WorkerId;
use cranereach_wire::upstream::EngineLoad;

/// Time between two ticks over all cells, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 200;

/// Time between two reads of a lease row, in milliseconds.
const LEASE_READ_INTERVAL_MS: u64 = 2_000;

/// Age at which a report polled by this instance is no longer sent to peers, in ms.
const POLLED_REPORT_EXPIRY_MS: u64 = 1_000;

/// Number of instances that read a cell's lease row: the rendezvous owner and one
/// successor.
const WATCHER_COUNT: usize = 2;

/// A worker's report, polled by this instance.
#[derive(Debug)]
struct PolledReport {
    report: WorkerReport,
    polled_at_ms: u64,
}

/// A cell's control state and the runtime state around it.
#[derive(Debug)]
struct Cell {
    control: CellControl,
    kind: PoolKind,
    workers: Vec<WorkerId>,
    lease_read_at_ms: Option<u64>,
    intents_version: u64,
}

/// Actor that controls the cells of all pools.
#[derive(Debug, xtra::Actor)]
pub struct ControlActor {
    shared: Arc<Shared>,
    own_address: WeakAddress<Self>,
    /// Id under which this boot of the instance holds leases.
    lease_id: InstanceId,
    cells: HashMap<CellId, Cell>,
    clients: HashMap<WorkerId, Arc<EngineControl>>,
    polled: HashMap<WorkerId, PolledReport>,
    demand: DemandTracker,
    residents: Residents,
}

impl ControlActor {
    /// Creates the actor; `own_address` is where the results of its calls are sent.
    pub fn new(shared: Arc<Shared>, own_address: WeakAddress<Self>) -> Self {
        // Each boot is a new lease holder: what an earlier boot assumed isn't carried over.
        let lease_id = InstanceId::from(format!("{}#{:x}", shared.own_id(), shared.boot_id));
        Self {
            shared,
            own_address,
            lease_id,
            cells: HashMap::new(),
            clients: HashMap::new(),
            polled: HashMap::new(),
            demand: DemandTracker::default(),
            residents: Residents::default(),
        }
    }

    /// Polls workers, reads leases and ticks the control of the cells.
    ///
    /// The workers of a cell are polled by its rendezvous owner and by a lease holder
    /// that is still acting. For engine cells, the first [`WATCHER_COUNT`] instances by
    /// rank and an acting holder also read the lease row.
    fn tick_cells(&mut self) {
        let now_ms = self.shared.now_ms();
        self.residents.remove_expired(now_ms);
        let live = self.shared.membership().live(now_ms);
        let ids: Vec<CellId> = self.cells.keys().cloned().collect();
        for id in &ids {
            let name = id.to_string();
            let mut ranked: Vec<&InstanceId> = live.iter().collect();
            ranked.sort_by_key(|instance| {
                std::cmp::Reverse(rendezvous_weight(instance.as_str(), &name))
            });
            let rank = ranked
                .iter()
                .position(|instance| *instance == self.shared.own_id())
                .unwrap_or(usize::MAX);
            let is_acting = self
                .cells
                .get(id)
                .is_some_and(|cell| cell.control.acting_epoch().is_some());
            if rank == 0 || is_acting {
                self.poll(id);
            }
            if self
                .cells
                .get(id)
                .is_some_and(|cell| cell.kind == PoolKind::Engine)
            {
                if rank < WATCHER_COUNT || is_acting {
                    self.read_lease(now_ms, id);
                }
                self.tick_cell(now_ms, id, rank == 0, &live);
            }
        }
        let held_count = self
            .cells
            .values()
            .filter(|cell| cell.control.acting_epoch().is_some())
            .count();
        self.shared.metrics.cells_held.set(held_count as i64);
    }

    /// Ticks one cell and executes the resulting actions.
    fn tick_cell(&mut self, now_ms: u64, id: &CellId, is_owner: bool, live: &[InstanceId]) {
        let snapshot = self.shared.snapshot();
        let targets = self.demand.targets(now_ms, &snapshot, id, &self.residents);
        let Some(cell) = self.cells.get_mut(id) else {
            return;
        };
        let holder = cell.control.lease().row_holder();
        let holder_heard =
            holder.is_some_and(|holder| live.iter().any(|instance| is_boot_of(holder, instance)));
        let view = LeaseView {
            is_owner,
            holder_heard,
            checks_fences: cell.control.checks_fences(),
            leaving: self.shared.phase() != Phase::Serving,
            nonce: rand::random(),
        };
        let mut actions = Vec::new();
        cell.control.tick(now_ms, &view, &targets, &mut actions);
        self.execute_actions(id, actions);
    }

    /// Executes the actions that a cell's control returned.
    fn execute_actions(&mut self, id: &CellId, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::WriteLease(write) => self.write_lease(id, write),
                ControlAction::Send(order) => self.send_order(id, order),
                ControlAction::ReadIntents => self.read_intents(id),
                ControlAction::RecordIntents(row) => self.write_intents(id, row),
                ControlAction::LoadCompleted(load_ms) => {
                    notify(&self.shared.dispatcher, LoadCompleted(load_ms));
                }
            }
        }
    }

    /// Records a worker's polled report and passes it to the dispatcher and the cell.
    fn record_poll(&mut self, id: &CellId, worker: &WorkerId, load: &EngineLoad) {
        let now_ms = self.shared.now_ms();
        let resident = load
            .memory
            .occupants
            .iter()
            .filter(|occupant| occupant.residence == Residence::Resident);
        let taken_bytes: u64 = load
            .memory
            .occupants
            .iter()
            .map(|occupant| occupant.memory_bytes)
            .sum();
        let snapshot = self.shared.snapshot();
        let capacity_bytes = snapshot
            .pools
            .get(&id.pool)
            .map_or(0, |pool| pool.worker_memory_bytes);
        let report = WorkerReport {
            worker: worker.clone(),
            boot_id: load.memory.boot_id,
            report_number: load.memory.report_number,
            outstanding_count: load.outstanding_count,
            slot_count: load.slot_count,
            is_leaving: load.is_leaving,
            free_bytes: capacity_bytes.saturating_sub(taken_bytes),
            resident: resident.map(|occupant| occupant.target.clone()).collect(),
        };
        notify(&self.shared.dispatcher, WorkerReports(vec![report.clone()]));
        self.residents.record_report(now_ms, &report);
        self.polled.insert(
            worker.clone(),
            PolledReport {
                report,
                polled_at_ms: now_ms,
            },
        );
        let Some(cell) = self.cells.get_mut(id) else {
            return;
        };
        let mut actions = Vec::new();
        cell.control.set_leaving(worker, load.is_leaving);
        cell.control
            .apply_report(now_ms, worker, &load.memory, load.slot_count, &mut actions);
        self.execute_actions(id, actions);
    }

    /// Handles the result of a call.
    fn handle_end(&mut self, call_end: CallEnd) {
        let now_ms = self.shared.now_ms();
        match call_end {
            CallEnd::Polled(id, worker, load) => self.record_poll(&id, &worker, &load),
            CallEnd::LeaseRead(id, Ok(row)) => self.with_cell(&id, |cell| {
                cell.control
                    .lease_mut()
                    .row_read(now_ms, row.version, &row.value);
            }),
            CallEnd::LeaseWritten(id, row, Ok(version)) => self.with_cell(&id, |cell| {
                cell.control
                    .lease_mut()
                    .write_applied(now_ms, version, &row);
            }),
            CallEnd::LeaseWritten(
                id,
                row,
                Err(StoreError::Conflict | StoreError::NotDone { .. }),
            ) => {
                self.with_cell(&id, |cell| cell.control.lease_mut().write_refused(&row));
            }
            CallEnd::IntentsRead(id, Ok(row)) => self.with_cell(&id, |cell| {
                cell.intents_version = row.version;
                cell.control.intents_read(now_ms, &row.value);
            }),
            CallEnd::IntentsRead(id, Err(_)) => {
                self.with_cell(&id, |cell| cell.control.intents_read_failed());
            }
            CallEnd::IntentsWritten(id, written) => self.on_intents_written(now_ms, &id, &written),
            CallEnd::Ordered(id, worker, fence, end) => {
                self.with_cell(&id, |cell| {
                    cell.control.order_ended(now_ms, &worker, fence, end);
                });
            }
            CallEnd::LeaseRead(_, Err(_))
            | CallEnd::LeaseWritten(_, _, Err(StoreError::Unknown { .. })) => {}
        }
    }

    /// Sends the orders whose intents have been recorded.
    fn on_intents_written(&mut self, now_ms: u64, id: &CellId, written: &Result<u64, StoreError>) {
        let Some(cell) = self.cells.get_mut(id) else {
            return;
        };
        if let Ok(version) = written {
            cell.intents_version = *version;
        }
        let orders = cell.control.intents_recorded(now_ms, written.is_ok());
        if written.is_err() {
            // Another instance wrote the row, or our write may have taken effect although
            // its answer was lost: the row must be read before the next write.
            cell.control.invalidate_intents();
        }
        for order in orders {
            self.send_order(id, order);
        }
    }

    /// Applies a change to a cell if it still exists.
    fn with_cell(&mut self, id: &CellId, change: impl FnOnce(&mut Cell)) {
        if let Some(cell) = self.cells.get_mut(id) {
            change(cell);
        }
    }

    /// Records a cell's epoch received from a peer.
    fn observe_epoch(&mut self, id: &CellId, epoch: Epoch) {
        let now_ms = self.shared.now_ms();
        self.with_cell(id, |cell| {
            cell.control.lease_mut().observe_epoch(now_ms, epoch);
        });
    }
}

/// Whether a lease holder's id belongs to a boot of the given instance.
fn is_boot_of(holder: &InstanceId, instance: &InstanceId) -> bool {
    holder.as_str().split('#').next() == Some(instance.as_str())
}
