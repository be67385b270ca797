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

use super::passing::Passing;
use crate::shared::InFlight;

/// The answer broke off; the connection ends so that nobody takes it as whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// Body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    kind: Kind,
    in_flight: Option<InFlight>,
}

/// Where the bytes come from.
#[derive(Debug)]
enum Kind {
    Whole(Full<Bytes>),
    Passing(Box<Passing>),
}

impl AnswerBody {
    /// Makes a whole body.
    pub(crate) fn whole(body: Full<Bytes>) -> Self {
        Self {
            kind: Kind::Whole(body),
            in_flight: None,
        }
    }

    /// Makes a body that passes an upstream's answer on.
    pub(crate) fn passing(passing: Passing) -> Self {
        Self {
            kind: Kind::Passing(Box::new(passing)),
            in_flight: None,
        }
    }

    /// Counts the request as in flight until the body has ended.
    pub(crate) fn with_guard(mut self, in_flight: InFlight) -> Self {
        self.in_flight = Some(in_flight);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.get_mut().kind {
            Kind::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Passing(passing) => passing.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(body) => body.is_end_stream(),
            Kind::Passing(passing) => passing.is_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(body) => body.size_hint(),
            Kind::Passing(passing) => passing.size_hint(),
        }
    }
}
