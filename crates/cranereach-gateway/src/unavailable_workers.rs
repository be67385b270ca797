//! Lists for operators the workers that are leaving or resting, with the source of the information.

use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use cranereach_fleet::worker::Worker;

/// Source shown for a worker whose row marks it as leaving.
const SOURCE_ROW: &str = "row";

/// A worker that is leaving or resting, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnavailableWorker {
    /// Identity of the worker.
    pub worker: String,
    /// Service of the worker.
    pub service: String,
    /// Present if the worker is leaving.
    pub leaving: Option<LeavingStatus>,
    /// Present if the worker asked this instance for a rest.
    pub rest: Option<RestStatus>,
}

/// Status of a worker that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatus {
    /// Source of the information: the worker itself, a peer or the worker's row.
    pub by: String,
    /// Time for which this instance has known, in milliseconds; `None` if known from the row.
    pub for_ms: Option<u64>,
}

/// Status of a worker that is resting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestStatus {
    /// Time since the rest began, in milliseconds.
    pub for_ms: u64,
    /// Time until the rest ends, in milliseconds.
    pub ends_in_ms: u64,
}

/// Lists the workers that are leaving or resting, as far as this instance knows.
pub fn show(node: &Node) -> Vec<UnavailableWorker> {
    let now_ms = node.now_ms();
    let roster = node.roster();
    let shown = roster.workers().filter_map(|worker| {
        let leaving = leaving_status(now_ms, worker);
        let rest = rest_status(now_ms, worker);
        (leaving.is_some() || rest.is_some()).then(|| UnavailableWorker {
            worker: worker.record.id.to_string(),
            service: worker.record.service.to_string(),
            leaving,
            rest,
        })
    });
    shown.collect()
}

/// Updates the gauges of leaving and resting workers.
pub fn update_gauges(node: &Node) {
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

/// Returns the leaving status of a worker, or `None` if it is not leaving.
fn leaving_status(now_ms: u64, worker: &Worker) -> Option<LeavingStatus> {
    let from_row = || LeavingStatus {
        by: SOURCE_ROW.to_owned(),
        for_ms: None,
    };
    match worker.departure {
        Some(departure) => Some(LeavingStatus {
            by: departure.reporter.name().to_owned(),
            for_ms: Some(now_ms.saturating_sub(departure.since_ms)),
        }),
        None => worker.is_leaving().then(from_row),
    }
}

/// Returns the rest status of a worker, or `None` if it is not resting.
fn rest_status(now_ms: u64, worker: &Worker) -> Option<RestStatus> {
    let (since_ms, until_ms) = worker.rest.span_ms(now_ms)?;
    Some(RestStatus {
        for_ms: now_ms.saturating_sub(since_ms),
        ends_in_ms: until_ms.saturating_sub(now_ms),
    })
}
