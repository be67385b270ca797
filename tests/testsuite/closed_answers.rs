//! Answers of plain services whose end nothing but the close of the connection marks.

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::fixture;
use crate::fixture::Shape;
use crate::fixture::WAIT_TIMEOUT_MS;
use cranereach_bench::deployment::Deployment;
use cranereach_core::ledger::MemoryReport;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;
use cranereach_wire::platform::ListState;

/// End of the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Path at which upstreams report their load.
const LOAD_PATH: &str = "/load ";

/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts an upstream that sends `body` with `media_type` for each call and closes the connection.
/// Returns its address.
async fn start_upstream(media_type: &'static str, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let load = json!({
        "memory": MemoryReport::default(), "outstanding_count": 0, "slot_count": 8, "is_leaving": false,
    });
    tokio::spawn(async move {
        while let Ok((mut stream, _caller)) = listener.accept().await {
            let load = load.to_string();
            tokio::spawn(async move {
                let head = read_head(&mut stream).await;
                let (media_type, body) = if head.contains(LOAD_PATH) {
                    ("application/json", load.as_str())
                } else {
                    (media_type, body)
                };
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: {media_type}\r\n\r\n{body}");
                let _sent = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

/// Reads the head of a request.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        let Ok(byte) = stream.read_u8().await else {
            break;
        };
        head.push(byte);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Calls a plain service whose only upstream sends this body, and returns the outcome.
async fn call_service(media_type: &'static str, body: &'static str) -> Outcome {
    let deployment = fixture::start(Shape::default()).await;
    let address = start_upstream(media_type, body).await;
    deployment.list_worker("ledger-0", "ledger", "d0", &address, ListState::Live);
    let within = Duration::from_millis(WAIT_TIMEOUT_MS);
    let outcome = tokio::time::timeout(within, until_answered_with(&deployment, body)).await;
    deployment.stop().await;
    outcome.expect("the upstream that is listed now answers")
}

/// Calls the service until the answer is this body: until then, the earlier upstream may answer.
async fn until_answered_with(deployment: &Deployment, body: &str) -> Outcome {
    let call = Call::plain("a", Method::GET, "/ledger/tickets", "");
    loop {
        let outcome = deployment.call(0, &call).await;
        if outcome.status == 200 && outcome.text == body {
            return outcome;
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

/// Guards against half a JSON text reaching the caller of a plain service as a whole answer because
/// the upstream closed the connection in order.
#[tokio::test(flavor = "multi_thread")]
async fn a_json_text_that_its_connection_cuts_is_not_complete() {
    let outcome = call_service("application/json", r#"{"tickets": ["#).await;
    assert!(!outcome.has_declared_end, "{outcome:?}");
}

/// Guards against a whole JSON text being broken off because only the close of its connection ends
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_json_text_is_complete() {
    let outcome = call_service("application/json", r#"{"tickets": []}"#).await;
    assert!(outcome.has_declared_end, "{outcome:?}");
}
