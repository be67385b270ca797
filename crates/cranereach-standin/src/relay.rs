//! TCP relay between two processes whose connections can be cut, held or slowed down.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Size of the copy buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Delay of each chunk by a slow relay, in milliseconds.
const SLOW_MS: u64 = 150;

/// Forwarding mode of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
}

/// A running relay.
#[derive(Clone, Debug)]
pub struct Relay {
    mode: Arc<watch::Sender<LinkMode>>,
}

impl Relay {
    /// Starts relaying connections from a listener to a server at `ip:port`.
    pub fn start(listener: TcpListener, server_address: &str) -> Self {
        let (mode, mode_receiver) = watch::channel(LinkMode::Open);
        tokio::spawn(accept(listener, server_address.to_owned(), mode_receiver));
        Self {
            mode: Arc::new(mode),
        }
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

/// Accepts connections until the relay is dropped.
async fn accept(listener: TcpListener, server_address: String, mode: watch::Receiver<LinkMode>) {
    loop {
        let Ok((client, _peer)) = listener.accept().await else {
            return;
        };
        if *mode.borrow() != LinkMode::Cut {
            tokio::spawn(relay_connection(
                client,
                server_address.clone(),
                mode.clone(),
            ));
        }
        if mode.has_changed().is_err() {
            return;
        }
    }
}

/// Relays one connection until both directions have ended, one fails, or the relay is cut.
async fn relay_connection(
    client: TcpStream,
    server_address: String,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut cut = mode.clone();
    let exchange = async move {
        let is_not_held = |mode: &LinkMode| *mode != LinkMode::Held;
        if mode.wait_for(is_not_held).await.is_err() {
            return;
        }
        let Ok(server) = TcpStream::connect(&server_address).await else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let backward = mode.clone();
        let forward = copy(client_reader, server_writer, mode, |mode| {
            mode != LinkMode::Held
        });
        let backward = copy(server_reader, client_writer, backward, |mode| {
            !matches!(mode, LinkMode::Held | LinkMode::OneWay)
        });
        // An error in one direction ends both; end of file in one leaves the other open.
        let _ended = tokio::try_join!(forward, backward);
    };
    tokio::select! {
        () = exchange => {}
        _cut = cut.wait_for(|mode| *mode == LinkMode::Cut) => {}
    }
}

/// Copies one direction while the mode allows it, and pauses otherwise.
async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    is_forwarding: fn(LinkMode) -> bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = match reader.read(&mut chunk).await {
            Ok(count) => count,
            Err(error) => {
                // A reset arrives as a reset. An end of the writer alone would arrive before it.
                let _set = SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
                writer.forget();
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
