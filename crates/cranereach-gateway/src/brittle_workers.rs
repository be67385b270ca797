//! Workers that say in their answers that they are brittle: they fall over if they have to turn away
//! too many requests in one second.
//!
//! See [`cranereach_fleet::brittle`]. The owner that knows the worker's load passes on with its
//! answers what it has heard of the worker and its service. The owner of its send grants grants each
//! request.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::StatusCode;
use slog::info;

use crate::messages::BrittleEnd;
use crate::messages::GrantAsk;
use crate::messages::Message;
use crate::node::Node;
use crate::node::lock;
use crate::owners;
use crate::send_grants;
use crate::send_permit::Permit;
use cranereach_fleet::brittle::BrittleAsk;
use cranereach_fleet::brittle::BrittleNotice;
use cranereach_fleet::brittle::BrittleReport;
use cranereach_fleet::brittle::KnownBrittleness;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::roster::BrittleAnswer;
use cranereach_fleet::send_grants::GRANT_VALID_MS;
use cranereach_fleet::send_grants::Ownership;
use cranereach_fleet::send_grants::other_owner;

/// Applies what a worker's response says about its brittleness.
pub fn apply_response(
    node: &Node,
    permit: &Permit,
    notice: BrittleNotice,
    status: StatusCode,
    is_expected_response: bool,
) {
    let worker = &permit.worker;
    let now_ms = node.now_ms();
    let may_deny = is_expected_response && permit.purpose == Purpose::Call && status.is_success();
    let answer = BrittleAnswer {
        notice,
        may_deny,
        sent_ms: permit.sent_ms,
    };
    let update = node.roster().note_brittle_answer(now_ms, worker, answer);
    if update.has_changed {
        info!(node.log, "worker brittle"; "worker" => worker.as_ref(),
            "borne_count" => update.reported_count);
    }
    if let Some(borne_count) = update.reported_count {
        owners::report_brittle(node, worker, borne_count);
    }
}

/// Applies what another instance has heard of a worker's brittleness. `worker` is the worker's key.
pub fn apply_report(node: &Node, worker: u64, report: BrittleReport) {
    let now_ms = node.now_ms();
    node.roster().note_brittle_report(now_ms, worker, report);
}

/// A grant for a request to a brittle worker. The owner that granted it is told when the request
/// ends, which is when this is dropped.
#[derive(Debug)]
pub struct Grant {
    node: Arc<Node>,
    owner: Option<Ipv4Addr>,
    end: BrittleEnd,
}

impl Grant {
    /// Records that the worker turned the request away for want of room.
    pub fn rejected(&mut self) {
        self.end.was_rejected = true;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        match self.owner {
            Some(owner) => {
                let owner = SocketAddr::from((owner, self.node.peer_port()));
                self.node.send_now(owner, Message::BrittleEnd(self.end));
            }
            None => take_end(&self.node, self.node.own_ip(), self.end),
        }
    }
}

/// Result of a question whether a request may be sent to a worker that may be brittle.
#[derive(Debug)]
pub enum Granted {
    /// The worker is not taken to be brittle.
    NotNeeded,
    /// It may be sent.
    Yes(Grant),
    /// It may not be sent now, or the owner did not answer.
    No,
}

/// Returns whether a worker is taken to be brittle for a request that is about to be sent; counts
/// what that rests on, and logs it if it has changed. None if the worker is unknown.
fn known_for_send(node: &Node, worker: &str) -> Option<KnownBrittleness> {
    let now_ms = node.now_ms();
    let (known, before) = {
        let mut roster = node.roster();
        let known = roster.brittleness(now_ms, worker)?;
        let before = roster.replaced_brittle_source(now_ms, worker, known.source);
        (known, before)
    };
    let source = known.source.name();
    let counter = &node.metrics.grants.brittle_knowledge_total;
    counter.with_label_values(&[source]).inc();
    if let Some(before) = before {
        info!(node.log, "brittleness known by"; "worker" => worker, "source" => source,
            "before" => before.name(), "borne_count" => known.borne_count,
            "age_ms" => known.age_ms);
    }
    Some(known)
}

/// Asks whether a request that ends by a deadline may be sent to a worker, as far as the worker's
/// brittleness goes. Without the owner's answer nothing is sent.
pub async fn ask(node: &Arc<Node>, worker: &Arc<str>, deadline_at_ms: u64) -> Granted {
    let asked_at_ms = node.now_ms();
    let Some(known) = known_for_send(node, worker) else {
        return Granted::NotNeeded;
    };
    let Some(borne_count) = known.borne_count else {
        return Granted::NotNeeded;
    };
    let question = BrittleAsk {
        borne_count,
        request: rand::random(),
        ends_within_ms: deadline_at_ms.saturating_sub(asked_at_ms) as u32,
    };
    let key = worker_key(worker);
    let owner = other_owner(node.peers().members(), asked_at_ms, key);
    let answer = match owner {
        Some(owner) => ask_owner(node, key, question, owner).await,
        None => Some(grant(node, node.own_ip(), key, question)),
    };
    let outcome = match answer {
        Some(true) => "granted",
        Some(false) => "refused",
        None => "unanswered",
    };
    let counter = &node.metrics.grants.send_grants_total;
    counter.with_label_values(&["brittle", outcome]).inc();
    if answer == Some(false) {
        return Granted::No;
    }
    let grant = Grant {
        node: Arc::clone(node),
        owner,
        end: BrittleEnd {
            worker: key,
            request: question.request,
            was_rejected: false,
        },
    };
    // A late answer may have granted it, so the owner is told of the end in any case.
    let is_timely = answer.is_some() && node.now_ms() <= asked_at_ms + GRANT_VALID_MS;
    if is_timely {
        Granted::Yes(grant)
    } else {
        Granted::No
    }
}

/// Asks the owner of a worker; returns none if it does not answer.
async fn ask_owner(node: &Node, worker: u64, brittle: BrittleAsk, owner: Ipv4Addr) -> Option<bool> {
    let ask = GrantAsk {
        ticket: 0,
        worker,
        rank: 0,
        is_cold: false,
        limit: None,
        brittle: Some(brittle),
    };
    let granted = send_grants::ask_owner(node, owner, ask).await?;
    Some(granted.wait_ms.is_none())
}

/// Decides as the owner of a worker whether a request of an instance may be sent to it.
pub fn grant(node: &Node, sender: Ipv4Addr, worker: u64, brittle: BrittleAsk) -> bool {
    let now_ms = node.now_ms();
    let listed = {
        let roster = node.roster();
        let known = roster.by_key(worker);
        known.map(|known| (Arc::clone(&known.record.service), known.record.slot_count))
    };
    let Some((service, slot_count)) = listed else {
        return false;
    };
    let engine_slots = node
        .service(&service)
        .and_then(|service| Some(service.engine.as_ref()?.slot_count));
    let ownership = Ownership::of(node.peers().members(), now_ms, worker, node.up_for_ms());
    lock(&node.brittle_grants).ask(
        now_ms,
        worker,
        (u32::from(sender), brittle),
        engine_slots.unwrap_or(slot_count),
        ownership,
    )
}

/// Takes a sender's notice that a request to a brittle worker has ended.
pub fn take_end(node: &Node, sender: Ipv4Addr, end: BrittleEnd) {
    let ticket = (u32::from(sender), end.request);
    lock(&node.brittle_grants).ended(node.now_ms(), end.worker, ticket, end.was_rejected);
}
