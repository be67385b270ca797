//! Headers of workers' answers that look like a word of theirs and that nobody here knows.
//!
//! A platform may let its workers say more than this build reads. Each such header is
//! counted by its name and logged once, so that it is seen before callers suffer by it.

use std::collections::BTreeSet;
use std::sync::Mutex;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::RETRY_AFTER;
use slog::warn;

use crate::node::Node;
use crate::node::lock;

/// Names that are told apart at most; a worker that invents names fills no memory.
const NAME_MAX_COUNT: usize = 16;

/// Name under which the metrics count all further ones.
const OTHER_LABEL: &str = "other";

/// Names that were seen.
#[derive(Debug, Default)]
pub struct UnknownWords {
    names: Mutex<BTreeSet<String>>,
    unreadable: Mutex<BTreeSet<&'static str>>,
}

/// Counts the headers of a worker's answer that seem to speak of it and aren't known.
pub fn note(node: &Node, worker: &str, (status, headers): (StatusCode, &HeaderMap)) {
    for name in headers.keys() {
        // Where it turns something away it is read; on success it is the caller's.
        let is_unexpected_retry_after = name == RETRY_AFTER
            && status != StatusCode::SERVICE_UNAVAILABLE
            && !status.is_success();
        if is_unexpected_retry_after || is_unknown(node, name) {
            count_and_log(node, worker, name.as_str());
        }
    }
}

/// Logs a word that can't be read, once for each header.
pub fn note_unreadable(node: &Node, worker: &str, header: &'static str) {
    if lock(&node.unknown_words.unreadable).insert(header) {
        warn!(node.log, "word of a worker not understood"; "worker" => worker, "header" => header);
    }
}

/// Whether a header seems to be a worker's word on itself, and isn't read.
fn is_unknown(node: &Node, name: &HeaderName) -> bool {
    let names = &node.adapter.headers;
    let mut prefixes = names.worker_prefixes.iter();
    let has_worker_prefix = prefixes.any(|prefix| name.as_str().starts_with(prefix));
    has_worker_prefix && !names.worker_known.contains(&name.as_str())
}

/// Counts one, and logs a new name.
fn count_and_log(node: &Node, worker: &str, name: &str) {
    let mut names = lock(&node.unknown_words.names);
    let is_seen = names.contains(name);
    let is_tracked = is_seen || names.len() < NAME_MAX_COUNT;
    if is_tracked && !is_seen {
        names.insert(name.to_owned());
        warn!(node.log, "unknown word of a worker"; "worker" => worker, "header" => name);
    }
    drop(names);
    let label = if is_tracked { name } else { OTHER_LABEL };
    let counter = &node.metrics.unknown_words_total;
    counter.with_label_values(&[label]).inc();
}
