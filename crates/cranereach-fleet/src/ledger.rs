//! The lease holder's knowledge of its workers and of the open orders.
//!
//! Every order names the sequence number that the worker must have, and is planned for what the
//! worker held at that number. So an order that is carried out late, or was sent by an earlier
//! holder, either comes first and makes all others for that number fail, or fails itself. A worker
//! whose state at its current sequence number is not known is asked for a report before it gets an
//! order. In a large fleet most workers are not asked until the plan wants an order for them, so
//! that neither connections nor reports grow with the fleet.

mod order_effects;
mod views;

use std::collections::HashMap;
use std::sync::Arc;

use self::order_effects::apply;
use self::order_effects::is_done;
use crate::demand::ModelKey;
use crate::placement::Order;
use crate::store_position::StorePosition;
use crate::worker_view::ModelReplica;

/// Time after which an unanswered order is sent again, in milliseconds.
const RESEND_AFTER_MS: u64 = 40;

/// Number of times that an order is sent before a report is requested.
const SEND_MAX_COUNT: u32 = 6;

/// Time for which a worker that failed is not contacted, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

/// Number of workers that are asked for a report before an order is planned for them, so that the
/// first order to each needs no wait. Each takes a connection, so more would cost too many: a small
/// machine has some 3,900 for all purposes.
const EAGER_REPORT_COUNT: usize = 256;

/// Time until a report shows the effect of an order, in milliseconds.
const REPORT_LAG_MS: u64 = 200;

/// Time between two reports of a busy worker, in milliseconds.
const BUSY_POLL_INTERVAL_MS: u64 = 1_200;

/// Time from the expected end of a load to the first report about it, in milliseconds.
const LOAD_POLL_MARGIN_MS: u64 = 600;

/// Time from an unload order to the first report about it, in milliseconds.
const UNLOAD_POLL_DELAY_MS: u64 = 350;

/// Time in which an adapter becomes available after its load order was accepted, in milliseconds; a
/// request that arrives earlier is told so and retries.
const ADAPTER_READY_WITHIN_MS: u64 = 40;

/// A worker's state at one sequence number, from a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Models that it holds, with their adapters.
    pub replicas: Vec<ModelReplica>,
}

/// Outcome of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// In progress or done.
    Taken,
    /// It had already been done.
    AlreadyDone,
    /// Another order is in progress, or the sequence number has changed.
    Conflict,
    /// The worker refused it, or is a different worker than expected.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// No answer; the order may be carried out now or later.
    Unanswered,
}

/// An order with the sequence number for which it was planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenOrder {
    /// The order.
    pub order: Order,
    /// Sequence number that the worker must have.
    pub expected_sequence: u64,
}

/// State of the communication with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Only its row is known, and no order has been planned for it yet.
    RowOnly,
    /// A report is needed.
    Unknown { report_at_ms: u64 },
    /// Its state at the current sequence number is known.
    Free,
    /// An order or a report request has been sent.
    Waiting,
    /// It carries out a load or unload.
    Busy { poll_at_ms: u64 },
    /// An order got no answer.
    Unsettled { resend_at_ms: u64, sent_count: u32 },
}

/// One worker.
#[derive(Clone, Debug)]
struct Entry {
    sequence: u64,
    replicas: Vec<ModelReplica>,
    copies: Vec<u16>,
    is_serving: bool,
    phase: Phase,
    open: Option<OpenOrder>,
    /// The order for which a report was requested; other orders are planned as if it were done.
    reserved: Option<Order>,
    /// When the last accepted load should be complete, in milliseconds.
    load_due_at_ms: u64,
    /// Adapters whose load orders were accepted, and when they become available, in milliseconds.
    pending_adapters: Vec<(ModelKey, u64)>,
    row_position: StorePosition,
    started_unix_ms: u64,
}

/// All workers under one lease.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Arc<str>, Entry>,
}

