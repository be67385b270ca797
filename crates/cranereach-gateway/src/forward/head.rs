//! The head of a worker's answer: whose it is, what ran, how long it may rest.

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

use super::open::OpenCall;
use super::request::Call;
use crate::named_limits;
use crate::named_limits::Purpose;
use crate::node::Node;
use crate::unknown_words;
use cranereach_fleet::load::SaidLoad;
use cranereach_http::pool::Connection;

/// Time that an idle connection is used again for, where the worker says none.
pub const REST_UNSAID_MS: u64 = 300;

/// Time before a worker's own limit from which a connection isn't used again.
const REST_MARGIN_MS: u64 = 150;

/// How one offer to one worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It never left: no connection, or the connection closed before.
    NotSent,
    /// It isn't to be sent any more: the worker's failure domain is evacuated, or the
    /// worker is cold and its owner grants nothing.
    NoLeave,
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
pub struct Head {
    /// The answer.
    pub answer: Response<Incoming>,
    /// The connection that it came on.
    pub connection: Connection<Full<Bytes>>,
    /// The count of the call at the worker.
    pub open: OpenCall,
}

/// Checks that the answer is to this call, which was sent at a time in milliseconds, and
/// that something ran.
pub fn check_head(
    node: &Node,
    call: &Call,
    open: &mut OpenCall,
    answer: &Response<Incoming>,
    sent_ms: u64,
) -> Result<(), Failure> {
    let names = &node.adapter.headers;
    let headers = answer.headers();
    let now_ms = node.now_ms();
    unknown_words::note(node, open.worker(), headers);
    let is_ours = headers
        .get(names.request_id)
        .is_none_or(|id| id.as_bytes() == call.id.as_bytes());
    let is_named = headers.contains_key(names.request_id);
    let status = answer.status();
    let is_not_run =
        headers.contains_key(names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    if !is_ours || (!is_named && !is_not_run) {
        node.metrics
            .bad_input_total
            .with_label_values(&["answer"])
            .inc();
        open.failed();
        return Err(Failure::Unknown);
    }
    let worker = open.worker();
    named_limits::note_answer(node, worker, Purpose::Call, (status, headers), sent_ms);
    if let Some(worker) = node.roster().get_mut(open.worker()) {
        if let Some(said) = headers
            .get(names.load)
            .and_then(|value| value.to_str().ok())
        {
            worker.said(now_ms, said_load(said));
        }
        if status == StatusCode::MISDIRECTED_REQUEST
            && let Some((model, adapter)) = call.model()
        {
            worker.lacks(now_ms, model, adapter);
        }
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::NotThere);
    }
    if is_not_run {
        return Err(Failure::NotRun);
    }
    Ok(())
}

/// Reads a worker's load: running, waiting, slots.
fn said_load(text: &str) -> SaidLoad {
    let mut counts = text
        .split(',')
        .map(|count| count.trim().parse().unwrap_or(0));
    SaidLoad {
        running_count: counts.next().unwrap_or(0),
        waiting_count: counts.next().unwrap_or(0),
    }
}

/// Whether the answer's head says where it ends: only then does its end show that the
/// worker lived to make it.
pub fn says_its_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns how long a connection may rest, in milliseconds; none if it closes.
pub fn rest_ms(headers: &HeaderMap) -> Option<u64> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION.as_str()).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let said_s = text("keep-alive").and_then(|value| {
        let parts = value.split(',');
        let mut given = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
        given.next()?.trim().parse::<u64>().ok()
    });
    let rest_ms = said_s.map_or(REST_UNSAID_MS, |said_s| {
        (said_s * 1_000).saturating_sub(REST_MARGIN_MS)
    });
    (rest_ms > 0).then_some(rest_ms)
}
