//! An upstream's answer on its way to the caller, frame by frame.
//!
//! Nothing is buffered: the caller's pace is the upstream's. A stream of events
//! that breaks off ends with an error event and without `[DONE]`; any other
//! answer that breaks off ends its connection.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::answer_body::BrokenOff;
use super::error_answer;
use super::job::AnswerForm;
use super::job::Job;
use super::record::Record;
use super::ticket::Ticket;
use crate::upstream::SendBody;
use cranereach_core::codes::ResultCode;
use cranereach_http::pool::Connection;

/// What ends a whole stream of events.
const DONE: &[u8] = b"[DONE]";

/// Bytes of the stream's end that are kept, to find [`DONE`] across frames.
const TAIL_BYTES: usize = 16;

/// An answer that is being passed on.
#[derive(Debug)]
pub(crate) struct Passing {
    form: AnswerForm,
    request_name: String,
    first: Option<Bytes>,
    incoming: Incoming,
    connection: Option<Connection<SendBody>>,
    ticket: Ticket,
    record: Record,
    due: Pin<Box<Sleep>>,
    tail: Vec<u8>,
    is_ended: bool,
}

impl Passing {
    /// Starts to pass an answer on.
    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one exchange, handed over once"
    )]
    pub(crate) fn new(
        job: &Job,
        request_name: &str,
        first: Option<Bytes>,
        incoming: Incoming,
        connection: Connection<SendBody>,
        ticket: Ticket,
        record: Record,
        due: Instant,
    ) -> Self {
        Self {
            form: job.form,
            request_name: request_name.to_owned(),
            first,
            incoming,
            connection: Some(connection),
            ticket,
            record,
            due: Box::pin(tokio::time::sleep_until(due)),
            tail: Vec::new(),
            is_ended: false,
        }
    }

    /// Whether everything has been passed on.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns what is known of the size.
    pub(crate) fn size_hint(&self) -> SizeHint {
        if self.form == AnswerForm::Plain {
            self.incoming.size_hint()
        } else {
            SizeHint::default()
        }
    }

    /// Passes the next frame on.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(self.pass(Frame::data(first)))));
        }
        if self.due.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(self.break_off(ResultCode::DeadlinePassedRunning)));
        }
        match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(self.pass(frame)))),
            Some(Err(_broken)) => Poll::Ready(Some(self.break_off(ResultCode::BrokenMidway))),
            None if self.is_whole() => {
                self.end_whole();
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(self.break_off(ResultCode::BrokenMidway))),
        }
    }

    /// Notes a frame that is passed on.
    fn pass(&mut self, frame: Frame<Bytes>) -> Frame<Bytes> {
        if let Some(data) = frame.data_ref() {
            let count = if self.form == AnswerForm::Events {
                count_events(data)
            } else {
                1
            };
            self.record.tokens(count);
            self.ticket.cost_tokens += count as f64;
            self.keep_tail(data);
        }
        if self.form == AnswerForm::Plain && self.incoming.is_end_stream() {
            self.end_whole();
        }
        frame
    }

    /// Keeps the end of what was passed on.
    fn keep_tail(&mut self, data: &[u8]) {
        if self.form != AnswerForm::Events {
            return;
        }
        let from = data.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&data[from..]);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    /// Whether what was passed on is a whole answer.
    fn is_whole(&self) -> bool {
        self.form != AnswerForm::Events
            || self.tail.windows(DONE.len()).any(|window| window == DONE)
    }

    /// Ends a whole answer.
    fn end_whole(&mut self) {
        self.is_ended = true;
        if let Some(connection) = self.connection.take() {
            connection.keep();
        }
        self.record.finish(ResultCode::Served);
        self.ticket.end(true);
    }

    /// Ends an answer that isn't whole; leaving the connection cancels the rest.
    fn break_off(&mut self, code: ResultCode) -> Result<Frame<Bytes>, BrokenOff> {
        self.is_ended = true;
        self.connection = None;
        self.record.finish(code);
        self.ticket.end(false);
        if self.form == AnswerForm::Events {
            let event = error_answer::event(code, &self.request_name);
            return Ok(Frame::data(event));
        }
        Err(BrokenOff)
    }
}

/// Counts the events in a piece of a stream by their ends.
fn count_events(data: &[u8]) -> u64 {
    data.windows(2).filter(|pair| pair == b"\n\n").count() as u64
}
