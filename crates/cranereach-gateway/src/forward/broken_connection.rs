//! Calls whose connection to a worker broke: checks whether the worker ended while it ran them.

use std::sync::Arc;

use slog::info;
use tokio::task::JoinHandle;

use super::request::Call;
use crate::node::Node;
use crate::quarantine;
use crate::worker_ends;
use crate::worker_ends::ProbeResult;
use cranereach_fleet::quarantine::KnownEnds;
use cranereach_fleet::quarantine::RunPhase;

/// Checks in the background what became of the worker whose connection broke during a call. If the
/// worker has ended, records that against the call. `known_ends` says for which keys of the call
/// this instance already knew of such ends when it sent the call; `phase` says how far the call
/// was.
pub(super) fn investigate(
    node: &Arc<Node>,
    call: &Arc<Call>,
    worker: &Arc<str>,
    known_ends: KnownEnds,
    phase: RunPhase,
) -> JoinHandle<ProbeResult> {
    let incarnation = node
        .roster()
        .get(worker)
        .map(|known| known.record.incarnation_key());
    let node = Arc::clone(node);
    let call = Arc::clone(call);
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        let found = worker_ends::find(&node, &worker).await;
        let counter = &node.metrics.broken_off_total;
        counter.with_label_values(&[found.name()]).inc();
        if found.has_ended() {
            log_end(&node, &call, &worker, found);
            // A worker that was no longer listed when the connection broke ended as planned.
            if let Some(incarnation) = incarnation {
                let worker = (incarnation, &worker);
                quarantine::record_end(&node, &call, worker, known_ends, phase).await;
            }
        }
        found
    })
}

/// Logs that a worker ended while it ran a call, with all that the call may have in common with
/// others under which workers ended.
fn log_end(node: &Node, call: &Call, worker: &str, found: ProbeResult) {
    let parts = call.part_fingerprints(node).iter();
    let parts: Vec<String> = parts.map(ToString::to_string).collect();
    let (model, adapter) = call.model().unzip();
    info!(node.log, "worker ended under request"; "request" => call.id.clone(),
        "route" => call.route.name.as_ref(), "worker" => worker, "found" => found.name(),
        "fingerprint" => call.fingerprint(node).to_string(), "parts" => parts.join(","),
        "model" => model.map(ToOwned::to_owned),
        "adapter" => adapter.flatten().map(ToOwned::to_owned),
        "account" => call.account_label.clone());
}
