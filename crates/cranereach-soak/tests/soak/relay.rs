//! Tests of the links of a run: how a connection ends behind them.

use std::io::ErrorKind;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cranereach_standin::relay::Relay;

/// What a server sends before it closes the connection.
const SENT: &[u8] = b"beginning";

/// Connects through a relay to a server that sends some bytes, waits until they have arrived and
/// closes the connection, by a reset or in order. Returns what the client reads after the bytes.
async fn read_end(is_reset: bool) -> std::io::Result<usize> {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let _relay = Relay::start(listener, &server.local_addr().unwrap().to_string());
    let mut client = TcpStream::connect(address).await.unwrap();
    let (mut accepted, _) = server.accept().await.unwrap();
    accepted.write_all(SENT).await.unwrap();
    let mut read = [0; SENT.len()];
    client.read_exact(&mut read).await.unwrap();
    if is_reset {
        SockRef::from(&accepted)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(accepted);
    client.read(&mut [0]).await
}

/// Guards against links that turn a reset into an orderly close, which hides that a body was cut.
#[tokio::test]
async fn a_reset_passes_as_a_reset_and_an_end_as_an_end() {
    let error = read_end(true).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(read_end(false).await.unwrap(), 0);
}
