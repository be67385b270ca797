//! HTTP endpoints for the platform and for operators: readiness, metrics, quarantined requests,
//! and the workers that state a limit, leave or rest.

use std::future::Ready;
use std::future::ready;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::named_limits;
use crate::node::Node;
use crate::quarantine;
use crate::quarantine::listing;
use crate::unavailable_workers;
use cranereach_fleet::fingerprint::Fingerprint;
use cranereach_http::server::Closed;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path that lists the requests during which workers ended.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// Path prefix, followed by a fingerprint, that releases one of these requests from quarantine.
pub const RELEASE_PATH: &str = "/quarantine/release/";

/// Path that lists the workers that state a limit.
pub const LIMITS_PATH: &str = "/limits";

/// Path that lists the workers that leave or rest.
pub const WORKERS_PATH: &str = "/workers";

/// Answers readiness checks. All other paths are not found.
pub fn answer_ready(
    node: &Node,
    request: &Request<Incoming>,
) -> Ready<Result<Response<Full<Bytes>>, Closed>> {
    let is_ready_path = request.uri().path() == node.adapter.ready_path;
    let status = match is_ready_path {
        true if node.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    ready(Ok(answer_with(status, String::new())))
}

/// Answers requests of operators. All other paths are not found.
pub fn answer(
    node: &Arc<Node>,
    request: &Request<Incoming>,
) -> Ready<Result<Response<Full<Bytes>>, Closed>> {
    let path = request.uri().path();
    let released = path.strip_prefix(RELEASE_PATH);
    let (status, text) = match (request.method(), path, released) {
        (&Method::GET, METRICS_PATH, _) => {
            let limited_count = named_limits::count(node);
            node.metrics.limited_workers.set(limited_count as i64);
            unavailable_workers::update_gauges(node);
            node.metrics.intake.update(&node.intake);
            (StatusCode::OK, node.metrics.text())
        }
        (&Method::GET, LIMITS_PATH, _) => {
            let shown = serde_json::to_string(&named_limits::show(node));
            (StatusCode::OK, shown.unwrap_or_default())
        }
        (&Method::GET, WORKERS_PATH, _) => {
            let shown = serde_json::to_string(&unavailable_workers::show(node));
            (StatusCode::OK, shown.unwrap_or_default())
        }
        (&Method::GET, QUARANTINE_PATH, _) => {
            let shown = serde_json::to_string(&listing::show(node));
            (StatusCode::OK, shown.unwrap_or_default())
        }
        (&Method::POST, _, Some(fingerprint)) => (release(node, fingerprint), String::new()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    ready(Ok(answer_with(status, text)))
}

/// Releases a request from quarantine.
fn release(node: &Arc<Node>, fingerprint: &str) -> StatusCode {
    match Fingerprint::read(fingerprint) {
        None => StatusCode::BAD_REQUEST,
        Some(fingerprint) if quarantine::release(node, fingerprint) => StatusCode::OK,
        Some(_) => StatusCode::NOT_FOUND,
    }
}

/// Returns a response with a status and a text body.
fn answer_with(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}
