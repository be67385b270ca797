//! The question whether this instance is ready, and its metrics.

use std::future::Ready;
use std::future::ready;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::node::Node;
use cranereach_http::server::Closed;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers either question; anything else is not found.
pub fn answer(
    node: &Node,
    request: &Request<Incoming>,
) -> Ready<Result<Response<Full<Bytes>>, Closed>> {
    let path = request.uri().path();
    let (status, text) = if path == node.adapter.ready_path {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    } else if path == METRICS_PATH {
        (StatusCode::OK, node.metrics.text())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    ready(Ok(answer))
}
