//! Final check before anything is sent to a worker: a caller's request, an order or a request for a
//! report.
//!
//! Time may have passed since the worker was selected, while the call waited for the prefill of
//! other prompts, for a connection or for the worker's owner. Meanwhile the worker may have
//! disappeared, or announced that it is leaving or needs a rest. Therefore nothing is awaited
//! between the permit and the write.

use std::sync::Arc;

use crate::named_limits;
use crate::node::Node;
use crate::send_grants;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_fleet::worker::WorkerRecord;

/// Permission to send one request to a worker immediately. The response is attributed to the
/// incarnation of the worker recorded here.
#[derive(Clone, Debug)]
pub struct Permit {
    /// Identity of the worker.
    pub worker: Arc<str>,
    /// Start time of the intended incarnation according to its row, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Version of the worker's software according to its row.
    pub software: SoftwareVersion,
    /// Purpose of the request.
    pub purpose: Purpose,
    /// Time at which the request is sent, in milliseconds.
    pub sent_ms: u64,
}

/// What the row of a worker must say for a request to be sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequiredRow {
    /// Key of the version of the software; `None` if any will do.
    pub version_key: Option<u64>,
    /// Start of the worker, in milliseconds of Unix time; `None` if any will do.
    pub started_unix_ms: Option<u64>,
}

impl RequiredRow {
    /// Whether a row says what is required.
    fn is_met_by(&self, record: &WorkerRecord) -> bool {
        let has_version = self
            .version_key
            .is_none_or(|required_key| record.software.key() == required_key);
        let has_start = self
            .started_unix_ms
            .is_none_or(|required_unix_ms| record.started_unix_ms == required_unix_ms);
        has_version && has_start
    }
}

/// Requests a permit to send one request of a given priority rank. Returns `None` if the worker
/// must not receive it now, or if its row does not say what is required.
pub async fn ask(
    node: &Node,
    worker: &Arc<str>,
    purpose: Purpose,
    rank: u8,
    required_row: RequiredRow,
) -> Option<Permit> {
    if is_barred(node, worker, purpose, rank) {
        return None;
    }
    if !send_grants::may_send(node, worker, purpose, rank).await {
        return None;
    }
    // The owner's answer takes about ten milliseconds, during which the worker's state may have
    // changed.
    if is_barred(node, worker, purpose, rank) {
        return None;
    }
    let sent_ms = node.now_ms();
    let (started_unix_ms, software) = {
        let mut roster = node.roster();
        let worker = roster.get_mut(worker)?;
        if !required_row.is_met_by(&worker.record) {
            return None;
        }
        let software = worker.record.software.clone();
        if purpose == Purpose::Call {
            worker.rest.sent(sent_ms);
        }
        (worker.record.started_unix_ms, software)
    };
    named_limits::note_sent(node, worker, purpose);
    Some(Permit {
        worker: Arc::clone(worker),
        started_unix_ms,
        software,
        purpose,
        sent_ms,
    })
}

/// Whether sending to a worker is currently barred; counts the reason in the metrics. Passing this
/// check is not a permit: waiting requests use it to move to another worker early.
pub fn is_barred(node: &Node, worker: &str, purpose: Purpose, rank: u8) -> bool {
    let now_ms = node.now_ms();
    let barred = {
        let roster = node.roster();
        roster.barred(now_ms, worker, purpose, usize::from(rank))
    };
    if let Some(barred) = barred {
        let counter = &node.metrics.sends_barred_total;
        counter
            .with_label_values(&[barred.name(), purpose.name()])
            .inc();
    }
    barred.is_some()
}
