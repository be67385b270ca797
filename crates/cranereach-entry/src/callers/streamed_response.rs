//! An upstream's response that is forwarded to the caller frame by frame.
//!
//! Nothing is buffered, so a slow caller slows the upstream down (backpressure). An event stream
//! that is aborted between two events ends with an error event and without `[DONE]`. Inside an event
//! there is no place for one, so that such a stream closes its connection when it is aborted, as any
//! other response does.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::dispatch_guard::DispatchGuard;
use super::error_response;
use super::job::BodyKind;
use super::job::Job;
use super::record::RequestRecord;
use super::response_body::ResponseAborted;
use crate::upstream::UpstreamRequestBody;
use cranereach_core::codes::ResultCode;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::body_end::BodyPart;
use cranereach_http::body_end::ResponseBody as UpstreamBody;
use cranereach_http::content::Content;
use cranereach_http::pool::Connection;
use cranereach_http::stream_end::StreamEnd;

/// A response that is being forwarded.
#[derive(Debug)]
pub(crate) struct StreamedResponse {
    kind: BodyKind,
    request_name: String,
    first_chunk: Option<Bytes>,
    body: UpstreamBody,
    connection: Option<Connection<UpstreamRequestBody>>,
    dispatch_guard: DispatchGuard,
    record: RequestRecord,
    deadline: Pin<Box<Sleep>>,
    /// Follows the events, if the body is an event stream.
    stream_end: StreamEnd,
    /// Follows the content of a plain response.
    content: Content,
    is_ended: bool,
}

impl StreamedResponse {
    /// Creates a response that ends with an error once `deadline` has passed.
    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one exchange, handed over once"
    )]
    pub(crate) fn new(
        job: &Job,
        request_name: &str,
        first_chunk: Option<Bytes>,
        (headers, body): (&HeaderMap, UpstreamBody),
        connection: Connection<UpstreamRequestBody>,
        dispatch_guard: DispatchGuard,
        record: RequestRecord,
        deadline: Instant,
    ) -> Self {
        Self {
            kind: job.kind,
            request_name: request_name.to_owned(),
            first_chunk,
            content: Content::of_response(&body, headers, false),
            body,
            connection: Some(connection),
            dispatch_guard,
            record,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            stream_end: StreamEnd::default(),
            is_ended: false,
        }
    }

    /// Whether the response has ended, complete or not.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns the size hint of the upstream's body for a plain response, else an unknown size.
    pub(crate) fn size_hint(&self) -> SizeHint {
        if self.kind == BodyKind::Plain {
            self.body.size_hint()
        } else {
            SizeHint::default()
        }
    }

    /// Polls the next frame for the caller.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        if let Some(first) = self.first_chunk.take() {
            return Poll::Ready(Some(Ok(self.record_data(first))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(self.abort(ResultCode::DeadlinePassedRunning)));
        }
        match ready!(self.body.poll_part(cx)) {
            BodyPart::Data(data) => Poll::Ready(Some(Ok(self.record_data(data)))),
            BodyPart::End(end) if self.is_complete(end) => {
                self.finish();
                Poll::Ready(None)
            }
            BodyPart::End(_) => Poll::Ready(Some(self.abort(ResultCode::BrokenMidway))),
        }
    }

    /// Records bytes that are forwarded, and returns them as a frame.
    fn record_data(&mut self, data: Bytes) -> Frame<Bytes> {
        let count = if self.kind == BodyKind::EventStream {
            let before = self.stream_end.event_count();
            self.stream_end.follow(&data);
            self.stream_end.event_count() - before
        } else {
            self.content.follow(&data);
            1
        };
        self.record.add_tokens(count);
        self.dispatch_guard.cost_tokens += count as f64;
        if self.kind == BodyKind::Plain && self.body.has_reached_declared_end() {
            self.finish();
        }
        Frame::data(data)
    }

    /// Whether the forwarded frames are a complete response, now that the upstream's body ended.
    /// Event streams and JSON texts say themselves where they are complete.
    fn is_complete(&self, end: BodyEnd) -> bool {
        match (end, self.kind) {
            (BodyEnd::Broken, _) => false,
            (_, BodyKind::EventStream) => self.stream_end.is_complete(),
            (BodyEnd::Declared, _) => true,
            (BodyEnd::Closed, _) => !self.content.is_cut_off(),
        }
    }

    /// Ends a complete response and returns the connection to its pool.
    fn finish(&mut self) {
        self.is_ended = true;
        if let Some(connection) = self.connection.take() {
            connection.keep();
        }
        self.record.finish(ResultCode::Served);
        self.dispatch_guard.release(true);
    }

    /// Ends an incomplete response; dropping the connection cancels the request at the upstream.
    fn abort(&mut self, code: ResultCode) -> Result<Frame<Bytes>, ResponseAborted> {
        self.is_ended = true;
        self.connection = None;
        self.record.finish(code);
        self.dispatch_guard.release(false);
        if self.kind == BodyKind::EventStream && !self.stream_end.is_inside_event() {
            let event = error_response::event(code, &self.request_name);
            return Ok(Frame::data(event));
        }
        Err(ResponseAborted)
    }
}
