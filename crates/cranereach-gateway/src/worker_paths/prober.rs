//! Probes paths that fail or are suspected to, so that the instance notices within a second that
//! they are cut or back.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::seq::IteratorRandom;
use slog::info;

use super::connect_directly;
use super::open;
use crate::node::Node;
use crate::node::lock;
use crate::worker_headers::DEFAULT_KEEP_ALIVE_MS;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::reachability::PathPlan;

/// Interval between two rounds while some path fails, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 250;

/// Probes paths until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut next_round_ms = 0;
    loop {
        let wanted = node.paths.probe_wanted.notified();
        let now_ms = node.now_ms();
        let suspect = lock(&node.paths.suspect).take();
        if let Some(suspect) = suspect {
            tokio::spawn(probe_suspect(Arc::clone(&node), suspect));
        }
        update_isolation(&node, now_ms);
        let is_isolated = node.paths.isolated_for_ms(now_ms).is_some();
        if now_ms >= next_round_ms {
            next_round_ms = now_ms + ROUND_INTERVAL_MS;
            probe_round(&node, now_ms, is_isolated);
        }
        let has_probed_paths = node
            .paths
            .reachability(|reachability| reachability.has_probed_paths(now_ms));
        if is_isolated || has_probed_paths {
            // New evidence ends the wait early, but no round comes before its time.
            let _waited = tokio::time::timeout_at(node.instant(next_round_ms), wanted).await;
        } else {
            wanted.await;
        }
    }
}

/// Probes some of the paths that fail. An isolated instance also probes another worker: if only
/// the paths to a few workers are cut, that shows at once.
fn probe_round(node: &Arc<Node>, now_ms: u64, is_isolated: bool) {
    let due = node
        .paths
        .reachability(|reachability| reachability.probes_due(now_ms));
    let other = if is_isolated { any_worker(node) } else { None };
    for worker in due.into_iter().chain(other) {
        tokio::spawn(probe_directly(Arc::clone(node), worker));
    }
}

/// Returns the key of a random listed worker.
fn any_worker(node: &Node) -> Option<u64> {
    let roster = node.roster();
    let any = roster.workers().choose(&mut rand::rng());
    any.map(|worker| worker_key(&worker.record.id))
}

/// Connects to a worker directly, and keeps the connection for the next call.
async fn probe_directly(node: Arc<Node>, worker: u64) {
    let Some((id, pool)) = node.pool_by_key(worker) else {
        node.paths
            .reachability(|reachability| reachability.forget(worker));
        return;
    };
    if let Ok(connection) = connect_directly(&node, &id, &pool).await {
        connection.keep_for(DEFAULT_KEEP_ALIVE_MS);
    }
    node.paths.probe_wanted.notify_one();
}

/// Connects to a worker on all paths, to find out whether it or the direct path fails.
async fn probe_suspect(node: Arc<Node>, worker: Arc<str>) {
    let address = node
        .roster()
        .get(&worker)
        .map(|known| known.record.address.clone());
    let Some(address) = address else { return };
    let pool = node.pool(&worker, &address);
    if let Ok(connection) = open(&node, &worker, &pool, PathPlan::NEW_BY_ANY).await {
        connection.keep_for(DEFAULT_KEEP_ALIVE_MS);
    }
    node.paths.probe_wanted.notify_one();
}

/// Updates whether this instance is isolated from the workers, and tells operators, peers and
/// waiting calls when that changes.
fn update_isolation(node: &Node, now_ms: u64) {
    let paths = &node.paths;
    let report = paths.reachability(|reachability| reachability.report(now_ms));
    let is_isolated = paths.is_isolated(now_ms);
    let gauge = &node.metrics.paths.reached_workers_percent;
    gauge.set(i64::from(report.reached_percent));
    let before_ms = paths.isolated_since_ms.load(Ordering::Acquire);
    if is_isolated == (before_ms > 0) {
        paths.changed.notify_waiters();
        return;
    }
    let since_ms = if is_isolated { now_ms.max(1) } else { 0 };
    paths.isolated_since_ms.store(since_ms, Ordering::Release);
    node.metrics.paths.is_isolated.set(i64::from(is_isolated));
    if is_isolated {
        info!(node.log, "isolated from workers";
            "reached_percent" => report.reached_percent);
    } else {
        info!(node.log, "workers reached again"; "after_ms" => now_ms.saturating_sub(before_ms));
    }
    paths.changed.notify_waiters();
    node.controller_wanted.notify_one();
    node.digest_wanted.notify_one();
}
