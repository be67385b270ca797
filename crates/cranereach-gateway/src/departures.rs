//! Hears from answers which workers leave, and stops sending to them at once.
//!
//! See [`cranereach_fleet::departure`].

use slog::info;

use crate::node::Node;
use crate::send_permit::Permit;
use cranereach_fleet::departure::Teller;

/// Takes the word of a worker that it leaves.
pub fn heard(node: &Node, permit: &Permit) {
    let now_ms = node.now_ms();
    let is_new = {
        let mut roster = node.roster();
        roster.heard_leaving(now_ms, &permit.worker, permit.started_unix_ms)
    };
    if is_new {
        note_change(node, &permit.worker, Teller::Worker);
    }
}

/// Logs that a worker leaves, and wakes whoever waits for it or orders it.
fn note_change(node: &Node, worker: &str, teller: Teller) {
    info!(node.log, "worker leaves"; "worker" => worker, "by" => teller.name());
    // Calls that wait for it look elsewhere, and what it holds is planned elsewhere.
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
}
