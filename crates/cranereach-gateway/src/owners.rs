//! Queries the owners of workers for the workers' state, and reports requests to them.
//!
//! See [`cranereach_fleet::owned`]. Workers that this instance owns itself are looked up without
//! a message.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::brittle_workers;
use crate::departures;
use crate::messages::LoadPart;
use crate::messages::Message;
use crate::messages::OwnerAsk;
use crate::messages::OwnerEvent;
use crate::messages::OwnerMessage;
use crate::messages::Quote;
use crate::named_limits;
use crate::node::Node;
use crate::node::lock;
use crate::questions::Question;
use cranereach_fleet::brittle::BrittleReport;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::load::Load;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::owned::Outcome;
use cranereach_fleet::owned::SentRequest;
use cranereach_fleet::owned::WorkerStatus;
use cranereach_fleet::prefixes::PromptPart;
use cranereach_fleet::send_grants;
use cranereach_fleet::topology::Distance;
use cranereach_fleet::worker::Worker;

/// Maximum number of prompt parts in a question to an owner.
const PROMPT_PART_MAX_COUNT: usize = 16;

/// A request that was reported to the owner of its worker.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRequest {
    owner: Ipv4Addr,
    worker: u64,
    ticket: u64,
}

/// Asks the owners of the given workers for the workers' status with respect to a prompt, and
/// records the answers. `token_ms` is the prefill time of one token of the prompt, in milliseconds.
pub async fn ask(
    node: &Node,
    workers: &[Arc<str>],
    parts: &[PromptPart],
    prompt_tokens: u32,
    token_ms: f64,
    may_repeat: bool,
) {
    let parts = &parts[..parts.len().min(PROMPT_PART_MAX_COUNT)];
    let part_ms = |part: &PromptPart| (f64::from(part.tokens) * token_ms) as u32;
    let question_template = OwnerAsk {
        chains: parts.iter().map(|part| part.chain).collect(),
        reading_ms: (f64::from(prompt_tokens) * token_ms) as u32,
        part_reading_ms: parts.iter().map(part_ms).collect(),
        may_repeat,
        limit: None,
    };
    let now_ms = node.now_ms();
    let mut pending: HashMap<u64, PendingQuestion<'_>> = HashMap::new();
    let mut question = node.questions.open();
    for worker in workers {
        let key = worker_key(worker);
        let owner = owner_of(node, key);
        if owner == node.own_ip() {
            let status = own_worker_status(node, key, &question_template);
            record_status(node, worker, status);
        } else {
            let distance = node.distance_to(owner).unwrap_or(Distance::OtherRegion);
            let unanswered = PendingQuestion {
                owner,
                distance,
                worker,
            };
            pending.insert(key, unanswered);
            let limit = node
                .roster()
                .get(worker)
                .and_then(|entry| entry.limit_report(now_ms));
            let event = OwnerEvent::Ask(OwnerAsk {
                limit,
                ..question_template.clone()
            });
            send_event(node, owner, key, question.ticket, event);
        }
    }
    collect_quotes(node, &mut question, &mut pending).await;
    drop(question);
    let asked_ms = now_ms;
    let now_ms = node.now_ms();
    if node.is_own_delay(now_ms.saturating_sub(asked_ms)) {
        return;
    }
    for pending in pending.values() {
        node.peers()
            .members_mut()
            .reply_missed(now_ms, pending.owner);
        lock(&node.round_trips).reply_missed(pending.distance);
    }
}

/// A worker whose owner has not answered yet.
struct PendingQuestion<'a> {
    owner: Ipv4Addr,
    distance: Distance,
    worker: &'a Arc<str>,
}

/// Waits until all owners have answered or the time limit of the farthest one has passed. Removes
/// the workers whose owners have answered.
async fn collect_quotes(
    node: &Node,
    question: &mut Question<'_, Quote>,
    pending: &mut HashMap<u64, PendingQuestion<'_>>,
) {
    let started = Instant::now();
    let waits = pending
        .values()
        .map(|pending| lock(&node.round_trips).wait_ms(pending.distance));
    let Some(wait_ms) = waits.max() else { return };
    let deadline = node.instant(node.now_ms() + wait_ms);
    while !pending.is_empty() {
        let Ok(Some(quote)) = tokio::time::timeout_at(deadline, question.answers.recv()).await
        else {
            return;
        };
        if let Some(matched) = pending.remove(&quote.worker) {
            let took_ms = started.elapsed().as_secs_f64() * 1_000.0;
            if !node.is_own_delay(took_ms as u64) {
                lock(&node.round_trips).reply_received(matched.distance, took_ms);
            }
            node.peers().members_mut().reply_received(matched.owner);
            record_status(node, matched.worker, decode_status(&quote));
            if let Some(limit) = &quote.limit {
                named_limits::apply_peer_limit(node, quote.worker, limit);
            }
            if let Some(report) = quote.brittle {
                brittle_workers::apply_report(node, quote.worker, report);
            }
            departures::take_owner_report(node, quote.worker, quote.leaving_start);
        }
    }
}

