//! The software versions at which streams began, for callers that take a stream up again.
//!
//! See [`cranereach_fleet::stream_origins`]. [`run`] watches the versions of each service and tells
//! holders what they lack, [`take_up`] finds the origin of a stream that a request continues, and
//! [`note_event`] keeps the origin of a stream whose events go to the caller.

pub mod history;
pub(crate) mod take_up;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::forward::Call;
use crate::messages::Message;
use crate::messages::OriginAsk;
use crate::messages::OriginReply;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::questions::Questions;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::stream_origins::HOLDER_COUNT;
use cranereach_fleet::stream_origins::Holders;
use cranereach_fleet::stream_origins::Origin;
use cranereach_fleet::stream_origins::OriginAnswer;
use cranereach_fleet::stream_origins::OriginNote;
use cranereach_fleet::stream_origins::StreamOrigins;
use cranereach_fleet::stream_origins::TOLD_MAX_COUNT;
use cranereach_fleet::stream_origins::all_started;
use cranereach_fleet::stream_origins::holders;
use cranereach_fleet::stream_origins::stream_life_ms;
use cranereach_fleet::topology::DomainTag;

/// Interval at which the versions of the services are looked at, in milliseconds. A take-up looks
/// at them itself.
const WATCH_INTERVAL_MS: u64 = 250;

/// The same while notes wait to be told, in milliseconds.
const TELL_INTERVAL_MS: u64 = 20;

/// Time after which an instance that has just started asks peers again which versions there were,
/// in milliseconds; it doubles each time.
const CONFIRMATION_INTERVAL_MS: u64 = 250;

/// Longest such time, in milliseconds.
const CONFIRMATION_INTERVAL_MAX_MS: u64 = 4_000;

/// The same while the peers that answer have just started, too, in milliseconds.
const STARTED_INTERVAL_MAX_MS: u64 = 500;

/// Time between two of its reads of the versions from the store, in milliseconds.
const HISTORY_READ_INTERVAL_MS: u64 = 1_000;

/// Maximum number of times that an instance which has just started reads the versions from the
/// store, in one era of it.
const HISTORY_READ_MAX_COUNT: u32 = 3;

/// Share of the drain bound up to which the list of workers is as old in calm.
const LIST_FRESH_SHARE: f64 = 0.75;

/// Time for which answers are awaited, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 40;

/// Time after which holders that have not answered are asked again, in milliseconds: a datagram may
/// have been lost.
const ASK_AGAIN_AFTER_MS: u64 = 15;

/// State of this instance.
#[derive(Debug, Default)]
pub struct OriginState {
    known: Mutex<StreamOrigins>,
    /// Pending questions to holders, answered with the address of the holder.
    questions: Questions<(Ipv4Addr, OriginAnswer)>,
}

impl OriginState {
    /// Returns what is known of streams and versions.
    pub fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.known)
    }
}

/// Watches the versions of the services, and tells holders what they lack, until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut members_changed_at_ms = 0;
    let mut asks_at_ms = 0;
    let mut ask_interval_ms = CONFIRMATION_INTERVAL_MS;
    let mut have_peers_started = false;
    let mut reads = HistoryReads::default();
    loop {
        let now_ms = node.now_ms();
        observe(&node);
        let changed_at_ms = now_ms - node.peers().members().unchanged_for_ms(now_ms);
        if changed_at_ms != members_changed_at_ms {
            members_changed_at_ms = changed_at_ms;
            node.origins.known().recheck(now_ms);
        }
        tell_due(&node);
        let unconfirmed = node.origins.known().unconfirmed_services(now_ms);
        if unconfirmed.is_empty() {
            ask_interval_ms = CONFIRMATION_INTERVAL_MS;
        } else if now_ms >= asks_at_ms {
            asks_at_ms = now_ms + ask_interval_ms;
            have_peers_started = ask_for_confirmation(&node, &unconfirmed).await;
            let interval_max_ms = if have_peers_started {
                STARTED_INTERVAL_MAX_MS
            } else {
                CONFIRMATION_INTERVAL_MAX_MS
            };
            ask_interval_ms = (ask_interval_ms * 2).min(interval_max_ms);
        }
        let has_peers = node.peers().members().known_count() > 1;
        if have_peers_started || !has_peers {
            reads.read_if_needed(&node).await;
        }
        show_counts(&node);
        let has_unchecked = node.origins.known().has_unchecked();
        pause(if has_unchecked {
            TELL_INTERVAL_MS
        } else {
            WATCH_INTERVAL_MS
        })
        .await;
    }
}

