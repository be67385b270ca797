//! Requests under which workers ended: what this instance sees of them, and what it
//! tells and hears.
//!
//! See [`cranereach_fleet::quarantine`]. Each end goes to two instances that the request's
//! fingerprint picks, so that it is counted wherever the request comes to next; from two
//! ends on all are told, in digests. [`lasting`] keeps what must outlive all instances. A
//! call costs a look at the sizes of the requests that are known, mostly none.

pub mod lasting;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::forward::Call;
use crate::messages::Message;
use crate::node::Node;
use crate::node::lock;
use crate::recipients::Origin;
use cranereach_fleet::fingerprint::Fingerprint;
use cranereach_fleet::quarantine::Change;
use cranereach_fleet::quarantine::Listed;
use cranereach_fleet::quarantine::RequestMark;
use cranereach_fleet::quarantine::SuspectNews;
use cranereach_fleet::quarantine::Suspicion;
use cranereach_fleet::quarantine::TOLD_MAX_COUNT;

/// Instances that an end is told to beside digests: one may be stopping, or the datagram
/// be lost.
const DIRECT_NOTIFY_COUNT: usize = 2;

/// A request under which workers ended, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Fingerprint of what is asked for.
    pub fingerprint: String,
    /// Its route; empty where this instance only heard of it.
    pub route: String,
    /// Its client account in metrics; empty where there is none.
    pub account: String,
    /// Whether it is refused.
    pub is_quarantined: bool,
    /// Workers that ended under it since the last whole answer.
    pub ends: Vec<WorkerEnd>,
    /// Times that it was refused here.
    pub refused_count: u64,
}

/// An end of a worker, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEnd {
    /// The worker's identity where this instance saw its end, else the key of its start.
    pub worker: String,
    /// How long ago, in milliseconds.
    pub age_ms: i64,
}

/// Returns what is held against a call.
pub fn suspicion(node: &Node, call: &Call) -> Suspicion {
    let may_be_known = lock(&node.quarantine).may_know(call.body_bytes());
    if !may_be_known {
        return Suspicion::default();
    }
    lock(&node.quarantine).suspicion(call.mark(node))
}

/// Notes that a worker, of which the key of its start and the identity are given, ended
/// under a call. `knew_of_others` says whether an earlier end was known here when the
/// call was sent.
pub async fn ended(node: &Arc<Node>, call: &Call, worker: (u64, &Arc<str>), knew_of_others: bool) {
    let mark = call.mark(node);
    let before = record_worker_end(node, call, worker, knew_of_others);
    lasting::load_once(node).await;
    let after = lock(&node.quarantine).suspicion(mark);
    if after.is_quarantined && !before.is_quarantined {
        warn!(node.log, "request quarantined"; "request" => call.id.clone(),
            "route" => call.route.name.as_ref(), "account" => call.account_label.clone(),
            "fingerprint" => mark.fingerprint.to_string(), "ends" => after.end_count);
        tokio::spawn(lasting::keep(Arc::clone(node)));
    }
    notify_peers(node, mark, after);
}

/// Notes the end of a worker; returns what was held against the request before.
fn record_worker_end(
    node: &Node,
    call: &Call,
    (worker, id): (u64, &Arc<str>),
    knew_of_others: bool,
) -> Suspicion {
    let now_ms = node.now_ms() as i64;
    let mark = call.mark(node);
    let mut quarantine = lock(&node.quarantine);
    let before = quarantine.suspicion(mark);
    quarantine.ended(now_ms, mark, worker, knew_of_others);
    let account = &call.account_label;
    quarantine.note(mark, &call.route.name, account, Some((worker, id)));
    before
}

/// Notes that a call was answered whole: it ends no workers.
pub fn answered(node: &Arc<Node>, call: &Call) {
    if suspicion(node, call).end_count > 0 {
        clear(node, call.mark(node), "whole answer");
    }
}

/// Lets a request through again, as an operator asks; false if it isn't known here.
pub fn release(node: &Arc<Node>, fingerprint: Fingerprint) -> bool {
    let mark = lock(&node.quarantine).find(fingerprint);
    mark.is_some_and(|mark| clear(node, mark, "operator"))
}

