//! TCP relay that carries a limited number of bytes a second in each direction, for all its
//! connections together, as the network link of a machine does.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

/// Time that a packet takes through an idle link.
const PACKET_DELAY: Duration = Duration::from_millis(3);

/// Size of the buffer of one direction, in bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// Bytes of one direction, which leave one after another.
#[derive(Debug)]
struct Direction {
    bytes_per_s: f64,
    free_from: Mutex<Instant>,
}

impl Direction {
    /// Creates an idle direction.
    fn new(bytes_per_s: f64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_s,
            free_from: Mutex::new(Instant::now()),
        })
    }

    /// Waits until bytes have passed behind those that came before.
    async fn pass(&self, byte_count: usize) {
        let passed_at = {
            let mut free_from = self
                .free_from
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let takes = Duration::from_secs_f64(byte_count as f64 / self.bytes_per_s);
            *free_from = (*free_from).max(Instant::now()) + takes;
            *free_from
        };
        tokio::time::sleep_until(passed_at + PACKET_DELAY).await;
    }
}

/// Starts a link to the address `to` that carries `bytes_per_s` in each direction; returns the
/// address that callers connect to.
pub async fn start(to: SocketAddr, bytes_per_s: f64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let inward = Direction::new(bytes_per_s);
    let outward = Direction::new(bytes_per_s);
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let (inward, outward) = (Arc::clone(&inward), Arc::clone(&outward));
            tokio::spawn(async move {
                // A failure closes both connections.
                let _ended = relay(caller, to, &inward, &outward).await;
            });
        }
    });
    Ok(address)
}

/// Relays one connection until either side closes it.
async fn relay(
    caller: TcpStream,
    to: SocketAddr,
    inward: &Direction,
    outward: &Direction,
) -> io::Result<()> {
    let target = TcpStream::connect(to).await?;
    // The first bytes come a round trip after the connection.
    tokio::time::sleep(PACKET_DELAY).await;
    let (caller_reader, caller_writer) = caller.into_split();
    let (target_reader, target_writer) = target.into_split();
    tokio::select! {
        ended = copy_bytes(caller_reader, target_writer, inward) => ended,
        ended = copy_bytes(target_reader, caller_writer, outward) => ended,
    }
}

/// Copies one direction until its source ends.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: &Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        direction.pass(length).await;
        to.write_all(&buffer[..length]).await?;
    }
}
