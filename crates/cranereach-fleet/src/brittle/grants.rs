//! Grants of a brittle worker's owner.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::send_grants::Ownership;

/// Time in which rejections are counted, in milliseconds: one second, and how much longer one of
/// two requests may take to the worker than the other.
const REJECTION_WINDOW_MS: u64 = 1_100;

/// Time after a grant by which a rejection would be known, in milliseconds.
const SETTLED_AFTER_MS: u64 = 150;

/// Time for which a worker is assumed to let in as many requests as it did, in milliseconds.
const LET_IN_COUNTS_MS: u64 = 1_000;

/// Time for which a rejection lowers the number of requests that the worker is assumed to have room
/// for, in milliseconds.
const REJECTION_LOWERS_FOR_MS: u64 = 3_000;

/// Number of workers above which an owner drops those without open requests.
const WORKER_MAX_COUNT: usize = 4_096;

/// Maximum number of requests that are open at one worker.
const OPEN_MAX_COUNT: usize = 4_096;

/// A question for a grant, as its sender knows the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleAsk {
    /// Rejections that the worker bears in one second.
    pub borne_count: u32,
    /// Number that the sender gave the request.
    pub request: u64,
    /// Time until its deadline, after which it no longer counts as open, in milliseconds.
    pub ends_within_ms: u32,
}

/// Identifies a request: its sender, and its number at that sender.
pub type Ticket = (u32, u64);

/// An owner's grants for the brittle workers that it owns.
///
/// ```
/// use cranereach_fleet::brittle::BrittleAsk;
/// use cranereach_fleet::brittle::BrittleGrants;
/// use cranereach_fleet::send_grants::Ownership;
///
/// let mut grants = BrittleGrants::default();
/// let mut ask = |now_ms, request, ownership| {
///     let ask = BrittleAsk { borne_count: 2, request, ends_within_ms: 5_000 };
///     grants.ask(now_ms, 7, (1, ask), 2, ownership)
/// };
/// // A new owner does not know what others have sent: only what may be turned away is granted.
/// assert!(ask(1_000, 1, Ownership::New));
/// assert!(!ask(1_010, 2, Ownership::New));
/// // Later it goes by the slots of the worker.
/// assert!(ask(4_000, 2, Ownership::Settled));
/// assert!(!ask(4_010, 3, Ownership::Other));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BrittleGrants {
    by_worker: HashMap<u64, WorkerGrants>,
}

impl BrittleGrants {
    /// Decides on the question of a sender whether a request may be sent to a worker that runs
    /// `slot_count` requests at once.
    pub fn ask(
        &mut self,
        now_ms: u64,
        worker: u64,
        (sender, ask): (u32, BrittleAsk),
        slot_count: u32,
        ownership: Ownership,
    ) -> bool {
        let is_new = match ownership {
            Ownership::Settled => false,
            Ownership::New => true,
            Ownership::Other | Ownership::Minority { .. } => return false,
        };
        if self.by_worker.len() >= WORKER_MAX_COUNT && !self.by_worker.contains_key(&worker) {
            self.by_worker.retain(|_, grants| !grants.open.is_empty());
        }
        let grants = self.by_worker.entry(worker).or_default();
        let may_send = grants.may_grant(now_ms, ask.borne_count, slot_count, is_new);
        if may_send {
            let expires_at_ms = now_ms + u64::from(ask.ends_within_ms);
            grants
                .open
                .insert((sender, ask.request), (now_ms, expires_at_ms));
        }
        may_send
    }

    /// Records that a request has ended, or was turned away for want of room.
    pub fn ended(&mut self, now_ms: u64, worker: u64, ticket: Ticket, was_rejected: bool) {
        let Some(grants) = self.by_worker.get_mut(&worker) else {
            return;
        };
        grants.open.remove(&ticket);
        if was_rejected {
            grants.note_rejection(now_ms);
        }
    }
}

