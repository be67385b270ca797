//! UDP messages to and from peers.
//!
//! [`crate::peer_updates`] applies their content. Each digest is complete in itself, so that a
//! lost or duplicated one does no harm. What a digest only mentions, such as a newer
//! configuration, is fetched by [`crate::body_transfer`].

use std::collections::HashMap;
use std::mem;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::account_limits;
use crate::body_transfer;
use crate::brittle_workers;
use crate::departures;
use crate::evacuations;
use crate::expected_models;
use crate::expected_models::QUERIED_MAX_COUNT;
use crate::list_updates;
use crate::messages::DATAGRAM_MAX_BYTES;
use crate::messages::DemandMessage;
use crate::messages::DemandPart;
use crate::messages::Digest;
use crate::messages::EndedLease;
use crate::messages::Message;
use crate::messages::decode;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::owners;
use crate::peer_updates;
use crate::proofs;
use crate::quarantine;
use crate::recipients::Origin;
use crate::roster_sync;
use crate::send_grants;
use crate::stream_origins;
use cranereach_fleet::freshness::Freshness;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::membership::MemberUpdate;
use cranereach_fleet::topology::Distance;
use cranereach_fleet::topology::DomainTag;

/// Every how many rounds of digests one is slow. A slow round also goes to peers of other failure
/// domains and to silent peers.
const SLOW_ROUND_EVERY: u64 = 4;

/// Minimum interval between two rounds of digests, in milliseconds.
const ROUND_MIN_INTERVAL_MS: u64 = 20;

/// Time for which the candidates for a lease are told that its term has ended, in
/// milliseconds: several rounds.
const ENDED_LEASE_GOSSIP_MS: u64 = 1_500;

/// Interval between two demand messages to a lease holder in another failure domain of this
/// region, in milliseconds.
const DEMAND_OWN_REGION_INTERVAL_MS: u64 = 480;

/// The same for a holder in another region: demand still counts when three messages in a row
/// are missed (see [`Peers::demand`](crate::peers::Peers::demand)).
const DEMAND_OTHER_REGION_INTERVAL_MS: u64 = 720;

/// Maximum number of adapters in one digest, to save bandwidth of the lease holder's network
/// link: instances that wait for an adapter are told directly.
const DIGEST_ADAPTERS_MAX_COUNT: usize = 48;

/// Sends digests until the process ends.
pub async fn send(node: Arc<Node>) {
    let mut round = 0_u64;
    loop {
        let now_ms = node.now_ms();
        round += 1;
        let is_slow_round = round.is_multiple_of(SLOW_ROUND_EVERY);
        let members = node.peers().member_updates(now_ms);
        let digest = make_digest(&node, now_ms, members);
        let holds = services_to_notify(&digest);
        let recipients = node.peers().recipients(now_ms, is_slow_round, &holds);
        node.send_all(Message::Digest(Box::new(digest)), &recipients)
            .await;
        pause(ROUND_MIN_INTERVAL_MS).await;
        let every = Duration::from_millis(node.settings.peers.digest_every_ms);
        // A digest wanted at once ends the wait early.
        let _waited = tokio::time::timeout(every, node.digest_wanted.notified()).await;
    }
}

/// Lists the services whose lease candidates need the digest: the sender holds their lease, or
/// did until a moment ago.
fn services_to_notify(digest: &Digest) -> Vec<u64> {
    let ended = digest.ended.iter();
    let ended = ended.filter(|ended| ended.age_ms < ENDED_LEASE_GOSSIP_MS);
    let held = digest.holds.iter().copied();
    held.chain(ended.map(|ended| ended.service)).collect()
}

