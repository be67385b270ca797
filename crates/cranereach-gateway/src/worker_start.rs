//! Start of the process that accepted a connection to a worker.
//!
//! A worker may start again under its identity and at its address, with another version of its
//! software. A row that is read late doesn't show that. The worker's report does: it tells the time
//! of the start, and a connection ends with the process that accepted it. So a request that is sent
//! over the connection that brought the report runs at the start that was told.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use slog::info;

use crate::node::Node;
use crate::node::lock;
use crate::send_permit;
use crate::send_permit::Permit;
use crate::send_permit::RequiredRow;
use crate::worker_headers;
use crate::worker_paths::WorkerConnection;
use cranereach_fleet::purpose::Purpose;

/// Time for which a worker's report is awaited, in milliseconds. A worker needs no slot to give it.
const REPORT_TIMEOUT_MS: u64 = 250;

/// Largest report that is read, in bytes.
const REPORT_MAX_BYTES: usize = 256 * 1024;

/// Answer of a worker that was asked for its start over one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToldStart {
    /// Time of the start, in milliseconds of Unix time.
    At(u64),
    /// The worker gives no report, or one that doesn't tell its start.
    Untold,
    /// The worker must not be asked now.
    NotPermitted,
    /// There was no answer; the connection can't be used any more.
    Unanswered,
}

/// Whether the row of a worker describes the start of the process that answers at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowState {
    /// It does, since the row names no start: workers that don't tell their starts have another
    /// identity after each.
    Certain,
    /// It does as far as known.
    Current,
    /// It may describe an earlier start: the list is older than its bound, or this instance saw an
    /// end of the worker since.
    Doubtful,
}

/// Returns what is known about the row of a worker.
pub fn row_state(node: &Node, worker: &str) -> RowState {
    let now_ms = node.now_ms();
    let (age_ms, as_of_ms) = {
        let list = lock(&node.list);
        (list.age_ms(now_ms), list.known_at_ms())
    };
    let is_old = age_ms.is_none_or(|age_ms| age_ms > node.settings.bounds.drain_ms);
    let roster = node.roster();
    match roster.get(worker) {
        Some(known) if known.record.started_unix_ms == 0 => RowState::Certain,
        Some(known) if is_old || known.row_doubt.is_doubtful(as_of_ms) => RowState::Doubtful,
        Some(_) | None => RowState::Current,
    }
}

/// Records that a connection to a worker broke or was refused.
pub fn note_end(node: &Node, worker: &str) {
    let now_ms = node.now_ms();
    if let Some(known) = node.roster().get_mut(worker) {
        known.row_doubt.note_end(now_ms);
    }
}

/// Records the start that a worker told, in milliseconds of Unix time.
pub fn note(node: &Node, worker: &Arc<str>, started_unix_ms: u64) {
    if node.roster().note_start(worker, started_unix_ms) {
        info!(node.log, "row describes an earlier start"; "worker" => worker.as_ref(),
            "started_unix_ms" => started_unix_ms);
    }
}

/// Asks the worker at the other end of a connection for its start, unless it has told it over this
/// connection before.
pub async fn ask(
    node: &Node,
    worker: &Arc<str>,
    rank: u8,
    connection: &mut WorkerConnection,
) -> ToldStart {
    if let Some(started_unix_ms) = connection.told_start_unix_ms() {
        return ToldStart::At(started_unix_ms);
    }
    let required_row = RequiredRow::default();
    let permit = send_permit::ask(node, worker, Purpose::Report, rank, required_row).await;
    let Some(permit) = permit else {
        return ToldStart::NotPermitted;
    };
    let within = Duration::from_millis(REPORT_TIMEOUT_MS);
    let fetched = tokio::time::timeout(within, fetch(node, &permit, connection)).await;
    let told = fetched.ok().flatten().unwrap_or(ToldStart::Unanswered);
    if let ToldStart::At(started_unix_ms) = told {
        connection.set_told_start_unix_ms(started_unix_ms);
        note(node, worker, started_unix_ms);
    }
    info!(node.log, "worker asked for its start"; "worker" => worker.as_ref(),
        "told" => format!("{told:?}"));
    let counter = &node.metrics.origins.starts_asked_total;
    counter.with_label_values(&[told.name()]).inc();
    told
}

impl ToldStart {
    /// Returns the metric label.
    const fn name(self) -> &'static str {
        match self {
            Self::At(_) => "told",
            Self::Untold => "untold",
            Self::NotPermitted => "not_permitted",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Requests a report over a connection; `None` if the connection can't be used any more.
async fn fetch(
    node: &Node,
    permit: &Permit,
    connection: &mut WorkerConnection,
) -> Option<ToldStart> {
    let worker = &permit.worker;
    let address = {
        let roster = node.roster();
        roster.get(worker)?.record.address.clone()
    };
    let format = &node.adapter.engine;
    let request = Request::get(format.report_path)
        .header(HOST, address)
        .header(node.adapter.headers.expected_worker, worker.as_ref())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (head, body) = connection.send(request).await.ok()?.into_parts();
    let parsed = worker_headers::apply_head(node, permit, (head.status, &head.headers), true);
    if parsed.is_from_other_worker {
        return None;
    }
    let body = body.collect(REPORT_MAX_BYTES, REPORT_TIMEOUT_MS).await;
    let body = body.ok()?;
    if !connection.until_ready().await {
        return None;
    }
    if head.status != StatusCode::OK {
        return Some(ToldStart::Untold);
    }
    let report = (format.parse_report)(&body.bytes).ok();
    let started_unix_ms = report.and_then(|report| report.started_unix_ms);
    Some(started_unix_ms.map_or(ToldStart::Untold, ToldStart::At))
}
