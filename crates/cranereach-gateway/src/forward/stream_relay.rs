//! Relay of a stream from a worker to the caller, chunk by chunk.
//!
//! Nothing is buffered except an incomplete event, so that the caller's pace limits the worker's.
//! A stream whose connection to the worker breaks is resumed on another worker if its route
//! allows that and the id of the last event is known, and so is one that ends inside an event.
//! Otherwise the connection to the caller is closed, so that the stream never looks complete.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Frame;
use slog::info;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::Sleep;

use super::broken_connection;
use super::in_flight::InFlightCall;
use super::offer_history::OfferHistory;
use super::request::Call;
use super::resumption::ReusableConnection;
use super::resumption::StartedStream;
use super::resumption::StreamResumption;
use super::telemetry;
use super::version_requirement::VersionRequirement;
use super::worker_body::JudgedEnd;
use super::worker_body::WorkerBody;
use super::worker_body::WorkerPart;
use super::writing_progress::WritingProgress;
use crate::node::Node;
use crate::quarantine;
use crate::stream_origins;
use crate::worker_ends::ProbeResult;
use cranereach_fleet::software_version::SoftwareVersion;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::events::EventBuffer;
use cranereach_http::events::ResumePoint;

/// Outcome of a broken stream that goes on at another worker.
const TAKEN_UP: &str = "taken_up";

/// Outcome of a broken stream with which no worker goes on.
const ENDED: &str = "ended";

/// Outcome of a broken stream with which only workers of other versions could go on.
const OTHER_VERSION: &str = "other_version";

/// The stream ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream ended before it was complete")]
pub struct StreamInterrupted;

/// Stream that is relayed to the caller.
#[derive(Debug)]
pub struct StreamRelay {
    node: Arc<Node>,
    call: Arc<Call>,
    first_chunk: Option<Bytes>,
    body: WorkerBody,
    connection: Option<ReusableConnection>,
    in_flight: Option<InFlightCall>,
    /// Version of the current worker's software; `None` if it is uncertain.
    software: Option<SoftwareVersion>,
    due: Pin<Box<Sleep>>,
    gaps: ChunkGaps,
    progress: WritingProgress,
    /// Whether the version at which the stream runs has been noted.
    is_origin_noted: bool,
    /// Splits the stream into events; `None` if the stream may not be resumed on another worker.
    events: Option<EventBuffer>,
    /// Offers that the call has used so far.
    history: OfferHistory,
    resumption: Option<StreamResumption>,
}

/// Gaps between the chunks of a stream.
#[derive(Debug)]
struct ChunkGaps {
    target_ms: Option<u64>,
    last_chunk_at: Instant,
    longest_ms: u64,
}

impl ChunkGaps {
    /// Records that a chunk has arrived.
    fn record_chunk(&mut self) {
        let now = Instant::now();
        let gap_ms = now.duration_since(self.last_chunk_at).as_millis() as u64;
        self.longest_ms = self.longest_ms.max(gap_ms);
        self.last_chunk_at = now;
    }

    /// Whether some gap was longer than the route's target.
    fn exceed_target(&self) -> bool {
        self.target_ms
            .is_some_and(|target_ms| self.longest_ms > target_ms)
    }
}

impl StreamRelay {
    /// Creates the relay of a call's stream that has begun.
    pub(super) fn new(
        node: &Arc<Node>,
        call: &Arc<Call>,
        started: StartedStream,
        history: OfferHistory,
    ) -> Self {
        let may_resume = call.route.may_repeat() && started.body.has_events();
        let events = may_resume.then(|| match call.last_event(node) {
            Some(last_event) => EventBuffer::after(last_event),
            None => EventBuffer::default(),
        });
        Self {
            node: Arc::clone(node),
            call: Arc::clone(call),
            first_chunk: Some(started.first_chunk),
            body: started.body,
            connection: Some(started.connection),
            in_flight: Some(started.in_flight),
            software: started.software,
            due: Box::pin(tokio::time::sleep_until(node.instant(call.deadline_at_ms))),
            gaps: ChunkGaps {
                target_ms: call.route.gap_aim_ms,
                last_chunk_at: Instant::now(),
                longest_ms: 0,
            },
            progress: WritingProgress::start(node),
            is_origin_noted: false,
            events,
            history,
            resumption: None,
        }
    }