/// Sends the local demand to lease holders until the process ends.
pub async fn send_demand(node: Arc<Node>) {
    let mut count = 0_u64;
    let mut sent_at_ms: HashMap<Ipv4Addr, u64> = HashMap::new();
    loop {
        let now_ms = node.now_ms();
        count += 1;
        let waits_for = mem::take(&mut *lock(&node.waits_for));
        let lacks = mem::take(&mut *lock(&node.lacks));
        let message = DemandMessage {
            boot: node.boot,
            count,
            waits_for: waits_for.into_iter().collect(),
            lacks: lacks.into_iter().take(QUERIED_MAX_COUNT).collect(),
            parts: demand_parts(&node, now_ms),
        };
        let is_urgent = !message.waits_for.is_empty() || !message.lacks.is_empty();
        let mut holders = node.peers().holders(now_ms);
        sent_at_ms.retain(|holder, _| holders.contains(holder));
        holders.retain(|holder| {
            let at_ms = sent_at_ms.get(holder);
            let every_ms = demand_every_ms(node.distance_to(*holder));
            is_urgent || at_ms.is_none_or(|at_ms| now_ms >= at_ms + every_ms)
        });
        if !message.parts.is_empty() && !holders.is_empty() {
            node.send_all(Message::Demand(message), &holders).await;
            sent_at_ms.extend(holders.into_iter().map(|holder| (holder, now_ms)));
        }
        pause(ROUND_MIN_INTERVAL_MS).await;
        let round_ms = node.settings.peers.digest_every_ms;
        let every = Duration::from_millis(node.peers().demand_every_ms(round_ms));
        // A request that waits for something no worker holds ends the wait early.
        let _waited = tokio::time::timeout(every, node.demand_wanted.notified()).await;
    }
}

/// Returns the minimum interval between two demand messages without urgent content, in
/// milliseconds; demand is an average over some seconds.
const fn demand_every_ms(distance: Option<Distance>) -> u64 {
    match distance {
        Some(Distance::OwnDomain) | None => 0,
        Some(Distance::OwnRegion) => DEMAND_OWN_REGION_INTERVAL_MS,
        Some(Distance::OtherRegion) => DEMAND_OTHER_REGION_INTERVAL_MS,
    }
}

/// Makes a digest of this instance's state.
fn make_digest(node: &Node, now_ms: u64, members: Vec<MemberUpdate>) -> Digest {
    let count = node.digest_count.fetch_add(1, Ordering::AcqRel) + 1;
    let peers = node.peers();
    let store_failed = peers.store_failures(now_ms);
    let held = peers.held(now_ms);
    let domain = peers.own_domain();
    drop(peers);
    let roster = node.roster();
    let unreachable = roster.unreachable(now_ms);
    let evacuations = roster.evacuations.list().clone();
    drop(roster);
    let leaving = lock(&node.recent_leaving).updates().collect();
    let announced = node.announced();
    let adapters = announced.values().flat_map(|changes| &changes.adapters);
    let adapters = adapters.copied().take(DIGEST_ADAPTERS_MAX_COUNT).collect();
    let withheld = announced
        .values()
        .flat_map(|changes| changes.withheld.clone())
        .collect();
    let holds = announced
        .keys()
        .map(|service| worker_key(service))
        .collect();
    drop(announced);
    let reach = node
        .paths
        .reachability(|reachability| reachability.report(now_ms));
    let age_ms = |freshness: &Mutex<Freshness>| lock(freshness).age_ms(now_ms).unwrap_or(u64::MAX);
    Digest {
        boot: node.boot,
        up_for_ms: node.up_for_ms(),
        domain,
        count,
        is_leaving: node.is_stopping(),
        configuration_version: node.configuration_version(),
        store_era: node.store.eras().newest(),
        list_position: node.list_position(),
        list_age_ms: age_ms(&node.list),
        holds,
        held,
        ended: ended_leases(node, now_ms),
        store_failed,
        members,
        leaving,
        departures: departures::news(node),
        unreachable,
        adapters,
        withheld,
        evacuations,
        suspects: quarantine::news(node),
        reach: Some(reach),
        is_withdrawn: lock(&node.withdrawal).is_withdrawn(),
    }
}

/// Lists the leases whose term has ended at this instance.
fn ended_leases(node: &Node, now_ms: u64) -> Vec<EndedLease> {
    let ended = lock(&node.ended_leases);
    let ended = ended.iter().map(|(service, term)| EndedLease {
        service: *service,
        position: term.position,
        age_ms: now_ms.saturating_sub(term.at_ms),
    });
    ended.collect()
}

/// Returns the local demand.
fn demand_parts(node: &Node, now_ms: u64) -> Vec<DemandPart> {
    let mut parts = Vec::new();
    for (service, demand) in node.demand().iter_mut() {
        let service = worker_key(service);
        parts.extend(demand.rates(now_ms).iter().map(|(model, rate)| DemandPart {
            service,
            model: *model,
            work_ms_per_s: *rate as f32,
        }));
    }
    parts
}

