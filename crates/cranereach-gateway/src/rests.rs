//! Tracks rests: periods without requests that workers ask this instance for with `Retry-After`.
//!
//! See [`cranereach_fleet::rest`]. A rest concerns only the instance that was asked for it, so
//! peers are not told, and the state is lost when this instance restarts.

use slog::info;

use crate::node::Node;
use crate::send_permit::Permit;
use cranereach_fleet::purpose::Purpose;

/// Applies a worker's wish to receive no requests for `for_ms` milliseconds.
pub fn apply_rest(node: &Node, permit: &Permit, for_ms: u64) {
    let now_ms = node.now_ms();
    let is_extended = {
        let mut roster = node.roster();
        let worker = roster.get_mut(&permit.worker);
        worker.is_some_and(|worker| worker.rest.requested(now_ms, for_ms))
    };
    if is_extended {
        info!(node.log, "worker rests"; "worker" => permit.worker.as_ref(), "for_ms" => for_ms,
            "purpose" => permit.purpose.name());
        // Calls that wait for the worker select another one.
        node.roster_changed.notify_waiters();
    }
}

/// Records that a worker accepted a request. If it was the trial request after a rest, the rest is
/// over and further requests may follow.
pub fn record_accepted(node: &Node, permit: &Permit) {
    let has_ended = {
        let mut roster = node.roster();
        let worker = roster.get_mut(&permit.worker);
        permit.purpose == Purpose::Call
            && worker.is_some_and(|worker| worker.rest.accepted(permit.sent_ms))
    };
    if has_ended {
        node.roster_changed.notify_waiters();
    }
}
