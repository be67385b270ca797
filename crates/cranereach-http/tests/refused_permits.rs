//! A call whose permit is refused is told apart from one that found no connection.

use std::future::ready;

use assert_matches::assert_matches;
use tokio::net::TcpListener;

use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;

/// Guards against a worker being probed because this instance itself did not permit a call to it.
#[tokio::test]
async fn a_refused_permit_is_no_failure_to_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let client = JsonClient::new(&address);
    let refused = || ready(None::<()>);
    let result = client.get_with_permit("/report", 60_000, refused).await;
    assert_matches!(result, Err(CallError::NotPermitted { .. }));
    drop((client, listener));
    let client = JsonClient::new(&address);
    let result = client
        .get_with_permit("/report", 60_000, || ready(Some(())))
        .await;
    assert_matches!(result, Err(CallError::NotSent { .. }));
}