/// Receives messages from peers until the process ends.
pub async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    // One byte more than the largest datagram, so that larger ones, which are cut, are recognized.
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES + 1];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            pause(ROUND_MIN_INTERVAL_MS).await;
            continue;
        };
        node.intake.meter().add_received(length);
        let message = decode(&buffer[..length]);
        if let (Some(message), IpAddr::V4(ip)) = (message, sender.ip()) {
            handle_message(&node, sender, ip, message).await;
        } else {
            let counter = &node.metrics.bad_input_total;
            counter.with_label_values(&["peer"]).inc();
        }
    }
}

/// Handles a message from a peer.
async fn handle_message(node: &Arc<Node>, sender: SocketAddr, ip: Ipv4Addr, message: Message) {
    match message {
        Message::Digest(digest) => {
            let is_behind = handle_digest(node, ip, &digest);
            if is_behind {
                list_updates::update_lagging_peer(node, ip).await;
            }
        }
        Message::Demand(demand) => peer_updates::take_demand(node, ip, &demand),
        Message::Owner(message) => {
            if let Some(quote) = owners::handle_message(node, ip, message) {
                node.send_now(sender, Message::Quote(quote));
            }
        }
        Message::Quote(quote) => owners::handle_quote(node, quote),
        Message::Placed(placed) => peer_updates::take_placed(node, &placed),
        Message::Expected(answers) => expected_models::take(node, &answers),
        Message::Prove(question) => proofs::answer(node, sender, question),
        Message::Proof(answer) => proofs::take(node, ip, &answer),
        Message::Limit(ask) => account_limits::answer(node, sender, &ask),
        Message::Returned(returned) => account_limits::take_back(node, ip, &returned),
        Message::Granted(grant) => node.limit_questions.answered(grant.ticket, grant),
        Message::Evacuations(list) => {
            evacuations::take(node, &list, origin(node, ip));
        }
        Message::MaySend(ask) => send_grants::answer(node, sender, &ask),
        Message::BrittleEnd(end) => brittle_workers::take_end(node, ip, end),
        Message::SendGranted(grant) => node.grant_questions.answered(grant.ticket, grant),
        Message::Suspect(news) => quarantine::take(node, ip, &[*news]),
        Message::OriginNotes(notes) => stream_origins::take_notes(node, ip, &notes),
        Message::OriginAsk(ask) => stream_origins::answer(node, sender, &ask),
        Message::OriginReply(reply) => stream_origins::take_reply(node, ip, reply),
        Message::List(changes) => roster_sync::take_message(node, ip, &changes),
    }
}

/// Sends a digest at once to an instance that has no worker list yet, so that it learns whom
/// to ask; members of its own failure domain come first.
fn reply_to_joining(node: &Node, now_ms: u64, joining_instance: Ipv4Addr, received: &Digest) {
    let members = {
        let mut peers = node.peers();
        if !peers.may_reply_to_joining(now_ms, joining_instance) {
            return;
        }
        peers.member_updates_for(now_ms, DomainTag::from_key(received.domain))
    };
    let digest = Digest {
        // The joining instance has missed earlier announcements.
        departures: departures::all(node),
        ..make_digest(node, now_ms, members)
    };
    let joining_instance = SocketAddr::from((joining_instance, node.peer_port()));
    node.send_now(joining_instance, Message::Digest(Box::new(digest)));
}

/// Returns the origin of news from a peer.
fn origin(node: &Node, peer: Ipv4Addr) -> Origin {
    Origin::at(node.distance_to(peer))
}

/// Applies a digest; returns whether its sender's worker list is behind the local one.
fn handle_digest(node: &Arc<Node>, sender: Ipv4Addr, digest: &Digest) -> bool {
    let now_ms = node.now_ms();
    let is_new = {
        let mut peers = node.peers();
        let is_new = peers.apply_digest(now_ms, sender, digest);
        let alive_count = peers.members().alive(now_ms).count();
        node.metrics.peers_heard.set(alive_count as i64);
        is_new
    };
    if !is_new {
        return false;
    }
    if digest.list_position.is_none() {
        reply_to_joining(node, now_ms, sender, digest);
    }
    node.store.eras().advance_to(digest.store_era, "peer");
    body_transfer::fetch_configuration_if_behind(node, sender, digest.configuration_version);
    evacuations::take(node, &digest.evacuations, origin(node, sender));
    quarantine::take(node, sender, &digest.suspects);
    departures::take(node, &digest.departures);
    let has_changed = peer_updates::take_roster(node, now_ms, sender, digest);
    if has_changed {
        node.roster_changed.notify_waiters();
    }
    roster_sync::take_age(node, digest.list_position, digest.list_age_ms);
    digest.list_position < node.list_position()
}
