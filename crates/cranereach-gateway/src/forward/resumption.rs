//! A stream that goes on at another worker, after the last event that its caller has.
//!
//! A worker that breaks off in the middle of an answer loses no answer whose route may
//! be resumed: the rest is asked of another one, within the same bounds of attempts and
//! repeats as a call that never began. The caller keeps the first worker's head.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::task::JoinHandle;

use super::exchange;
use super::exchange::OfferHistory;
use super::in_flight::InFlightCall;
use super::refusal::Refusal;
use super::request::Call;
use super::response_head::Failure;
use super::response_head::ResponseHead;
use super::response_head::has_explicit_framing;
use crate::node::Node;
use crate::worker_ends;
use cranereach_http::pool::Connection;

/// A connection with the time that it may rest afterwards, if it may.
pub(super) type ReusableConnection = (Connection<Full<Bytes>>, Option<u64>);

/// A worker's stream whose first piece is here.
#[derive(Debug)]
pub(super) struct StartedStream {
    /// The first piece.
    pub first_chunk: Bytes,
    /// What follows.
    pub incoming: Incoming,
    /// Where it comes from.
    pub connection: ReusableConnection,
    /// The count of the call at the worker.
    pub in_flight: InFlightCall,
    /// Whether its head says where it ends.
    pub has_explicit_framing: bool,
}

impl StartedStream {
    /// Waits for the first piece after the head of an answer.
    pub(super) async fn from_head(head: ResponseHead) -> Result<(Parts, Self), Failure> {
        let ResponseHead {
            response,
            connection,
            keep_alive_ms,
            mut in_flight,
        } = head;
        let (parts, mut incoming) = response.into_parts();
        let first_chunk = match incoming.frame().await {
            Some(Ok(first_chunk)) => first_chunk,
            Some(Err(_broken)) => {
                in_flight.failed();
                return Err(Failure::BrokenOff);
            }
            None => {
                in_flight.failed();
                return Err(Failure::Unknown);
            }
        };
        in_flight.prefill_done();
        let started = Self {
            first_chunk: first_chunk.into_data().unwrap_or_default(),
            incoming,
            connection: (connection, keep_alive_ms),
            in_flight,
            has_explicit_framing: has_explicit_framing(&parts.headers),
        };
        Ok((parts, started))
    }
}

/// What comes of the search for a worker that goes on.
type ResumeResult = Result<(StartedStream, OfferHistory), Refusal>;

/// The search for a worker that goes on with a stream; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct StreamResumption {
    task: JoinHandle<ResumeResult>,
    started_at: Instant,
}

impl StreamResumption {
    /// Begins to look for a worker that goes on after an event; from the start if the
    /// caller has none yet. What became of the worker that broke off is being found out.
    pub(super) fn spawn(
        node: &Arc<Node>,
        call: &Arc<Call>,
        history: OfferHistory,
        last_event: Option<String>,
        worker_check: JoinHandle<worker_ends::Found>,
    ) -> Self {
        let node = Arc::clone(node);
        let call = Arc::clone(call);
        let task = tokio::spawn(async move {
            exchange::resume_stream(&node, &call, history, last_event, worker_check).await
        });
        Self {
            task,
            started_at: Instant::now(),
        }
    }

    /// Returns the stream that goes on, once it does, or why none does.
    ///
    /// # Panics
    ///
    /// If the search panicked.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<ResumeResult> {
        let result = ready!(Pin::new(&mut self.task).poll(cx));
        Poll::Ready(result.expect("a search is ended early by its own drop alone"))
    }

    /// Returns for how long it has been looked for, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

impl Drop for StreamResumption {
    fn drop(&mut self) {
        self.task.abort();
    }
}