/// Reports to the owner of a worker that a request is being sent to the worker.
pub fn report_begun(
    node: &Node,
    worker: &str,
    sent_request: SentRequest,
    parts: &[PromptPart],
) -> ReportedRequest {
    let key = worker_key(worker);
    let request = ReportedRequest {
        owner: owner_of(node, key),
        worker: key,
        ticket: rand::random(),
    };
    let parts = &parts[..parts.len().min(PROMPT_PART_MAX_COUNT)];
    if request.owner == node.own_ip() {
        let ticket = (u32::from(request.owner), request.ticket);
        lock(&node.owned_workers).request_started(node.now_ms(), key, ticket, sent_request, parts);
    } else {
        let chains = parts.iter().map(|part| part.chain).collect();
        let event = OwnerEvent::Begun(sent_request, chains);
        send_event(node, request.owner, key, request.ticket, event);
    }
    request
}

/// Reports the limit that a worker states to the owner of the worker and to the owner of its send
/// grants.
pub fn report_limit(node: &Node, worker: &str, report: LimitReport) {
    let key = worker_key(worker);
    let owner = owner_of(node, key);
    let grant_owner = send_grants::other_owner(node.peers().members(), node.now_ms(), key);
    let grant_owner = grant_owner.filter(|grant_owner| *grant_owner != owner);
    let recipients = [Some(owner), grant_owner].into_iter().flatten();
    for instance in recipients.filter(|instance| *instance != node.own_ip()) {
        send_event(node, instance, key, 0, OwnerEvent::Limit(report));
    }
}

/// Reports to the owner of a worker how many rejections the worker says it bears.
pub fn report_brittle(node: &Node, worker: &str, borne_count: u32) {
    let key = worker_key(worker);
    let owner = owner_of(node, key);
    if owner != node.own_ip() {
        send_event(node, owner, key, 0, OwnerEvent::Brittle(borne_count));
    }
}

impl ReportedRequest {
    /// Reports to the owner that the prefill of the prompt is complete, and how long it took.
    pub fn report_prefilled(&self, node: &Node, took_ms: f64) {
        self.report_event(node, OwnerEvent::Read(took_ms as u32));
    }

    /// Reports to the owner how the request ended.
    pub fn report_ended(&self, node: &Node, outcome: Outcome) {
        self.report_event(node, OwnerEvent::Ended(outcome));
    }

    /// Reports an event of the request to the owner.
    fn report_event(&self, node: &Node, event: OwnerEvent) {
        if self.owner == node.own_ip() {
            let message = OwnerMessage {
                worker: self.worker,
                ticket: self.ticket,
                event,
            };
            // Only `OwnerEvent::Ask` is answered, and `event` never is one.
            let _answer = handle_message(node, self.owner, message);
        } else {
            send_event(node, self.owner, self.worker, self.ticket, event);
        }
    }
}

/// Handles a message to this instance as the owner of a worker. Returns the answer if the message
/// is a question.
pub fn handle_message(node: &Node, sender: Ipv4Addr, message: OwnerMessage) -> Option<Quote> {
    let now_ms = node.now_ms();
    let OwnerMessage {
        worker,
        ticket,
        event,
    } = message;
    let request = (u32::from(sender), ticket);
    let mut owned = lock(&node.owned_workers);
    match event {
        OwnerEvent::Ask(ask) => {
            drop(owned);
            if let Some(limit) = &ask.limit {
                named_limits::apply_peer_limit(node, worker, limit);
            }
            let status = own_worker_status(node, worker, &ask);
            let roster = node.roster();
            let known = roster.by_key(worker);
            return Some(Quote {
                limit: known.and_then(|entry| entry.limit_report(now_ms)),
                leaving_start: known.and_then(Worker::leaving_start),
                brittle: known.and_then(|entry| roster.brittle_report(now_ms, entry)),
                ..encode_status(worker, ticket, &status)
            });
        }
        OwnerEvent::Begun(sent_request, chains) => {
            let chains = chains.iter().take(PROMPT_PART_MAX_COUNT);
            let parts: Vec<PromptPart> = chains
                .map(|chain| PromptPart {
                    chain: *chain,
                    tokens: 0,
                })
                .collect();
            owned.request_started(now_ms, worker, request, sent_request, &parts);
        }
        OwnerEvent::Read(took_ms) => owned.prefilled(now_ms, worker, request, f64::from(took_ms)),
        OwnerEvent::Ended(outcome) => {
            if outcome == Outcome::Unreachable && sender != node.own_ip() {
                let counter = &node.metrics.paths.unreachable_workers_total;
                counter.with_label_values(&["sender"]).inc();
            }
            owned.request_ended(now_ms, worker, request, outcome);
        }
        OwnerEvent::Brittle(count) => {
            drop(owned);
            brittle_workers::apply_report(node, worker, BrittleReport::of_answer(count));
        }
        OwnerEvent::Limit(report) => {
            drop(owned);
            named_limits::apply_peer_limit(node, worker, &report);
        }
    }
    None
}

