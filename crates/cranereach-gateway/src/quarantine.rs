//! Quarantine of poison requests, which cause the workers that run them to end, and of parts of
//! prompts that do so: records the ends of workers seen here and exchanges them with peers.
//!
//! See [`cranereach_fleet::quarantine`]. Each end of a worker is sent directly to two instances
//! selected by the fingerprint of each suspect, so that it is counted whichever instance receives
//! the next request. From two ends on, all peers are informed through gossip digests.
//! [`persistence`] persists what must survive a restart of all instances, and [`listing`] shows
//! suspects to operators. The check on the request path first compares the body size with those of
//! the known requests, and asks whether any part is known; usually there are none.

mod exoneration;
pub mod listing;
pub mod persistence;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;
use slog::warn;

use self::exoneration::Proof;
pub use self::exoneration::record_progress;
pub use self::exoneration::record_whole_response;
use crate::forward::Call;
use crate::messages::Message;
use crate::node::Node;
use crate::node::lock;
use crate::recipients::Origin;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::fingerprint::Fingerprint;
use cranereach_fleet::quarantine::Change;
use cranereach_fleet::quarantine::GOSSIPED_MAX_COUNT;
use cranereach_fleet::quarantine::Judgement;
use cranereach_fleet::quarantine::KnownEnds;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::quarantine::RequestKeys;
use cranereach_fleet::quarantine::RunPhase;
use cranereach_fleet::quarantine::SuspectKey;
use cranereach_fleet::quarantine::SuspectUpdate;
use cranereach_fleet::quarantine::Suspicion;

/// Number of instances that are notified of a worker's end directly, in addition to the digests.
/// More than one, because an instance may be stopping or the datagram may be lost.
const DIRECT_NOTIFY_COUNT: usize = 2;

/// Returns what is known of a call: under which of its keys workers ended, one after another, and
/// whether it is quarantined.
pub fn judge(node: &Node, call: &Call) -> Judgement {
    let (may_know_content, knows_parts) = {
        let quarantine = lock(&node.quarantine);
        let may_know_content = quarantine.may_know(call.body_bytes());
        (may_know_content, quarantine.knows_parts())
    };
    if !may_know_content && !knows_parts {
        return Judgement::default();
    }
    // Fingerprints are computed without the lock.
    let keys = RequestKeys {
        content: may_know_content.then(|| call.suspect_key(node)),
        parts: if knows_parts {
            call.part_fingerprints(node)
        } else {
            &[]
        },
    };
    lock(&node.quarantine).judge(&keys)
}

/// Returns the key for which a call is quarantined, if it is.
pub fn quarantined_key(node: &Node, call: &Call, judgement: &Judgement) -> Option<SuspectKey> {
    if judgement.content.is_quarantined {
        return Some(call.suspect_key(node));
    }
    judgement.quarantined_part
}

/// Returns the result code of a call that is quarantined for a key.
pub const fn result_code(key: SuspectKey) -> ResultCode {
    if key.is_part() {
        ResultCode::PartQuarantined
    } else {
        ResultCode::Quarantined
    }
}

/// Decides whether a call that was received may be forwarded. Returns the quarantined part that it
/// probes, if it does, or the key for which it is refused.
pub fn admit(node: &Node, call: &Call) -> Result<Option<SuspectKey>, SuspectKey> {
    let judgement = judge(node, call);
    match quarantined_key(node, call, &judgement) {
        None => Ok(None),
        Some(key) if key.is_part() && begin_probe(node, call, key) => Ok(Some(key)),
        Some(key) => Err(key),
    }
}

/// Returns whether a call is to probe a quarantined part: the instance that is first in rank for
/// the part sends one request when it is due.
fn begin_probe(node: &Node, call: &Call, part: SuspectKey) -> bool {
    let now_ms = node.now_ms();
    let is_due = lock(&node.quarantine).is_probe_due(now_ms as i64, part);
    if !is_due || !is_first_in_rank(node, part) {
        return false;
    }
    let begins = lock(&node.quarantine).begin_probe(now_ms as i64, part);
    if begins {
        node.metrics.quarantine.part_probes_total.inc();
        info!(node.log, "quarantined part probed"; "request" => call.id.clone(),
            "fingerprint" => part.fingerprint.to_string());
    }
    begins
}

