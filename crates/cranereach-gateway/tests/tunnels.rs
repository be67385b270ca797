//! The asking instance's end of a tunnel.

use std::io::ErrorKind;

use prometheus::IntCounter;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cranereach_gateway::tunnels::TunnelStream;

/// Returns a tunnel and the peer's end of its connection.
async fn tunnel() -> (TunnelStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (peer, _) = listener.accept().await.unwrap();
    let sent_bytes = IntCounter::new("sent_bytes", "bytes").unwrap();
    (TunnelStream::new(stream.unwrap(), sent_bytes), peer)
}

#[tokio::test]
async fn frames_are_joined_until_the_empty_one() {
    let (mut tunnel, mut peer) = tunnel().await;
    for part in [&b"\0\x03abc"[..], b"\0", b"\x02d", b"e\0\0"] {
        peer.write_all(part).await.unwrap();
        peer.flush().await.unwrap();
    }
    let mut received = Vec::new();
    tunnel.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"abcde");
    tunnel.write_all(b"request").await.unwrap();
    let mut request = [0; 7];
    peer.read_exact(&mut request).await.unwrap();
    assert_eq!(&request, b"request");
}

/// Guards against an answer that ends with its connection being taken for complete when the peer
/// that relays it ends.
#[tokio::test]
async fn a_connection_that_ends_without_the_empty_frame_is_broken() {
    for sent in [&b""[..], b"\0\x03abc", b"\0\x03a", b"\0"] {
        let (mut tunnel, mut peer) = tunnel().await;
        peer.write_all(sent).await.unwrap();
        drop(peer);
        let mut received = Vec::new();
        let error = tunnel.read_to_end(&mut received).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::UnexpectedEof, "{sent:?}");
    }
}
