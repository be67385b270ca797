//! Bodies of responses, which may fail before they are complete.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::reset::ResetSignal;
use crate::intake::OpenRequest;

/// Body of a response. If it fails, its connection first sends what came before, and is then reset
/// if the caller would not see the failure otherwise.
pub(super) struct ResponseBody<B: Body> {
    body: B,
    /// Set once the body has failed.
    failure: Option<B::Error>,
    signal: Option<ResetSignal>,
    /// Counts the request as open until the body is dropped.
    _open: Option<OpenRequest>,
}

impl<B: Body> ResponseBody<B> {
    /// Wraps the body of a response to a request of an HTTP version.
    pub(super) fn new(
        body: B,
        version: Version,
        signal: &ResetSignal,
        open: Option<OpenRequest>,
    ) -> Self {
        let ends_with_connection = version < Version::HTTP_11;
        Self {
            body,
            failure: None,
            signal: ends_with_connection.then(|| signal.clone()),
            _open: open,
        }
    }
}

impl<B> Body for ResponseBody<B>
where
    B: Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let this = self.get_mut();
        if let Some(failure) = this.failure.take() {
            if let Some(signal) = &this.signal {
                signal.set();
            }
            return Poll::Ready(Some(Err(failure)));
        }
        match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
            Some(Err(failure)) => {
                // A failure discards what is buffered. The connection flushes it when the body is
                // pending.
                this.failure = Some(failure);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => Poll::Ready(polled),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
