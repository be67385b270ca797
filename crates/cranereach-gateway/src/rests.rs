//! Hears from answers which workers ask this instance for rest, and when it is over.
//!
//! See [`cranereach_fleet::rest`]. A rest is asked of one instance, so that nobody else is
//! told; this one forgets it when it starts again.

use slog::info;

use crate::node::Node;
use crate::send_permit::Permit;
use cranereach_fleet::purpose::Purpose;

/// Takes the wish of a worker for a rest of so many milliseconds.
pub fn heard(node: &Node, permit: &Permit, for_ms: u64) {
    let now_ms = node.now_ms();
    let is_extended = {
        let mut roster = node.roster();
        let worker = roster.get_mut(&permit.worker);
        worker.is_some_and(|worker| worker.rest.asked(now_ms, for_ms))
    };
    if is_extended {
        info!(node.log, "worker rests"; "worker" => permit.worker.as_ref(), "for_ms" => for_ms,
            "purpose" => permit.purpose.name());
        // Calls that wait for it look elsewhere.
        node.roster_changed.notify_waiters();
    }
}

/// Notes that a worker took a request: if it was the first after a rest, others follow.
pub fn note_taken(node: &Node, permit: &Permit) {
    let has_ended = {
        let mut roster = node.roster();
        let worker = roster.get_mut(&permit.worker);
        permit.purpose == Purpose::Call
            && worker.is_some_and(|worker| worker.rest.taken(permit.sent_ms))
    };
    if has_ended {
        node.roster_changed.notify_waiters();
    }
}