    /// Relays the next chunk.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        loop {
            if self.in_flight.is_none() && self.resumption.is_none() {
                return Poll::Ready(None);
            }
            if self.due.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Some(Err(self.abort("deadline", ENDED))));
            }
            if let Some(resumption) = &mut self.resumption {
                match ready!(resumption.poll(cx)) {
                    Ok((started, history)) => self.continue_with(started, history),
                    Err(refusal) => {
                        let reason = format!("not resumed: {}", refusal.detail);
                        let outcome = if refusal.lacks_version {
                            OTHER_VERSION
                        } else {
                            ENDED
                        };
                        return Poll::Ready(Some(Err(self.abort(&reason, outcome))));
                    }
                }
            }
            let part = match self.first_chunk.take() {
                Some(first_chunk) => WorkerPart::Data(first_chunk),
                None => ready!(self.body.poll_part(cx)),
            };
            match part {
                WorkerPart::Data(chunk) => {
                    if let Some(in_flight) = &self.in_flight {
                        in_flight.received(chunk.len());
                    }
                    if self.progress.is_due(&self.node) {
                        let since_ms = self.progress.since_ms;
                        quarantine::record_progress(&self.node, &self.call, since_ms);
                    }
                    let forwardable = self.take_forwardable(chunk);
                    if forwardable.is_empty() {
                        continue;
                    }
                    if self
                        .events
                        .as_ref()
                        .is_some_and(EventBuffer::has_non_increasing_id)
                    {
                        return Poll::Ready(Some(Err(
                            self.abort("event ids are not increasing", ENDED)
                        )));
                    }
                    self.note_origin();
                    self.gaps.record_chunk();
                    return Poll::Ready(Some(Ok(Frame::data(forwardable))));
                }
                WorkerPart::End(judged) => {
                    self.record_end(&judged);
                    let Err(reason) = judged.result else {
                        let rest = self.finish(judged.end);
                        return Poll::Ready(rest.map(|rest| Ok(Frame::data(rest))));
                    };
                    if !self.start_resumption() {
                        // The stream is not resumed, so nothing waits for the result of the
                        // check.
                        drop(self.investigate_worker());
                        if let Some(in_flight) = self.in_flight.take() {
                            in_flight.broke_off();
                        }
                        return Poll::Ready(Some(Err(self.abort(&reason.to_string(), ENDED))));
                    }
                }
            }
        }
    }

    /// Notes the version at which the stream runs once the caller has an event of it.
    fn note_origin(&mut self) {
        let has_event =
            matches!(&self.events, Some(events) if *events.reached() != ResumePoint::Start);
        if has_event && !self.is_origin_noted {
            self.is_origin_noted = true;
            // A stream of which the version isn't known is not taken up as one of another.
            if let Some(software) = &self.software {
                stream_origins::note_event(&self.node, &self.call, software.key());
            }
        }
    }

    /// Counts and logs the end of the current worker's body.
    fn record_end(&self, judged: &JudgedEnd) {
        if let Some(in_flight) = &self.in_flight {
            telemetry::record_body_end(&self.node, &self.call, in_flight.worker(), judged);
        }
    }

    /// Returns the part of a chunk that can be forwarded now: all of it, or only complete events if
    /// the stream may be resumed on another worker.
    fn take_forwardable(&mut self, chunk: Bytes) -> Bytes {
        match &mut self.events {
            Some(events) => events.take(&chunk),
            None => chunk,
        }
    }

    /// Starts to look for a worker that resumes the stream; returns whether the stream may be
    /// resumed.
    fn start_resumption(&mut self) -> bool {
        if self.in_flight.is_none() {
            return false;
        }
        let Some(events) = &mut self.events else {
            return false;
        };
        events.discard_partial();
        let last_event = match events.reached() {
            ResumePoint::Start => None,
            ResumePoint::Event(id) => Some(id.clone()),
            ResumePoint::Unknown => return false,
        };
        let requirement = match (&last_event, &self.software) {
            (None, _) => self.history.requirement.clone(),
            (Some(_), Some(software)) => VersionRequirement::same_as(software),
            (Some(_), None) => return false,
        };
        let Some(worker_check) = self.investigate_worker() else {
            return false;
        };
        let Some(in_flight) = self.in_flight.take() else {
            return false;
        };
        let from = Arc::clone(in_flight.worker());
        in_flight.broke_off();
        self.connection = None;
        let mut history = std::mem::take(&mut self.history);
        history.requirement = requirement;
        let (node, call) = (&self.node, &self.call);
        let started = StreamResumption::spawn(node, call, from, history, last_event, worker_check);
        self.resumption = Some(started);
        true
    }

    /// Starts the check what became of the worker whose connection broke.
    fn investigate_worker(&self) -> Option<JoinHandle<ProbeResult>> {
        let worker = self.in_flight.as_ref()?.worker();
        let known_ends = self.history.known_ends;
        Some(broken_connection::investigate(
            &self.node,
            &self.call,
            worker,
            known_ends,
            self.progress.phase(),
        ))
    }

    /// Continues with the stream of another worker.
    fn continue_with(&mut self, started: StartedStream, history: OfferHistory) {
        let Some(resumption) = self.resumption.take() else {
            return;
        };
        let from = &resumption.from;
        let took_ms = resumption.elapsed_ms();
        info!(self.node.log, "stream resumed"; "request" => self.call.id.clone(),
            "from" => from.as_ref(), "from_version" => self.software.as_ref().map(ToString::to_string),
            "worker" => started.in_flight.worker().as_ref(),
            "version" => started.software.as_ref().map(ToString::to_string), "took_ms" => took_ms,
            "after" => format!("{:?}", self.events.as_ref().map(EventBuffer::reached)));
        let counter = &self.node.metrics.streams_broken_total;
        counter.with_label_values(&[TAKEN_UP]).inc();
        self.first_chunk = Some(started.first_chunk);
        self.body = started.body;
        self.connection = Some(started.connection);
        self.in_flight = Some(started.in_flight);
        self.software = started.software;
        self.progress = WritingProgress::start(&self.node);
        self.history = history;
        // The gap until the resumption does not count against the new worker.
        self.gaps.last_chunk_at = Instant::now();
        self.gaps.longest_ms = 0;
    }

    /// Records a complete response, and its longest gap if that exceeds the route's target.
    /// Returns the remaining bytes to forward.
    fn finish(&mut self, end: BodyEnd) -> Option<Bytes> {
        if let Some(in_flight) = &self.in_flight {
            let worker = in_flight.worker();
            quarantine::record_whole_response(&self.node, &self.call, worker, StatusCode::OK, end);
        }
        if let Some(mut in_flight) = self.in_flight.take() {
            let is_own_delay = self.node.is_own_delay(self.gaps.longest_ms);
            if self.gaps.exceed_target() && !is_own_delay {
                in_flight.paused();
                self.node.metrics.streams_paused_total.inc();
                info!(self.node.log, "paused"; "request" => self.call.id.clone(),
                    "worker" => in_flight.worker().as_ref(),
                    "longest_ms" => self.gaps.longest_ms);
            } else {
                in_flight.succeeded();
            }
        }
        if let Some((connection, Some(keep_alive_ms))) = self.connection.take()
            && end == BodyEnd::Declared
        {
            connection.keep_for(keep_alive_ms);
        }
        let rest = self.events.as_mut().map(EventBuffer::take_partial)?;
        (!rest.is_empty()).then_some(rest)
    }

    /// Ends the stream before it is complete.
    fn abort(&mut self, reason: &str, outcome: &str) -> StreamInterrupted {
        let worker = match (&self.in_flight, &self.resumption) {
            (Some(in_flight), _) => Some(in_flight.worker().to_string()),
            (None, resumption) => resumption.as_ref().map(|ended| ended.from.to_string()),
        };
        info!(self.node.log, "stream broken off"; "request" => self.call.id.clone(),
            "worker" => worker, "version" => self.software.as_ref().map(ToString::to_string), "why" => reason);
        let counter = &self.node.metrics.requests_total;
        counter.with_label_values(&["", "broken_midway"]).inc();
        let counter = &self.node.metrics.streams_broken_total;
        counter.with_label_values(&[outcome]).inc();
        self.in_flight = None;
        self.connection = None;
        self.resumption = None;
        StreamInterrupted
    }
}
