//! Controller of one cell: turns lease state and worker reports into fenced orders.
//!
//! A new lease holder first sends a seal to each worker that checks fences. A
//! seal is a no-op order with the holder's higher epoch; once it is accepted, no
//! older order can take effect. The holder plans for a worker only after a
//! report confirms the seal. For workers that don't check fences, each order is
//! recorded in the table as an intent before it is sent, and a successor
//! reserves memory for every recorded order until it can no longer arrive.

mod orders;
mod worker;

use std::collections::HashMap;

pub use self::orders::ControlAction;
pub use self::orders::ControlOptions;
pub use self::orders::IntentRow;
pub use self::orders::Order;
pub use self::orders::OrderEnd;
use self::worker::WorkerControl;
use crate::fence::Epoch;
use crate::fence::Fence;
use crate::lease::Lease;
use crate::lease::LeaseView;
use crate::ledger::MemoryReport;
use crate::ledger::OrderKind;
use crate::names::InstanceId;
use crate::names::TargetName;
use crate::names::WorkerId;
use crate::residency::Move;
use crate::residency::PlanInput;
use crate::residency::PlanTarget;
use crate::token_bucket::TokenBucket;

/// Time since the last order or seal after which another seal is sent to settle open orders, in ms.
const SETTLE_AFTER_MS: u64 = 1_000;

/// Fraction of the load rate at which overdue targets may force evictions.
const FORCED_LOAD_FRACTION: f64 = 0.25;

/// State of the intents row of a cell whose workers don't check fences.
#[derive(Clone, Debug, Default)]
struct Intents {
    is_read: bool,
    is_read_requested: bool,
    deferred_orders: Vec<Order>,
    is_write_pending: bool,
}

/// Controller of one cell on one instance.
#[derive(Debug)]
pub struct CellControl {
    checks_fences: bool,
    options: ControlOptions,
    lease: Lease,
    acting_epoch: Option<Epoch>,
    sequence: u64,
    workers: HashMap<WorkerId, WorkerControl>,
    intents: Intents,
    load_bucket: TokenBucket,
    forced_bucket: TokenBucket,
    moves_count: u64,
}

impl CellControl {
    /// Creates a controller that does not hold the lease.
    pub fn new(own: InstanceId, checks_fences: bool, options: ControlOptions, now_ms: u64) -> Self {
        let burst = (options.loads_at_once_count as f64).max(1.0);
        Self {
            checks_fences,
            options,
            lease: Lease::new(own, now_ms),
            acting_epoch: None,
            sequence: 0,
            workers: HashMap::new(),
            intents: Intents::default(),
            load_bucket: TokenBucket::new(options.loads_per_s, burst, now_ms),
            forced_bucket: TokenBucket::new(
                options.loads_per_s * FORCED_LOAD_FRACTION,
                1.0,
                now_ms,
            ),
            moves_count: 0,
        }
    }

    /// Returns whether the cell's workers check fences.
    pub fn checks_fences(&self) -> bool {
        self.checks_fences
    }

    /// Returns the lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the lease for updates with rows read and epochs received.
    pub fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Returns the epoch under which this instance sends orders, or none if it doesn't act.
    pub fn acting_epoch(&self) -> Option<Epoch> {
        self.acting_epoch
    }

    /// Returns the number of loads and unloads that this instance has ordered.
    pub fn moves_count(&self) -> u64 {
        self.moves_count
    }

    /// Replaces the list of the cell's workers, each with `capacity_bytes` of memory.
    pub fn set_workers(&mut self, listed: &[WorkerId], capacity_bytes: u64) {
        self.workers.retain(|id, _| listed.contains(id));
        for id in listed {
            self.workers
                .entry(id.clone())
                .or_insert_with(|| WorkerControl::new(capacity_bytes, self.checks_fences));
        }
    }

