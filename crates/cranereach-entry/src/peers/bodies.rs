//! Serves configuration bodies to peers and fetches them from peers, over TCP.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::discovery;
use crate::platform::objects::content_hash;
use crate::shared::PeerAddress;
use crate::shared::Shared;
use crate::shared::lock;
use cranereach_wire::peer::MESSAGE_MAX_BYTES;
use cranereach_wire::peer::PeerAnswer;
use cranereach_wire::peer::PeerRequest;
use cranereach_wire::peer::open;
use cranereach_wire::peer::seal;

/// Time limit of one exchange with a peer, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of peers from which a body is requested before the object store is used.
const MAX_PEERS_ASKED: usize = 3;

/// Serves peers until the process ends.
pub async fn run(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let time_limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
            let result = tokio::time::timeout(time_limit, serve_body(&shared, stream)).await;
            if !matches!(result, Ok(Ok(()))) {
                shared
                    .metrics
                    .peer_dropped_total
                    .with_label_values(&["tcp"])
                    .inc();
            }
        });
    }
}

/// Fetches a body from peers, live ones first; `None` if no peer asked has it.
pub async fn fetch(shared: &Shared, hash: &str) -> Option<Bytes> {
    let mut peers = discovery::peers(shared);
    let live = shared.membership().live(shared.now_ms());
    peers.sort_by_key(|peer| (!live.contains(&peer.id), rand::random::<u32>()));
    for peer in peers.iter().take(MAX_PEERS_ASKED) {
        let time_limit = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
        let fetched = tokio::time::timeout(time_limit, request_body(shared, peer, hash)).await;
        if let Ok(Ok(Some(body))) = fetched {
            return Some(body);
        }
    }
    None
}

/// Requests a body from one peer; `None` if it doesn't have the body or the hash
/// doesn't match.
async fn request_body(
    shared: &Shared,
    peer: &PeerAddress,
    hash: &str,
) -> io::Result<Option<Bytes>> {
    let mut stream = TcpStream::connect(peer.address).await?;
    let request = PeerRequest::Body {
        hash: hash.to_owned(),
    };
    write_frame(&mut stream, &seal(&shared.peer_key, &request)).await?;
    let sealed = read_frame(&mut stream).await?;
    let PeerAnswer::Body(body) = open(&shared.peer_key, &sealed).map_err(io::Error::other)?;
    Ok(body
        .map(Bytes::from)
        .filter(|body| content_hash(body) == hash))
}

/// Answers one request of a peer.
async fn serve_body(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    let sealed = read_frame(&mut stream).await?;
    let PeerRequest::Body { hash } = open(&shared.peer_key, &sealed).map_err(io::Error::other)?;
    let held = lock(&shared.held_body).clone();
    let body = (held.hash == hash).then(|| held.body.to_vec());
    write_frame(
        &mut stream,
        &seal(&shared.peer_key, &PeerAnswer::Body(body)),
    )
    .await
}

/// Writes a message, prefixed with its length.
async fn write_frame(stream: &mut TcpStream, sealed: &[u8]) -> io::Result<()> {
    stream.write_u32(sealed.len() as u32).await?;
    stream.write_all(sealed).await?;
    stream.flush().await
}

/// Reads a length-prefixed message.
async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > MESSAGE_MAX_BYTES {
        return Err(io::Error::other("peer message exceeds the maximum size"));
    }
    // The buffer grows with the data received; a peer can't make this instance allocate
    // memory by merely announcing a large length.
    let mut sealed = Vec::new();
    stream.take(length as u64).read_to_end(&mut sealed).await?;
    if sealed.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(sealed)
}
