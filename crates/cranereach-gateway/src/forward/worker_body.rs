//! Body of a worker's response, and what its end means for the caller.
//!
//! A stream of events that ends inside an event has been broken off, however its end is marked. If
//! the connection ends it, so has a stream without any event, and a JSON text that isn't whole.
//! Any other body whose end is not declared is complete as far as can be seen: a worker that closes
//! its connection in order does so after the last byte, or because its process ends.
//!
//! A stream that goes on and on without an event, or that is larger than the request may produce,
//! is no answer: it is broken off ([`StreamLimits`]).

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use thiserror::Error;

use cranereach_http::body::BodyError;
use cranereach_http::body_end::BodyEnd;
use cranereach_http::body_end::BodyPart;
use cranereach_http::body_end::CollectedBody;
use cranereach_http::body_end::ResponseBody;
use cranereach_http::buffer_budget::BufferBudget;
use cranereach_http::content::Content;
use cranereach_http::event_border::EventBorder;

/// Largest event of a stream, and most bytes between two events, such as those of comments.
const EVENT_MAX_BYTES: u64 = 1024 * 1024;

/// Most bytes of a stream for each token that the request may produce: events name more than the
/// text of a token.
const BYTES_PER_TOKEN: u64 = 4 * 1024;

/// Most bytes of a stream if the request doesn't say how many tokens it may produce.
const UNSTATED_MAX_BYTES: u64 = 256 * 1024 * 1024;

/// How large the stream of a request may become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StreamLimits {
    /// Most bytes in all.
    max_bytes: u64,
}

impl StreamLimits {
    /// Returns the limits for a request that may produce this many tokens; zero if it doesn't say.
    pub(super) fn for_tokens(answer_max_tokens: u32) -> Self {
        let max_bytes = match u64::from(answer_max_tokens) {
            0 => UNSTATED_MAX_BYTES,
            tokens => EVENT_MAX_BYTES + tokens * BYTES_PER_TOKEN,
        };
        Self { max_bytes }
    }
}

/// Why a body counts as incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum BreakReason {
    /// The connection failed, or closed before the declared end.
    #[error("the connection to the worker broke")]
    ConnectionBroke,
    /// A stream ended inside an event.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// The connection closed before the first event of a stream.
    #[error("the stream ended without an event")]
    NoEvent,
    /// The connection closed inside a JSON text.
    #[error("the response ended inside a JSON text")]
    InsideJson,
    /// A stream went on without an event, or became larger than the request may produce.
    #[error("the stream is too large")]
    TooLarge,
}

impl BreakReason {
    /// Returns the name used in metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "connection_broke",
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
            Self::InsideJson => "inside_json",
            Self::TooLarge => "too_large",
        }
    }
}

/// End of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct JudgedEnd {
    /// How the body ended.
    pub(super) end: BodyEnd,
    /// Whether the body is complete, or why not.
    pub(super) result: Result<(), BreakReason>,
    /// What was read until then.
    pub(super) received: Received,
}

/// What was read of a body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Received {
    /// `Content-Type` of the response.
    pub(super) media_type: Option<HeaderValue>,
    /// Number of bytes; none are counted if a buffered body broke.
    pub(super) byte_count: u64,
    /// Number of whole events, if the body is a stream of events.
    pub(super) event_count: Option<u64>,
}

/// Next part of a worker's body.
#[derive(Debug)]
pub(super) enum WorkerPart {
    /// Bytes.
    Data(Bytes),
    /// The body has ended.
    End(JudgedEnd),
}

/// Body of a worker's response.
#[derive(Debug)]
pub(super) struct WorkerBody {
    body: ResponseBody,
    followed: FollowedBody,
}

/// What was read of a body so far.
#[derive(Debug)]
struct FollowedBody {
    media_type: Option<HeaderValue>,
    byte_count: u64,
    /// Number of bytes up to the end of the last event.
    event_end_bytes: u64,
    /// Set if the caller asked for a stream of events.
    stream_limits: Option<StreamLimits>,
    content: Content,
}

impl WorkerBody {
    /// Creates the body of a response with these headers. The limits are set if the caller asked
    /// for a stream of events; then the body is one also if its head names no media type.
    pub(super) fn new(
        body: ResponseBody,
        headers: &HeaderMap,
        stream_limits: Option<StreamLimits>,
    ) -> Self {
        let followed = FollowedBody {
            media_type: headers.get(CONTENT_TYPE).cloned(),
            byte_count: 0,
            event_end_bytes: 0,
            stream_limits,
            content: Content::of_response(&body, headers, stream_limits.is_some()),
        };
        Self { body, followed }
    }