/// An owner's grants for one brittle worker.
#[derive(Clone, Debug, Default)]
struct WorkerGrants {
    /// Open requests: when each was granted and when it expires, in milliseconds.
    open: HashMap<Ticket, (u64, u64)>,
    /// When the worker turned requests away, in milliseconds.
    rejected_at_ms: VecDeque<u64>,
    /// Numbers of requests that were let in together, highest first, and when, in milliseconds.
    let_in: VecDeque<(u32, u64)>,
    /// Number of requests open with the last grant.
    last_open_count: u32,
    /// Lowest number of open requests at which the worker turned one away, and when, in
    /// milliseconds.
    lowered: Option<(u32, u64)>,
}

impl WorkerGrants {
    /// Records that the worker turned a request away. What it let in before says nothing any more.
    fn note_rejection(&mut self, now_ms: u64) {
        self.rejected_at_ms.push_back(now_ms);
        self.let_in.clear();
        let lowest = self.lowered_count(now_ms).unwrap_or(u32::MAX);
        let open_count = self.last_open_count.min(lowest);
        self.lowered = Some((open_count, now_ms));
    }

    /// Returns the number of requests at which the worker recently turned one away.
    fn lowered_count(&self, now_ms: u64) -> Option<u32> {
        let (count, at_ms) = self.lowered?;
        (now_ms < at_ms + REJECTION_LOWERS_FOR_MS).then_some(count)
    }

    /// Whether one more request may be sent to the worker. A new owner doesn't know which of the
    /// slots are taken.
    fn may_grant(&mut self, now_ms: u64, borne_count: u32, slot_count: u32, is_new: bool) -> bool {
        self.open
            .retain(|_, (_, expires_at_ms)| now_ms < *expires_at_ms);
        if self.open.len() >= OPEN_MAX_COUNT {
            return false;
        }
        let open_count = self.open.len() as u32;
        let granted_at_ms = self.open.values().map(|(at_ms, _)| *at_ms);
        let settled = granted_at_ms.filter(|at_ms| now_ms >= at_ms + SETTLED_AFTER_MS);
        let settled_count = settled.count() as u32;
        self.note_let_in(now_ms, settled_count);
        let is_past = |at_ms: &u64| now_ms >= at_ms + REJECTION_WINDOW_MS;
        while self.rejected_at_ms.front().is_some_and(is_past) {
            self.rejected_at_ms.pop_front();
        }
        let rejected_count = self.rejected_at_ms.len() as u32;
        let let_in_count = self.let_in.front().map_or(0, |(count, _)| *count);
        // At the lowered number the worker turned a request away.
        let room_max_count = self
            .lowered_count(now_ms)
            .map_or(u32::MAX, |count| count.saturating_sub(1));
        let known_slot_count = if is_new { 0 } else { slot_count };
        let mut safe_count = known_slot_count.max(let_in_count).min(room_max_count);
        if rejected_count > 0 && rejected_count + 1 >= borne_count {
            safe_count /= 2;
        }
        // Another instance may take itself for the owner, so half is left to it.
        let risked_max_count = (borne_count / 2).max(1).min(borne_count);
        let risked_count = open_count - safe_count.max(settled_count).min(open_count);
        let may_risk =
            rejected_count == 0 && risked_count < risked_max_count && open_count < room_max_count;
        let open_max_count = slot_count.saturating_add(borne_count.saturating_sub(rejected_count));
        let may_grant = open_count < open_max_count && (open_count < safe_count || may_risk);
        if may_grant {
            self.last_open_count = open_count + 1;
        }
        may_grant
    }

    /// Records how many requests the worker has let in together.
    fn note_let_in(&mut self, now_ms: u64, settled_count: u32) {
        let is_old = |at_ms: u64| now_ms >= at_ms + LET_IN_COUNTS_MS;
        while self.let_in.front().is_some_and(|(_, at_ms)| is_old(*at_ms)) {
            self.let_in.pop_front();
        }
        while self
            .let_in
            .back()
            .is_some_and(|(count, _)| *count <= settled_count)
        {
            self.let_in.pop_back();
        }
        self.let_in.push_back((settled_count, now_ms));
    }
}
