//! Head of a worker's response: whether it belongs to the call, whether the call ran, and for how
//! long the connection may be kept alive.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use super::in_flight::InFlightCall;
use super::request::Call;
use crate::node::Node;
use crate::send_permit::Permit;
use crate::worker_headers;
use crate::worker_headers::WorkerHeaders;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_http::body_end::ResponseBody;
use cranereach_http::pool::Connection;

/// Reason why one offer to one worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was not sent: no connection, or the connection closed before.
    NotSent,
    /// The call must not be sent to that worker any more (see [`crate::send_permit`]).
    NoPermit,
    /// The call must not be sent any more: workers ended while they ran requests with its
    /// fingerprint.
    Quarantined,
    /// The worker says that it did not run the call.
    NotRun,
    /// The worker does not hold the model, or another worker answers at its address.
    NotThere,
    /// The connection broke: the call may have run.
    BrokenOff,
    /// The call may have run.
    Unknown,
}

impl Failure {
    /// Whether the call may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::BrokenOff | Self::Unknown)
    }
}

/// Head of a worker's response, with the state that belongs to the call.
pub struct ResponseHead {
    /// Response whose body has not been read yet.
    pub response: Response<ResponseBody>,
    /// Connection that the response arrives on.
    pub connection: Connection<Full<Bytes>>,
    /// Time for which the connection may be kept idle afterwards, in milliseconds; `None` if it
    /// closes.
    pub keep_alive_ms: Option<u64>,
    /// In-flight count of the call at the worker.
    pub in_flight: InFlightCall,
    /// Version of the worker's software according to the row by which the call was sent; `None` if
    /// that row may describe an earlier start of the worker.
    pub software: Option<SoftwareVersion>,
}

/// Processes the head of a response, and checks that it belongs to this call and that the worker
/// ran the call. Returns what the headers say about the worker.
pub fn check_head(
    node: &Node,
    call: &Call,
    permit: &Permit,
    in_flight: &mut InFlightCall,
    response: &Response<ResponseBody>,
) -> Result<WorkerHeaders, Failure> {
    let headers = response.headers();
    let status = response.status();
    let request_id = headers.get(node.adapter.headers.request_id);
    let is_ours = request_id.is_none_or(|id| id.as_bytes() == call.id.as_bytes());
    let parsed_headers = worker_headers::apply_head(node, permit, (status, headers), is_ours);
    if !is_ours || (request_id.is_none() && !parsed_headers.is_not_run) {
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
    if parsed_headers.is_not_run {
        if status == StatusCode::SERVICE_UNAVAILABLE {
            in_flight.rejected();
        }
        return Err(Failure::NotRun);
    }
    Ok(parsed_headers)
}

/// Records that a worker lacks the model of a call, or is another worker than the one meant.
fn note_worker_lacks_model(node: &Node, call: &Call, permit: &Permit) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    if let (Some(worker), Some((model, adapter))) = (roster.get_mut(&permit.worker), call.model()) {
        worker.lacks(now_ms, model, adapter);
    }
}