    /// Processes a worker's memory report.
    pub fn apply_report(
        &mut self,
        now_ms: u64,
        worker: &WorkerId,
        report: &MemoryReport,
        slot_count: u32,
        actions: &mut Vec<ControlAction>,
    ) {
        if let Some(control) = self.workers.get_mut(worker) {
            let load_durations_ms = control.apply_report(now_ms, report, slot_count);
            actions.extend(
                load_durations_ms
                    .into_iter()
                    .map(ControlAction::LoadCompleted),
            );
        }
    }

    /// Sets whether a worker is leaving; leaving workers are excluded from planning.
    pub fn set_leaving(&mut self, worker: &WorkerId, is_leaving: bool) {
        if let Some(control) = self.workers.get_mut(worker) {
            control.set_leaving(is_leaving);
        }
    }

    /// Processes the outcome of an order.
    pub fn order_ended(&mut self, now_ms: u64, worker: &WorkerId, fence: Fence, end: OrderEnd) {
        if let OrderEnd::Refused(highest) = end {
            self.lease.observe_epoch(now_ms, highest.epoch);
        }
        let Some(control) = self.workers.get_mut(worker) else {
            return;
        };
        // A refused order had no effect, and its fence keeps it from taking effect later.
        if matches!(end, OrderEnd::NeverSent | OrderEnd::Refused(_)) {
            control.discard_order(fence);
        }
    }

    /// Processes the intents row read at the start of a term.
    pub fn intents_read(&mut self, now_ms: u64, row: &IntentRow) {
        self.intents.is_read = true;
        for order in &row.orders {
            if let Some(control) = self.workers.get_mut(&order.worker) {
                control.record_order(now_ms, order);
            }
        }
    }

    /// Notes that reading the intents row failed, so that the next tick asks for it again.
    pub fn intents_read_failed(&mut self) {
        self.intents.is_read_requested = false;
    }

    /// Processes the result of writing the intents row and returns the orders to send.
    ///
    /// If the write failed or the lease no longer allows the orders, discards them
    /// and returns none.
    pub fn intents_recorded(&mut self, now_ms: u64, was_recorded: bool) -> Vec<Order> {
        self.intents.is_write_pending = false;
        let orders = std::mem::take(&mut self.intents.deferred_orders);
        let allowed = was_recorded && self.lease.may_order(now_ms, self.checks_fences).is_some();
        if allowed {
            return orders;
        }
        for order in &orders {
            if let Some(control) = self.workers.get_mut(&order.worker) {
                control.discard_order(order.fence);
            }
        }
        Vec::new()
    }

    /// Forgets the intents row after it has changed since it was last read or written.
    pub fn invalidate_intents(&mut self) {
        self.intents = Intents::default();
    }

    /// Updates the lease and, if this instance may act, sends seals and plans.
    pub fn tick(
        &mut self,
        now_ms: u64,
        view: &LeaseView,
        targets: &[PlanTarget],
        actions: &mut Vec<ControlAction>,
    ) {
        actions.extend(self.lease.tick(now_ms, view).map(ControlAction::WriteLease));
        self.lease.take_over_without_table(now_ms, view);
        self.update_term(now_ms, actions);
        if self.acting_epoch.is_none() || view.leaving {
            return;
        }
        self.seal_workers(now_ms, actions);
        if self.checks_fences || (self.intents.is_read && !self.intents.is_write_pending) {
            self.plan(now_ms, targets, actions);
        }
    }

    /// Starts or ends the term in which this instance acts as the holder.
    fn update_term(&mut self, now_ms: u64, actions: &mut Vec<ControlAction>) {
        let epoch = self.lease.may_order(now_ms, self.checks_fences);
        if epoch != self.acting_epoch {
            self.acting_epoch = epoch;
            self.sequence = 0;
            self.intents = Intents::default();
            for control in self.workers.values_mut() {
                control.reset(self.checks_fences);
            }
        }
        if epoch.is_some() && !self.checks_fences && !self.intents.is_read_requested {
            self.intents.is_read_requested = true;
            actions.push(ControlAction::ReadIntents);
        }
    }