/// A worker's row, as passed to the ledger.
#[derive(Clone, Debug)]
pub struct WorkerRow<'a> {
    /// Identity of the worker.
    pub id: &'a Arc<str>,
    /// Position of the row.
    pub position: StorePosition,
    /// Start time of this incarnation of the worker, in milliseconds of Unix time; zero if not
    /// given.
    pub started_unix_ms: u64,
    /// Models that it holds; the row does not say at which sequence number.
    pub replicas: Vec<ModelReplica>,
    /// Models of which it has a copy in memory or on disk, so that it loads them quickly.
    pub copies: Vec<u16>,
    /// Whether it accepts requests.
    pub is_serving: bool,
}

impl Ledger {
    /// Removes all workers, when this instance becomes the holder.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Keeps only the workers that are still listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.entries.retain(|id, _| is_listed(id));
    }

    /// Returns whether a worker's row at this position, and whether it accepts requests, are
    /// already known.
    pub fn knows(&self, id: &str, position: StorePosition, is_serving: bool) -> bool {
        let known = self.entries.get(id);
        known.is_some_and(|known| known.row_position == position && known.is_serving == is_serving)
    }

    /// Applies a worker's row.
    pub fn row(&mut self, now_ms: u64, row: WorkerRow<'_>) {
        let known = self.entries.get(row.id);
        if known.is_some_and(|known| known.started_unix_ms != row.started_unix_ms) {
            // It was restarted: what it held and its sequence number are gone.
            self.entries.remove(row.id);
        }
        let phase = if self.entries.len() < EAGER_REPORT_COUNT {
            Phase::Unknown {
                report_at_ms: now_ms,
            }
        } else {
            Phase::RowOnly
        };
        let entry = self
            .entries
            .entry(Arc::clone(row.id))
            .or_insert_with(|| Entry {
                sequence: 0,
                replicas: row.replicas.clone(),
                copies: Vec::new(),
                is_serving: true,
                phase,
                open: None,
                reserved: None,
                load_due_at_ms: 0,
                pending_adapters: Vec::new(),
                row_position: StorePosition::default(),
                started_unix_ms: row.started_unix_ms,
            });
        entry.copies = row.copies;
        entry.is_serving = row.is_serving;
        if entry.row_position >= row.position {
            return;
        }
        entry.row_position = row.position;
        if entry.phase == Phase::RowOnly {
            entry.replicas = row.replicas;
            return;
        }
        let is_done = entry
            .open
            .is_some_and(|open| is_done(open.order, &row.replicas));
        if let (Phase::Busy { .. }, true) = (entry.phase, is_done) {
            // The row may be older than the order; only a report is certain.
            entry.phase = Phase::Busy { poll_at_ms: now_ms };
        }
    }

    /// Applies a report; none if the worker gave none.
    pub fn reported(&mut self, now_ms: u64, id: &str, state: Option<WorkerState>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.reserved = None;
        let Some(state) = state else {
            entry.phase = Phase::Unknown {
                report_at_ms: now_ms + FAILURE_BACKOFF_MS,
            };
            return;
        };
        if state.sequence < entry.sequence {
            entry.phase = Phase::Unknown {
                report_at_ms: now_ms + REPORT_LAG_MS,
            };
            return;
        }
        if state.is_busy && state.sequence == entry.sequence && entry.open.is_some() {
            // The order in progress is known, and its memory is already accounted for.
            entry.phase = Phase::Busy {
                poll_at_ms: now_ms + BUSY_POLL_INTERVAL_MS,
            };
            return;
        }
        entry.sequence = state.sequence;
        entry.replicas = state.replicas;
        entry.open = None;
        entry.phase = if state.is_busy {
            Phase::Unknown {
                report_at_ms: now_ms + BUSY_POLL_INTERVAL_MS,
            }
        } else {
            Phase::Free
        };
    }

    /// Returns the workers whose report is due, and marks them as asked.
    pub fn reports_due(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (id, entry) in &mut self.entries {
            let at_ms = match entry.phase {
                Phase::Unknown { report_at_ms } => report_at_ms,
                Phase::Busy { poll_at_ms } => poll_at_ms,
                Phase::RowOnly | Phase::Free | Phase::Waiting | Phase::Unsettled { .. } => continue,
            };
            if at_ms <= now_ms && entry.is_serving {
                entry.phase = Phase::Waiting;
                due.push(Arc::clone(id));
            }
        }
        due
    }

    /// Returns the orders that are due to be sent again, and marks them as sent.
    pub fn resends_due(&mut self, now_ms: u64) -> Vec<(Arc<str>, OpenOrder, u32)> {
        let mut due = Vec::new();
        for (id, entry) in &mut self.entries {
            let Phase::Unsettled {
                resend_at_ms,
                sent_count,
            } = entry.phase
            else {
                continue;
            };
            if let (Some(open), true) = (entry.open, resend_at_ms <= now_ms) {
                entry.phase = Phase::Waiting;
                due.push((Arc::clone(id), open, sent_count + 1));
            }
        }
        due
    }

    /// Begins an order and returns it with its sequence number; none if the worker can't get it
    /// now. A worker that has never been asked for a report becomes due for one.
    pub fn begin(&mut self, id: &str, order: Order) -> Option<OpenOrder> {
        let entry = self.entries.get_mut(id)?;
        if entry.phase == Phase::RowOnly {
            entry.phase = Phase::Unknown { report_at_ms: 0 };
            entry.reserved = Some(order);
        }
        if entry.phase != Phase::Free {
            return None;
        }
        let open = OpenOrder {
            order,
            expected_sequence: entry.sequence,
        };
        entry.open = Some(open);
        entry.phase = Phase::Waiting;
        apply(&mut entry.replicas, order);
        Some(open)
    }

    /// Records the outcome of an order that was sent `sent_count` times.
    pub fn ended(&mut self, now_ms: u64, id: &str, end: OrderEnd, sent_count: u32, load_ms: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let Some(open) = entry.open else { return };
        let report_after = |after_ms: u64| Phase::Unknown {
            report_at_ms: now_ms + after_ms,
        };
        entry.phase = match end {
            OrderEnd::Taken => {
                entry.sequence = open.expected_sequence + 1;
                match open.order {
                    Order::Load(_) => {
                        entry.load_due_at_ms = now_ms + load_ms;
                        Phase::Busy {
                            poll_at_ms: entry.load_due_at_ms + LOAD_POLL_MARGIN_MS,
                        }
                    }
                    Order::Unload(_) => Phase::Busy {
                        poll_at_ms: now_ms + UNLOAD_POLL_DELAY_MS,
                    },
                    Order::LoadAdapter(adapter) => {
                        entry.open = None;
                        entry
                            .pending_adapters
                            .push((adapter, now_ms + ADAPTER_READY_WITHIN_MS));
                        Phase::Free
                    }
                    // The unload may wait for running requests; a report shows when the slot is
                    // free.
                    Order::UnloadAdapter(_) => {
                        entry.open = None;
                        report_after(REPORT_LAG_MS)
                    }
                }
            }
            OrderEnd::AlreadyDone if matches!(open.order, Order::UnloadAdapter(_)) => {
                entry.sequence = open.expected_sequence + 1;
                entry.open = None;
                Phase::Free
            }
            OrderEnd::Unanswered if sent_count < SEND_MAX_COUNT => Phase::Unsettled {
                resend_at_ms: now_ms + RESEND_AFTER_MS,
                sent_count,
            },
            OrderEnd::AlreadyDone | OrderEnd::Conflict => {
                entry.open = None;
                report_after(REPORT_LAG_MS)
            }
            OrderEnd::Unanswered | OrderEnd::Refused | OrderEnd::NotSent => {
                entry.open = None;
                report_after(FAILURE_BACKOFF_MS)
            }
        };
    }
}

impl Entry {
    /// Returns whether an adapter has been ordered and can't be available yet.
    fn is_pending(&self, adapter: ModelKey) -> bool {
        let is_open = self
            .open
            .is_some_and(|open| open.order == Order::LoadAdapter(adapter));
        is_open
            || self
                .pending_adapters
                .iter()
                .any(|(pending, _)| *pending == adapter)
    }
}
