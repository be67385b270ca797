//! Shows operators which workers leave, and which asked for rest, and by whose word.

use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use cranereach_fleet::worker::Worker;

/// By whose word a worker leaves of whose leaving its row tells.
const SOURCE_ROW: &str = "row";

/// A worker that leaves or rests, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShownWorker {
    /// Its identity.
    pub worker: String,
    /// Its service.
    pub service: String,
    /// That it leaves.
    pub leaving: Option<LeavingStatus>,
    /// That it asked this instance for rest.
    pub rest: Option<RestStatus>,
}

/// That a worker leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatus {
    /// By whose word: its own, a peer's, or its row.
    pub by: String,
    /// Time for which this instance has known, in milliseconds; none by its row.
    pub for_ms: Option<u64>,
}

/// That a worker rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestStatus {
    /// Time for which it has, in milliseconds.
    pub for_ms: u64,
    /// Time until its end, in milliseconds.
    pub ends_in_ms: u64,
}

/// Lists the workers that leave or rest, as far as this instance knows.
pub fn show(node: &Node) -> Vec<ShownWorker> {
    let now_ms = node.now_ms();
    let roster = node.roster();
    let shown = roster.workers().filter_map(|worker| {
        let leaving = leaving_status(now_ms, worker);
        let rest = rest_status(now_ms, worker);
        (leaving.is_some() || rest.is_some()).then(|| ShownWorker {
            worker: worker.record.id.to_string(),
            service: worker.record.service.to_string(),
            leaving,
            rest,
        })
    });
    shown.collect()
}

/// Sets the metrics that count them.
pub fn count(node: &Node) {
    let now_ms = node.now_ms();
    let roster = node.roster();
    let leaving_count = roster
        .workers()
        .filter(|worker| worker.is_leaving())
        .count();
    let resting_count = roster
        .workers()
        .filter(|worker| worker.rest.is_resting(now_ms))
        .count();
    node.metrics.leaving_workers.set(leaving_count as i64);
    node.metrics.resting_workers.set(resting_count as i64);
}

/// Shows that a worker leaves, if it does.
fn leaving_status(now_ms: u64, worker: &Worker) -> Option<LeavingStatus> {
    let from_row = || LeavingStatus {
        by: SOURCE_ROW.to_owned(),
        for_ms: None,
    };
    match worker.departure {
        Some(departure) => Some(LeavingStatus {
            by: departure.teller.name().to_owned(),
            for_ms: Some(now_ms.saturating_sub(departure.since_ms)),
        }),
        None => worker.is_leaving().then(from_row),
    }
}

/// Shows that a worker rests, if it does.
fn rest_status(now_ms: u64, worker: &Worker) -> Option<RestStatus> {
    let (since_ms, until_ms) = worker.rest.span_ms(now_ms)?;
    Some(RestStatus {
        for_ms: now_ms.saturating_sub(since_ms),
        ends_in_ms: until_ms.saturating_sub(now_ms),
    })
}
