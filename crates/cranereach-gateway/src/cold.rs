//! Marks workers that may be cold, for which [`crate::send_grants`] limits the request rate.

use slog::info;

use crate::node::Node;
use cranereach_fleet::roster::Roster;

/// Upper bound on the remaining cold time accepted from a worker's row, in milliseconds.
const COLD_MAX_MS: u64 = 120_000;

/// Marks a worker as cold according to its row, or because it is new: it may have started under
/// traffic even if its row does not say so.
pub fn note_listed(node: &Node, roster: &mut Roster, id: &str, is_new: bool) {
    let now_ms = node.now_ms();
    let Some(worker) = roster.get_mut(id) else {
        return;
    };
    let reported_ms = worker.record.cold_for_ms.min(COLD_MAX_MS);
    let assumed_ms = if is_new && reported_ms == 0 {
        cold_period_ms(node, &worker.record.service)
    } else {
        0
    };
    let cold_for_ms = reported_ms.max(assumed_ms);
    if cold_for_ms > 0 {
        worker.coldness.cold_until(now_ms + cold_for_ms);
        info!(node.log, "worker cold"; "worker" => id, "for_ms" => cold_for_ms,
            "said" => reported_ms > 0);
    }
}

/// Records that an unreachable worker has been reached again. The worker, or its whole failure
/// domain, may have restarted.
pub fn note_reached(node: &Node, id: &str) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    let Some(worker) = roster.get_mut(id) else {
        return;
    };
    let was_lost = worker.health.was_lost();
    worker.health.reached();
    let cold_for_ms = cold_period_ms(node, &worker.record.service);
    if was_lost && cold_for_ms > 0 {
        worker.coldness.cold_until(now_ms + cold_for_ms);
        info!(node.log, "worker back"; "worker" => id, "cold_for_ms" => cold_for_ms);
    }
}

/// Records that the evacuation of failure domains has ended. Their workers may have become cold in
/// the meantime.
pub fn note_evacuations_ended(node: &Node, domains: &[u64]) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    for worker in roster.in_domains_mut(domains) {
        let cold_for_ms = cold_period_ms(node, &worker.record.service);
        worker.coldness.cold_until(now_ms + cold_for_ms);
    }
}

/// Returns the time for which a worker of a service is cold after its start, in milliseconds.
fn cold_period_ms(node: &Node, service: &str) -> u64 {
    let cold_start = node.service(service).and_then(|service| service.cold_start);
    cold_start.map_or(0, |cold_start| cold_start.for_ms)
}
