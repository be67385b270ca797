//! The lease that lets one instance send orders to workers, for workers that do not check fencing
//! tokens.
//!
//! The lease is a row that is written only if nobody else has changed it (compare and swap). The
//! holder counts its term, on its own clock, from before it sent the write. A successor must have
//! seen the row unchanged for a whole term plus the pause that must lie between the orders of two
//! holders. Clocks of different instances are never compared.
//!
//! A store that was restored from a backup may have lost the row, or name an earlier holder while
//! the last holder still sends orders by its own clock. So what a restored store says about holders
//! shortens nobody's wait; the instance that held the lease may write it again within its term.

use serde::Deserialize;
use serde::Serialize;

use crate::store_position::StorePosition;

/// Length of a term, in milliseconds.
pub const TERM_MS: u64 = 1_500;

/// Time between two renewals, in milliseconds.
pub const RENEW_EVERY_MS: u64 = 500;

/// Safety margin added to a successor's wait, in milliseconds.
pub const MARGIN_MS: u64 = 300;

/// Content of the lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Machine that holds the lease, or held it last.
    pub holder: String,
    /// Number of the start of the process that wrote the row.
    pub boot: u64,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// Era of the store, as known to the writer of the row.
    #[serde(default)]
    pub era: u64,
}

/// Next action for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing.
    Wait,
    /// Read the row.
    Read,
    /// Write the row if its position is unchanged.
    Write {
        /// Position that the row must have; the start of the era if there is no row.
        expected: StorePosition,
    },
}

/// A term that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedTerm {
    /// Position of the row under which the lease was held.
    pub position: StorePosition,
    /// When the term ended, in milliseconds.
    pub at_ms: u64,
}

/// The row as last read.
#[derive(Clone, Debug)]
struct SeenRow {
    position: StorePosition,
    row: Option<LeaseRow>,
    first_seen_at_ms: u64,
    /// When its holder announced that it no longer sends orders under it, in milliseconds.
    ended_at_ms: Option<u64>,
}

/// The lease while this instance holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: u64,
    position: StorePosition,
    until_ms: u64,
    renew_at_ms: u64,
}

/// One instance's view of one lease.
#[derive(Clone, Debug)]
pub struct LeaseState {
    machine: String,
    pause_ms: u64,
    era: u64,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
    is_stopping: bool,
}

impl LeaseState {
    /// Creates the view of a machine; `pause_ms` must lie between the orders of two holders.
    pub fn new(machine: &str, pause_ms: u64) -> Self {
        Self {
            machine: machine.to_owned(),
            pause_ms,
            era: 0,
            seen: None,
            held: None,
            is_stopping: false,
        }
    }

