//! Hears from answers which requests a second workers take from all instances together.
//!
//! See [`cranereach_fleet::named_limit`]. Every request that leaves for a worker counts:
//! callers' requests, orders and questions for reports.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use slog::info;

use crate::node::Node;
use cranereach_fleet::named_limit;
use cranereach_fleet::named_limit::Said;

/// What a request to a worker is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's request.
    Call,
    /// An order of the holder of a lease.
    Order,
    /// A question for a report.
    Report,
}

impl Purpose {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Order => "order",
            Self::Report => "report",
        }
    }
}

/// Counts and logs a request that is sent to a worker which names a limit.
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

/// Takes what a worker's answer says to a request that was sent at `asked_ms`. One that is
/// misdirected may come from another worker at the same address, and says nothing.
///
/// Any answer may name a limit. Only a caller's answer of success ends one by naming none:
/// what refuses, fails or reports may leave it out.
pub fn note_answer(
    node: &Node,
    worker: &Arc<str>,
    purpose: Purpose,
    (status, headers): (StatusCode, &HeaderMap),
    asked_ms: u64,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let values = headers.get_all(node.adapter.headers.limit);
    let said = named_limit::read(values.iter().map(HeaderValue::as_bytes));
    if said == Said::Unreadable {
        let counter = &node.metrics.bad_input_total;
        counter.with_label_values(&["limit"]).inc();
    }
    let now_ms = node.now_ms();
    let mut roster = node.roster();
    let Some(known) = roster.get_mut(worker) else {
        return;
    };
    let may_end = purpose == Purpose::Call && status.is_success();
    let has_changed = known.limit.heard(said, may_end, asked_ms, now_ms);
    if has_changed {
        let rate_per_s = known.limit.rate_per_s(now_ms);
        drop(roster);
        info!(node.log, "worker limit"; "worker" => worker.as_ref(), "rate_per_s" => rate_per_s);
    }
}
