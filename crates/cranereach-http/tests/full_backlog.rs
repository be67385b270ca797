//! Calls to an address that accepts no connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use assert_matches::assert_matches;
use socket2::Domain;
use socket2::SockAddr;
use socket2::Socket;
use socket2::Type;

use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;

/// Pending connections, more than the backlog of the listener holds.
const PENDING_COUNT: usize = 8;

/// Timeout of the whole call, in milliseconds; far longer than the connect timeout.
const CALL_TIMEOUT_MS: u64 = 20_000;

/// Creates a listener whose backlog is full, and the connections that fill it.
fn full_listener() -> (Socket, Vec<Socket>, SocketAddr) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    listener.bind(&SockAddr::from(any_port)).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let pending = (0..PENDING_COUNT).map(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        // The handshake stays incomplete or the connection waits in the backlog; both fill it.
        let _begun = socket.connect(&address);
        socket
    });
    let pending = pending.collect();
    (listener, pending, address.as_socket().unwrap())
}

#[tokio::test]
async fn connecting_to_a_full_listener_fails_long_before_the_call_times_out() {
    let (_listener, _pending, address) = full_listener();
    let client = JsonClient::new(&address.to_string());
    let result = client.get("/", CALL_TIMEOUT_MS).await;
    assert_matches!(result, Err(CallError::NotSent { .. }));
}
