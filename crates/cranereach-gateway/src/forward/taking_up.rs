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
use super::exchange::Taken;
use super::head::Failure;
use super::head::Head;
use super::head::says_its_end;
use super::open::OpenCall;
use super::refusal::Refusal;
use super::request::Call;
use crate::node::Node;
use crate::worker_ends;
use cranereach_http::pool::Connection;

/// A connection with the time that it may rest afterwards, if it may.
pub(super) type Kept = (Connection<Full<Bytes>>, Option<u64>);

/// A worker's stream whose first piece is here.
#[derive(Debug)]
pub(super) struct Begun {
    /// The first piece.
    pub first: Bytes,
    /// What follows.
    pub incoming: Incoming,
    /// Where it comes from.
    pub connection: Kept,
    /// The count of the call at the worker.
    pub open: OpenCall,
    /// Whether its head says where it ends.
    pub says_its_end: bool,
}

impl Begun {
    /// Waits for the first piece after the head of an answer.
    pub(super) async fn of(head: Head) -> Result<(Parts, Self), Failure> {
        let Head {
            answer,
            connection,
            rest_ms,
            mut open,
        } = head;
        let (parts, mut incoming) = answer.into_parts();
        let first = match incoming.frame().await {
            Some(Ok(first)) => first,
            Some(Err(_broken)) => {
                open.failed();
                return Err(Failure::BrokenOff);
            }
            None => {
                open.failed();
                return Err(Failure::Unknown);
            }
        };
        open.read();
        let begun = Self {
            first: first.into_data().unwrap_or_default(),
            incoming,
            connection: (connection, rest_ms),
            open,
            says_its_end: says_its_end(&parts.headers),
        };
        Ok((parts, begun))
    }
}

/// What comes of the search for a worker that goes on.
type Found = Result<(Begun, Taken), Refusal>;

/// The search for a worker that goes on with a stream; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct TakingUp {
    found: JoinHandle<Found>,
    since: Instant,
}

impl TakingUp {
    /// Begins to look for a worker that goes on after an event; from the start if the
    /// caller has none yet. What became of the worker that broke off is being found out.
    pub(super) fn begin(
        node: &Arc<Node>,
        call: &Arc<Call>,
        taken: Taken,
        last_event: Option<String>,
        finding: JoinHandle<worker_ends::Found>,
    ) -> Self {
        let node = Arc::clone(node);
        let call = Arc::clone(call);
        let found = tokio::spawn(async move {
            exchange::take_up(&node, &call, taken, last_event, finding).await
        });
        Self {
            found,
            since: Instant::now(),
        }
    }

    /// Returns the stream that goes on, once it does, or why none does.
    ///
    /// # Panics
    ///
    /// If the search panicked.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Found> {
        let found = ready!(Pin::new(&mut self.found).poll(cx));
        Poll::Ready(found.expect("a search is ended early by its own drop alone"))
    }

    /// Returns for how long it has been looked for, in milliseconds.
    pub(super) fn took_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }
}

impl Drop for TakingUp {
    fn drop(&mut self) {
        self.found.abort();
    }
}
