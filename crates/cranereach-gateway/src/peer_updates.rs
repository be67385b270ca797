//! Applies the contents of peers' messages: state of workers, loaded adapters and demand.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;

use crate::expected_models;
use crate::list_transfer;
use crate::messages::DemandMessage;
use crate::messages::Digest;
use crate::messages::Message;
use crate::node::Node;
use crate::roster_sync;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::store_position::StorePosition;

/// Applies what a digest says about workers. Returns true if waiting requests may now be sent
/// elsewhere.
pub fn take_roster(node: &Arc<Node>, now_ms: u64, sender: Ipv4Addr, digest: &Digest) -> bool {
    take_reach(node, now_ms, sender, digest);
    let mut roster = node.roster();
    let reported = digest.leaving.iter();
    let new: Vec<(u64, StorePosition)> = reported
        .filter(|(key, position)| roster.leaves(*position, *key))
        .copied()
        .collect();
    drop(roster);
    for (key, position) in new {
        info!(node.log, "worker leaves"; "from" => sender.to_string(), "position" => %position);
        roster_sync::forward_leaving(node, key, position);
    }
    if !digest.holds.is_empty() {
        apply_orders(node, now_ms, &digest.adapters, &digest.withheld);
    }
    list_transfer::fetch_if_behind(node, sender, digest.list_position);
    !digest.adapters.is_empty()
}

/// Applies what a digest says about the workers that its sender reaches and can't reach.
fn take_reach(node: &Node, now_ms: u64, sender: Ipv4Addr, digest: &Digest) {
    let alive_count = match digest.unreachable.as_slice() {
        [] => 0,
        _ => node.peers().members().alive(now_ms).count(),
    };
    let believed: Vec<u64> = node.paths.reachability(|reachability| {
        reachability.take_reach_report(now_ms, sender, digest.reach);
        let reported = digest.unreachable.iter().copied();
        reported
            .filter(|worker| {
                reachability.take_unreachable_report(now_ms, *worker, sender, alive_count)
            })
            .collect()
    });
    let mut roster = node.roster();
    for key in believed {
        let Some(worker) = roster.by_key_mut(key) else {
            continue;
        };
        if !worker.health.is_unreachable(now_ms) {
            let counter = &node.metrics.paths.unreachable_workers_total;
            counter.with_label_values(&["peers"]).inc();
            info!(node.log, "worker unreachable"; "worker" => worker.record.id.as_ref(),
                "by" => "peers", "last_report" => sender.to_string());
        }
        worker.health.note_reported_unreachable(now_ms);
    }
}

/// Applies changes that a lease holder's orders have made at workers.
pub fn apply_orders(
    node: &Node,
    now_ms: u64,
    adapters: &[(u64, ModelKey)],
    withheld: &[(u64, u16)],
) {
    let Some(configuration) = node.configuration() else {
        return;
    };
    let name_of = |service: &str, model: u16| {
        let engine = configuration.services.get(service)?.engine.as_ref()?;
        let model = engine.models.get(usize::from(model))?;
        Some(Arc::clone(&model.name))
    };
    let mut roster = node.roster();
    let mut by_worker: HashMap<u64, HashSet<Arc<str>>> = HashMap::new();
    for (key, model) in withheld {
        let name = roster
            .by_key(*key)
            .and_then(|worker| name_of(&worker.record.service, *model));
        by_worker.entry(*key).or_default().extend(name);
    }
    roster.withhold(by_worker);
    drop(roster);
    apply_adapters(node, now_ms, adapters);
}

/// Adds adapters that have been loaded but are not in the list of workers yet.
fn apply_adapters(node: &Node, now_ms: u64, adapters: &[(u64, ModelKey)]) {
    let Some(configuration) = node.configuration() else {
        return;
    };
    let name_of = |service: &str, model: u16| {
        let engine = configuration.services.get(service)?.engine.as_ref()?;
        let model = engine.models.get(usize::from(model))?;
        Some(Arc::clone(&model.name))
    };
    let mut roster = node.roster();
    for (key, (model, adapter)) in adapters {
        let Some(worker) = roster.by_key_mut(*key) else {
            continue;
        };
        let service = Arc::clone(&worker.record.service);
        if let Some(name) = name_of(&service, *model) {
            worker.note_adapter_loaded(now_ms, &name, &format!("a{adapter}"));
        }
    }
}

/// Applies a peer's demand.
pub fn take_demand(node: &Node, sender: Ipv4Addr, demand: &DemandMessage) {
    let is_new = node.peers().apply_demand(node.now_ms(), sender, demand);
    if is_new && !demand.lacks.is_empty() {
        expected_models::answer(node, sender, &demand.lacks);
    }
    if !is_new || demand.waits_for.is_empty() {
        return;
    }
    let placed: Vec<(u64, Vec<(u64, ModelKey)>)> = node
        .announced()
        .iter()
        .map(|(service, announced)| (worker_key(service), announced.adapters.clone()))
        .collect();
    for (service, adapters) in placed {
        notify_placed(node, service, &adapters);
        node.controller_wanted.notify_one();
    }
}

/// Notifies the peers that wait for adapters of a service of those that have been loaded.
pub fn notify_placed(node: &Node, service: u64, adapters: &[(u64, ModelKey)]) {
    let now_ms = node.now_ms();
    let answers = node.peers().take_satisfied_waits(now_ms, service, adapters);
    for (peer, placed) in answers {
        let peer = SocketAddr::from((peer, node.peer_port()));
        node.send_now(peer, Message::Placed(placed));
    }
}

/// Applies a lease holder's message that adapters have been loaded.
pub fn take_placed(node: &Node, placed: &[(u64, ModelKey)]) {
    apply_adapters(node, node.now_ms(), placed);
    node.roster_changed.notify_waiters();
}
