//! Parsing of the response headers that describe the worker that sent the response.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use cranereach_fleet::brittle::BrittleNotice;
use cranereach_fleet::departure;
use cranereach_fleet::named_limit;
use cranereach_fleet::rest;
use cranereach_gateway::adapter::HeaderNames;
use cranereach_gateway::worker_headers::DEFAULT_KEEP_ALIVE_MS;
use cranereach_gateway::worker_headers::WorkerHeaders;

/// Header names of a made-up platform.
const NAMES: HeaderNames = HeaderNames {
    request_id: "id",
    deadline_ms: "deadline",
    expected_worker: "expected",
    not_run: "not-run",
    load: "load",
    leaving: "leaving",
    answered_by: "by",
    brittle: "brittle",
    limit: "limit",
    model: "model",
    tokens: "tokens",
    expected_tokens: "expected-tokens",
    prompt_parts: "parts",
    priority: "priority",
    last_event: "last-event",
    resumed_request: "resumed-request",
    account: "account",
    worker_header_prefixes: &[],
    known_worker_headers: &[],
    reserved: &[],
};

fn read(status: u16, headers: &[(&'static str, &'static str)]) -> WorkerHeaders {
    let mut header_map = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::from_static(name);
        header_map.append(name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).unwrap();
    WorkerHeaders::read(&NAMES, "w", (status, &header_map))
}

#[test]
fn a_response_without_worker_headers_reports_nothing() {
    let parsed = read(200, &[("id", "r")]);
    assert!(!parsed.is_from_other_worker && !parsed.is_not_run && !parsed.is_load_unreadable);
    assert_eq!(parsed.load, None);
    assert_eq!(parsed.limit, named_limit::NamedRate::Nothing);
    assert_eq!(parsed.leaving, departure::DepartureNotice::Nothing);
    assert_eq!(parsed.rest, rest::RestRequest::Nothing);
    assert_eq!(parsed.connection_keep_alive_ms, Some(DEFAULT_KEEP_ALIVE_MS));
}

#[test]
fn only_a_503_response_requests_a_rest() {
    let requested_rest = |status, headers: &[_]| read(status, headers).rest;
    let retry_after = ("retry-after", "2");
    assert_eq!(
        requested_rest(503, &[retry_after, ("not-run", "1")]),
        rest::RestRequest::For(2_000)
    );
    assert_eq!(
        requested_rest(503, &[retry_after]),
        rest::RestRequest::For(2_000),
        "regardless of what ran"
    );
    for status in [200, 202, 409, 421, 429, 500] {
        assert_eq!(
            requested_rest(status, &[retry_after]),
            rest::RestRequest::Nothing,
            "{status}"
        );
    }
    assert_eq!(
        requested_rest(503, &[("retry-after", "1"), retry_after]),
        rest::RestRequest::For(2_000)
    );
    assert_eq!(
        requested_rest(503, &[("retry-after", "soon")]),
        rest::RestRequest::Unreadable
    );
}

#[test]
fn a_response_of_another_worker_is_detected_by_status_or_header() {
    assert!(read(421, &[]).is_from_other_worker);
    assert!(read(421, &[]).is_not_run);
    assert!(read(200, &[("by", "other")]).is_from_other_worker);
    assert!(!read(200, &[("by", "w")]).is_from_other_worker);
}

#[test]
fn a_load_header_is_parsed_completely_or_rejected() {
    let load = read(200, &[("load", "3, 1,8")]).load.unwrap();
    assert_eq!((load.running_count, load.waiting_count), (3, 1));
    for unreadable in ["", "many", "3", "3,-1,8", "3,1e3"] {
        let parsed = read(200, &[("load", unreadable)]);
        assert!(
            parsed.load.is_none() && parsed.is_load_unreadable,
            "{unreadable}"
        );
    }
}

#[test]
fn the_keep_alive_time_is_the_announced_timeout_less_a_margin() {
    let keep_alive_ms = |headers: &[_]| read(200, headers).connection_keep_alive_ms;
    assert_eq!(keep_alive_ms(&[("keep-alive", "timeout=5")]), Some(4_850));
    assert_eq!(
        keep_alive_ms(&[("keep-alive", "max=9, timeout=1")]),
        Some(850)
    );
    assert_eq!(keep_alive_ms(&[("keep-alive", "timeout=0")]), None);
    assert_eq!(keep_alive_ms(&[("connection", "close")]), None);
    assert_eq!(
        keep_alive_ms(&[("connection", "Foo, Close")]),
        None,
        "among other tokens"
    );
    assert_eq!(
        keep_alive_ms(&[("connection", "foo"), ("connection", "close")]),
        None
    );
    let huge_timeout = format!("timeout={}", u64::MAX);
    let huge_timeout: &'static str = huge_timeout.leak();
    assert!(
        keep_alive_ms(&[("keep-alive", huge_timeout)]).is_some(),
        "no overflow"
    );
}

#[test]
fn a_brittle_worker_is_recognized_whatever_the_status() {
    for status in [200, 421, 500, 503] {
        let parsed = read(status, &[("brittle", "3")]);
        assert_eq!(parsed.brittle, BrittleNotice::Bears(3), "{status}");
    }
    let rows: [(&[(&'static str, &'static str)], BrittleNotice); 5] = [
        (&[], BrittleNotice::Nothing),
        (&[("brittle", "0")], BrittleNotice::Bears(0)),
        (
            &[("brittle", "5"), ("brittle", "2")],
            BrittleNotice::Bears(2),
        ),
        (&[("brittle", "often")], BrittleNotice::Unreadable),
        (
            &[("brittle", "12345678901234567")],
            BrittleNotice::Unreadable,
        ),
    ];
    for (headers, expected) in rows {
        assert_eq!(read(200, headers).brittle, expected, "{headers:?}");
    }
}
