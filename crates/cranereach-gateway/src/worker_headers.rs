//! Reads what the head of a response says about the worker that sent it, for all responses, whether
//! or not the request can still use them.
//!
//! Responses of another worker at the same address are ignored. Statements of an earlier
//! incarnation than the listed one apply to that incarnation only.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::adapter::HeaderNames;
use crate::brittle_workers;
use crate::departures;
use crate::named_limits;
use crate::node::Node;
use crate::rests;
use crate::send_permit::Permit;
use crate::unknown_headers;
use cranereach_fleet::brittle;
use cranereach_fleet::departure;
use cranereach_fleet::load::ReportedLoad;
use cranereach_fleet::named_limit;
use cranereach_fleet::rest;

/// Time for which an idle connection is reused if the worker does not state a keep-alive timeout,
/// in milliseconds.
pub const DEFAULT_KEEP_ALIVE_MS: u64 = 300;

/// Safety margin subtracted from a worker's keep-alive timeout, in milliseconds.
const KEEP_ALIVE_MARGIN_MS: u64 = 150;

/// Header in which a server states how long it keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";

/// Header in which a server that refuses a request states when to retry.
const RETRY_AFTER_HEADER: &str = "retry-after";

/// What the head of a response says about the worker that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerHeaders {
    /// Whether another worker than the intended one responded.
    pub is_from_other_worker: bool,
    /// Whether the response states that the request was not run.
    pub is_not_run: bool,
    /// The worker's load, if stated and valid.
    pub load: Option<ReportedLoad>,
    /// Whether a load is stated that cannot be parsed.
    pub is_load_unreadable: bool,
    /// Requests per second that the worker accepts.
    pub limit: named_limit::NamedRate,
    /// How many rejections the worker bears.
    pub brittle: brittle::BrittleNotice,
    /// Whether the worker is leaving.
    pub leaving: departure::DepartureNotice,
    /// Time for which the worker asks for no requests.
    pub rest: rest::RestRequest,
    /// Time for which the idle connection may be kept, in milliseconds; `None` if it closes.
    pub connection_keep_alive_ms: Option<u64>,
}

impl WorkerHeaders {
    /// Reads the head of a response to a request intended for `worker`.
    pub fn read(
        names: &HeaderNames,
        worker: &str,
        (status, headers): (StatusCode, &HeaderMap),
    ) -> Self {
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let responder = headers.get(names.answered_by);
        let is_other_worker =
            responder.is_some_and(|responder| responder.as_bytes() != worker.as_bytes());
        let load = headers.get(names.load).map(parse_load);
        // With other status codes, Retry-After is meant for the caller or for one account.
        let rest = match status {
            StatusCode::SERVICE_UNAVAILABLE => rest::read(values(headers, RETRY_AFTER_HEADER)),
            _ => rest::RestRequest::Nothing,
        };
        Self {
            is_from_other_worker: is_misdirected || is_other_worker,
            is_not_run: is_misdirected || headers.contains_key(names.not_run),
            load: load.flatten(),
            is_load_unreadable: load == Some(None),
            limit: named_limit::read(values(headers, names.limit)),
            brittle: brittle::read(values(headers, names.brittle)),
            leaving: departure::read(values(headers, names.leaving)),
            rest,
            connection_keep_alive_ms: connection_keep_alive_ms(headers),
        }
    }
}