/// Whether this instance is the first in rank for a suspect.
fn is_first_in_rank(node: &Node, key: SuspectKey) -> bool {
    let ranking_key = key.fingerprint.ranking_key();
    node.peers().members().rank(node.now_ms(), ranking_key) == 0
}

/// Records that a worker ended while it ran a call, which was in a phase. `worker` holds the key of
/// its incarnation and its identity; `known_ends` states for which keys of the call this instance
/// already knew of ends when it sent the call.
pub async fn record_end(
    node: &Arc<Node>,
    call: &Call,
    worker: (u64, &Arc<str>),
    known_ends: KnownEnds,
    phase: RunPhase,
) {
    let content = call.suspect_key(node);
    let was_quarantined = lock(&node.quarantine).suspicion(content).is_quarantined;
    let now_ms = node.now_ms() as i64;
    let keys = RequestKeys {
        content: Some(content),
        parts: call.part_fingerprints(node),
    };
    let new_keys = change(node, |quarantine| {
        let new_keys = quarantine.request_ended(now_ms, &keys, worker.0, known_ends, phase);
        for key in &new_keys {
            let (route, account) = (&call.route.name, &call.account_label);
            quarantine.record_observation(*key, route, account, Some(worker));
        }
        new_keys
    });
    persistence::load_once(node).await;
    let after = lock(&node.quarantine).suspicion(content);
    if after.is_quarantined && !was_quarantined {
        warn!(node.log, "request quarantined"; "request" => call.id.clone(),
            "route" => call.route.name.as_ref(), "account" => call.account_label.clone(),
            "fingerprint" => content.fingerprint.to_string(), "ends" => after.end_count);
        tokio::spawn(persistence::persist(Arc::clone(node)));
    }
    for key in new_keys {
        let suspicion = lock(&node.quarantine).suspicion(key);
        notify_peers(node, key, suspicion);
    }
    update_gauges(node);
}

/// Releases a suspect from quarantine on behalf of an operator. Returns false if this instance does
/// not know it.
pub fn release(node: &Arc<Node>, fingerprint: Fingerprint) -> bool {
    let keys = lock(&node.quarantine).find(fingerprint);
    let cleared = keys
        .into_iter()
        .map(|key| clear(node, key, Proof::now(node, "operator")));
    cleared.fold(false, |any, is_cleared| any | is_cleared)
}

/// Clears the ends of workers recorded for a suspect. Returns false if the proof changes nothing.
fn clear(node: &Arc<Node>, key: SuspectKey, proof: Proof) -> bool {
    let now_ms = node.now_ms() as i64;
    let cleared = change(node, |quarantine| {
        quarantine.clear_as_of(now_ms, key, proof.as_of_ms)
    });
    let Some(before) = cleared else {
        return false;
    };
    let message = if key.is_part() {
        "part cleared"
    } else {
        "request cleared"
    };
    info!(node.log, "{}", message; "fingerprint" => key.fingerprint.to_string(),
        "ends" => before.end_count, "was_quarantined" => before.is_quarantined, "why" => proof.why);
    notify_peers(node, key, before);
    update_gauges(node);
    if before.is_quarantined {
        tokio::spawn(persistence::persist(Arc::clone(node)));
    }
    true
}

/// Changes what is known, and logs which parts are quarantined or no longer are. Whether one is
/// also depends on what is known of others. The instance that is first in rank for the part updates
/// the store.
fn change<R>(node: &Arc<Node>, change: impl FnOnce(&mut Quarantine) -> R) -> R {
    let mut quarantine = lock(&node.quarantine);
    let before = quarantine.quarantined_parts().clone();
    let result = change(&mut quarantine);
    let after = quarantine.quarantined_parts().clone();
    drop(quarantine);
    if before != after {
        note_part_verdicts(node, &before, &after);
    }
    result
}

