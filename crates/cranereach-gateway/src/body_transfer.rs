//! Transfer of configurations and worker lists between peers over TCP.

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

use crate::list_transfer;
use crate::messages::pack;
use crate::messages::unpack;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::recipients::Origin;
use crate::traffic::Kind;
use crate::tunnels;
use crate::tunnels::TunnelRequest;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::Distance;
use cranereach_http::meter::Metered;
use cranereach_http::meter::Side;

/// Delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Timeout for fetching a configuration from a peer, in milliseconds: it leaves time to ask
/// another peer within the bound for configuration changes, which is at least 2,000 ms.
const CONFIGURATION_TIMEOUT_MS: u64 = 1_500;

/// Timeout for fetching a worker list from a peer, in milliseconds: a list of 10,000 workers
/// is some 300 KB compressed, and a 10 Mbit/s link carries three of them in 0.7 s, or later if
/// it is busy.
const WORKERS_TIMEOUT_MS: u64 = 6_000;

/// Time without any received byte after which another peer is asked, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 500;

/// Timeout for connecting to a peer, in milliseconds; another one is asked next.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Maximum size of a request, in bytes: the variant and the longest encoded position.
const REQUEST_MAX_BYTES: usize = 24;

/// Maximum size of a body from a peer, in bytes.
pub(crate) const FETCH_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Divisor of the bound for configuration changes that gives the time over which fetches from
/// peers are spread: bodies are large, and all instances are notified of a change at once.
const FETCH_SPREAD_DIVISOR: u64 = 16;

/// Divisor of that bound that gives the time for which an instance waits for another one of
/// its failure domain to fetch a body from outside.
const OWN_DOMAIN_WAIT_DIVISOR: u64 = 8;

/// Interval between two checks whether another instance of the domain has the body, in
/// milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Purpose that the instances of a failure domain are ranked for.
const PURPOSE: &str = "bodies";

/// A request to a peer over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyRequest {
    /// Asks for the configuration in force.
    Configuration,
    /// Asks for the worker list, or its changes since a position.
    Workers(StorePosition),
    /// Asks for a tunnel to a worker. The connection stays open for it.
    Tunnel(TunnelRequest),
}

impl BodyRequest {
    /// Returns the timeout for the whole answer.
    const fn total_timeout(self) -> Duration {
        Duration::from_millis(match self {
            Self::Configuration => CONFIGURATION_TIMEOUT_MS,
            Self::Workers(_) | Self::Tunnel(_) => WORKERS_TIMEOUT_MS,
        })
    }
}

/// Fetches a newer configuration that a peer has in force, after a short random delay, unless
/// it arrives from another source first.
///
/// Within a failure domain, one instance fetches it from outside and the others from an
/// instance of the domain that has it.
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
        // Without any configuration every call is refused, which is worse than one more
        // transfer between failure domains.
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

/// Whether another instance of this failure domain is to fetch first what a peer of another
/// domain advertised.
fn is_left_to_others(node: &Node, advertiser: Ipv4Addr) -> bool {
    let is_near = node.distance_to(advertiser) == Some(Distance::OwnDomain);
    !is_near && !node.peers().is_first_in_domain(node.now_ms(), PURPOSE)
}

/// Waits until a peer of this failure domain has a version of the configuration, at most for a
/// time.
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

/// Fetches the configuration in force from a peer.
async fn fetch_configuration(node: &Node, peer: Ipv4Addr) {
    let body = fetch(node, peer, BodyRequest::Configuration).await;
    let Ok(body) = body.and_then(|body| unpack_body(&body)) else {
        // The next digest triggers another try.
        return;
    };
    if body.is_empty() {
        return;
    }
    match node.offer_configuration(&Bytes::from(body), "peer") {
        Ok(is_newer) => {
            if is_newer {
                node.gossip_news(Origin::at(node.distance_to(peer)));
            }
        }
        Err(error) => {
            warn!(node.log, "cannot parse configuration from peer";
                "peer" => peer.to_string(), "error" => error.to_string());
        }
    }
}

