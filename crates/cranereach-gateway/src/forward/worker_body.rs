//! Body of a worker's response, and what its end means for the caller.
//!
//! A stream of events that ends inside an event has been broken off, however its end is marked. If
//! the connection ends it, so has a stream without any event, and a JSON text that isn't whole.
//! Any other body whose end is not declared is complete as far as can be seen: a worker that closes
//! its connection in order does so after the last byte, or because its process ends.

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
use cranereach_http::content::Content;
use cranereach_http::event_border::EventBorder;

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
}

impl BreakReason {
    /// Returns the name used in metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "connection_broke",
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
            Self::InsideJson => "inside_json",
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
    /// Whether the caller asked for a stream of events.
    is_stream: bool,
    content: Content,
}

impl WorkerBody {
    /// Creates the body of a response with these headers. `is_stream` says whether the caller asked
    /// for a stream of events; then the body is one also if its head names no media type.
    pub(super) fn new(body: ResponseBody, headers: &HeaderMap, is_stream: bool) -> Self {
        let followed = FollowedBody {
            media_type: headers.get(CONTENT_TYPE).cloned(),
            byte_count: 0,
            is_stream,
            content: Content::of_response(&body, headers, is_stream),
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

    /// Reads the whole body. One that is broken has no bytes.
    pub(super) async fn collect(
        self,
        max_bytes: usize,
        timeout_ms: u64,
    ) -> Result<(Bytes, JudgedEnd), BodyError> {
        let Self { body, mut followed } = self;
        let (bytes, end) = match body.collect(max_bytes, timeout_ms).await {
            Ok(CollectedBody { bytes, end }) => (bytes, end),
            Err(BodyError::Broken) => (Bytes::new(), BodyEnd::Broken),
            Err(error @ (BodyError::TooLarge | BodyError::TooSlow)) => return Err(error),
        };
        followed.follow(&bytes);
        Ok((bytes, followed.judge(end)))
    }

    /// Follows a part, or judges the end.
    fn take(&mut self, part: BodyPart) -> WorkerPart {
        match part {
            BodyPart::Data(bytes) => {
                self.followed.follow(&bytes);
                WorkerPart::Data(bytes)
            }
            BodyPart::End(end) => WorkerPart::End(self.followed.judge(end)),
        }
    }
}

impl FollowedBody {
    /// Follows the next bytes.
    fn follow(&mut self, bytes: &[u8]) {
        self.byte_count += bytes.len() as u64;
        self.content.follow(bytes);
    }

    /// Whether the body is a stream that ends before its first event.
    fn lacks_event(&self, border: &EventBorder) -> bool {
        self.is_stream && border.event_count() == 0 && !border.is_inside_event()
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
        let event_count = match &self.content {
            Content::Events(border) => Some(border.event_count()),
            Content::Json(_) | Content::Opaque => None,
        };
        let received = Received {
            media_type: self.media_type.clone(),
            byte_count: self.byte_count,
            event_count,
        };
        JudgedEnd {
            end,
            result,
            received,
        }
    }
}
