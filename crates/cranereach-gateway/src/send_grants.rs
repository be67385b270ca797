//! Asks the owners of rate-limited workers for permission to send a request: cold workers, and
//! workers that announce a limit.
//!
//! See [`cranereach_fleet::send_grants`]. For all other workers no message is sent. Questions and
//! answers both carry what the sender knows of the worker's limit, so that an owner need not have
//! heard of the limit before.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::brittle_workers;
use crate::messages::GrantAsk;
use crate::messages::Message;
use crate::messages::SendGrant;
use crate::named_limits;
use crate::node::Node;
use crate::node::lock;
use cranereach_fleet::brittle::ASK_AGAIN_AFTER_MS;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::send_grants;
use cranereach_fleet::send_grants::GRANT_VALID_MS;
use cranereach_fleet::send_grants::Ownership;
use cranereach_fleet::send_grants::SendAnswer;
use cranereach_fleet::send_grants::SendRule;
use cranereach_fleet::worker::Worker;

/// Time before the owner of a worker is asked again after it did not answer, in milliseconds.
const UNANSWERED_PAUSE_MS: u64 = 100;

/// Reason why the request rate to a worker is limited.
#[derive(Clone, Copy, Debug)]
struct SendConstraint {
    is_cold: bool,
    limit: Option<LimitReport>,
}

/// Whether one request of a given priority rank may be sent to a worker now.
///
/// A limit announced by the worker applies to requests of every purpose. The limit of a cold worker
/// applies to callers' requests only, since its declaration refers to these.
pub async fn may_send(node: &Node, worker: &Arc<str>, purpose: Purpose, rank: u8) -> bool {
    let asked_at_ms = node.now_ms();
    let Some(constraint) = constraint(node, worker, purpose) else {
        return true;
    };
    let answer = ask(node, worker_key(worker), constraint, rank).await;
    // An answer read after the process was suspended may have expired.
    let now_ms = node.now_ms();
    let timely_answer = answer.filter(|_| now_ms <= asked_at_ms + GRANT_VALID_MS);
    let (outcome, wait_ms) = match timely_answer {
        Some(SendAnswer::Send) => ("granted", 0),
        Some(SendAnswer::After(wait_ms)) => ("refused", wait_ms),
        None => ("unanswered", UNANSWERED_PAUSE_MS),
    };
    let reason = if constraint.limit.is_some() {
        "limited"
    } else {
        "cold"
    };
    let counter = &node.metrics.grants.send_grants_total;
    counter.with_label_values(&[reason, outcome]).inc();
    if wait_ms > 0
        && let Some(worker) = node.roster().get_mut(worker)
    {
        worker
            .ask_pause
            .refused_until(usize::from(rank), now_ms + wait_ms);
    }
    wait_ms == 0
}

/// Returns why the request rate to a worker is limited, or `None` if it is not.
fn constraint(node: &Node, worker: &str, purpose: Purpose) -> Option<SendConstraint> {
    let now_ms = node.now_ms();
    let (may_be_cold, limit, service) = {
        let roster = node.roster();
        let may_be_cold = purpose == Purpose::Call && roster.is_cold(now_ms, worker);
        let known = roster.get(worker)?;
        let limit = limit_in_force(known, now_ms);
        if !may_be_cold && limit.is_none() {
            return None;
        }
        (may_be_cold, limit, Arc::clone(&known.record.service))
    };
    let cold_start = node
        .service(&service)
        .and_then(|service| service.cold_start);
    let is_cold = may_be_cold && cold_start.is_some();
    (is_cold || limit.is_some()).then_some(SendConstraint { is_cold, limit })
}

/// Returns the report of a worker's limit if one is in force.
fn limit_in_force(worker: &Worker, now_ms: u64) -> Option<LimitReport> {
    let report = worker.limit_report(now_ms);
    report.filter(|report| report.rate_per_s.is_some())
}

