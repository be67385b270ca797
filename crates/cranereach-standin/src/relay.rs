//! TCP relay between two processes whose connections can be cut, held, slowed down, refused, reset
//! or left unanswered.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;

use cranereach_http::full_backlog::FullBacklog;
use cranereach_http::reserved_address::ReservedAddress;
use cranereach_http::reserved_address::ReservedListener;

/// Size of the copy buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Delay of each chunk by a slow relay, in milliseconds.
const SLOW_MS: u64 = 150;

/// Forwarding mode of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum LinkMode {
    /// Forwards everything.
    Open,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Accepts connections and forwards nothing.
    Held,
    /// Forwards only from the client to the server.
    OneWay,
    /// Forwards everything with a delay.
    Slow,
    /// Resets open connections and listens no more.
    Refused,
    /// Keeps open connections and forwards nothing; attempts to connect get no response.
    Unreachable,
    /// Resets open connections, and new ones once they are accepted.
    Reset,
}

impl LinkMode {
    /// Whether bytes of the client pass.
    fn passes_forward(self) -> bool {
        !matches!(self, Self::Held | Self::Unreachable)
    }

    /// Whether bytes of the server pass.
    fn passes_backward(self) -> bool {
        self.passes_forward() && self != Self::OneWay
    }

    /// Whether open connections end.
    fn ends_connections(self) -> bool {
        matches!(self, Self::Cut | Self::Refused | Self::Reset)
    }
}

/// A running relay.
#[derive(Clone, Debug)]
pub struct Relay {
    mode: Arc<watch::Sender<LinkMode>>,
}

impl Relay {
    /// Starts relaying connections from an address, whose port may be zero, to a server at
    /// `ip:port`. Returns the relay with the address that it listens on.
    pub fn start(from: SocketAddr, server_address: &str) -> io::Result<(Self, SocketAddr)> {
        let reserved = ReservedAddress::new(from)?;
        let address = reserved.address();
        let listener = reserved.listen()?;
        let (mode, mode_receiver) = watch::channel(LinkMode::Open);
        let server_address = server_address.to_owned();
        tokio::spawn(accept(reserved, listener, server_address, mode_receiver));
        let mode = Arc::new(mode);
        Ok((Self { mode }, address))
    }

    /// Changes the mode, also for open connections.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Returns the mode.
    pub fn mode(&self) -> LinkMode {
        *self.mode.borrow()
    }
}

/// Accepts connections, as far as the mode allows it, until the relay is dropped.
async fn accept(
    reserved: ReservedAddress,
    listener: ReservedListener,
    server_address: String,
    mode: watch::Receiver<LinkMode>,
) {
    if let Err(error) = accept_by_mode(&reserved, listener, &server_address, mode).await {
        eprintln!("relay to {server_address}: {error}");
    }
}

/// Accepts connections as [`accept`] does; fails if the address can't be listened on again.
async fn accept_by_mode(
    reserved: &ReservedAddress,
    listener: ReservedListener,
    server_address: &str,
    mut mode: watch::Receiver<LinkMode>,
) -> io::Result<()> {
    let mut listener = Some(listener);
    loop {
        let current = *mode.borrow_and_update();
        let _full_backlog = match current {
            LinkMode::Refused => {
                listener = None;
                None
            }
            LinkMode::Unreachable => {
                listener = None;
                Some(FullBacklog::new(reserved.address())?)
            }
            _ => {
                if listener.is_none() {
                    listener = Some(reserved.listen()?);
                }
                None
            }
        };
        tokio::select! {
            Some(client) = accept_next(listener.as_ref()) => {
                if current != LinkMode::Cut {
                    let relaying = relay_connection(client?, server_address.to_owned(), mode.clone());
                    tokio::spawn(relaying);
                }
            }
            changed = mode.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Accepts the next connection; returns `None` without a listener.
async fn accept_next(listener: Option<&ReservedListener>) -> Option<io::Result<TcpStream>> {
    Some(listener?.accept().await)
}

/// Relays one connection until both directions have ended, one fails, or the mode ends it.
async fn relay_connection(
    mut client: TcpStream,
    server_address: String,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut ending = mode.clone();
    let ended = tokio::select! {
        () = exchange(&mut client, &server_address, &mut mode) => return,
        ended = ending.wait_for(|mode| mode.ends_connections()) => ended.ok().map(|mode| *mode),
    };
    if matches!(ended, Some(LinkMode::Refused | LinkMode::Reset)) {
        let _set = SockRef::from(&client).set_linger(Some(Duration::ZERO));
    } else {
        // Closes in order, whatever the client has sent meanwhile.
        let _closed = client.shutdown().await;
    }
}

/// Connects to the server and copies in both directions. An error in one direction ends both; end
/// of file in one leaves the other open.
async fn exchange(
    client: &mut TcpStream,
    server_address: &str,
    mode: &mut watch::Receiver<LinkMode>,
) {
    if mode.wait_for(|mode| mode.passes_forward()).await.is_err() {
        return;
    }
    let Ok(mut server) = TcpStream::connect(server_address).await else {
        return;
    };
    let (client_reader, client_writer) = client.split();
    let (server_reader, server_writer) = server.split();
    let backward = mode.clone();
    let forward = copy(
        client_reader,
        server_writer,
        mode.clone(),
        LinkMode::passes_forward,
    );
    let backward = copy(
        server_reader,
        client_writer,
        backward,
        LinkMode::passes_backward,
    );
    let _ended = tokio::try_join!(forward, backward);
}

/// Copies one direction while the mode allows it, and pauses otherwise.
async fn copy(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    is_forwarding: fn(LinkMode) -> bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match reader.read(&mut chunk).await {
            Ok(count) => count,
            Err(error) => {
                // A reset arrives as a reset.
                let _set = SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
                return Err(error);
            }
        };
        let waited = mode.wait_for(|mode| is_forwarding(*mode)).await;
        let current = *waited.map_err(io::Error::other)?;
        if current == LinkMode::Slow {
            tokio::time::sleep(Duration::from_millis(SLOW_MS)).await;
        }
        if count == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk[..count]).await?;
    }
}