    /// Whether the body is a stream of events that can be told apart.
    pub(super) fn has_events(&self) -> bool {
        matches!(self.followed.content, Content::Events(_))
    }

    /// Polls for the next part.
    pub(super) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<WorkerPart> {
        let part = ready!(self.body.poll_part(cx));
        Poll::Ready(self.take(part))
    }

    /// Waits for the next part.
    pub(super) async fn next_part(&mut self) -> WorkerPart {
        let part = self.body.next_part().await;
        self.take(part)
    }

    /// Reads the whole body, in memory that `budget` has. One that is broken has no bytes.
    pub(super) async fn collect(
        self,
        max_bytes: usize,
        timeout_ms: u64,
        budget: &Arc<BufferBudget>,
    ) -> Result<(Bytes, JudgedEnd), BodyError> {
        let Self { body, mut followed } = self;
        let mut share = budget.share();
        let may_grow = |byte_count| share.grow(byte_count);
        let collected = body.collect_while(max_bytes, timeout_ms, may_grow).await;
        let (bytes, end) = match collected {
            Ok(CollectedBody { bytes, end }) => (bytes, end),
            Err(BodyError::Broken) => (Bytes::new(), BodyEnd::Broken),
            Err(error) => return Err(error),
        };
        followed.follow(&bytes);
        Ok((share.bind(bytes), followed.judge(end)))
    }

    /// Follows a part, or judges the end.
    fn take(&mut self, part: BodyPart) -> WorkerPart {
        match part {
            BodyPart::Data(bytes) => {
                self.followed.follow(&bytes);
                if self.followed.is_too_large() {
                    return WorkerPart::End(
                        self.followed
                            .end(BodyEnd::Broken, Err(BreakReason::TooLarge)),
                    );
                }
                WorkerPart::Data(bytes)
            }
            BodyPart::End(end) => WorkerPart::End(self.followed.judge(end)),
        }
    }
}

impl FollowedBody {
    /// Follows the next bytes.
    fn follow(&mut self, bytes: &[u8]) {
        let event_count = self.event_count();
        self.byte_count += bytes.len() as u64;
        self.content.follow(bytes);
        if self.event_count() > event_count {
            self.event_end_bytes = self.byte_count;
        }
    }

    /// Returns the number of whole events, if the body is a stream of events.
    fn event_count(&self) -> Option<u64> {
        match &self.content {
            Content::Events(border) => Some(border.event_count()),
            Content::Json(_) | Content::Opaque => None,
        }
    }

    /// Whether the body is a stream that exceeds its limits.
    fn is_too_large(&self) -> bool {
        let Some(limits) = self.stream_limits else {
            return false;
        };
        let since_event_bytes = self.byte_count - self.event_end_bytes;
        let lacks_event = self.event_count().is_some() && since_event_bytes > EVENT_MAX_BYTES;
        lacks_event || self.byte_count > limits.max_bytes
    }

    /// Whether the body is a stream that ends before its first event.
    fn lacks_event(&self, border: &EventBorder) -> bool {
        self.stream_limits.is_some() && border.event_count() == 0 && !border.is_inside_event()
    }

    /// Decides what the end of the body means.
    fn judge(&self, end: BodyEnd) -> JudgedEnd {
        let result = match (end, &self.content) {
            (BodyEnd::Broken, _) => Err(BreakReason::ConnectionBroke),
            (BodyEnd::Closed, Content::Events(border)) if self.lacks_event(border) => {
                Err(BreakReason::NoEvent)
            }
            (_, content) if !content.is_cut_off() => Ok(()),
            (_, Content::Events(_)) => Err(BreakReason::InsideEvent),
            (_, Content::Json(_) | Content::Opaque) => Err(BreakReason::InsideJson),
        };
        self.end(end, result)
    }

    /// Returns the end with what was received until then.
    fn end(&self, end: BodyEnd, result: Result<(), BreakReason>) -> JudgedEnd {
        let received = Received {
            media_type: self.media_type.clone(),
            byte_count: self.byte_count,
            event_count: self.event_count(),
        };
        JudgedEnd {
            end,
            result,
            received,
        }
    }
}
