//! A stream on its way to the caller, piece by piece.
//!
//! Nothing is buffered but the part of an event: the caller's pace is the worker's. A
//! stream whose worker breaks off goes on at another one if its route allows that and if
//! it is known which event came last; else it ends its connection, so that it never looks
//! complete.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use slog::info;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::Sleep;

use super::broken;
use super::exchange::Taken;
use super::open::OpenCall;
use super::request::Call;
use super::taking_up::Begun;
use super::taking_up::Kept;
use super::taking_up::TakingUp;
use crate::node::Node;
use crate::quarantine;
use crate::worker_ends::Found;
use cranereach_http::events::Reached;
use cranereach_http::events::WholeEvents;

/// The stream ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream broke off")]
pub struct BrokenOff;

/// A stream that is being passed on.
#[derive(Debug)]
pub struct Passing {
    node: Arc<Node>,
    call: Arc<Call>,
    first: Option<Bytes>,
    incoming: Incoming,
    connection: Option<Kept>,
    open: Option<OpenCall>,
    due: Pin<Box<Sleep>>,
    pauses: Pauses,
    /// The events, if the stream may go on elsewhere.
    events: Option<WholeEvents>,
    /// Whether the head of the present worker's answer says where it ends.
    says_its_end: bool,
    /// What the call has taken so far.
    taken: Taken,
    taking_up: Option<TakingUp>,
}

/// The pauses between the pieces of a stream.
#[derive(Debug)]
struct Pauses {
    aim_ms: Option<u64>,
    last_piece: Instant,
    longest_ms: u64,
}

impl Pauses {
    /// Notes a piece.
    fn piece(&mut self) {
        let now = Instant::now();
        let pause_ms = now.duration_since(self.last_piece).as_millis() as u64;
        self.longest_ms = self.longest_ms.max(pause_ms);
        self.last_piece = now;
    }

    /// Whether some pause was longer than the route aims at.
    fn are_too_long(&self) -> bool {
        self.aim_ms.is_some_and(|aim_ms| self.longest_ms > aim_ms)
    }
}

impl Passing {
    /// Starts to pass a call's stream on that has begun.
    pub(super) fn new(node: &Arc<Node>, call: &Arc<Call>, begun: Begun, taken: Taken) -> Self {
        Self {
            node: Arc::clone(node),
            call: Arc::clone(call),
            first: Some(begun.first),
            incoming: begun.incoming,
            connection: Some(begun.connection),
            open: Some(begun.open),
            due: Box::pin(tokio::time::sleep_until(node.instant(call.end_by_ms))),
            pauses: Pauses {
                aim_ms: call.route.gap_aim_ms,
                last_piece: Instant::now(),
                longest_ms: 0,
            },
            says_its_end: begun.says_its_end,
            events: call.route.may_repeat().then(WholeEvents::default),
            taken,
            taking_up: None,
        }
    }

