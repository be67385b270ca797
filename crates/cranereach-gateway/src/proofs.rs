//! Asks peers for proof that the configuration in force is the newest.
//!
//! See [`cranereach_fleet::proof`]. Instances that watch the store answer those that ask them, and
//! these answer others. Each instance asks a few random peers several times per second, so that the
//! number of messages per instance does not grow with the size of the fleet.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::body_transfer;
use crate::messages::Message;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::store_era;
use cranereach_fleet::proof::ProofAnswer;
use cranereach_fleet::proof::ProofQuery;

/// Interval between two rounds of questions, in milliseconds. A peer without a proof answers once it
/// has one, so that further rounds replace lost datagrams and renew proofs that age.
const QUERY_INTERVAL_MS: u64 = 200;

/// Age below which a proof is fresh enough that no other is requested, in milliseconds.
const FRESH_MS: u64 = 300;

/// Asks peers until the process exits.
pub async fn run(node: Arc<Node>) {
    loop {
        // An instance without a proof asks as soon as it has a configuration.
        let configuration_changed = node.configuration_changed.notified();
        tokio::select! {
            () = pause(QUERY_INTERVAL_MS) => {}
            () = configuration_changed => {}
        }
        let now_ms = node.now_ms();
        let (age_ms, question) = {
            let proof = lock(&node.proof);
            (proof.age_ms(now_ms), proof.question(now_ms))
        };
        let reported_ms = age_ms.unwrap_or_else(|| node.up_for_ms());
        node.metrics.configuration_age_ms.set(reported_ms as i64);
        if age_ms.is_some_and(|age_ms| age_ms < FRESH_MS) {
            continue;
        }
        let recipients = node.peers().proof_recipients(now_ms);
        for peer in recipients {
            let peer = SocketAddr::from((peer, node.peer_port()));
            node.send_now(peer, Message::Prove(question));
        }
    }
}

/// Answers a peer's question.
pub fn answer(node: &Node, peer: SocketAddr, question: ProofQuery) {
    let IpAddr::V4(ip) = peer.ip() else { return };
    if node.peers().members().is_known(ip) {
        let evacuations = node.roster().evacuations.list().clone();
        if evacuations.position > question.evacuations_position {
            node.send_now(peer, Message::Evacuations(evacuations));
        }
        let now_ms = node.now_ms();
        let answer = lock(&node.proof).answer(now_ms, question);
        if answer.age_ms.is_none() {
            lock(&node.unanswered_proof_queries).record(now_ms, peer, question);
        }
        node.send_now(peer, Message::Proof(answer));
    }
}

/// Answers the recent queries that came before this instance had a proof, if it has one now.
pub fn answer_unanswered(node: &Node) {
    let now_ms = node.now_ms();
    if lock(&node.proof).age_ms(now_ms).is_none() {
        return;
    }
    let unanswered = lock(&node.unanswered_proof_queries).take(now_ms);
    let count = unanswered.len() as u64;
    node.metrics.proofs_answered_later_total.inc_by(count);
    for (peer, question) in unanswered {
        answer(node, peer, question);
    }
}

/// Applies a peer's answer, and fetches the configuration if the peer has a newer one.
pub fn take(node: &Arc<Node>, peer: Ipv4Addr, answer: &ProofAnswer) {
    node.store.eras().advance_to(answer.era, "peer");
    store_era::enter(node);
    body_transfer::fetch_configuration_if_behind(node, peer, answer.version);
    if lock(&node.proof).take(answer) {
        answer_unanswered(node);
    }
}