/// Reads of the versions that are kept in the store.
#[derive(Debug, Default)]
struct HistoryReads {
    /// Era of the store in which they were made.
    era: u64,
    count: u32,
    /// When the next one may be made, in milliseconds.
    next_at_ms: u64,
}

impl HistoryReads {
    /// Reads the versions from the store if peers did not confirm those that this instance sees,
    /// and have just started, too.
    async fn read_if_needed(&mut self, node: &Node) {
        let era = node.store.eras().newest();
        if self.era != era {
            self.era = era;
            self.count = 0;
        }
        let now_ms = node.now_ms();
        if now_ms < self.next_at_ms || self.count >= HISTORY_READ_MAX_COUNT {
            return;
        }
        let services = node.origins.known().services_for_history(now_ms);
        if services.is_empty() {
            return;
        }
        self.next_at_ms = now_ms + HISTORY_READ_INTERVAL_MS;
        if history::is_reader(node) && history::confirm(node, &services).await {
            self.count += 1;
        }
    }
}

/// Records the versions of the workers of all services whose streams may be resumed.
fn observe(node: &Node) {
    let now_ms = node.now_ms();
    node.origins.known().note_running(now_ms);
    let Some(configuration) = node.configuration() else {
        return;
    };
    let is_current =
        list_age_ms(node).is_some_and(|age_ms| age_ms <= node.settings.bounds.drain_ms);
    let timeouts_ms = configuration.resumable_stream_timeouts_ms();
    let services: Vec<(u64, u64, Vec<u64>)> = {
        let roster = node.roster();
        let services = timeouts_ms.iter().map(|(service, timeout_ms)| {
            let versions = roster.software_version_keys(service);
            (worker_key(service), stream_life_ms(*timeout_ms), versions)
        });
        services.collect()
    };
    let mut known = node.origins.known();
    for (service, life_ms, versions) in &services {
        known.observe(now_ms, *service, *life_ms, is_current, versions);
    }
    known.retain_services(|service| services.iter().any(|(listed, ..)| *listed == service));
}

/// Returns the age of the list of workers, in milliseconds; none if it is not known.
fn list_age_ms(node: &Node) -> Option<u64> {
    lock(&node.list).age_ms(node.now_ms())
}

/// Returns the age up to which the list of workers is as new as it is in calm, in milliseconds.
fn list_fresh_ms(node: &Node) -> u64 {
    (node.settings.bounds.drain_ms as f64 * LIST_FRESH_SHARE) as u64
}

/// Whether the list of workers is as new as it is in calm.
fn is_list_fresh(node: &Node) -> bool {
    list_age_ms(node).is_some_and(|age_ms| age_ms <= list_fresh_ms(node))
}

/// Lists the keys of the versions at which a stream may begin that its caller may take up at once,
/// at an instance whose list is fresh.
pub(crate) fn settled_versions(node: &Node, call: &Call) -> Vec<u64> {
    let service = worker_key(&call.service.name);
    let known = node.origins.known();
    known.settled_versions(node.now_ms(), service, list_fresh_ms(node))
}

/// Keeps the origin of a stream, one of whose events goes to the caller now. `version_key` is that
/// of the worker that runs it.
pub(crate) fn note_event(node: &Node, call: &Call, version_key: u64) {
    let Some(key) = take_up::key_to_note(call) else {
        return;
    };
    let origin = Origin {
        service: worker_key(&call.service.name),
        version: version_key,
    };
    let life_ms = stream_life_ms(call.route.timeout_ms);
    let now_ms = node.now_ms();
    node.origins
        .known()
        .stream_began(now_ms, key, origin, life_ms);
    tell_due(node);
}

/// Tells holders the notes that they lack.
fn tell_due(node: &Node) {
    if !node.origins.known().has_unchecked() {
        return;
    }
    let members = members(node);
    let now_ms = node.now_ms();
    let due = node
        .origins
        .known()
        .take_due(now_ms, |key| holders(key, members.iter().copied()));
    for (holder, notes) in due {
        // What this instance holds itself is among its own notes.
        if holder != node.own_ip() {
            let address = SocketAddr::from((holder, node.peer_port()));
            node.send_now(address, Message::OriginNotes(notes));
        }
    }
}

