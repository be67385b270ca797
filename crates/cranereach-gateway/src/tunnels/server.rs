//! The relaying peer's end of a tunnel.

use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;

use super::TunnelRequest;
use super::TunnelStatus;
use super::configure;
use super::stream::FRAME_HEADER_BYTES;
use crate::node::Node;
use crate::traffic::Kind;
use crate::worker_paths;
use crate::worker_paths::CONNECT_TIMEOUT_MS;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_http::meter::Meter;
use cranereach_http::meter::Side;

/// Maximum number of tunnels relayed at a time. Each takes two file descriptors and two buffers.
const TUNNEL_MAX_COUNT: i64 = 384;

/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Time for which one side of a tunnel stays open after the other has been closed.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(10);

/// Counts a tunnel as open until it is dropped.
#[derive(Debug)]
struct OpenTunnel<'a>(&'a Node);

impl<'a> OpenTunnel<'a> {
    /// Counts one more tunnel, unless there are too many.
    fn begin(node: &'a Node) -> Option<Self> {
        let gauge = &node.metrics.paths.tunnels_open;
        gauge.inc();
        let tunnel = Self(node);
        (gauge.get() <= TUNNEL_MAX_COUNT).then_some(tunnel)
    }
}

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.0.metrics.paths.tunnels_open.dec();
    }
}

/// Opens and relays a tunnel for a peer until either side ends it.
pub async fn serve(
    node: &Arc<Node>,
    peer: Ipv4Addr,
    mut stream: TcpStream,
    request: TunnelRequest,
) -> io::Result<()> {
    configure(&stream)?;
    let tunnel = OpenTunnel::begin(node);
    let opened = match &tunnel {
        Some(_) => open(node, peer, request).await,
        None => Err(TunnelStatus::Busy),
    };
    let status = opened.as_ref().err().copied().unwrap_or(TunnelStatus::Open);
    let counter = &node.metrics.paths.tunnels_total;
    counter.with_label_values(&[status.name()]).inc();
    stream.write_u8(status as u8).await?;
    node.note_sent(peer, Kind::Tunnel, 1);
    match opened {
        Ok(worker) => relay(node, peer, stream, worker).await,
        Err(status) => {
            info!(node.log, "tunnel declined"; "peer" => peer.to_string(),
                "status" => status.name());
            Ok(())
        }
    }
}

/// Opens a connection to the requested worker, or returns why not.
async fn open(
    node: &Arc<Node>,
    peer: Ipv4Addr,
    request: TunnelRequest,
) -> Result<TcpStream, TunnelStatus> {
    if !node.peers().members().is_known(peer) {
        return Err(TunnelStatus::NotMember);
    }
    if node.is_stopping() {
        return Err(TunnelStatus::Stopping);
    }
    // What is too much for this instance would not get through it either.
    if node.intake.admission().is_turning_away(node.now_ms()) {
        return Err(TunnelStatus::Busy);
    }
    if node.paths.is_isolated(node.now_ms()) {
        return Err(TunnelStatus::Isolated);
    }
    let listed = node.pool_by_key(request.worker);
    let (_id, pool) = listed.ok_or(TunnelStatus::UnknownWorker)?;
    worker_paths::connect(node, request.worker, &pool)
        .await
        .map_err(|failure| match failure {
            ConnectFailure::Refused => TunnelStatus::Refused,
            ConnectFailure::Silent if node.is_own_delay(CONNECT_TIMEOUT_MS) => TunnelStatus::Busy,
            ConnectFailure::Silent => TunnelStatus::Silent,
        })
}

/// Relays both directions until both have ended or one fails. A failure resets both connections, so
/// that neither end takes it for an orderly close.
async fn relay(
    node: &Node,
    peer: Ipv4Addr,
    mut stream: TcpStream,
    mut worker: TcpStream,
) -> io::Result<()> {
    let meter = node.intake.meter();
    let _open = (meter.open(Side::Peers), meter.open(Side::Workers));
    for connection in [&stream, &worker] {
        SockRef::from(connection).set_linger(Some(Duration::ZERO))?;
    }
    relay_both(node, peer, &mut stream, &mut worker).await?;
    for connection in [&stream, &worker] {
        // If this fails, the other end sees a reset after the last byte.
        let _set = SockRef::from(connection).set_linger(None);
    }
    Ok(())
}

/// Copies both directions until both have ended or one fails. The halves are borrowed, since owned
/// ones would close their direction in order when they are dropped.
async fn relay_both(
    node: &Node,
    peer: Ipv4Addr,
    stream: &mut TcpStream,
    worker: &mut TcpStream,
) -> io::Result<()> {
    let (peer_reader, peer_writer) = stream.split();
    let (worker_reader, worker_writer) = worker.split();
    let forward = copy_to_worker(node.intake.meter(), peer_reader, worker_writer);
    let backward = copy_to_peer(node, peer, worker_reader, peer_writer);
    tokio::pin!(forward, backward);
    tokio::select! {
        closed = &mut forward => {
            closed?;
            tokio::time::timeout(HALF_CLOSED_TIMEOUT, backward).await?
        }
        closed = &mut backward => {
            closed?;
            tokio::time::timeout(HALF_CLOSED_TIMEOUT, forward).await?
        }
    }
}

/// Copies bytes of the asking instance to the worker until it closes its side.
async fn copy_to_worker(
    meter: &Meter,
    mut peer_reader: ReadHalf<'_>,
    mut worker_writer: WriteHalf<'_>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = peer_reader.read(&mut buffer).await?;
        if length == 0 {
            return worker_writer.shutdown().await;
        }
        meter.add_received(length);
        meter.add_sent(length);
        worker_writer.write_all(&buffer[..length]).await?;
    }
}

/// Copies the worker's bytes in frames to the asking instance until the worker closes its side.
async fn copy_to_peer(
    node: &Node,
    peer: Ipv4Addr,
    mut worker_reader: ReadHalf<'_>,
    mut peer_writer: WriteHalf<'_>,
) -> io::Result<()> {
    let sent_bytes = node.sent_bytes_counter(peer, Kind::Tunnel);
    let meter = node.intake.meter();
    let mut buffer = vec![0; FRAME_HEADER_BYTES + BUFFER_BYTES];
    loop {
        let length = worker_reader
            .read(&mut buffer[FRAME_HEADER_BYTES..])
            .await?;
        buffer[..FRAME_HEADER_BYTES].copy_from_slice(&(length as u16).to_be_bytes());
        let frame = &buffer[..FRAME_HEADER_BYTES + length];
        peer_writer.write_all(frame).await?;
        sent_bytes.inc_by(frame.len() as u64);
        meter.add_received(length);
        meter.add_sent(frame.len());
        if length == 0 {
            return peer_writer.shutdown().await;
        }
    }
}
