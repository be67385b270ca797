//! Resumption of a stream on another worker, after the last event that the caller has received.
//!
//! If the connection to a worker breaks in the middle of a response, and the route allows
//! resumption, the rest is requested from another worker. The same limits on attempts and the
//! same retry budget apply as to a call whose response never began. The caller keeps the head of
//! the first worker's response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response::Parts;
use slog::info;
use tokio::task::JoinHandle;

use super::exchange;
use super::in_flight::InFlightCall;
use super::offer_history::OfferHistory;
use super::refusal::Refusal;
use super::request::Call;
use super::response_head::Failure;
use super::response_head::ResponseHead;
use super::telemetry;
use super::version_requirement::VersionRequirement;
use super::worker_body::WorkerBody;
use super::worker_body::WorkerPart;
use crate::node::Node;
use crate::worker_ends;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::pool::Connection;

/// Connection with the time for which it may be kept idle afterwards, in milliseconds; `None` if
/// it closes.
pub(super) type ReusableConnection = (Connection<Full<Bytes>>, Option<u64>);

/// Stream of a worker whose first chunk has arrived.
#[derive(Debug)]
pub(super) struct StartedStream {
    /// First chunk.
    pub first_chunk: Bytes,
    /// Rest of the body.
    pub body: WorkerBody,
    /// Connection that the stream arrives on.
    pub connection: ReusableConnection,
    /// In-flight count of the call at the worker.
    pub in_flight: InFlightCall,
    /// Version of the worker's software; `None` if it is uncertain.
    pub software: Option<SoftwareVersion>,
}

impl StartedStream {
    /// Waits for the first chunk after the head of a response, which is empty if the stream goes on
    /// after earlier events and has no further ones. Fails if the call is bound to a version and
    /// that of the worker is uncertain.
    pub(super) async fn from_head(
        node: &Node,
        call: &Call,
        requirement: &VersionRequirement,
        has_earlier_events: bool,
        head: ResponseHead,
    ) -> Result<(Parts, Self), Failure> {
        let ResponseHead {
            response,
            connection,
            keep_alive_ms,
            mut in_flight,
            software,
        } = head;
        let (parts, body) = response.into_parts();
        let mut body = WorkerBody::new(body, &parts.headers, Some(call.stream_limits()));
        let first_chunk = match body.next_part().await {
            WorkerPart::Data(first_chunk) => first_chunk,
            // The caller has all events already.
            WorkerPart::End(judged)
                if has_earlier_events && body.has_events() && judged.end == BodyEnd::Declared =>
            {
                Bytes::new()
            }
            WorkerPart::End(judged) => {
                telemetry::record_body_end(node, call, in_flight.worker(), &judged);
                if judged.end == BodyEnd::Declared {
                    in_flight.failed();
                    return Err(Failure::Unknown);
                }
                in_flight.broke_off();
                return Err(Failure::BrokenOff);
            }
        };
        in_flight.prefilled();
        let software = confirmed_version(node, in_flight.worker(), software);
        if software.is_none() {
            info!(node.log, "software version uncertain"; "request" => call.id.clone(),
                "worker" => in_flight.worker().as_ref(), "required" => requirement.to_string());
            if requirement.key().is_some() {
                return Err(Failure::Unknown);
            }
        }
        let started = Self {
            first_chunk,
            body,
            connection: (connection, keep_alive_ms),
            in_flight,
            software,
        };
        Ok((parts, started))
    }
}

/// Returns the version of the software of a worker that has sent the first chunk of a stream, given
/// that of the row by which the call was sent, if it was certain. `None` if the worker's row names
/// another one by now: the row may have been late when the call was sent, so that either may have
/// written the chunk.
fn confirmed_version(
    node: &Node,
    worker: &str,
    sent_by: Option<SoftwareVersion>,
) -> Option<SoftwareVersion> {
    let roster = node.roster();
    let known = roster.get(worker);
    sent_by.filter(|sent_by| known.is_none_or(|known| known.record.software == *sent_by))
}

/// Resumed stream with the offers used so far, or the reason why the stream is not resumed.
type ResumeResult = Result<(StartedStream, OfferHistory), Refusal>;

/// Task that looks for a worker to resume a stream; dropping this aborts it.
#[derive(Debug)]
pub(super) struct StreamResumption {
    task: JoinHandle<ResumeResult>,
    /// Worker that broke the stream off.
    pub from: Arc<str>,
    started_at: Instant,
}

impl StreamResumption {
    /// Starts to look for a worker that resumes the stream after `last_event`, or from the start
    /// if the caller has received no event yet. `worker_check` returns what became of the worker
    /// `from`, whose connection broke.
    pub(super) fn spawn(
        node: &Arc<Node>,
        call: &Arc<Call>,
        from: Arc<str>,
        history: OfferHistory,
        last_event: Option<String>,
        worker_check: JoinHandle<worker_ends::ProbeResult>,
    ) -> Self {
        let node = Arc::clone(node);
        let call = Arc::clone(call);
        let task = tokio::spawn(async move {
            exchange::resume_stream(&node, &call, history, last_event, worker_check).await
        });
        Self {
            task,
            from,
            started_at: Instant::now(),
        }
    }

    /// Returns the resumed stream once it has begun, or the reason why it is not resumed.
    ///
    /// # Panics
    ///
    /// If the task panicked.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<ResumeResult> {
        let result = ready!(Pin::new(&mut self.task).poll(cx));
        Poll::Ready(result.expect("the resumption task is aborted only when it is dropped"))
    }

    /// Returns the time since the search began, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

impl Drop for StreamResumption {
    fn drop(&mut self) {
        self.task.abort();
    }
}
