//! Hears from answers and from other instances which workers leave, and stops sending to
//! them at once.
//!
//! See [`cranereach_fleet::departure`]. Who learns of one tells it on with its digests for
//! some seconds, and owners tell whoever asks them how the worker stands: a store that is
//! silent would tell nobody.

use std::sync::Arc;

use rand::seq::IteratorRandom;
use slog::info;

use crate::node::Node;
use crate::node::lock;
use crate::send_permit::Permit;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::departure::Teller;
use cranereach_fleet::key::worker_key;

/// Departures that one digest tells at most; where more are told, each digest draws others.
const GOSSIPED_MAX_COUNT: usize = 64;

/// Takes the word of a worker that it leaves.
pub fn heard(node: &Node, permit: &Permit) {
    let now_ms = node.now_ms();
    let (is_new, news) = {
        let mut roster = node.roster();
        let is_new = roster.heard_leaving(now_ms, &permit.worker, permit.started_unix_ms);
        (is_new, roster.departure_news(&permit.worker))
    };
    if is_new {
        log_and_wake(node, &permit.worker, Teller::Worker);
        tell(node, now_ms, news.as_slice());
    }
}

/// Takes another instance's words on workers that leave, and tells on what is new.
pub fn take(node: &Node, reported: &[DepartureNews]) {
    if reported.is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let reported = reported.iter().take(GOSSIPED_MAX_COUNT);
    let new: Vec<(DepartureNews, Option<Arc<str>>)> = {
        let mut roster = node.roster();
        let new = reported.filter(|news| roster.told_leaving(now_ms, news));
        let new: Vec<DepartureNews> = new.copied().collect();
        let id = |news: &DepartureNews| {
            let worker = roster.by_key(news.worker)?;
            Some(Arc::clone(&worker.record.id))
        };
        new.into_iter().map(|news| (news, id(&news))).collect()
    };
    for worker in new.iter().filter_map(|(_, id)| id.as_ref()) {
        log_and_wake(node, worker, Teller::Peer);
    }
    let new: Vec<DepartureNews> = new.into_iter().map(|(news, _)| news).collect();
    tell(node, now_ms, &new);
}

/// Takes the word of a worker's owner that a start of it leaves.
pub fn take_owners(node: &Node, worker: u64, start: Option<u64>) {
    if let Some(start) = start {
        take(node, &[DepartureNews { worker, start }]);
    }
}

/// Returns what a digest tells.
pub fn news(node: &Node) -> Vec<DepartureNews> {
    let recent = lock(&node.recent_departures);
    recent.told().sample(&mut rand::rng(), GOSSIPED_MAX_COUNT)
}

/// Returns what an instance is told that knows no worker yet.
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

/// Tells peers with the next digests.
pub(crate) fn tell(node: &Node, now_ms: u64, news: &[DepartureNews]) {
    if lock(&node.recent_departures).learn(now_ms, news, PartialEq::eq) {
        node.digest_wanted.notify_one();
    }
}

/// Logs that a worker leaves, and wakes whoever waits for it or orders it.
fn log_and_wake(node: &Node, worker: &str, teller: Teller) {
    info!(node.log, "worker leaves"; "worker" => worker, "by" => teller.name());
    // Calls that wait for it look elsewhere, and what it holds is planned elsewhere.
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
}
