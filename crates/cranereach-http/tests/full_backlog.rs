//! Calls to an address that accepts no connections.

use assert_matches::assert_matches;

use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
use cranereach_http::full_backlog::FullBacklog;

/// Timeout of the whole call, in milliseconds; far longer than the connect timeout.
const CALL_TIMEOUT_MS: u64 = 20_000;

#[tokio::test]
async fn connecting_to_a_full_listener_fails_long_before_the_call_times_out() {
    let listener = FullBacklog::new(([127, 0, 0, 1], 0).into()).unwrap();
    let client = JsonClient::new(&listener.address().to_string());
    let result = client.get("/", CALL_TIMEOUT_MS).await;
    assert_matches!(result, Err(CallError::NotSent { .. }));
}