/// Logs changes of the quarantined parts, and has them stored.
fn note_part_verdicts(
    node: &Arc<Node>,
    before: &BTreeSet<SuspectKey>,
    after: &BTreeSet<SuspectKey>,
) {
    for key in after.difference(before) {
        let quarantine = lock(&node.quarantine);
        let end_count = quarantine.suspicion(*key).end_count;
        let observed = quarantine.observations(*key).cloned().unwrap_or_default();
        drop(quarantine);
        warn!(node.log, "part quarantined"; "fingerprint" => key.fingerprint.to_string(),
            "route" => observed.route.as_ref(), "account" => observed.account.as_ref(),
            "ends" => end_count);
    }
    for key in before.difference(after) {
        info!(node.log, "part no longer quarantined";
            "fingerprint" => key.fingerprint.to_string());
    }
    let mut changed = after.symmetric_difference(before);
    if changed.any(|key| is_first_in_rank(node, *key)) {
        tokio::spawn(persistence::persist(Arc::clone(node)));
    }
}

/// Sends the current state of a suspect to the instances that count the ends of workers during it,
/// and to all peers if more than one end is or was recorded.
fn notify_peers(node: &Node, key: SuspectKey, suspicion: Suspicion) {
    let now_ms = node.now_ms();
    let news = lock(&node.quarantine).update_for(now_ms as i64, key);
    let Some(news) = news else { return };
    let ranking_key = key.fingerprint.ranking_key();
    let recipients = node
        .peers()
        .members()
        .first(now_ms, ranking_key, DIRECT_NOTIFY_COUNT);
    for instance in recipients {
        let address = SocketAddr::from((instance, node.peer_port()));
        node.send_now(address, Message::Suspect(Box::new(news.clone())));
    }
    if suspicion.end_count > 1 {
        node.gossip_news(Origin::Own);
    }
}

/// Applies a peer's reports on suspects.
pub fn take(node: &Arc<Node>, sender: Ipv4Addr, reported: &[SuspectUpdate]) {
    if reported.is_empty() || !node.peers().members().is_known(sender) {
        return;
    }
    let now_ms = node.now_ms() as i64;
    let mut largest_change = Change::None;
    for news in reported.iter().take(GOSSIPED_MAX_COUNT) {
        let key = news.key();
        let (was_quarantined, is_quarantined) = change(node, |quarantine| {
            let was_quarantined = quarantine.suspicion(key).is_quarantined;
            largest_change = largest_change.max(quarantine.apply_update(now_ms, news));
            (was_quarantined, quarantine.suspicion(key).is_quarantined)
        });
        if was_quarantined != is_quarantined {
            info!(node.log, "quarantine heard of"; "fingerprint" => news.fingerprint.to_string(),
                "quarantined" => is_quarantined, "from" => sender.to_string());
        }
    }
    if largest_change > Change::None {
        update_gauges(node);
    }
    if largest_change == Change::Suspicion {
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

/// Counts the refusal of a call for a key and returns the detail text for the log.
pub fn record_refusal(node: &Node, call: &Call, key: SuspectKey) -> String {
    let now_ms = node.now_ms() as i64;
    let mut quarantine = lock(&node.quarantine);
    let count = quarantine.refused(now_ms, key);
    quarantine.record_observation(key, &call.route.name, &call.account_label, None);
    format!("refused here {count} times")
}

/// Updates the gauges of suspected and quarantined requests and parts.
fn update_gauges(node: &Node) {
    let quarantine = lock(&node.quarantine);
    let metrics = &node.metrics.quarantine;
    let part_count = quarantine.known_part_count();
    let request_count = quarantine.known_count() - part_count;
    metrics
        .quarantined_requests
        .set(quarantine.quarantined_count() as i64);
    metrics.suspected_requests.set(request_count as i64);
    metrics
        .quarantined_parts
        .set(quarantine.quarantined_parts().len() as i64);
    metrics.suspected_parts.set(part_count as i64);
}
