//! Body of an answer to a caller: whole, or passed on as it comes.

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

/// The answer broke off; the connection ends so that nobody takes it as whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct ResponseAborted;

/// Body of an answer.
#[derive(Debug)]
pub struct ResponseBody {
    kind: Kind,
    in_flight: Option<InFlight>,
}

/// Where the bytes come from.
#[derive(Debug)]
enum Kind {
    Buffered(Full<Bytes>),
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    /// Makes a whole body.
    pub(crate) fn buffered(body: Full<Bytes>) -> Self {
        Self {
            kind: Kind::Buffered(body),
            in_flight: None,
        }
    }

    /// Makes a body that passes an upstream's answer on.
    pub(crate) fn streamed(streamed: StreamedResponse) -> Self {
        Self {
            kind: Kind::Streamed(Box::new(streamed)),
            in_flight: None,
        }
    }

    /// Counts the request as in flight until the body has ended.
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
