//! The lease that lets one instance order workers, for workers without fences.
//!
//! The lease is a row that is only changed under the condition that nobody else
//! changed it. The holder counts its term from before it sent the write, on its
//! own clock. A successor must have seen the row unchanged for a whole term and
//! the pause that must lie between two holders' orders. No clocks are compared.
//!
//! A store that comes back from a copy may have lost the row, or name an earlier holder
//! while the last one orders on by its own clock. So what such a store says of holders
//! saves nobody the whole wait; who held the lease then may write it again within its term.

use serde::Deserialize;
use serde::Serialize;

use crate::store_position::StorePosition;

/// Length of a term, in milliseconds.
pub const TERM_MS: u64 = 1_500;

/// Time between two renewals, in milliseconds.
pub const RENEW_EVERY_MS: u64 = 500;

/// Time added to what a successor waits, in milliseconds.
pub const MARGIN_MS: u64 = 300;

/// Content of the lease row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Machine that holds the lease, or held it last.
    pub holder: String,
    /// Start of the process that wrote the row.
    pub boot: u64,
    /// Whether the holder has given the lease up.
    pub is_released: bool,
    /// Era of the store that the row was written in, as its writer knew.
    #[serde(default)]
    pub era: u64,
}

/// What to do about the lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Read the row.
    Read,
    /// Write it, if its position still is this.
    Write {
        /// Position that the row must have; the start of the era if there is none.
        expected: StorePosition,
    },
}

/// A term that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedTerm {
    /// Position of the row that it was held under.
    pub position: StorePosition,
    /// When it ended, in milliseconds.
    pub at_ms: u64,
}

/// The row as last seen.
#[derive(Clone, Debug)]
struct SeenRow {
    position: StorePosition,
    row: Option<LeaseRow>,
    first_seen_at_ms: u64,
    /// When its holder was heard to say that it no longer orders under it.
    ended_at_ms: Option<u64>,
}

/// The lease as held.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: u64,
    position: StorePosition,
    until_ms: u64,
    renew_at_ms: u64,
}

/// One instance's view of one lease.
#[derive(Clone, Debug)]
pub struct Tenure {
    machine: String,
    pause_ms: u64,
    era: u64,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
    is_stopping: bool,
}

impl Tenure {
    /// Makes the view of a machine; `pause_ms` must lie between two holders.
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

    /// Begins an era of the store: what was seen of the row counts no more.
    pub fn enter_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.seen = None;
        }
    }

    /// Returns the era of the store that is known.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether orders may be sent now; ask right before each.
    pub fn may_order(&self, now_ms: u64) -> bool {
        self.token(now_ms).is_some()
    }

    /// Returns the fencing token while orders may be sent.
    pub fn token(&self, now_ms: u64) -> Option<u64> {
        self.held
            .filter(|held| now_ms < held.until_ms && !self.is_stopping)
            .map(|held| held.token)
    }

    /// Whether this instance has the lease, also when its term has run out.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Says what to do; `is_holder_heard` if the row's holder is heard to hold.
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
            // The row goes on changing: what was read of it is of no more use.
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

    /// Says what the holder does whose row a restored store may have lost.
    ///
    /// Within its term nobody else writes the row: it goes on from the row that is there.
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

    /// Takes the row as read at a position; the start of the era if there is none.
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

    /// Returns the position under which this instance held the lease and, its term
    /// over, orders no more, and since when; only another write would let it.
    pub fn ended(&self, now_ms: u64) -> Option<EndedTerm> {
        let held = self.held.filter(|held| now_ms >= held.until_ms)?;
        Some(EndedTerm {
            position: held.position,
            at_ms: held.until_ms,
        })
    }

    /// Takes the holder's word that it no longer orders under a position.
    ///
    /// The time is on the own clock, and never before the true one: what the holder
    /// says takes a while to arrive.
    pub fn heard_ended(&mut self, ended: EndedTerm) {
        let seen = self.seen.as_mut();
        if let Some(seen) = seen.filter(|seen| seen.position == ended.position) {
            let known_ms = seen.ended_at_ms.unwrap_or(u64::MAX);
            seen.ended_at_ms = Some(known_ms.min(ended.at_ms));
        }
    }

    /// Takes a write that was done; `sent_at_ms` is from before it was sent.
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

    /// Takes a write that another one was ahead of.
    pub fn conflicted(&mut self) {
        self.held = None;
        self.seen = None;
    }

    /// Takes a write without an answer: it may have been done, or be done later.
    pub fn unanswered(&mut self, now_ms: u64) {
        // Whatever the row now says, a new term starts from a row that was read:
        // a renewal that arrives late changes the version, and is read again.
        if let Some(held) = &mut self.held {
            held.renew_at_ms = now_ms + RENEW_EVERY_MS / 4;
        }
        self.seen = None;
    }

    /// Stops ordering for good and returns the position to release, if held.
    pub fn release(&mut self) -> Option<StorePosition> {
        self.is_stopping = true;
        self.held.map(|held| held.position)
    }

    /// Returns how long the row must have stood unchanged, in milliseconds.
    fn wait_ms(&self, row: Option<&LeaseRow>) -> u64 {
        let of_era = row.filter(|row| row.era == self.era);
        match of_era {
            // A store of the first era has lost nothing: nobody has held the lease.
            None if row.is_none() && self.era == 0 => 0,
            // The machine's own earlier orders are no other holder's.
            Some(row) if row.holder == self.machine => 0,
            Some(row) if row.is_released => self.pause_ms + MARGIN_MS,
            None | Some(_) => TERM_MS + self.pause_ms + MARGIN_MS,
        }
    }
}