/// Asks the owner of a worker for permission to send one request. Returns `None` if it does not
/// answer.
async fn ask(node: &Node, worker: u64, constraint: SendConstraint, rank: u8) -> Option<SendAnswer> {
    let ask = GrantAsk {
        ticket: 0,
        worker,
        rank,
        is_cold: constraint.is_cold,
        limit: constraint.limit,
        brittle: None,
    };
    let owner = send_grants::other_owner(node.peers().members(), node.now_ms(), worker);
    let Some(owner) = owner else {
        return grant(node, &ask).map(|(answer, _limit)| answer);
    };
    let granted = ask_owner(node, owner, ask).await?;
    if let Some(limit) = &granted.limit {
        named_limits::apply_peer_limit(node, worker, limit);
    }
    let refused = granted.wait_ms.map(|wait_ms| {
        // A refusal without a wait must not be taken for a grant.
        SendAnswer::After(u64::from(wait_ms).max(1))
    });
    Some(refused.unwrap_or(SendAnswer::Send))
}

/// Sends a question to another instance, under a new ticket, and waits for its answer as long as a
/// grant is valid.
pub async fn ask_owner(node: &Node, owner: Ipv4Addr, ask: GrantAsk) -> Option<SendGrant> {
    let mut question = node.grant_questions.open();
    let ask = GrantAsk {
        ticket: question.ticket,
        ..ask
    };
    let deadline = node.instant(node.now_ms() + GRANT_VALID_MS);
    let owner = SocketAddr::from((owner, node.peer_port()));
    node.send_now(owner, Message::MaySend(ask));
    let answered = tokio::time::timeout_at(deadline, question.answers.recv()).await;
    answered.ok().flatten()
}

/// Answers a peer that considers this instance the owner of a worker. Sends no answer if the worker
/// is unknown here.
pub fn answer(node: &Node, peer: SocketAddr, ask: &GrantAsk) {
    let IpAddr::V4(ip) = peer.ip() else { return };
    if !node.peers().members().is_known(ip) {
        return;
    }
    let granted = match ask.brittle {
        Some(brittle) if brittle_workers::grant(node, ip, ask.worker, brittle) => {
            Some((SendAnswer::Send, None))
        }
        Some(_) => Some((SendAnswer::After(ASK_AGAIN_AFTER_MS), None)),
        None => grant(node, ask),
    };
    let Some((answer, limit)) = granted else {
        return;
    };
    let wait_ms = match answer {
        SendAnswer::Send => None,
        SendAnswer::After(wait_ms) => Some(u32::try_from(wait_ms).unwrap_or(u32::MAX)),
    };
    let grant = SendGrant {
        ticket: ask.ticket,
        worker: ask.worker,
        wait_ms,
        limit,
    };
    node.send_now(peer, Message::SendGranted(grant));
}

/// Decides on one request to a worker according to this instance's ownership of it. Returns the
/// decision and the worker's limit as known here, or `None` if the worker is unknown.
fn grant(node: &Node, ask: &GrantAsk) -> Option<(SendAnswer, Option<LimitReport>)> {
    if let Some(limit) = &ask.limit {
        named_limits::apply_peer_limit(node, ask.worker, limit);
    }
    let now_ms = node.now_ms();
    let (service, limit) = {
        let roster = node.roster();
        let worker = roster.by_key(ask.worker)?;
        (
            Arc::clone(&worker.record.service),
            worker.limit_report(now_ms),
        )
    };
    let bounds = &node.settings.bounds;
    let cold_start = node.service(&service)?.cold_start.filter(|_| ask.is_cold);
    let cold_rule = cold_start.map(|cold_start| {
        SendRule::of_cold(
            cold_start.rate_per_s,
            bounds.cold_excess_ratio,
            bounds.cold_allowance_count,
        )
    });
    let limit_rule = limit
        .and_then(|report| report.rate_per_s)
        .map(SendRule::of_limit);
    let rules: Vec<SendRule> = cold_rule.into_iter().chain(limit_rule).collect();
    let ownership = Ownership::of(node.peers().members(), now_ms, ask.worker, node.up_for_ms());
    let answer = lock(&node.send_grants).ask(now_ms, ask.worker, &rules, ask.rank, ownership);
    Some((answer, limit))
}
