//! Responses whose body fails, as callers see them.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use cranereach_http::server;
use cranereach_http::server::Closed;
use cranereach_http::server::ServeOptions;

/// What a body yields before it fails.
const BEFORE: &str = "what came before";

/// Body that yields [`BEFORE`] and fails with nothing pending in between.
struct FailingBody {
    has_yielded: bool,
}

impl Body for FailingBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.has_yielded {
            let failure = std::io::Error::other("the body fails");
            return Poll::Ready(Some(Err(failure)));
        }
        self.has_yielded = true;
        let frame = Frame::data(Bytes::from_static(BEFORE.as_bytes()));
        Poll::Ready(Some(Ok(frame)))
    }
}

/// Serves failing bodies; returns the address.
async fn serve() -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    let handler = |_request: Request<Incoming>| async {
        let body = FailingBody { has_yielded: false };
        Ok::<_, Closed>(Response::new(body))
    };
    tokio::spawn(server::serve(
        listener,
        ServeOptions::default(),
        stopping,
        handler,
    ));
    (address, stop)
}

/// Sends a request by a version of HTTP; returns what is received, and whether the connection ends
/// without an error.
async fn request(address: SocketAddr, version: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET / {version}\r\nHost: h.example\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let ended = stream.read_to_end(&mut response).await;
    (
        String::from_utf8_lossy(&response).into_owned(),
        ended.is_ok(),
    )
}

/// Guards against what was passed on being lost because the body fails right after it.
#[tokio::test]
async fn what_came_before_a_failure_is_sent() {
    let (address, _stop) = serve().await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let (response, _is_orderly) = request(address, version).await;
        assert!(response.contains(BEFORE), "{version}: {response:?}");
    }
}

/// Guards against a failed body that looks complete to callers for whom the end of the connection
/// ends the body.
#[tokio::test]
async fn a_failed_body_resets_the_connection_of_an_http_1_0_caller() {
    let (address, _stop) = serve().await;
    let (response, is_orderly) = request(address, "HTTP/1.0").await;
    assert!(!is_orderly, "{response:?}");
}