    /// Sends a seal to workers that have none in force or whose orders have been open for too long.
    fn seal_workers(&mut self, now_ms: u64, actions: &mut Vec<ControlAction>) {
        let due: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, control)| control.needs_seal(now_ms, SETTLE_AFTER_MS))
            .map(|(id, _)| id.clone())
            .collect();
        for worker in due {
            let order = self.next_order(worker, OrderKind::Seal, TargetName::from(""), 0);
            self.record_in_ledger(now_ms, &order);
            actions.push(ControlAction::Send(order));
        }
    }

    /// Plans the next moves and turns them into orders.
    fn plan(&mut self, now_ms: u64, targets: &[PlanTarget], actions: &mut Vec<ControlAction>) {
        let workers: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, control)| control.is_ready())
            .map(|(id, control)| control.plan_worker(id, targets))
            .collect();
        let input = PlanInput {
            now_ms,
            weights: self.options.weights,
            targets,
            workers: &workers,
            forced_loads_allowed_count: usize::from(self.forced_bucket.has_token(now_ms)),
        };
        let moves = (self.options.policy.plan)(&input);
        if moves
            .iter()
            .any(|planned| planned.is_urgent && !planned.is_load)
        {
            self.forced_bucket.take(now_ms);
        }
        let orders = self.orders_for_moves(now_ms, &moves, targets);
        self.moves_count += orders.len() as u64;
        if self.checks_fences {
            actions.extend(orders.into_iter().map(ControlAction::Send));
        } else if !orders.is_empty() {
            self.defer_until_recorded(orders, actions);
        }
    }

    /// Converts moves into orders within the weight store's limits on loads.
    fn orders_for_moves(
        &mut self,
        now_ms: u64,
        moves: &[Move],
        targets: &[PlanTarget],
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut loading_count: usize = self
            .workers
            .values()
            .map(WorkerControl::loading_count)
            .sum();
        for planned in moves {
            let kind = if planned.is_load {
                OrderKind::Load
            } else {
                OrderKind::Unload
            };
            let declared = targets
                .iter()
                .find(|target| target.target == planned.target);
            let memory_bytes = declared.map_or(0, |target| target.memory_bytes);
            if planned.is_load {
                let allowed = loading_count < self.options.loads_at_once_count
                    && self.load_bucket.take(now_ms);
                if !allowed {
                    continue;
                }
                loading_count += 1;
            }
            let order = self.next_order(
                planned.worker.clone(),
                kind,
                planned.target.clone(),
                memory_bytes,
            );
            self.record_in_ledger(now_ms, &order);
            orders.push(order);
        }
        orders
    }

    /// Defers orders until their intents are recorded.
    fn defer_until_recorded(&mut self, orders: Vec<Order>, actions: &mut Vec<ControlAction>) {
        let open = self.workers.values().flat_map(WorkerControl::open_orders);
        let row = IntentRow {
            orders: open.collect(),
        };
        self.intents.deferred_orders = orders;
        self.intents.is_write_pending = true;
        actions.push(ControlAction::RecordIntents(row));
    }

    /// Creates the next order of the term.
    fn next_order(
        &mut self,
        worker: WorkerId,
        kind: OrderKind,
        target: TargetName,
        memory_bytes: u64,
    ) -> Order {
        self.sequence += 1;
        let epoch = self.acting_epoch.unwrap_or_default();
        let boot_id = self.workers.get(&worker).and_then(WorkerControl::boot_id);
        Order {
            worker,
            boot_id: boot_id.unwrap_or_default(),
            fence: Fence {
                epoch,
                sequence: self.sequence,
            },
            kind,
            target,
            memory_bytes,
        }
    }

    /// Records an order in its worker's ledger before it is sent.
    fn record_in_ledger(&mut self, now_ms: u64, order: &Order) {
        if let Some(control) = self.workers.get_mut(&order.worker) {
            control.record_order(now_ms, order);
        }
    }

    /// Returns the worst-case memory use of a worker by its ledger, in bytes.
    pub fn committed_bytes(&self, worker: &WorkerId) -> Option<u64> {
        self.workers.get(worker).map(WorkerControl::committed_bytes)
    }
}