    /// Begins an era of the store; earlier reads of the row no longer count.
    pub fn enter_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.seen = None;
        }
    }

    /// Returns the newest known era of the store.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns whether orders may be sent now; must be checked right before each order.
    pub fn may_order(&self, now_ms: u64) -> bool {
        self.token(now_ms).is_some()
    }

    /// Returns the fencing token, as long as orders may be sent.
    pub fn token(&self, now_ms: u64) -> Option<u64> {
        self.held
            .filter(|held| now_ms < held.until_ms && !self.is_stopping)
            .map(|held| held.token)
    }

    /// Returns whether this instance has the lease, even if its term is over.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the next action; `is_holder_heard` tells whether the row's holder announces to its
    /// peers that it holds the lease.
    pub fn step(&mut self, now_ms: u64, is_holder_heard: bool) -> Step {
        if let Some(held) = self.held {
            if held.position.era < self.era {
                return self.step_after_restore(now_ms, held);
            }
            if self.is_stopping || now_ms < held.renew_at_ms {
                return Step::Wait;
            }
            return Step::Write {
                expected: held.position,
            };
        }
        if self.is_stopping || is_holder_heard {
            // The row keeps changing, so the last read is of no further use.
            self.seen = None;
            return Step::Wait;
        }
        let Some(seen) = &self.seen else {
            return Step::Read;
        };
        let full_due_ms = seen.first_seen_at_ms + self.wait_ms(seen.row.as_ref());
        let early_due_ms = seen
            .ended_at_ms
            .map(|at_ms| at_ms + self.pause_ms + MARGIN_MS);
        if now_ms < early_due_ms.map_or(full_due_ms, |early_due_ms| full_due_ms.min(early_due_ms)) {
            return Step::Wait;
        }
        Step::Write {
            expected: seen.position,
        }
    }

    /// Returns the next action of a holder whose row may be lost in a restored store.
    ///
    /// Nobody else writes the row within its term, so the holder continues from the row that is
    /// there.
    fn step_after_restore(&mut self, now_ms: u64, held: HeldLease) -> Step {
        if self.is_stopping {
            return Step::Wait;
        }
        if now_ms >= held.until_ms {
            self.held = None;
            return Step::Read;
        }
        self.seen.as_ref().map_or(Step::Read, |seen| Step::Write {
            expected: seen.position,
        })
    }

    /// Records the row as read at a position; the start of the era if there is no row.
    pub fn read(&mut self, now_ms: u64, position: StorePosition, row: Option<LeaseRow>) {
        if position.era < self.era {
            return;
        }
        self.enter_era(position.era);
        let is_of_holder =
            |held: &HeldLease| held.position == position || held.position.era < position.era;
        self.held = self.held.filter(is_of_holder);
        let known = self.seen.as_ref();
        if known.is_some_and(|seen| seen.position == position) {
            return;
        }
        self.seen = Some(SeenRow {
            position,
            row,
            first_seen_at_ms: now_ms,
            ended_at_ms: None,
        });
    }

    /// Returns the term of this instance that is over, so that it sends no more orders under that
    /// position until another write succeeds.
    pub fn ended(&self, now_ms: u64) -> Option<EndedTerm> {
        let held = self.held.filter(|held| now_ms >= held.until_ms)?;
        Some(EndedTerm {
            position: held.position,
            at_ms: held.until_ms,
        })
    }

    /// Records the holder's announcement that it no longer sends orders under a position.
    ///
    /// The time is on this instance's clock and never earlier than the true one, since the
    /// announcement takes time to arrive.
    pub fn record_ended_term(&mut self, ended: EndedTerm) {
        let seen = self.seen.as_mut();
        if let Some(seen) = seen.filter(|seen| seen.position == ended.position) {
            let known_ms = seen.ended_at_ms.unwrap_or(u64::MAX);
            seen.ended_at_ms = Some(known_ms.min(ended.at_ms));
        }
    }

    /// Records a successful write; `sent_at_ms` is a time before it was sent.
    pub fn written(&mut self, sent_at_ms: u64, position: StorePosition) {
        let token = self.held.map_or(position.token(), |held| held.token);
        self.held = Some(HeldLease {
            token,
            position,
            until_ms: sent_at_ms + TERM_MS,
            renew_at_ms: sent_at_ms + RENEW_EVERY_MS,
        });
        self.seen = None;
    }

    /// Records a write that failed because another instance had written the row.
    pub fn conflicted(&mut self) {
        self.held = None;
        self.seen = None;
    }

    /// Records a write without an answer; it may have been applied, or may be applied later.
    pub fn unanswered(&mut self, now_ms: u64) {
        // In either case a new term starts only from a row that was read: a renewal that arrives
        // late changes the position, and the row is read again.
        if let Some(held) = &mut self.held {
            held.renew_at_ms = now_ms + RENEW_EVERY_MS / 4;
        }
        self.seen = None;
    }

    /// Stops sending orders for good and returns the position to release if the lease is held.
    pub fn release(&mut self) -> Option<StorePosition> {
        self.is_stopping = true;
        self.held.map(|held| held.position)
    }

    /// Gives the lease up without stopping for good: no order may be sent until it is acquired
    /// again. Returns the position to release if the lease was held.
    pub fn resign(&mut self) -> Option<StorePosition> {
        self.seen = None;
        self.held.take().map(|held| held.position)
    }

    /// Returns how long the row must have been unchanged, in milliseconds.
    fn wait_ms(&self, row: Option<&LeaseRow>) -> u64 {
        let of_era = row.filter(|row| row.era == self.era);
        match of_era {
            // A store of the first era has lost nothing, so nobody has held the lease.
            None if row.is_none() && self.era == 0 => 0,
            // The machine's own earlier orders are not those of another holder.
            Some(row) if row.holder == self.machine => 0,
            Some(row) if row.is_released => self.pause_ms + MARGIN_MS,
            None | Some(_) => TERM_MS + self.pause_ms + MARGIN_MS,
        }
    }
}
