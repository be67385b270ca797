//! Lease over a cell, which decides which instance may send orders to its workers.
//!
//! The lease is a row in the platform's table. The holder measures its term on
//! its own clock, from before it sent the write, and subtracts a margin. A
//! contender waits for a whole term after the last change that it observed. No
//! clocks are compared across instances.
//!
//! Workers that check fences are safe without an unexpired lease. For them a
//! holder continues while the table is unreachable, and a successor may take
//! over with a higher minor epoch. For all other workers, orders need an
//! unexpired lease.

use serde::Deserialize;
use serde::Serialize;

use crate::fence::Epoch;
use crate::membership::rendezvous_weight;
use crate::names::InstanceId;

/// Length of a lease term, in milliseconds.
pub const TERM_MS: u64 = 8_000;

/// Safety margin at the end of a term that the holder doesn't use, in milliseconds.
pub const MARGIN_MS: u64 = 2_000;

/// Renewal interval, in milliseconds.
pub const RENEW_EVERY_MS: u64 = 2_500;

/// Additional wait of a contender that isn't the rendezvous owner, in ms.
const NON_OWNER_DELAY_MS: u64 = 4_000;

/// Time after which a holder that isn't the rendezvous owner hands over, in ms.
const HAND_OVER_AFTER_MS: u64 = 10_000;

/// Lease row in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Current holder; none after a hand-over.
    pub holder: Option<InstanceId>,
    /// Grows whenever the holder changes.
    pub epoch_major: u64,
    /// Random number of the write, which identifies it if its response was lost.
    pub write_nonce: u64,
}

/// Compare-and-set write of the lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Version that the row must still have; zero for no row.
    pub expected_version: u64,
    /// New row.
    pub row: LeaseRow,
}

/// External conditions at a tick.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each read once"
)]
pub struct LeaseView {
    /// Whether this instance is the cell's rendezvous owner.
    pub is_owner: bool,
    /// Whether the row's holder was heard from recently.
    pub holder_heard: bool,
    /// Whether the cell's workers check fences.
    pub checks_fences: bool,
    /// Whether this instance is shutting down.
    pub leaving: bool,
    /// Random number for the next write.
    pub nonce: u64,
}

/// Term held by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldTerm {
    epoch: Epoch,
    expires_at_ms: u64,
    renew_at_ms: u64,
}

/// Write without a response so far.
#[derive(Clone, Debug)]
struct Pending {
    write: LeaseWrite,
    sent_at_ms: u64,
}

/// Lease of one cell as seen by one instance.
#[derive(Clone, Debug)]
pub struct Lease {
    own: InstanceId,
    row: LeaseRow,
    row_version: u64,
    read_at_ms: Option<u64>,
    changed_at_ms: u64,
    started_at_ms: u64,
    held: Option<HeldTerm>,
    pending: Option<Pending>,
    highest_epoch: Epoch,
    not_owner_since_ms: Option<u64>,
    superseded_at_ms: Option<u64>,
}

impl Lease {
    /// Creates a lease without knowledge of the row.
    pub fn new(own: InstanceId, now_ms: u64) -> Self {
        Self {
            own,
            row: LeaseRow::default(),
            row_version: 0,
            read_at_ms: None,
            changed_at_ms: now_ms,
            started_at_ms: now_ms,
            held: None,
            pending: None,
            highest_epoch: Epoch::default(),
            not_owner_since_ms: None,
            superseded_at_ms: None,
        }
    }

    /// Returns the row's holder as last read.
    pub fn row_holder(&self) -> Option<&InstanceId> {
        self.row.holder.as_ref()
    }

    /// Returns the epoch under which this instance may send orders now, if any.
    ///
    /// ```
    /// use cranereach_core::lease::Lease;
    ///
    /// assert!(Lease::new("a".into(), 0).may_order(0, true).is_none());
    /// ```
    pub fn may_order(&self, now_ms: u64, checks_fences: bool) -> Option<Epoch> {
        let held = self.held.as_ref()?;
        let unexpired = now_ms < held.expires_at_ms;
        let not_superseded = held.epoch >= self.highest_epoch;
        (not_superseded && (checks_fences || unexpired)).then_some(held.epoch)
    }

    /// Returns when this instance's term expires on its own clock.
    pub fn expires_at_ms(&self) -> Option<u64> {
        self.held.map(|held| held.expires_at_ms)
    }

    /// Processes the row read from the table; version zero means no row.
    pub fn row_read(&mut self, now_ms: u64, version: u64, row: &LeaseRow) {
        let is_first = self.read_at_ms.is_none();
        self.read_at_ms = Some(now_ms);
        if is_first || version != self.row_version {
            self.changed_at_ms = now_ms;
        }
        self.row_version = version;
        self.row = row.clone();
        self.settle_pending(version, row);
        if row.holder.as_ref() != Some(&self.own) && row.epoch_major > 0 {
            self.drop_if_superseded(row.epoch_major);
        }
    }

    /// Processes the response that a write was applied.
    pub fn write_applied(&mut self, now_ms: u64, version: u64, row: &LeaseRow) {
        self.row_read(now_ms, version, row);
    }

    /// Processes the response that a write had no effect.
    pub fn write_refused(&mut self, row: &LeaseRow) {
        let is_same_write = |pending: &Pending| pending.write.row.write_nonce == row.write_nonce;
        if self.pending.as_ref().is_some_and(is_same_write) {
            self.pending = None;
        }
    }

    /// Processes an epoch received from a peer or in a worker's refusal.
    pub fn observe_epoch(&mut self, now_ms: u64, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.held.is_some_and(|held| held.epoch < epoch) {
            self.held = None;
            self.superseded_at_ms = Some(now_ms);
        }
    }

