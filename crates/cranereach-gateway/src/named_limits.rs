//! Tracks the request rates that workers announce in their responses as limits for all instances
//! together.
//!
//! See [`cranereach_fleet::named_limit`]. Every request sent to a worker counts: callers' requests,
//! orders and requests for reports.

use std::sync::Arc;

use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crate::node::Node;
use crate::node::lock;
use crate::owners;
use crate::send_permit::Permit;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::named_limit::NamedRate;
use cranereach_fleet::purpose::Purpose;

/// A worker that announces a limit, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitedWorker {
    /// Identity of the worker.
    pub worker: String,
    /// Service of the worker.
    pub service: String,
    /// Requests per second that the worker accepts from all instances together.
    pub rate_per_s: f64,
    /// Time for which this instance has known of a limit, in milliseconds.
    pub for_ms: u64,
    /// Number of requests that this instance has granted since its start, as the owner of the
    /// worker's grants.
    pub granted_count: u64,
    /// Number of requests for a grant that it has refused.
    pub refused_count: u64,
}

/// Lists the workers that announce a limit, as far as this instance knows.
pub fn show(node: &Node) -> Vec<LimitedWorker> {
    let now_ms = node.now_ms();
    let limited: Vec<LimitedWorker> = {
        let roster = node.roster();
        let limited = roster.workers().filter_map(|worker| {
            Some(LimitedWorker {
                worker: worker.record.id.to_string(),
                service: worker.record.service.to_string(),
                rate_per_s: worker.limit.rate_per_s(now_ms)?,
                for_ms: now_ms.saturating_sub(worker.limit.since_ms()),
                granted_count: 0,
                refused_count: 0,
            })
        });
        limited.collect()
    };
    let grants = lock(&node.send_grants);
    let with_counts = limited.into_iter().map(|limit| {
        let counts = grants.counts(worker_key(&limit.worker));
        LimitedWorker {
            granted_count: counts.granted_count,
            refused_count: counts.refused_count,
            ..limit
        }
    });
    with_counts.collect()
}

/// Counts the workers that announce a limit.
pub fn count(node: &Node) -> usize {
    let now_ms = node.now_ms();
    let roster = node.roster();
    let limited = roster.workers();
    limited
        .filter(|worker| worker.limit.rate_per_s(now_ms).is_some())
        .count()
}

/// Counts and logs a request sent to a worker that announces a limit.
pub fn note_sent(node: &Node, worker: &str, purpose: Purpose) {
    let now_ms = node.now_ms();
    let rate_per_s = {
        let roster = node.roster();
        roster
            .get(worker)
            .and_then(|worker| worker.limit.rate_per_s(now_ms))
    };
    let Some(rate_per_s) = rate_per_s else { return };
    let counter = &node.metrics.limited_sends_total;
    counter.with_label_values(&[purpose.name()]).inc();
    info!(node.log, "sent to limited worker"; "worker" => worker, "purpose" => purpose.name(),
        "rate_per_s" => rate_per_s);
}

/// Applies the limit announced, or left out, in a worker's response.
///
/// Any response may announce a limit. Only a successful response to a caller's request lifts a
/// limit by leaving it out: refusals, failures and reports may omit it, and so may a late response
/// to an earlier request.
pub fn apply_response(
    node: &Node,
    permit: &Permit,
    announced: NamedRate,
    status: StatusCode,
    is_expected_response: bool,
) {
    let worker = &permit.worker;
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    let Some(known) = roster.get_mut(worker) else {
        return;
    };
    let may_lift = is_expected_response && permit.purpose == Purpose::Call && status.is_success();
    // The send time of an earlier request is unknown, so its response must not relax a limit.
    let requested_ms = if is_expected_response {
        permit.sent_ms
    } else {
        0
    };
    let has_changed = known.note_limit_answered(announced, may_lift, requested_ms, now_ms);
    if has_changed {
        let report = known.limit_report(now_ms);
        drop(roster);
        log_change(node, worker, "worker", report);
        // The owner is told, because instances ask it before they send to the worker.
        if let Some(report) = report {
            owners::report_limit(node, worker, report);
        }
    }
}

/// Applies another instance's report of a worker's limit. `worker` is the worker's key.
pub fn apply_peer_limit(node: &Node, worker: u64, report: &LimitReport) {
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    let Some(known) = roster.by_key_mut(worker) else {
        return;
    };
    if known.note_limit_reported(now_ms, report) {
        let id = Arc::clone(&known.record.id);
        let report = known.limit_report(now_ms);
        drop(roster);
        log_change(node, &id, "peer", report);
    }
}

/// Logs that the limit of a worker has changed or been lifted, and wakes waiting calls.
fn log_change(node: &Node, worker: &str, by: &str, report: Option<LimitReport>) {
    let rate_per_s = report.and_then(|report| report.rate_per_s);
    info!(node.log, "worker limit"; "worker" => worker, "rate_per_s" => rate_per_s, "by" => by);
    // Calls that wait for a worker make their selection again.
    node.roster_changed.notify_waiters();
}
