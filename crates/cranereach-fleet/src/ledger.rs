//! What the holder of a lease knows of its workers, and which orders are open.
//!
//! Every order names the sequence that the worker must have, and is made for
//! what the worker held at that sequence. So an order that is carried out late,
//! or that an earlier holder sent, either comes first and makes all others for
//! that sequence fail, or fails itself. A worker whose state isn't known at its
//! sequence is asked for a report before it gets an order. In a large fleet most get none:
//! they are asked once the plan wants one of them, so that neither connections nor
//! reports grow with the fleet.

mod places;
mod views;

use std::collections::HashMap;
use std::sync::Arc;

use self::places::apply;
use self::places::is_done;
use crate::demand::ModelKey;
use crate::placement::Order;
use crate::placement::Place;
use crate::store_position::StorePosition;

/// Time after which an order without an answer is sent again, in milliseconds.
const RESEND_AFTER_MS: u64 = 40;

/// Times that an order is sent before a report is asked for.
const SEND_MAX_COUNT: u32 = 6;

/// Time for which a worker that failed is left alone, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

/// Workers that are asked for a report although no order is planned for them, so that the
/// first order to each needs no wait. More would each take a connection: a small machine
/// has some 3,900 for all purposes.
const EAGER_REPORT_COUNT: usize = 256;

/// Time before a report shows what an order did, in milliseconds.
const REPORT_LAG_MS: u64 = 200;

/// Time between two reports of a busy worker, in milliseconds.
const BUSY_POLL_INTERVAL_MS: u64 = 1_200;

/// Time after a load should be over until the first look at it, in milliseconds.
const LOAD_POLL_MARGIN_MS: u64 = 600;

/// First look at an unload, in milliseconds.
const UNLOAD_POLL_DELAY_MS: u64 = 350;

/// Time in which an adapter is there after its load was taken, in milliseconds; a
/// request that comes before it is told so, and comes again.
const ADAPTER_READY_WITHIN_MS: u64 = 40;

/// A worker's state at one sequence, from a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerState {
    /// Orders that it has taken.
    pub sequence: u64,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// What it holds.
    pub places: Vec<Place>,
}

/// How an order to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// Under way, or done.
    Taken,
    /// It was done before.
    AlreadyDone,
    /// Another order is under way, or the sequence has moved.
    Conflict,
    /// The worker refused it, or is another one.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// It may be carried out now or later.
    Unanswered,
}

/// An order with the sequence that it was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenOrder {
    /// The order.
    pub order: Order,
    /// Sequence that the worker must have.
    pub expected_sequence: u64,
}

/// What is going on at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing but its row is known, and no order was planned for it yet.
    RowOnly,
    /// A report is needed.
    Unknown { report_at_ms: u64 },
    /// Its state is known at its sequence.
    Free,
    /// An order or report is on its way.
    Waiting,
    /// It carries a load or unload out.
    Busy { poll_at_ms: u64 },
    /// An order got no answer.
    Unsettled { resend_at_ms: u64, sent_count: u32 },
}

/// One worker.
#[derive(Clone, Debug)]
struct Entry {
    sequence: u64,
    places: Vec<Place>,
    copies: Vec<u16>,
    is_serving: bool,
    phase: Phase,
    open: Option<OpenOrder>,
    /// The order that a report was asked for: others are planned as if it were done.
    reserved: Option<Order>,
    /// When the last load that was taken should be over, in milliseconds.
    load_due_at_ms: u64,
    /// Adapters whose loads were taken, and when they are there, in milliseconds.
    pending_adapters: Vec<(ModelKey, u64)>,
    row_position: StorePosition,
    started_unix_ms: u64,
}

/// All workers of one lease.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Arc<str>, Entry>,
}

/// A worker's row as the ledger takes it.
#[derive(Clone, Debug)]
pub struct WorkerRow<'a> {
    /// Identity.
    pub id: &'a Arc<str>,
    /// Position of the row.
    pub position: StorePosition,
    /// When this start of it began, in milliseconds of Unix time; zero if unsaid.
    pub started_unix_ms: u64,
    /// What it holds; a row doesn't say at which sequence.
    pub places: Vec<Place>,
    /// Models that it loads cheaply.
    pub copies: Vec<u16>,
    /// Whether it takes requests.
    pub is_serving: bool,
}

impl Ledger {
    /// Forgets everything, as a new holder starts.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Keeps only the workers that are still listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.entries.retain(|id, _| is_listed(id));
    }

    /// Whether a worker's row, and whether it takes requests, are known as they are.
    pub fn knows(&self, id: &str, position: StorePosition, is_serving: bool) -> bool {
        let known = self.entries.get(id);
        known.is_some_and(|known| known.row_position == position && known.is_serving == is_serving)
    }

    /// Takes a worker's row.
    pub fn row(&mut self, now_ms: u64, row: WorkerRow<'_>) {
        let known = self.entries.get(row.id);
        if known.is_some_and(|known| known.started_unix_ms != row.started_unix_ms) {
            // It started again: what it held, and its counts, are gone.
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
                places: row.places.clone(),
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
            entry.places = row.places;
            return;
        }
        let is_done = entry
            .open
            .is_some_and(|open| is_done(open.order, &row.places));
        if let (Phase::Busy { .. }, true) = (entry.phase, is_done) {
            // The row may be older than the order: a report says for certain.
            entry.phase = Phase::Busy { poll_at_ms: now_ms };
        }
    }

    /// Takes a report.
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
            // What is under way is known: its memory is counted already.
            entry.phase = Phase::Busy {
                poll_at_ms: now_ms + BUSY_POLL_INTERVAL_MS,
            };
            return;
        }
        entry.sequence = state.sequence;
        entry.places = state.places;
        entry.open = None;
        entry.phase = if state.is_busy {
            Phase::Unknown {
                report_at_ms: now_ms + BUSY_POLL_INTERVAL_MS,
            }
        } else {
            Phase::Free
        };
    }

    /// Lists the workers whose report is due, and marks them as asked.
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

    /// Lists the orders that are to be sent once more, and marks them as sent.
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

    /// Begins an order and returns it with the sequence that it is made for; none if its
    /// worker has to be asked for a report first, which is due now.
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
        apply(&mut entry.places, order);
        Some(open)
    }

    /// Takes the end of an order that was sent `sent_count` times.
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
                    // It may wait for its requests; a report shows the free slot.
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
    /// Whether an adapter has been ordered and can't be there yet.
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
