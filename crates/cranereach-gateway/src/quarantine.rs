//! Quarantine of poison requests, which cause the workers that run them to end: records the ends
//! of workers seen here and exchanges them with peers.
//!
//! See [`cranereach_fleet::quarantine`]. Each end of a worker is sent directly to two instances
//! selected by the request's fingerprint, so that it is counted whichever instance receives the
//! request next. From two ends on, all peers are informed through gossip digests.
//! [`persistence`] persists what must survive a restart of all instances. The check on the request
//! path first compares the body size with those of the known requests, of which there are usually
//! none.

pub mod persistence;

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
use cranereach_fleet::quarantine::GOSSIPED_MAX_COUNT;
use cranereach_fleet::quarantine::RequestMark;
use cranereach_fleet::quarantine::SuspectReport;
use cranereach_fleet::quarantine::SuspectUpdate;
use cranereach_fleet::quarantine::Suspicion;

/// Number of instances that are notified of a worker's end directly, in addition to the digests.
/// More than one, because an instance may be stopping or the datagram may be lost.
const DIRECT_NOTIFY_COUNT: usize = 2;

/// A request during which workers ended, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Fingerprint of the request content.
    pub fingerprint: String,
    /// The request's route; empty if this instance knows the request only from peers.
    pub route: String,
    /// Metrics label of the client account; empty if there is none.
    pub account: String,
    /// Whether the request is refused.
    pub is_quarantined: bool,
    /// Workers that ended while they ran the request, since its last complete response.
    pub ends: Vec<WorkerEnd>,
    /// Number of times this instance refused the request.
    pub refused_count: u64,
}

/// End of a worker, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEnd {
    /// The worker's identity if this instance saw the end, otherwise the key of its
    /// incarnation.
    pub worker: String,
    /// Time since the end, in milliseconds.
    pub age_ms: i64,
}

/// Returns how many workers ended, one after another, while they ran requests with the fingerprint
/// of a call, and whether the call is quarantined.
pub fn suspicion(node: &Node, call: &Call) -> Suspicion {
    let may_be_known = lock(&node.quarantine).may_know(call.body_bytes());
    if !may_be_known {
        return Suspicion::default();
    }
    lock(&node.quarantine).suspicion(call.mark(node))
}

/// Records that a worker ended while it ran a call. `worker` holds the key of its incarnation and
/// its identity; `earlier_end_known` states whether this instance already knew, when it sent the
/// call, that a worker had ended while it ran a request with the same fingerprint.
pub async fn record_end(
    node: &Arc<Node>,
    call: &Call,
    worker: (u64, &Arc<str>),
    earlier_end_known: bool,
) {
    let mark = call.mark(node);
    let before = record_worker_end(node, call, worker, earlier_end_known);
    persistence::load_once(node).await;
    let after = lock(&node.quarantine).suspicion(mark);
    if after.is_quarantined && !before.is_quarantined {
        warn!(node.log, "request quarantined"; "request" => call.id.clone(),
            "route" => call.route.name.as_ref(), "account" => call.account_label.clone(),
            "fingerprint" => mark.fingerprint.to_string(), "ends" => after.end_count);
        tokio::spawn(persistence::persist(Arc::clone(node)));
    }
    notify_peers(node, mark, after);
}

/// Records the end of a worker. Returns the state of the request before it.
fn record_worker_end(
    node: &Node,
    call: &Call,
    (worker, id): (u64, &Arc<str>),
    earlier_end_known: bool,
) -> Suspicion {
    let now_ms = node.now_ms() as i64;
    let mark = call.mark(node);
    let mut quarantine = lock(&node.quarantine);
    let before = quarantine.suspicion(mark);
    quarantine.ended(now_ms, mark, worker, earlier_end_known);
    let account = &call.account_label;
    quarantine.record_observation(mark, &call.route.name, account, Some((worker, id)));
    before
}

/// Records a complete response to a call, which shows that the request does not cause workers to
/// end.
pub fn record_answer(node: &Arc<Node>, call: &Call) {
    if suspicion(node, call).end_count > 0 {
        clear(node, call.mark(node), "whole answer");
    }
}