    /// Passes the next piece on.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        loop {
            if self.open.is_none() && self.taking_up.is_none() {
                return Poll::Ready(None);
            }
            if self.due.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Some(Err(self.break_off("deadline"))));
            }
            if let Some(taking_up) = &mut self.taking_up {
                let took_ms = taking_up.took_ms();
                match ready!(taking_up.poll(cx)) {
                    Ok((begun, taken)) => self.go_on(begun, taken, took_ms),
                    Err(refusal) => {
                        let why = format!("not taken up: {}", refusal.detail);
                        return Poll::Ready(Some(Err(self.break_off(&why))));
                    }
                }
            }
            let piece = match self.first.take() {
                Some(first) => Some(Ok(Frame::data(first))),
                None => ready!(Pin::new(&mut self.incoming).poll_frame(cx)),
            };
            match piece {
                Some(Ok(frame)) => {
                    if let (Some(open), Some(piece)) = (&self.open, frame.data_ref()) {
                        open.received(piece.len());
                    }
                    let Some(frame) = self.whole(frame) else {
                        continue;
                    };
                    if self.events.as_ref().is_some_and(WholeEvents::has_gone_back) {
                        return Poll::Ready(Some(Err(self.break_off("events went back"))));
                    }
                    self.pauses.piece();
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Err(_broken)) => {
                    if !self.seek_rest() {
                        // Nobody goes on, so nobody waits for what is found.
                        drop(self.note_broken());
                        return Poll::Ready(Some(Err(self.break_off("worker broke off"))));
                    }
                }
                None => return Poll::Ready(self.end().map(|rest| Ok(Frame::data(rest)))),
            }
        }
    }

    /// Returns what of a piece may be passed on now: all of it, or whole events if the
    /// stream may go on elsewhere; none if that is nothing.
    fn whole(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let Some(events) = &mut self.events else {
            return Some(frame);
        };
        match frame.into_data() {
            Ok(bytes) => {
                let whole = events.take(&bytes);
                (!whole.is_empty()).then(|| Frame::data(whole))
            }
            Err(other) => Some(other),
        }
    }

    /// Begins to look for a worker that goes on; returns whether one may.
    fn seek_rest(&mut self) -> bool {
        let Some(open) = &mut self.open else {
            return false;
        };
        open.failed();
        let Some(events) = &mut self.events else {
            return false;
        };
        events.forget_part();
        let last_event = match events.reached() {
            Reached::Start => None,
            Reached::Event(id) => Some(id.clone()),
            Reached::Unknown => return false,
        };
        let Some(finding) = self.note_broken() else {
            return false;
        };
        // The count at the worker that broke off ends here.
        self.open = None;
        self.connection = None;
        let taken = std::mem::take(&mut self.taken);
        let begun = TakingUp::begin(&self.node, &self.call, taken, last_event, finding);
        self.taking_up = Some(begun);
        true
    }

    /// Notes that the worker broke off, and finds out what became of it.
    fn note_broken(&self) -> Option<JoinHandle<Found>> {
        let worker = self.open.as_ref()?.worker();
        let knew_of_end = self.taken.knew_of_end;
        Some(broken::note(&self.node, &self.call, worker, knew_of_end))
    }

    /// Goes on with the stream of another worker.
    fn go_on(&mut self, begun: Begun, taken: Taken, took_ms: u64) {
        info!(self.node.log, "stream taken up"; "request" => self.call.id.clone(),
            "worker" => begun.open.worker().as_ref(), "took_ms" => took_ms,
            "after" => format!("{:?}", self.events.as_ref().map(WholeEvents::reached)));
        let counter = &self.node.metrics.streams_broken_total;
        counter.with_label_values(&["taken_up"]).inc();
        self.taking_up = None;
        self.first = Some(begun.first);
        self.incoming = begun.incoming;
        self.connection = Some(begun.connection);
        self.open = Some(begun.open);
        self.says_its_end = begun.says_its_end;
        self.taken = taken;
        // The pause until here says nothing of the worker that goes on.
        self.pauses.last_piece = Instant::now();
        self.pauses.longest_ms = 0;
    }

    /// Notes a whole answer, and its pauses if they were longer than the route aims at;
    /// returns what is still to be passed on.
    fn end(&mut self) -> Option<Bytes> {
        if self.says_its_end {
            quarantine::answered(&self.node, &self.call);
        }
        if let Some(mut open) = self.open.take() {
            if self.pauses.are_too_long() {
                open.paused();
                self.node.metrics.streams_paused_total.inc();
                info!(self.node.log, "paused"; "request" => self.call.id.clone(),
                    "worker" => open.worker().as_ref(),
                    "longest_ms" => self.pauses.longest_ms);
            } else {
                open.succeeded();
            }
        }
        if let Some((connection, Some(rest_ms))) = self.connection.take() {
            connection.keep_for(rest_ms);
        }
        let rest = self.events.as_mut().map(WholeEvents::take_rest)?;
        (!rest.is_empty()).then_some(rest)
    }

    /// Ends the stream before it is whole.
    fn break_off(&mut self, why: &str) -> BrokenOff {
        let worker = self.open.as_ref().map(|open| open.worker().to_string());
        info!(self.node.log, "stream broken off"; "request" => self.call.id.clone(),
            "worker" => worker, "why" => why);
        let counter = &self.node.metrics.requests_total;
        counter.with_label_values(&["", "broken_midway"]).inc();
        let counter = &self.node.metrics.streams_broken_total;
        counter.with_label_values(&["ended"]).inc();
        self.open = None;
        self.connection = None;
        self.taking_up = None;
        BrokenOff
    }
}
