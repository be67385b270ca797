//! Configurations from peers, and the way over TCP that they and lists of workers take.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use slog::warn;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::list_bodies;
use crate::messages::pack;
use crate::messages::unpack;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::recipients::Origin;
use crate::traffic::Kind;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::Distance;

/// Time after a failed accept, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Time for a configuration from a peer, in milliseconds: another peer has to be asked
/// while the bound of changes, 2,000 at least, still allows it.
const CONFIGURATION_TIMEOUT_MS: u64 = 1_500;

/// Time for a list of workers from a peer, in milliseconds: one of 10,000 is some 300 KB
/// packed, three of which a link of 10 Mbit/s carries in 0.7 s, a busy one later.
const WORKERS_TIMEOUT_MS: u64 = 6_000;

/// Time without a byte after which a peer is given up, in milliseconds: another one is
/// asked next.
const IDLE_TIMEOUT_MS: u64 = 500;

/// Time to connect to a peer, in milliseconds: another one is asked next.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Longest question, in bytes: its number, and the longest of a position.
const REQUEST_MAX_BYTES: u64 = 24;

/// Largest body from a peer, in bytes.
pub(crate) const FETCH_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Part of the bound of configurations over which fetches from peers are spread: one
/// in so many. Bodies are large, and all instances hear of a change at once.
const FETCH_SPREAD_DIVISOR: u64 = 16;

/// Part of that bound for which an instance leaves it to another one of its failure
/// domain to fetch a body from elsewhere: one in so many.
const OWN_DOMAIN_WAIT_DIVISOR: u64 = 8;

/// Time between two looks whether it has, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Purpose that instances of a failure domain are ranked for.
const PURPOSE: &str = "bodies";

/// What is asked of a peer over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyRequest {
    /// The configuration in force.
    Configuration,
    /// The list of workers, for whoever knows it as of a position.
    Workers(StorePosition),
}

impl BodyRequest {
    /// Returns the time for the whole answer.
    const fn total_timeout(self) -> Duration {
        Duration::from_millis(match self {
            Self::Configuration => CONFIGURATION_TIMEOUT_MS,
            Self::Workers(_) => WORKERS_TIMEOUT_MS,
        })
    }
}

/// Fetches the configuration in force that a peer told of, after a short while, unless
/// it comes otherwise before.
///
/// Within a failure domain one instance fetches it from elsewhere, the others from those
/// that have it there.
pub fn fetch_configuration_if_behind(node: &Arc<Node>, advertiser: Ipv4Addr, version: u64) {
    if version <= node.configuration_version() {
        return;
    }
    node.configuration_heard
        .fetch_max(version, Ordering::AcqRel);
    if node.is_fetching_configuration.swap(true, Ordering::AcqRel) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let bound_ms = node.settings.bounds.configuration_ms;
        // Without any configuration each call is refused: that is worth a body more from
        // another failure domain.
        if node.configuration_version() > 0 {
            pause(rand::random_range(0..=bound_ms / FETCH_SPREAD_DIVISOR)).await;
            if is_left_to_others(&node, advertiser) {
                wait_for_domain_copy(&node, version, bound_ms / OWN_DOMAIN_WAIT_DIVISOR).await;
            }
        }
        if node.configuration_version() < version {
            let now_ms = node.now_ms();
            let source = node
                .peers()
                .configuration_source(now_ms, version, advertiser);
            fetch_configuration(&node, source).await;
        }
        node.is_fetching_configuration
            .store(false, Ordering::Release);
    });
}

/// Whether what a peer tells is left to another instance of the own failure domain to
/// fetch first.
fn is_left_to_others(node: &Node, advertiser: Ipv4Addr) -> bool {
    let is_near = node.distance_to(advertiser) == Some(Distance::OwnDomain);
    !is_near && !node.peers().is_first_in_domain(node.now_ms(), PURPOSE)
}