/// Decompresses a body.
fn unpack_body(body: &[u8]) -> io::Result<Vec<u8>> {
    unpack(body, FETCH_MAX_BYTES as u64).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Requests a body from a peer over TCP. The body ends with the connection, so it must say itself
/// whether it is complete; an empty one never is.
pub(crate) async fn fetch(node: &Node, peer: Ipv4Addr, request: BodyRequest) -> io::Result<Bytes> {
    let port = node.settings.listen.peers.port();
    let fetching = async {
        let connecting = TcpStream::connect(SocketAddr::from((peer, port)));
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(connect_timeout, connecting).await??;
        let mut stream = Metered::new(stream, node.intake.meter(), Side::Peers);
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

/// Reads from a peer until it closes the connection; fails if it sends nothing for too
/// long, or too much in total.
async fn read_whole(stream: &mut Metered<TcpStream>) -> io::Result<Bytes> {
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

/// Serves requests from peers over TCP until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            pause(ACCEPT_RETRY_DELAY_MS).await;
            continue;
        };
        tokio::spawn(handle(Arc::clone(&node), peer, stream));
    }
}

/// Handles one connection of a peer.
async fn handle(node: Arc<Node>, peer: SocketAddr, mut stream: TcpStream) {
    let answer_timeout = Duration::from_millis(WORKERS_TIMEOUT_MS);
    let reading = tokio::time::timeout(answer_timeout, read_request(&mut stream));
    let Ok(Ok(request)) = reading.await else {
        node.metrics
            .bad_input_total
            .with_label_values(&["peer"])
            .inc();
        return;
    };
    match (request, peer.ip()) {
        (BodyRequest::Tunnel(request), IpAddr::V4(peer)) => {
            // The connection of the peer that asked shows how the tunnel ended.
            let _ended = tunnels::serve(&node, peer, stream, request).await;
        }
        (BodyRequest::Tunnel(_), IpAddr::V6(_)) => {}
        (BodyRequest::Configuration | BodyRequest::Workers(_), _) => {
            // A peer whose connection breaks asks again.
            let stream = Metered::new(stream, node.intake.meter(), Side::Peers);
            let answering = answer(&node, peer, stream, request);
            let _answered = tokio::time::timeout(answer_timeout, answering).await;
        }
    }
}

/// Reads one request, which may be followed by the end of the stream or by nothing.
async fn read_request(stream: &mut TcpStream) -> io::Result<BodyRequest> {
    let mut received = Vec::new();
    loop {
        if stream.read_buf(&mut received).await? == 0 || received.len() > REQUEST_MAX_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match postcard::from_bytes(&received) {
            Ok(request) => return Ok(request),
            Err(postcard::Error::DeserializeUnexpectedEnd) => {}
            Err(error) => return Err(io::Error::other(error)),
        }
    }
}

/// Answers a request for a body.
async fn answer(
    node: &Node,
    peer: SocketAddr,
    mut stream: Metered<TcpStream>,
    request: BodyRequest,
) -> io::Result<()> {
    // The slot for sending a whole list, if any, is held until the body is sent.
    let (kind, body, _slot) = match request {
        BodyRequest::Configuration => (Kind::Configuration, packed_configuration(node), None),
        BodyRequest::Workers(known_position) => {
            let (body, slot) = list_transfer::answer(node, known_position);
            (Kind::Workers, body, slot)
        }
        BodyRequest::Tunnel(_) => return Err(io::ErrorKind::InvalidInput.into()),
    };
    stream.write_all(&body).await?;
    if let IpAddr::V4(peer) = peer.ip() {
        node.note_sent(peer, kind, body.len());
    }
    stream.shutdown().await
}

/// Returns the configuration's body for peers in compressed form, which is cached.
fn packed_configuration(node: &Node) -> Bytes {
    let plain = lock(&node.configuration_body).clone();
    let mut packed = lock(&node.packed_configuration);
    if packed.0 != plain {
        *packed = (plain.clone(), Bytes::from(pack(&plain)));
    }
    packed.1.clone()
}
