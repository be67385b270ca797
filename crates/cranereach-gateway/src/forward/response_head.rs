//! The head of a worker's answer: whose it is, what ran, how long it may rest.

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

use super::in_flight::InFlightCall;
use super::request::Call;
use crate::node::Node;
use crate::send_permit::Permit;
use crate::worker_words;
use crate::worker_words::WorkerWords;
use cranereach_http::pool::Connection;

/// How one offer to one worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It never left: no connection, or the connection closed before.
    NotSent,
    /// It isn't to be sent to that worker any more (see [`crate::send_permit`]).
    NoPermit,
    /// It isn't to be sent any more: workers end under requests equal to it.
    Quarantined,
    /// The worker says that it did not run it.
    NotRun,
    /// The worker does not hold the model, or is another one.
    NotThere,
    /// The connection broke: it may have run.
    BrokenOff,
    /// It may have run.
    Unknown,
}

impl Failure {
    /// Whether the call may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::BrokenOff | Self::Unknown)
    }
}

/// The head of a worker's answer with all that belongs to it.
pub struct ResponseHead {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection that it came on.
    pub connection: Connection<Full<Bytes>>,
    /// How long that may rest, in milliseconds; none if it closes.
    pub keep_alive_ms: Option<u64>,
    /// The count of the call at the worker.
    pub in_flight: InFlightCall,
}

/// Hears an answer's head, and checks that it is to this call and that something ran;
/// returns what it says of its worker.
pub fn check_head(
    node: &Node,
    call: &Call,
    permit: &Permit,
    in_flight: &mut InFlightCall,
    response: &Response<Incoming>,
) -> Result<WorkerWords, Failure> {
    let headers = response.headers();
    let status = response.status();
    let request_id = headers.get(node.adapter.headers.request_id);
    let is_ours = request_id.is_none_or(|id| id.as_bytes() == call.id.as_bytes());
    let words = worker_words::hear(node, permit, (status, headers), is_ours);
    if !is_ours || (request_id.is_none() && !words.is_not_run) {
        node.metrics
            .bad_input_total
            .with_label_values(&["answer"])
            .inc();
        in_flight.failed();
        return Err(Failure::Unknown);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        note_worker_lacks_model(node, call, permit);
        return Err(Failure::NotThere);
    }
    if words.is_not_run {
        return Err(Failure::NotRun);
    }
    Ok(words)
}

/// Notes that a worker lacks the model of a call, or is another one.
fn note_worker_lacks_model(node: &Node, call: &Call, permit: &Permit) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    if let (Some(worker), Some((model, adapter))) = (roster.get_mut(&permit.worker), call.model()) {
        worker.lacks(now_ms, model, adapter);
    }
}

/// Whether the answer's head says where it ends: only then does its end show that the
/// worker lived to make it.
pub fn has_explicit_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