/// Returns the status of a worker that this instance owns.
fn own_worker_status(node: &Node, worker: u64, ask: &OwnerAsk) -> WorkerStatus {
    let now_ms = node.now_ms();
    let chains = &ask.chains[..ask.chains.len().min(PROMPT_PART_MAX_COUNT)];
    let mut owned = lock(&node.owned_workers);
    let kept_count = owned.kept_part_count(worker, chains);
    let kept_ms: u32 = ask.part_reading_ms.iter().take(kept_count).sum();
    let unread_ms = f64::from(ask.reading_ms.saturating_sub(kept_ms));
    if ask.may_repeat {
        owned.status_for_repeatable(now_ms, worker, chains, unread_ms)
    } else {
        owned.status(now_ms, worker, chains, unread_ms)
    }
}

/// Hands an owner's answer to the waiting question.
pub fn handle_quote(node: &Node, quote: Quote) {
    node.questions.answered(quote.ticket, quote);
}

/// Returns the instance that owns a worker. It is one of the worker's own failure domain if any
/// is alive there, so that questions about nearby workers do not leave the domain.
fn owner_of(node: &Node, worker: u64) -> Ipv4Addr {
    let domain = node
        .roster()
        .by_key(worker)
        .map(|worker| Arc::clone(&worker.record.failure_domain));
    let now_ms = node.now_ms();
    let peers = node.peers();
    let members = peers.members();
    domain.map_or_else(
        || members.owner(now_ms, worker),
        |domain| members.owner_near(now_ms, worker, &node.topology.proximity_of(&domain)),
    )
}

/// Records the status of a worker in the roster.
fn record_status(node: &Node, worker: &Arc<str>, status: WorkerStatus) {
    let now_ms = node.now_ms();
    if let Some(worker) = node.roster().get_mut(worker) {
        worker.set_owner_status(now_ms, status);
    }
}

/// Sends an event to an owner.
fn send_event(node: &Node, owner: Ipv4Addr, worker: u64, ticket: u64, event: OwnerEvent) {
    let message = OwnerMessage {
        worker,
        ticket,
        event,
    };
    node.send_now(
        SocketAddr::from((owner, node.peer_port())),
        Message::Owner(message),
    );
}

/// Encodes the status of a worker for the wire.
fn encode_status(worker: u64, ticket: u64, status: &WorkerStatus) -> Quote {
    Quote {
        ticket,
        worker,
        load: encode_load(&status.load),
        kept_part_count: status.kept_part_count as u32,
        pace_percent: (status.slowdown_ratio * 100.0) as u32,
        failed_percent: (status.failed_share * 100.0) as u32,
        is_aside: status.is_aside,
        has_suspect: status.has_suspect,
        send_in_ms: status.send_in_ms as u32,
        pause_ms: status.pause_ms as u32,
        limit: None,
        leaving_start: None,
        brittle: None,
    }
}

/// Decodes the status of a worker from the wire.
fn decode_status(quote: &Quote) -> WorkerStatus {
    WorkerStatus {
        load: decode_load(&quote.load),
        kept_part_count: quote.kept_part_count as usize,
        slowdown_ratio: f64::from(quote.pace_percent.max(100)) / 100.0,
        failed_share: f64::from(quote.failed_percent.min(100)) / 100.0,
        is_aside: quote.is_aside,
        has_suspect: quote.has_suspect,
        send_in_ms: f64::from(quote.send_in_ms),
        pause_ms: f64::from(quote.pause_ms),
    }
}

/// Encodes a load for the wire.
fn encode_load(load: &Load) -> LoadPart {
    LoadPart {
        open_count: load.open_count,
        waiting_count: load.waiting_count,
        stay_ms: load.stay_ms as u32,
        unread_ms: load.unread_ms.map(|unread_ms| unread_ms as u32),
        held_tokens: load.held_tokens as u32,
    }
}

/// Decodes a load from the wire.
fn decode_load(part: &LoadPart) -> Load {
    Load {
        open_count: part.open_count,
        waiting_count: part.waiting_count,
        stay_ms: f64::from(part.stay_ms),
        unread_ms: part.unread_ms.map(f64::from),
        held_tokens: f64::from(part.held_tokens),
    }
}
