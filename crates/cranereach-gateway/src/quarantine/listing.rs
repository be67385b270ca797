//! Requests and parts of prompts during which workers ended, as shown to operators.

use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::node::lock;
use cranereach_fleet::quarantine::SuspectReport;

/// What an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectKind {
    /// A request, by its whole content.
    Request,
    /// A part of prompts, by its id.
    Part,
}

/// A request or a part of prompts during which workers ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// What it is.
    pub kind: SuspectKind,
    /// Fingerprint of the content or of the part.
    pub fingerprint: String,
    /// Route of the last request that this instance saw; empty if it knows only from peers.
    pub route: String,
    /// Metrics label of that request's client account; empty if there is none.
    pub account: String,
    /// Whether requests are refused for it.
    pub is_quarantined: bool,
    /// Workers that ended while they ran it, since the last complete response.
    pub ends: Vec<WorkerEnd>,
    /// Number of requests that this instance refused for it.
    pub refused_count: u64,
}

/// End of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEnd {
    /// The worker's identity if this instance saw the end, otherwise the key of its
    /// incarnation.
    pub worker: String,
    /// Time since the end, in milliseconds.
    pub age_ms: i64,
}

/// Lists the suspects.
pub fn show(node: &Node) -> Vec<SuspectEntry> {
    let now_ms = node.now_ms() as i64;
    let quarantine = lock(&node.quarantine);
    let listed = quarantine.list();
    listed.map(|listed| describe(now_ms, &listed)).collect()
}

/// Converts one entry to the form shown to operators.
fn describe(now_ms: i64, listed: &SuspectReport) -> SuspectEntry {
    let worker_name = |key: u64| {
        let mut observed = listed.observed.workers.iter();
        let observed = observed.find(|(observed_key, _)| *observed_key == key);
        observed.map_or_else(|| format!("{key:016x}"), |(_, id)| id.to_string())
    };
    let ends = listed.ends.iter().map(|end| WorkerEnd {
        worker: worker_name(end.worker),
        age_ms: now_ms - end.at_ms,
    });
    let kind = if listed.key.is_part() {
        SuspectKind::Part
    } else {
        SuspectKind::Request
    };
    SuspectEntry {
        kind,
        fingerprint: listed.key.fingerprint.to_string(),
        route: listed.observed.route.to_string(),
        account: listed.observed.account.to_string(),
        is_quarantined: listed.suspicion.is_quarantined,
        ends: ends.collect(),
        refused_count: listed.observed.refused_count,
    }
}
