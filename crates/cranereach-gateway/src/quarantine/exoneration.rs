//! Proofs that requests and parts of prompts don't cause workers to end.

use std::sync::Arc;

use hyper::StatusCode;

use super::clear;
use super::judge;
use crate::forward::Call;
use crate::node::Node;
use crate::worker_ends;
use crate::worker_ends::ProbeResult;
use cranereach_fleet::quarantine::KnownEnds;
use cranereach_fleet::quarantine::RunPhase;
use cranereach_fleet::quarantine::SuspectKey;
use cranereach_http::body_end::BodyEnd;

/// Reason why a suspect is taken for harmless.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proof {
    /// Time as of which it was harmless, in milliseconds.
    pub(super) as_of_ms: i64,
    /// Reason as logged.
    pub(super) why: &'static str,
}

impl Proof {
    /// Creates a proof that holds until now.
    pub(super) fn now(node: &Node, why: &'static str) -> Self {
        let as_of_ms = node.now_ms() as i64;
        Self { as_of_ms, why }
    }
}

/// Records the response to a call that looks complete. It shows that neither the content of the
/// call nor, if it succeeded, a part of its prompt causes workers to end, provided that the worker
/// still ran when it sent the last byte: it declared the end, or runs still.
pub fn record_whole_response(
    node: &Arc<Node>,
    call: &Arc<Call>,
    worker: &Arc<str>,
    status: StatusCode,
    end: BodyEnd,
) {
    if !judge(node, call).known_ends.knew_any() {
        return;
    }
    if end == BodyEnd::Declared {
        clear_call(node, call, status);
        return;
    }
    let node = Arc::clone(node);
    let call = Arc::clone(call);
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        if worker_ends::check(&node, &worker).await == ProbeResult::Alive {
            clear_call(&node, &call, status);
        }
    });
}

/// Records that a worker has written to the answer of a call for
/// [`cranereach_fleet::quarantine::PROGRESS_MS`] or longer, since a time in milliseconds. It shows
/// that no part of its prompt ended workers at that time when an answer on it began, whatever
/// becomes of the call.
pub fn record_progress(node: &Arc<Node>, call: &Call, since_ms: u64) {
    let known_ends = judge(node, call).known_ends;
    let proof = Proof {
        as_of_ms: since_ms as i64,
        why: "progress",
    };
    clear_parts(node, call, known_ends, RunPhase::Beginning, proof);
}

/// Clears the keys of a call that was answered in full.
fn clear_call(node: &Arc<Node>, call: &Call, status: StatusCode) {
    let known_ends = judge(node, call).known_ends;
    let proof = Proof::now(node, "whole answer");
    if known_ends.knew_content() {
        clear(node, call.suspect_key(node), proof);
    }
    if !status.is_success() {
        // A worker may refuse a request before it has read the prompt.
        return;
    }
    for phase in [RunPhase::Beginning, RunPhase::Writing] {
        clear_parts(node, call, known_ends, phase, proof);
    }
}

/// Clears the parts of a call's prompt, as far as ends under requests in a phase are known.
fn clear_parts(
    node: &Arc<Node>,
    call: &Call,
    known_ends: KnownEnds,
    phase: RunPhase,
    proof: Proof,
) {
    if !known_ends.knew_any() {
        return;
    }
    for (index, part) in call.part_fingerprints(node).iter().enumerate() {
        if known_ends.knew_part(phase, index) {
            clear(node, SuspectKey::part_in(phase, *part), proof);
        }
    }
}
