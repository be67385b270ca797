//! A call that was given up does not arrive later.

use std::io::ErrorKind;

use assert_matches::assert_matches;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;

/// Size of a call that the network can't take at once, in bytes.
const LARGE_BYTES: usize = 32 * 1024 * 1024;

/// Reads until the connection ends, and returns how it did.
async fn read_to_end(stream: &mut TcpStream) -> Result<usize, ErrorKind> {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    read.map_err(|error| error.kind())
}

#[tokio::test]
async fn a_call_without_an_answer_in_time_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = JsonClient::new(&listener.local_addr().unwrap().to_string());
    let body = Bytes::from(vec![b'x'; LARGE_BYTES]);
    let (called, accepted) =
        tokio::join!(client.post_bytes("/order", body, 200), listener.accept());
    assert_matches!(called, Err(CallError::Unanswered { .. }));
    // What the network still holds back is gone, in place of coming later.
    let (mut stream, _) = accepted.unwrap();
    assert_eq!(
        read_to_end(&mut stream).await,
        Err(ErrorKind::ConnectionReset)
    );
}
