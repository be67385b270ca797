//! Connections to workers that a peer opens and relays byte for byte.
//!
//! An instance that can't reach a worker itself asks a peer for a tunnel to it. Everything else
//! stays with the instance that took the call: choice, permit, attempts, deadline and the close of
//! the connection. The peer opens tunnels for members only, to listed workers only, and always on
//! its own direct path, so that no call takes two hops. Orders never use a tunnel, since a worker
//! would see them come from two machines.
//!
//! The worker's bytes travel in frames that end with an empty one. A tunnel that breaks on the way
//! can't be taken for a connection that the worker closed, which ends answers without a length.

mod server;
mod stream;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

pub use self::server::serve;
pub use self::stream::TunnelStream;
use crate::body_transfer::BodyRequest;
use crate::node::Node;
use crate::node::connections::WORKER_SILENT_MAX_MS;
use crate::traffic::Kind;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_http::liveness;

/// Timeout for opening a tunnel, in milliseconds: the peer's own attempt to connect, and two round
/// trips to the peer.
const OPEN_TIMEOUT_MS: u64 = 350;

/// A request to a peer for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Key of the worker.
    pub worker: u64,
}

/// A peer's answer to a request for a tunnel, sent as one byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelStatus {
    /// The tunnel is open.
    Open = 0,
    /// The sender is not a member.
    NotMember = 1,
    /// The worker is not listed.
    UnknownWorker = 2,
    /// The peer relays as many connections as it may.
    Busy = 3,
    /// The peer reaches few workers itself.
    Isolated = 4,
    /// The peer is stopping.
    Stopping = 5,
    /// The worker's machine refuses connections.
    Refused = 6,
    /// The worker did not answer the peer in time.
    Silent = 7,
}

impl TunnelStatus {
    /// All statuses, indexed by their byte.
    const ALL: [Self; 8] = [
        Self::Open,
        Self::NotMember,
        Self::UnknownWorker,
        Self::Busy,
        Self::Isolated,
        Self::Stopping,
        Self::Refused,
        Self::Silent,
    ];

    /// Returns the status of a byte; none if it is unknown.
    pub fn from_byte(byte: u8) -> Option<Self> {
        Self::ALL.get(usize::from(byte)).copied()
    }

    /// Returns the metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::NotMember => "not_member",
            Self::UnknownWorker => "unknown_worker",
            Self::Busy => "busy",
            Self::Isolated => "isolated",
            Self::Stopping => "stopping",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Why a tunnel could not be opened. No byte of a request has been sent.
#[derive(Debug, Error)]
pub enum TunnelError {
    /// The peer could not be reached, or did not answer in time.
    #[error("the peer did not answer: {0}")]
    Peer(#[from] std::io::Error),
    /// The peer declined.
    #[error("the peer declined: {}", .0.name())]
    Declined(TunnelStatus),
    /// The peer could not reach the worker either.
    #[error("the peer can't reach the worker: {0:?}")]
    Worker(ConnectFailure),
}

/// Opens a tunnel to a worker through a peer.
pub async fn open(node: &Node, peer: Ipv4Addr, worker: u64) -> Result<TunnelStream, TunnelError> {
    let within = Duration::from_millis(OPEN_TIMEOUT_MS);
    let opened = tokio::time::timeout(within, request(node, peer, worker)).await;
    let (stream, status) = opened.map_err(std::io::Error::from)??;
    match status {
        TunnelStatus::Open => {
            let counter = node.sent_bytes_counter(peer, Kind::Tunnel);
            Ok(TunnelStream::new(stream, counter))
        }
        TunnelStatus::Refused => Err(TunnelError::Worker(ConnectFailure::Refused)),
        TunnelStatus::Silent => Err(TunnelError::Worker(ConnectFailure::Silent)),
        declined => Err(TunnelError::Declined(declined)),
    }
}

/// Sends a request for a tunnel and reads the answer.
async fn request(
    node: &Node,
    peer: Ipv4Addr,
    worker: u64,
) -> std::io::Result<(TcpStream, TunnelStatus)> {
    let address = SocketAddr::from((peer, node.peer_port()));
    // The peer recognizes members by the address that they are listed with.
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((node.own_ip(), 0)))?;
    let mut stream = socket.connect(address).await?;
    configure(&stream)?;
    let request = BodyRequest::Tunnel(TunnelRequest { worker });
    let message = postcard::to_stdvec(&request).map_err(std::io::Error::other)?;
    stream.write_all(&message).await?;
    node.note_sent(peer, Kind::Tunnel, message.len());
    let byte = stream.read_u8().await?;
    let status = TunnelStatus::from_byte(byte).ok_or(std::io::ErrorKind::InvalidData)?;
    Ok((stream, status))
}

/// Sets the options of a connection that carries a tunnel.
fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    // Systems without the options rely on the deadlines of calls.
    let _set = liveness::break_when_silent(stream, WORKER_SILENT_MAX_MS);
    Ok(())
}
