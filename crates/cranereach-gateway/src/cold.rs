//! Notes which workers may be cold. [`crate::send_grants`] asks whether they may be sent
//! something.

use slog::info;

use crate::node::Node;
use cranereach_fleet::roster::Roster;

/// Longest time that a row may say a worker is still cold for, in milliseconds.
const COLD_MAX_MS: u64 = 120_000;

/// Notes what a row says of a worker, or that it is new: its start may have been during
/// traffic, whatever the row says.
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

/// Notes that a worker was reached again that could not be reached: it, or its whole
/// failure domain, may have started anew.
pub fn note_reached(node: &Node, id: &str) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    let Some(worker) = roster.get_mut(id) else {
        return;
    };
    let was_lost = worker.health.is_unreachable(now_ms) || worker.health.has_missed(now_ms);
    worker.health.reached();
    let cold_for_ms = cold_period_ms(node, &worker.record.service);
    if was_lost && cold_for_ms > 0 {
        worker.coldness.cold_until(now_ms + cold_for_ms);
        info!(node.log, "worker back"; "worker" => id, "cold_for_ms" => cold_for_ms);
    }
}

/// Notes that the evacuation of failure domains has ended: their workers may have
/// become cold meanwhile.
pub fn note_evacuations_ended(node: &Node, domains: &[u64]) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    for worker in roster.in_domains_mut(domains) {
        let cold_for_ms = cold_period_ms(node, &worker.record.service);
        worker.coldness.cold_until(now_ms + cold_for_ms);
    }
}

/// Returns for how long a worker of a service is cold after its start, in milliseconds.
fn cold_period_ms(node: &Node, service: &str) -> u64 {
    let cold_start = node.service(service).and_then(|service| service.cold_start);
    cold_start.map_or(0, |cold_start| cold_start.for_ms)
}
