//! Digests to and from peers over UDP.
//!
//! A digest is complete in itself, so that a lost or doubled one does no harm.
//! What a digest only names is fetched by [`crate::bodies`].

use std::collections::HashMap;
use std::mem;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use tokio::net::UdpSocket;

use crate::bodies;
use crate::messages::DATAGRAM_MAX_BYTES;
use crate::messages::Datagram;
use crate::messages::DemandPart;
use crate::messages::Digest;
use crate::messages::EndedLease;
use crate::messages::ListMessage;
use crate::messages::LoadPart;
use crate::messages::Message;
use crate::messages::VERSION;
use crate::messages::pack_rows;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::roster_sync;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::listing::ListPart;
use cranereach_fleet::listing::Span;
use cranereach_fleet::load::Load;
use cranereach_fleet::roster::worker_key;

/// Largest packed rows that one message carries, in bytes.
const LIST_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - 1_024;

/// Rounds after which silent peers are tried again.
const SLOW_ROUND_EVERY: u64 = 4;

/// Least time between two rounds of digests, in milliseconds.
const ROUND_LEAST_MS: u64 = 20;

/// Sends digests until the process ends.
pub async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let port = node.settings.listen.peers.port();
    let mut count = 0_u64;
    loop {
        let now_ms = node.now_ms();
        count += 1;
        let is_slow_round = count.is_multiple_of(SLOW_ROUND_EVERY);
        let (holders, others) = node.peers().recipients(now_ms, is_slow_round);
        let mut digest = make(&node, now_ms, count);
        // Only holders plan by demand.
        let demand = mem::take(&mut digest.demand);
        let for_others = Message::Digest(Box::new(digest.clone()));
        send_to(&socket, port, for_others, &others).await;
        let demand_every = node.peers().demand_every();
        if count.is_multiple_of(demand_every) && !holders.is_empty() {
            digest.demand = demand;
            let for_holders = Message::Digest(Box::new(digest));
            send_to(&socket, port, for_holders, &holders).await;
        }
        pause(ROUND_LEAST_MS).await;
        let every = Duration::from_millis(node.settings.peers.digest_every_ms);
        // Whoever wants a digest at once ends the wait early.
        let _waited = tokio::time::timeout(every, node.digest_wanted.notified()).await;
    }
}

/// Tells changes of the list of workers whenever there are some, until the
/// process ends.
pub async fn send_list(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let port = node.settings.listen.peers.port();
    loop {
        node.list_told.notified().await;
        let Some(changes) = list_changes(&node) else {
            continue;
        };
        let has_read = node.has_read_list.swap(false, Ordering::AcqRel);
        let recipients = node.peers().list_recipients(has_read);
        send_to(&socket, port, Message::List(changes), &recipients).await;
    }
}

/// Sends a message to some peers.
async fn send_to(socket: &UdpSocket, port: u16, message: Message, recipients: &[Ipv4Addr]) {
    let datagram = encode(message);
    for recipient in recipients {
        // A lost datagram is made good by the next.
        let _sent = socket
            .send_to(&datagram, SocketAddr::from((*recipient, port)))
            .await;
    }
}

/// Returns the newest changes of the list; none before the first read.
fn list_changes(node: &Node) -> Option<ListMessage> {
    let age_ms = lock(&node.list).age_ms(node.now_ms())?;
    let listing = lock(&node.listing);
    listing.part().map(|part| list_message(&part, age_ms))
}

/// Makes the message of changes of the list.
fn list_message(part: &ListPart<'_>, age_ms: u64) -> ListMessage {
    let packed_rows = pack_rows(&part.rows);
    let fits = packed_rows.len() <= LIST_MAX_BYTES;
    ListMessage {
        // Without rows it still says that there is something newer.
        from_version: if fits {
            part.from_version
        } else {
            part.version
        },
        span: if fits { part.span } else { Span::Changes },
        version: part.version,
        age_ms,
        packed_rows: if fits { packed_rows } else { pack_rows(&[]) },
    }
}

/// Writes a datagram.
fn encode(message: Message) -> Vec<u8> {
    let datagram = Datagram {
        version: VERSION,
        message,
    };
    postcard::to_stdvec(&datagram).unwrap_or_default()
}

/// Makes a digest of what this instance knows and does.
fn make(node: &Node, now_ms: u64, count: u64) -> Digest {
    let peers = node.peers();
    let introduced = peers.introduced(now_ms);
    let held = peers.held(now_ms);
    let domain = peers.own_domain();
    drop(peers);
    let roster = node.roster();
    let loads = roster.own_loads();
    let unreachable = roster.unreachable(now_ms);
    drop(roster);
    let recent = lock(&node.recent_leaving).clone();
    let announced = node.announced();
    let adapters = announced
        .values()
        .flat_map(|of| of.adapters.clone())
        .collect();
    let withheld = announced
        .values()
        .flat_map(|of| of.withheld.clone())
        .collect();
    let holds = announced
        .keys()
        .map(|service| worker_key(service))
        .collect();
    drop(announced);
    Digest {
        boot: node.boot,
        domain,
        count,
        is_leaving: node.is_stopping(),
        configuration_version: node.configuration_version(),
        list_version: node.list_version(),
        holds,
        held,
        ended: ended_leases(node, now_ms),
        introduced,
        loads: loads.into_iter().map(load_part).collect(),
        demand: demand_parts(node, now_ms),
        leaving: recent
            .into_iter()
            .map(|(_, key, version)| (key, version))
            .collect(),
        unreachable,
        adapters,
        withheld,
    }
}