/// Waits until a peer of the own failure domain has a version of the configuration, or
/// a time is over.
async fn wait_for_domain_copy(node: &Node, version: u64, within_ms: u64) {
    let until_ms = node.now_ms() + within_ms;
    let own_ip = node.own_ip();
    while node.now_ms() < until_ms && node.configuration_version() < version {
        let now_ms = node.now_ms();
        let source = node.peers().configuration_source(now_ms, version, own_ip);
        if source != own_ip {
            return;
        }
        pause(POLL_INTERVAL_MS).await;
    }
}

/// Fetches the configuration in force at a peer.
async fn fetch_configuration(node: &Node, peer: Ipv4Addr) {
    let body = fetch(node, peer, BodyRequest::Configuration).await;
    let Ok(body) = body.and_then(|body| unpack_body(&body)) else {
        // The next digest tries again.
        return;
    };
    if body.is_empty() {
        return;
    }
    match node.offer_configuration(&Bytes::from(body), "peer") {
        Ok(is_newer) => {
            if is_newer {
                node.tell_news(Origin::at(node.distance_to(peer)));
            }
        }
        Err(error) => {
            warn!(node.log, "configuration not understood";
                "peer" => peer.to_string(), "error" => error.to_string());
        }
    }
}

/// Unpacks a body.
fn unpack_body(body: &[u8]) -> io::Result<Vec<u8>> {
    unpack(body, FETCH_MAX_BYTES as u64).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Asks a peer over TCP; an empty answer says that it has nothing to give.
pub(crate) async fn fetch(node: &Node, peer: Ipv4Addr, request: BodyRequest) -> io::Result<Bytes> {
    let port = node.settings.listen.peers.port();
    let fetching = async {
        let connecting = TcpStream::connect(SocketAddr::from((peer, port)));
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let mut stream = tokio::time::timeout(connect_timeout, connecting).await??;
        let message = postcard::to_stdvec(&request).map_err(io::Error::other)?;
        stream.write_all(&message).await?;
        stream.shutdown().await?;
        node.note_sent(peer, Kind::Other, message.len());
        read_whole(&mut stream).await
    };
    tokio::time::timeout(request.total_timeout(), fetching)
        .await
        .unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads what a peer sends until it closes, unless it falls silent or sends too much.
async fn read_whole(stream: &mut TcpStream) -> io::Result<Bytes> {
    let mut body = BytesMut::new();
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    loop {
        let reading = stream.read_buf(&mut body);
        let count = tokio::time::timeout(idle_timeout, reading).await??;
        if count == 0 {
            return Ok(body.freeze());
        }
        if body.len() > FETCH_MAX_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// Answers what peers ask over TCP, until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            pause(ACCEPT_RETRY_DELAY_MS).await;
            continue;
        };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let answer_timeout = Duration::from_millis(WORKERS_TIMEOUT_MS);
            // A peer that breaks off asks again.
            let _answered = tokio::time::timeout(answer_timeout, answer(&node, peer, stream)).await;
        });
    }
}

/// Answers one question.
async fn answer(node: &Node, peer: SocketAddr, mut stream: TcpStream) -> io::Result<()> {
    let mut received = Vec::new();
    (&mut stream)
        .take(REQUEST_MAX_BYTES)
        .read_to_end(&mut received)
        .await?;
    let request: BodyRequest = postcard::from_bytes(&received).map_err(io::Error::other)?;
    // Kept until the body is sent.
    let (kind, body, _place) = match request {
        BodyRequest::Configuration => (Kind::Configuration, packed_configuration(node), None),
        BodyRequest::Workers(known_version) => {
            let (body, slot) = list_bodies::answer(node, known_version);
            (Kind::Workers, body, slot)
        }
    };
    stream.write_all(&body).await?;
    if let IpAddr::V4(peer) = peer.ip() {
        node.note_sent(peer, kind, body.len());
    }
    stream.shutdown().await
}

/// Returns the configuration's body as peers are told it, packed; it is packed once.
fn packed_configuration(node: &Node) -> Bytes {
    let plain = lock(&node.configuration_body).clone();
    let mut packed = lock(&node.packed_configuration);
    if packed.0 != plain {
        *packed = (plain.clone(), Bytes::from(pack(&plain)));
    }
    packed.1.clone()
}