/// Releases a request from quarantine on behalf of an operator. Returns false if this instance does
/// not know the request.
pub fn release(node: &Arc<Node>, fingerprint: Fingerprint) -> bool {
    let mark = lock(&node.quarantine).find(fingerprint);
    mark.is_some_and(|mark| clear(node, mark, "operator"))
}

/// Clears the ends of workers recorded for a request. Returns false if there are none.
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
        tokio::spawn(persistence::persist(Arc::clone(node)));
    }
    true
}

/// Sends the current state of a request to the instances that count the ends of workers during it,
/// and to all peers if more than one end is or was recorded.
fn notify_peers(node: &Node, mark: RequestMark, suspicion: Suspicion) {
    let now_ms = node.now_ms();
    let news = lock(&node.quarantine).update_for(now_ms as i64, mark);
    let Some(news) = news else { return };
    let ranking_key = mark.fingerprint.ranking_key();
    let recipients = node
        .peers()
        .members()
        .first(now_ms, ranking_key, DIRECT_NOTIFY_COUNT);
    for instance in recipients {
        let address = SocketAddr::from((instance, node.peer_port()));
        node.send_now(address, Message::Suspect(Box::new(news.clone())));
    }
    update_gauges(node);
    if suspicion.end_count > 1 {
        node.gossip_news(Origin::Own);
    }
}

/// Applies a peer's reports on suspected requests.
pub fn take(node: &Node, sender: Ipv4Addr, reported: &[SuspectUpdate]) {
    if reported.is_empty() || !node.peers().members().is_known(sender) {
        return;
    }
    let now_ms = node.now_ms() as i64;
    let mut change = Change::None;
    for news in reported.iter().take(GOSSIPED_MAX_COUNT) {
        let mut quarantine = lock(&node.quarantine);
        let was_quarantined = quarantine.suspicion(news.mark()).is_quarantined;
        change = change.max(quarantine.apply_update(now_ms, news));
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
        node.gossip_news(Origin::at(node.distance_to(sender)));
    }
}

/// Selects the reports for the next digest and removes expired entries.
pub fn news(node: &Node) -> Vec<SuspectUpdate> {
    let now_ms = node.now_ms() as i64;
    let mut quarantine = lock(&node.quarantine);
    if quarantine.known_count() == 0 {
        return Vec::new();
    }
    quarantine.forget(now_ms);
    quarantine.select_for_digest(now_ms, &mut rand::rng())
}

/// Counts the refusal of a call and returns the detail text for the log.
pub fn record_refusal(node: &Node, call: &Call) -> String {
    let mark = call.mark(node);
    let now_ms = node.now_ms() as i64;
    let mut quarantine = lock(&node.quarantine);
    let count = quarantine.refused(now_ms, mark);
    quarantine.record_observation(mark, &call.route.name, &call.account_label, None);
    format!("refused here {count} times")
}

/// Lists the requests during which workers ended, for operators.
pub fn show(node: &Node) -> Vec<SuspectRequest> {
    let now_ms = node.now_ms() as i64;
    let quarantine = lock(&node.quarantine);
    let listed = quarantine.list();
    listed.map(|listed| describe(now_ms, &listed)).collect()
}

/// Converts one entry to the form shown to operators.
fn describe(now_ms: i64, listed: &SuspectReport) -> SuspectRequest {
    let worker_name = |key: u64| {
        let mut observed = listed.observed.workers.iter();
        let observed = observed.find(|(observed_key, _)| *observed_key == key);
        observed.map_or_else(|| format!("{key:016x}"), |(_, id)| id.to_string())
    };
    let ends = listed.ends.iter().map(|end| WorkerEnd {
        worker: worker_name(end.worker),
        age_ms: now_ms - end.at_ms,
    });
    SuspectRequest {
        fingerprint: listed.fingerprint.to_string(),
        route: listed.observed.route.to_string(),
        account: listed.observed.account.to_string(),
        is_quarantined: listed.suspicion.is_quarantined,
        ends: ends.collect(),
        refused_count: listed.observed.refused_count,
    }
}

/// Updates the gauges of suspected and quarantined requests.
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
