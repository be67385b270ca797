//! The question whether this instance is ready, and its metrics.

use std::sync::Arc;

use bytes::Bytes;
use cranereach_http::server::Closed;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::node::Node;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers either question; anything else is not found.
pub async fn answer(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Closed> {
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
    Ok(answer)
}
