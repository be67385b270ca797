//! Body of a response to a caller: buffered, or streamed from an upstream.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;

use super::streamed_response::StreamedResponse;
use crate::shared::InFlight;

/// The response is incomplete; the connection is closed so that no caller takes it as complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("response aborted before it was complete")]
pub struct ResponseAborted;

/// Body of a response to a caller.
#[derive(Debug)]
pub struct ResponseBody {
    kind: Kind,
    in_flight: Option<InFlight>,
}

/// Source of the body.
#[derive(Debug)]
enum Kind {
    Buffered(Full<Bytes>),
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    /// Creates a body from buffered bytes.
    pub(crate) fn buffered(body: Full<Bytes>) -> Self {
        Self {
            kind: Kind::Buffered(body),
            in_flight: None,
        }
    }

    /// Creates a body that forwards an upstream's response.
    pub(crate) fn streamed(streamed: StreamedResponse) -> Self {
        Self {
            kind: Kind::Streamed(Box::new(streamed)),
            in_flight: None,
        }
    }

    /// Attaches the guard that counts the request as in flight until the body is dropped.
    pub(crate) fn with_in_flight_guard(mut self, in_flight: InFlight) -> Self {
        self.in_flight = Some(in_flight);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut self.get_mut().kind {
            Kind::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Streamed(streamed) => streamed.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Buffered(body) => body.is_end_stream(),
            Kind::Streamed(streamed) => streamed.is_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Buffered(body) => body.size_hint(),
            Kind::Streamed(streamed) => streamed.size_hint(),
        }
    }
}
