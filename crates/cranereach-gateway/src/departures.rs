//! Tracks workers that announce that they are leaving, from their responses and from other
//! instances, and stops sending to them at once.
//!
//! See [`cranereach_fleet::departure`]. An instance that learns of a departure repeats it in its
//! digests for some seconds, and owners include it in their answers about a worker. The store is
//! not relied on for this, because it may be unavailable.

use std::sync::Arc;

use rand::seq::IteratorRandom;
use slog::info;

use crate::node::Node;
use crate::node::lock;
use crate::send_permit::Permit;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::departure::DepartureSource;
use cranereach_fleet::key::worker_key;

/// Maximum number of departures in one digest; if there are more, each digest contains a random
/// sample.
const GOSSIPED_MAX_COUNT: usize = 64;

/// Applies a worker's announcement that it is leaving.
pub fn record_announcement(node: &Node, permit: &Permit) {
    let now_ms = node.now_ms();
    let (is_new, news) = {
        let mut roster = node.roster();
        let is_new = roster.note_leaving_announced(now_ms, &permit.worker, permit.started_unix_ms);
        (is_new, roster.departure_news(&permit.worker))
    };
    if is_new {
        log_and_wake(node, &permit.worker, DepartureSource::Worker);
        queue_for_gossip(node, now_ms, news.as_slice());
    }
}

/// Applies departures reported by another instance, and passes on those that are new.
pub fn take(node: &Node, reported: &[DepartureNews]) {
    if reported.is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let reported = reported.iter().take(GOSSIPED_MAX_COUNT);
    let new: Vec<(DepartureNews, Option<Arc<str>>)> = {
        let mut roster = node.roster();
        let new = reported.filter(|news| roster.note_leaving_reported(now_ms, news));
        let new: Vec<DepartureNews> = new.copied().collect();
        let id = |news: &DepartureNews| {
            let worker = roster.by_key(news.worker)?;
            Some(Arc::clone(&worker.record.id))
        };
        new.into_iter().map(|news| (news, id(&news))).collect()
    };
    for worker in new.iter().filter_map(|(_, id)| id.as_ref()) {
        log_and_wake(node, worker, DepartureSource::Peer);
    }
    let new: Vec<DepartureNews> = new.into_iter().map(|(news, _)| news).collect();
    queue_for_gossip(node, now_ms, &new);
}

/// Applies the report of a worker's owner that the given incarnation of the worker is leaving.
pub fn take_owner_report(node: &Node, worker: u64, start: Option<u64>) {
    if let Some(start) = start {
        take(node, &[DepartureNews { worker, start }]);
    }
}

/// Returns the departures for the next digest.
pub fn news(node: &Node) -> Vec<DepartureNews> {
    let recent = lock(&node.recent_departures);
    recent
        .updates()
        .sample(&mut rand::rng(), GOSSIPED_MAX_COUNT)
}

/// Returns the departures for an instance that does not know any workers yet.
pub fn all(node: &Node) -> Vec<DepartureNews> {
    let roster = node.roster();
    let leaving = roster.workers().filter_map(|worker| {
        Some(DepartureNews {
            start: worker.leaving_start()?,
            worker: worker_key(&worker.record.id),
        })
    });
    leaving.sample(&mut rand::rng(), GOSSIPED_MAX_COUNT)
}

/// Queues departures for the next digests to peers.
pub(crate) fn queue_for_gossip(node: &Node, now_ms: u64, news: &[DepartureNews]) {
    if lock(&node.recent_departures).add(now_ms, news, PartialEq::eq) {
        node.digest_wanted.notify_one();
    }
}

/// Logs that a worker is leaving, and wakes the calls that wait for it and the controller.
fn log_and_wake(node: &Node, worker: &str, reporter: DepartureSource) {
    info!(node.log, "worker leaves"; "worker" => worker, "by" => reporter.name());
    // Waiting calls select another worker, and the controller places the worker's models elsewhere.
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
}