/// Lists the leases whose term is over here.
fn ended_leases(node: &Node, now_ms: u64) -> Vec<EndedLease> {
    let ended = lock(&node.ended_leases);
    let ended = ended.iter().map(|(service, term)| EndedLease {
        service: *service,
        version: term.version,
        age_ms: now_ms.saturating_sub(term.at_ms),
    });
    ended.collect()
}

/// Returns a worker's load as peers read it.
fn load_part((worker, load): (u64, Load)) -> LoadPart {
    LoadPart {
        worker,
        open_count: load.open_count,
        waiting_count: load.waiting_count,
        stay_ms: load.stay_ms as u32,
        unread_ms: load.unread_ms.map(|unread_ms| unread_ms as u32),
        held_tokens: load.held_tokens as u32,
    }
}

/// Returns the demand seen here.
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

/// Receives digests until the process ends.
pub async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            pause(ROUND_LEAST_MS).await;
            continue;
        };
        let datagram = postcard::from_bytes::<Datagram>(&buffer[..length]);
        match (datagram, sender.ip()) {
            (Ok(datagram), IpAddr::V4(ip)) if datagram.version == VERSION => {
                match datagram.message {
                    Message::Digest(digest) => take(&node, ip, &digest),
                    Message::List(changes) => roster_sync::take_message(&node, ip, changes),
                }
            }
            _ => {
                let counter = &node.metrics.bad_input_total;
                counter.with_label_values(&["peer"]).inc();
            }
        }
    }
}

/// Takes a digest.
fn take(node: &Arc<Node>, sender: Ipv4Addr, digest: &Digest) {
    let now_ms = node.now_ms();
    let is_new = {
        let mut peers = node.peers();
        let is_new = peers.heard(now_ms, sender, digest);
        node.metrics
            .peers_heard
            .set(peers.instance_count() as i64 - 1);
        is_new
    };
    if !is_new {
        return;
    }
    bodies::fetch_configuration_if_behind(node, sender, digest.configuration_version);
    let has_changed = take_roster(node, now_ms, sender, digest);
    if has_changed {
        node.roster_changed.notify_waiters();
    }
    if !digest.demand.is_empty() && !node.announced().is_empty() {
        node.controller_wanted.notify_one();
    }
}

/// Takes what a digest says of workers; true if requests may go elsewhere now.
fn take_roster(node: &Arc<Node>, now_ms: u64, sender: Ipv4Addr, digest: &Digest) -> bool {
    let loads: Vec<(u64, Load)> = digest
        .loads
        .iter()
        .map(|part| {
            let load = Load {
                open_count: part.open_count,
                waiting_count: part.waiting_count,
                stay_ms: f64::from(part.stay_ms),
                unread_ms: part.unread_ms.map(f64::from),
                held_tokens: f64::from(part.held_tokens),
            };
            (part.worker, load)
        })
        .collect();
    let mut roster = node.roster();
    roster.peer_loads(now_ms, u32::from(sender), &loads);
    for key in &digest.unreachable {
        if let Some(worker) = roster.by_key_mut(*key) {
            worker.told_unreachable(now_ms, u32::from(sender));
        }
    }
    let heard = digest.leaving.iter();
    let new: Vec<(u64, u64)> = heard
        .filter(|(key, version)| roster.leaves(*version, *key))
        .copied()
        .collect();
    drop(roster);
    for (key, version) in new {
        info!(node.log, "worker leaves"; "from" => sender.to_string(), "version" => version);
        roster_sync::pass_leaving_on(node, key, version);
    }
    if !digest.holds.is_empty() {
        apply_orders(node, now_ms, &digest.adapters, &digest.withheld);
    }
    bodies::fetch_workers_if_behind(node, sender, digest);
    !digest.adapters.is_empty()
}

/// Takes what a holder's orders have changed at workers.
pub fn apply_orders(
    node: &Node,
    now_ms: u64,
    adapters: &[(u64, ModelKey)],
    withheld: &[(u64, u16)],
) {
    let Some(configuration) = node.configuration() else {
        return;
    };
    let mut roster = node.roster();
    let mut by_worker: HashMap<u64, Vec<u16>> = HashMap::new();
    for (worker, model) in withheld {
        by_worker.entry(*worker).or_default().push(*model);
    }
    let name_of = |service: &str, model: u16| {
        let engine = configuration.services.get(service)?.engine.as_ref()?;
        let model = engine.models.get(usize::from(model))?;
        Some(Arc::clone(&model.name))
    };
    let ids: Vec<Arc<str>> = roster
        .workers()
        .map(|worker| Arc::clone(&worker.record.id))
        .collect();
    for id in ids {
        let Some(worker) = roster.get_mut(&id) else {
            continue;
        };
        let service = Arc::clone(&worker.record.service);
        let models = by_worker.remove(&worker_key(&id)).unwrap_or_default();
        let names = models
            .into_iter()
            .filter_map(|model| name_of(&service, model));
        worker.withhold(names.collect());
    }
    for (key, (model, adapter)) in adapters {
        let Some(worker) = roster.by_key_mut(*key) else {
            continue;
        };
        let service = Arc::clone(&worker.record.service);
        if let Some(name) = name_of(&service, *model) {
            worker.told_adapter(now_ms, &name, &format!("a{adapter}"));
        }
    }
}