/// Lists the live members with their failure domains, this instance included.
fn members(node: &Node) -> Vec<(Ipv4Addr, DomainTag)> {
    let own = (node.own_ip(), DomainTag::of(node.topology.own_domain()));
    let now_ms = node.now_ms();
    let peers = node.peers();
    let others = peers.members().alive_with_domains(now_ms);
    others.chain([own]).collect()
}

/// Asks two peers whether services that this instance has not watched for long had one version
/// only. Returns whether those that answered have just started, too.
async fn ask_for_confirmation(node: &Arc<Node>, services: &[u64]) -> bool {
    let mut have_all_started = true;
    // Others each time: some may have started lately, too.
    let members = members(node);
    let others = members.into_iter().filter(|(ip, _)| *ip != node.own_ip());
    let chosen = holders(rand::random(), others);
    let asked_count = chosen.iter().flatten().count();
    for service in services {
        let answers = ask(node, *service, 0, chosen).await;
        let answers: Vec<OriginAnswer> = answers.into_iter().map(|(_, answer)| answer).collect();
        let now_ms = node.now_ms();
        node.origins.known().confirm(now_ms, *service, &answers);
        have_all_started &= all_started(asked_count, &answers);
    }
    have_all_started
}

/// Asks instances where a stream began, and waits for a limited time. Returns the answers received
/// until then, or until one knows it.
async fn ask(node: &Node, service: u64, key: u64, asked: Holders) -> Vec<(Ipv4Addr, OriginAnswer)> {
    let asked = asked.into_iter().flatten();
    let mut silent: Vec<Ipv4Addr> = asked.filter(|ip| *ip != node.own_ip()).collect();
    let mut question = node.origins.questions.open();
    let ask = OriginAsk {
        ticket: question.ticket,
        service,
        key,
    };
    let mut answers = Vec::with_capacity(HOLDER_COUNT);
    let began_ms = node.now_ms();
    for until_ms in [ASK_AGAIN_AFTER_MS, ANSWER_TIMEOUT_MS] {
        for holder in &silent {
            let address = SocketAddr::from((*holder, node.peer_port()));
            node.send_now(address, Message::OriginAsk(ask));
        }
        let deadline = node.instant(began_ms + until_ms);
        while !silent.is_empty() {
            let answered = tokio::time::timeout_at(deadline, question.answers.recv()).await;
            let Ok(Some((holder, answer))) = answered else {
                break;
            };
            if let Some(position) = silent.iter().position(|ip| *ip == holder) {
                silent.swap_remove(position);
                answers.push((holder, answer));
            }
            if matches!(answer, OriginAnswer::Known(_)) {
                return answers;
            }
        }
    }
    answers
}

/// Answers a peer that asks where a stream began.
pub fn answer(node: &Node, peer: SocketAddr, ask: &OriginAsk) {
    if !is_known_peer(node, peer.ip()) {
        return;
    }
    let now_ms = node.now_ms();
    let answer = node.origins.known().answer(now_ms, ask.service, ask.key);
    let reply = OriginReply {
        ticket: ask.ticket,
        answer,
    };
    node.send_now(peer, Message::OriginReply(reply));
}

/// Takes the answer of a holder.
pub fn take_reply(node: &Node, holder: Ipv4Addr, reply: OriginReply) {
    let questions = &node.origins.questions;
    questions.answered(reply.ticket, (holder, reply.answer));
}

/// Takes the notes that a peer tells.
pub fn take_notes(node: &Node, peer: Ipv4Addr, notes: &[OriginNote]) {
    if !is_known_peer(node, IpAddr::V4(peer)) {
        return;
    }
    let now_ms = node.now_ms();
    let mut known = node.origins.known();
    for note in notes.iter().take(TOLD_MAX_COUNT) {
        known.told(now_ms, note);
    }
}

/// Whether an address is that of a known member.
fn is_known_peer(node: &Node, ip: IpAddr) -> bool {
    matches!(ip, IpAddr::V4(ip) if node.peers().members().is_known(ip))
}

/// Updates the gauges of notes.
fn show_counts(node: &Node) {
    let (own_count, held_count) = node.origins.known().note_counts();
    let notes = &node.metrics.origins.notes;
    notes.with_label_values(&["own"]).set(own_count as i64);
    notes.with_label_values(&["held"]).set(held_count as i64);
}