/// Takes back what is held against a request; false if nothing is.
fn clear(node: &Arc<Node>, mark: RequestMark, why: &str) -> bool {
    let now_ms = node.now_ms() as i64;
    let cleared = lock(&node.quarantine).clear(now_ms, mark);
    let Some(before) = cleared else {
        return false;
    };
    info!(node.log, "request cleared"; "fingerprint" => mark.fingerprint.to_string(),
        "ends" => before.end_count, "was_quarantined" => before.is_quarantined, "why" => why);
    notify_peers(node, mark, before);
    if before.is_quarantined {
        tokio::spawn(lasting::keep(Arc::clone(node)));
    }
    true
}

/// Tells what has changed of a request against which something is or was held: those who
/// count its ends, and everybody where it matters to all.
fn notify_peers(node: &Node, mark: RequestMark, held: Suspicion) {
    let now_ms = node.now_ms();
    let news = lock(&node.quarantine).news_of(now_ms as i64, mark);
    let Some(news) = news else { return };
    let purpose = mark.fingerprint.purpose();
    let recipients = node
        .peers()
        .members()
        .first(now_ms, purpose, DIRECT_NOTIFY_COUNT);
    for instance in recipients {
        let address = SocketAddr::from((instance, node.peer_port()));
        node.send_now(address, Message::Suspect(Box::new(news.clone())));
    }
    update_gauges(node);
    if held.end_count > 1 {
        node.tell_news(Origin::Own);
    }
}

/// Takes what a peer tells of requests.
pub fn take(node: &Node, sender: Ipv4Addr, told: &[SuspectNews]) {
    if told.is_empty() || !node.peers().members().is_known(sender) {
        return;
    }
    let now_ms = node.now_ms() as i64;
    let mut change = Change::None;
    for news in told.iter().take(TOLD_MAX_COUNT) {
        let mut quarantine = lock(&node.quarantine);
        let was_quarantined = quarantine.suspicion(news.mark()).is_quarantined;
        change = change.max(quarantine.take(now_ms, news));
        let is_quarantined = quarantine.suspicion(news.mark()).is_quarantined;
        drop(quarantine);
        if was_quarantined != is_quarantined {
            info!(node.log, "quarantine heard of"; "fingerprint" => news.fingerprint.to_string(),
                "quarantined" => is_quarantined, "from" => sender.to_string());
        }
    }
    if change > Change::None {
        update_gauges(node);
    }
    if change == Change::Suspicion {
        node.tell_news(Origin::at(node.distance_to(sender)));
    }
}

/// Chooses what the next digest tells, and forgets what is old.
pub fn news(node: &Node) -> Vec<SuspectNews> {
    let now_ms = node.now_ms() as i64;
    let mut quarantine = lock(&node.quarantine);
    if quarantine.known_count() == 0 {
        return Vec::new();
    }
    quarantine.forget(now_ms);
    quarantine.news(now_ms, &mut rand::rng())
}

/// Notes that a call is refused; returns what the log is to say of it.
pub fn refused(node: &Node, call: &Call) -> String {
    let mark = call.mark(node);
    let now_ms = node.now_ms() as i64;
    let mut quarantine = lock(&node.quarantine);
    let count = quarantine.refused(now_ms, mark);
    quarantine.note(mark, &call.route.name, &call.account_label, None);
    format!("refused here {count} times")
}

/// Lists the requests under which workers ended, for operators.
pub fn show(node: &Node) -> Vec<Shown> {
    let now_ms = node.now_ms() as i64;
    let quarantine = lock(&node.quarantine);
    let listed = quarantine.list();
    listed.map(|listed| describe(now_ms, &listed)).collect()
}

/// Writes one request for operators.
fn describe(now_ms: i64, listed: &Listed) -> Shown {
    let worker_name = |key: u64| {
        let mut seen = listed.seen.workers.iter();
        let seen = seen.find(|(seen_key, _)| *seen_key == key);
        seen.map_or_else(|| format!("{key:016x}"), |(_, id)| id.to_string())
    };
    let ends = listed.ends.iter().map(|end| WorkerEnd {
        worker: worker_name(end.worker),
        age_ms: now_ms - end.at_ms,
    });
    Shown {
        fingerprint: listed.fingerprint.to_string(),
        route: listed.seen.route.to_string(),
        account: listed.seen.account.to_string(),
        is_quarantined: listed.suspicion.is_quarantined,
        ends: ends.collect(),
        refused_count: listed.seen.refused_count,
    }
}

/// Brings the gauges up to what is known.
fn update_gauges(node: &Node) {
    let quarantine = lock(&node.quarantine);
    let metrics = &node.metrics;
    metrics
        .quarantined_requests
        .set(quarantine.quarantined_count() as i64);
    metrics
        .suspected_requests
        .set(quarantine.known_count() as i64);
}
