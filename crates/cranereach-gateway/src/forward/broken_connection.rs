//! Calls whose connection to their worker broke: whether the worker ended under them.

use std::sync::Arc;

use slog::info;
use tokio::task::JoinHandle;

use super::request::Call;
use crate::node::Node;
use crate::quarantine;
use crate::worker_ends;
use crate::worker_ends::Found;

/// Finds out, beside the call, what became of the worker that a call broke off at, and
/// holds its end against the call. `knew_of_others` says whether an earlier end under it
/// was known when it was sent.
pub(super) fn investigate(
    node: &Arc<Node>,
    call: &Arc<Call>,
    worker: &Arc<str>,
    earlier_end_known: bool,
) -> JoinHandle<Found> {
    let start = node
        .roster()
        .get(worker)
        .map(|known| known.record.start_key());
    let node = Arc::clone(node);
    let call = Arc::clone(call);
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        let found = worker_ends::find(&node, &worker).await;
        let counter = &node.metrics.broken_off_total;
        counter.with_label_values(&[found.name()]).inc();
        if found.has_ended() {
            info!(node.log, "worker ended under request"; "request" => call.id.clone(),
                "route" => call.route.name.as_ref(), "worker" => worker.as_ref(),
                "found" => found.name(),
                "fingerprint" => call.fingerprint(&node).to_string());
            // One that isn't listed any more was to end.
            if let Some(start) = start {
                quarantine::ended(&node, &call, (start, &worker), earlier_end_known).await;
            }
        }
        found
    })
}