/// Applies the head of a response to the state of the worker. `is_expected_response` states whether
/// it answers the permitted request, rather than being a late response to an earlier one.
pub fn apply_head(
    node: &Node,
    permit: &Permit,
    head: (StatusCode, &HeaderMap),
    is_expected_response: bool,
) -> WorkerHeaders {
    let (status, _headers) = head;
    let worker_headers = WorkerHeaders::read(&node.adapter.headers, &permit.worker, head);
    if worker_headers.is_from_other_worker {
        return worker_headers;
    }
    unknown_headers::record(node, &permit.worker, head);
    record_unreadable(node, &permit.worker, &worker_headers);
    if worker_headers.leaving == departure::DepartureNotice::Leaves {
        departures::record_announcement(node, permit);
    }
    // Of an earlier incarnation only its departure matters, because its row may come back.
    if !is_listed_incarnation(node, permit) {
        return worker_headers;
    }
    if let (Some(load), true) = (worker_headers.load, is_expected_response) {
        let now_ms = node.now_ms();
        if let Some(worker) = node.roster().get_mut(&permit.worker) {
            worker.said(now_ms, load);
        }
    }
    named_limits::apply_response(
        node,
        permit,
        worker_headers.limit,
        status,
        is_expected_response,
    );
    brittle_workers::apply_response(
        node,
        permit,
        worker_headers.brittle,
        status,
        is_expected_response,
    );
    if let rest::RestRequest::For(for_ms) = worker_headers.rest {
        rests::apply_rest(node, permit, for_ms);
    } else if is_expected_response
        && !worker_headers.is_not_run
        && status != StatusCode::SERVICE_UNAVAILABLE
    {
        rests::record_accepted(node, permit);
    }
    worker_headers
}

/// Whether the incarnation that a request was intended for is the listed one.
fn is_listed_incarnation(node: &Node, permit: &Permit) -> bool {
    let roster = node.roster();
    let known = roster.get(&permit.worker);
    known.is_some_and(|known| known.record.started_unix_ms == permit.started_unix_ms)
}

/// Counts and logs headers that cannot be parsed.
fn record_unreadable(node: &Node, worker: &str, worker_headers: &WorkerHeaders) {
    let names = &node.adapter.headers;
    let unreadable = [
        (worker_headers.is_load_unreadable, "load", names.load),
        (
            worker_headers.limit == named_limit::NamedRate::Unreadable,
            "limit",
            names.limit,
        ),
        (
            worker_headers.brittle == brittle::BrittleNotice::Unreadable,
            "brittle",
            names.brittle,
        ),
        (
            worker_headers.leaving == departure::DepartureNotice::Unreadable,
            "leaving",
            names.leaving,
        ),
        (
            worker_headers.rest == rest::RestRequest::Unreadable,
            "rest",
            RETRY_AFTER_HEADER,
        ),
    ];
    for (_, source, header) in unreadable.iter().filter(|(is_set, ..)| *is_set) {
        let counter = &node.metrics.bad_input_total;
        counter.with_label_values(&[source]).inc();
        unknown_headers::record_unreadable(node, worker, header);
    }
}

/// Returns all values of a header.
fn values<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a [u8]> {
    let values = headers.get_all(name).into_iter();
    values.map(HeaderValue::as_bytes)
}

/// Returns the first value of a header as text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a worker's load: running, waiting, slots.
fn parse_load(value: &HeaderValue) -> Option<ReportedLoad> {
    let text = value.to_str().ok()?;
    let mut counts = text.split(',').map(|count| count.trim().parse().ok());
    Some(ReportedLoad {
        running_count: counts.next()??,
        waiting_count: counts.next()??,
    })
}

/// Returns the time for which an idle connection may be kept, in milliseconds; `None` if it closes.
fn connection_keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    if has_option(headers, &CONNECTION, "close") {
        return None;
    }
    let timeout_s = text(headers, KEEP_ALIVE).and_then(|value| {
        let mut timeouts = value
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("timeout="));
        timeouts.next()?.trim().parse::<u64>().ok()
    });
    let keep_alive_ms = timeout_s.map_or(DEFAULT_KEEP_ALIVE_MS, |timeout_s| {
        timeout_s
            .saturating_mul(1_000)
            .saturating_sub(KEEP_ALIVE_MARGIN_MS)
    });
    (keep_alive_ms > 0).then_some(keep_alive_ms)
}

/// Whether a header contains an option in its comma-separated list.
fn has_option(headers: &HeaderMap, name: &HeaderName, option: &str) -> bool {
    let values = headers.get_all(name).into_iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|listed| listed.trim().eq_ignore_ascii_case(option))
}
