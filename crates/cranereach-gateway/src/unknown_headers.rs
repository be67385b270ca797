//! Detects headers in workers' responses that look like statements about the worker but are not
//! known to this version.
//!
//! A platform may let its workers send headers that this version does not read. Each such header is
//! counted by name and logged once, so that it is noticed before it affects callers.

use std::collections::BTreeSet;
use std::sync::Mutex;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::RETRY_AFTER;
use slog::warn;

use crate::node::Node;
use crate::node::lock;

/// Maximum number of distinct names; bounds the memory used if a worker generates header names.
const NAME_MAX_COUNT: usize = 16;

/// Metrics label for all further names.
const OTHER_LABEL: &str = "other";

/// Names of unknown and of unreadable headers seen so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: Mutex<BTreeSet<String>>,
    unreadable: Mutex<BTreeSet<&'static str>>,
}

/// Counts unknown headers that appear to describe the worker that responded.
pub fn record(node: &Node, worker: &str, (status, headers): (StatusCode, &HeaderMap)) {
    for name in headers.keys() {
        // With status 503 the header is read as a rest; on success it belongs to the caller.
        let is_unexpected_retry_after = name == RETRY_AFTER
            && status != StatusCode::SERVICE_UNAVAILABLE
            && !status.is_success();
        if is_unexpected_retry_after || is_unknown(node, name) {
            count_and_log(node, worker, name.as_str());
        }
    }
}

/// Logs a header that cannot be parsed, once for each header name.
pub fn record_unreadable(node: &Node, worker: &str, header: &'static str) {
    if lock(&node.unknown_headers.unreadable).insert(header) {
        warn!(node.log, "word of a worker not understood"; "worker" => worker, "header" => header);
    }
}

/// Whether a header has a prefix used for statements about workers but is not a known one.
fn is_unknown(node: &Node, name: &HeaderName) -> bool {
    let names = &node.adapter.headers;
    let mut prefixes = names.worker_header_prefixes.iter();
    let has_worker_prefix = prefixes.any(|prefix| name.as_str().starts_with(prefix));
    has_worker_prefix && !names.known_worker_headers.contains(&name.as_str())
}

/// Counts an unknown header, and logs its name when it is seen for the first time.
fn count_and_log(node: &Node, worker: &str, name: &str) {
    let mut names = lock(&node.unknown_headers.names);
    let is_seen = names.contains(name);
    let is_tracked = is_seen || names.len() < NAME_MAX_COUNT;
    if is_tracked && !is_seen {
        names.insert(name.to_owned());
        warn!(node.log, "unknown header in worker response"; "worker" => worker, "header" => name);
    }
    drop(names);
    let label = if is_tracked { name } else { OTHER_LABEL };
    let counter = &node.metrics.unknown_words_total;
    counter.with_label_values(&[label]).inc();
}