    /// Returns the write that is due, if any, and records it as pending.
    pub fn tick(&mut self, now_ms: u64, view: &LeaseView) -> Option<LeaseWrite> {
        self.track_ownership(now_ms, view.is_owner);
        let row = self.due_row(now_ms, view)?;
        if row.holder.is_none() {
            // A successor may start as soon as this write takes effect.
            self.held = None;
        }
        let write = LeaseWrite {
            expected_version: self.row_version,
            row,
        };
        self.pending = Some(Pending {
            write: write.clone(),
            sent_at_ms: now_ms,
        });
        Some(write)
    }

    /// Takes over a fenced cell while the table is unreachable and no holder is heard from.
    ///
    /// Two instances may do so concurrently. Their epochs differ, the workers
    /// obey the higher one, and the other instance learns of it from its next
    /// refused order.
    pub fn take_over_without_table(&mut self, now_ms: u64, view: &LeaseView) -> Option<Epoch> {
        let since_read_ms = now_ms.saturating_sub(self.read_at_ms.unwrap_or(self.started_at_ms));
        let table_lost = since_read_ms >= TERM_MS;
        let recently_superseded = self
            .superseded_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < TERM_MS);
        if !table_lost
            || !view.checks_fences
            || !view.is_owner
            || view.holder_heard
            || view.leaving
            || recently_superseded
            || self.held.is_some()
        {
            return None;
        }
        let base = self.highest_epoch.max(Epoch {
            major: self.row.epoch_major,
            ..Epoch::default()
        });
        let epoch = Epoch {
            minor: base.minor + 1,
            holder: self.tie_breaker(),
            ..base
        };
        self.set_term(epoch, now_ms);
        Some(epoch)
    }

    /// Returns the row that is due to be written, if any.
    fn due_row(&self, now_ms: u64, view: &LeaseView) -> Option<LeaseRow> {
        let fresh_read = self
            .read_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < TERM_MS);
        if !fresh_read || self.has_write_in_flight(now_ms) {
            return None;
        }
        if self.row.holder.as_ref() == Some(&self.own) && self.held.is_some() {
            return self.holder_row(now_ms, view);
        }
        self.contender_row(now_ms, view)
    }

    /// Returns the row for the holder's renewal or hand-over, if due.
    fn holder_row(&self, now_ms: u64, view: &LeaseView) -> Option<LeaseRow> {
        let hands_over = self
            .not_owner_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= HAND_OVER_AFTER_MS);
        if view.leaving || hands_over {
            return Some(LeaseRow {
                holder: None,
                epoch_major: self.row.epoch_major,
                write_nonce: view.nonce,
            });
        }
        let due = self.held.is_some_and(|held| now_ms >= held.renew_at_ms);
        due.then(|| LeaseRow {
            write_nonce: view.nonce,
            ..self.row.clone()
        })
    }

    /// Returns the row that acquires the lease, if that is allowed.
    fn contender_row(&self, now_ms: u64, view: &LeaseView) -> Option<LeaseRow> {
        if view.leaving {
            return None;
        }
        let unchanged_ms = now_ms.saturating_sub(self.changed_at_ms);
        let delay_ms = if view.is_owner { 0 } else { NON_OWNER_DELAY_MS };
        let required_ms = if self.row.holder.is_none() {
            delay_ms
        } else {
            TERM_MS + delay_ms
        };
        (unchanged_ms >= required_ms).then(|| LeaseRow {
            holder: Some(self.own.clone()),
            epoch_major: self.row.epoch_major + 1,
            write_nonce: view.nonce,
        })
    }

    /// Returns whether a write may still be in flight.
    fn has_write_in_flight(&self, now_ms: u64) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| now_ms.saturating_sub(pending.sent_at_ms) < MARGIN_MS)
    }

    /// Determines from the row whether the pending write was applied.
    fn settle_pending(&mut self, version: u64, row: &LeaseRow) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if row.write_nonce != pending.write.row.write_nonce {
            // Not applied yet. It may still be, so it stays pending until the row changes.
            if version == pending.write.expected_version {
                self.pending = Some(pending);
            }
            return;
        }
        if row.holder.as_ref() == Some(&self.own) {
            let epoch = Epoch {
                major: row.epoch_major,
                minor: 0,
                holder: self.tie_breaker(),
            };
            let epoch = self.held.map_or(epoch, |held| held.epoch.max(epoch));
            self.set_term(epoch, pending.sent_at_ms);
        } else {
            self.held = None;
        }
    }

    /// Sets the held term, which starts when the write was sent.
    fn set_term(&mut self, epoch: Epoch, sent_at_ms: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.held = Some(HeldTerm {
            epoch,
            expires_at_ms: sent_at_ms + TERM_MS - MARGIN_MS,
            renew_at_ms: sent_at_ms + RENEW_EVERY_MS,
        });
    }

    /// Drops the held term if the row shows a later one of another instance.
    fn drop_if_superseded(&mut self, epoch_major: u64) {
        if self
            .held
            .is_some_and(|held| held.epoch.major <= epoch_major)
        {
            self.held = None;
        }
    }

    /// Records since when this instance has not been the rendezvous owner.
    fn track_ownership(&mut self, now_ms: u64, is_owner: bool) {
        if is_owner {
            self.not_owner_since_ms = None;
        } else {
            self.not_owner_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns this instance's `holder` value for an epoch.
    fn tie_breaker(&self) -> u32 {
        rendezvous_weight(self.own.as_str(), "epoch") as u32
    }
}
