//! A call that timed out resets its connection, so that the request cannot arrive later.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use tokio::io::Interest;
use tokio::net::TcpListener;

use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;

/// Generous timeout for whatever the test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::test]
async fn a_call_without_an_answer_in_time_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = JsonClient::new(&listener.local_addr().unwrap().to_string());
    let body = Bytes::from_static(b"order");
    let (result, accepted) =
        tokio::join!(client.post_bytes("/order", body, 200), listener.accept());
    assert_matches!(result, Err(CallError::Unanswered { .. }));
    let (stream, _) = accepted.unwrap();
    // A close without a reset would not show as an error on the accepting side.
    let reset_seen = tokio::time::timeout(WAIT_TIMEOUT, stream.ready(Interest::ERROR)).await;
    assert!(reset_seen.is_ok(), "the connection was not reset");
}
