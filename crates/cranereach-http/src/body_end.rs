//! Bodies of responses, and how they end.
//!
//! A body whose head declares a length, or that comes in chunks, says itself where it ends. Any
//! other body ends with its connection, which also closes when the process of the upstream ends.
//! That such a body was read without an error does not show that it is complete.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::Response;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::TRANSFER_ENCODING;

use crate::body::BodyError;

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The declared length or the last chunk was reached.
    Declared,
    /// The connection was closed in order, and nothing else marks the end. The body may be
    /// incomplete.
    Closed,
    /// The connection failed, or closed before the declared end. The body is incomplete.
    Broken,
}

impl BodyEnd {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Closed => "closed",
            Self::Broken => "broken",
        }
    }
}

/// Next part of a body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes.
    Data(Bytes),
    /// The body has ended.
    End(BodyEnd),
}

/// Body that was read to an end without an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CollectedBody {
    /// Bytes of the body.
    pub bytes: Bytes,
    /// How it ended; never [`BodyEnd::Broken`].
    pub end: BodyEnd,
}

/// Body of a response. It is not a [`Body`], so that its end can't be taken for its completeness.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    declares_end: bool,
}

impl ResponseBody {
    /// Replaces the body of a response.
    pub fn wrap(response: Response<Incoming>) -> Response<Self> {
        let comes_in_chunks =
            response.version() > Version::HTTP_10 && ends_in_chunked(response.headers());
        response.map(|incoming| Self {
            declares_end: incoming.size_hint().exact().is_some() || comes_in_chunks,
            incoming,
        })
    }

    /// Whether the body says itself where it ends.
    pub fn declares_end(&self) -> bool {
        self.declares_end
    }

    /// Whether the body is known to have ended as declared.
    pub fn has_reached_declared_end(&self) -> bool {
        self.declares_end && self.incoming.is_end_stream()
    }

    /// Returns what is known about the length of the rest.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }

    /// Polls for the next part. Trailers are dropped: who passed them on would end the body before
    /// its end has been judged.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<BodyPart> {
        loop {
            let polled = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
            return Poll::Ready(match polled {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => BodyPart::Data(bytes),
                    Err(_trailers) => continue,
                },
                Some(Err(_error)) => BodyPart::End(BodyEnd::Broken),
                None if self.declares_end => BodyPart::End(BodyEnd::Declared),
                None => BodyPart::End(BodyEnd::Closed),
            });
        }
    }

    /// Waits for the next part.
    pub async fn next_part(&mut self) -> BodyPart {
        poll_fn(|cx| self.poll_part(cx)).await
    }

    /// Reads the whole body of at most `max_bytes` within `timeout_ms`.
    pub async fn collect(
        self,
        max_bytes: usize,
        timeout_ms: u64,
    ) -> Result<CollectedBody, BodyError> {
        self.collect_while(max_bytes, timeout_ms, |_byte_count| true)
            .await
    }

    /// Reads the whole body of at most `max_bytes` within `timeout_ms`, as long as `may_grow`
    /// allows it to grow by a number of bytes.
    pub async fn collect_while(
        self,
        max_bytes: usize,
        timeout_ms: u64,
        may_grow: impl FnMut(usize) -> bool,
    ) -> Result<CollectedBody, BodyError> {
        let collecting = self.collect_within(max_bytes, may_grow);
        tokio::time::timeout(Duration::from_millis(timeout_ms), collecting)
            .await
            .map_err(|_elapsed| BodyError::TooSlow)?
    }

    /// Reads the whole body of at most `max_bytes`.
    async fn collect_within(
        mut self,
        max_bytes: usize,
        mut may_grow: impl FnMut(usize) -> bool,
    ) -> Result<CollectedBody, BodyError> {
        let mut first = Bytes::new();
        let mut collected = BytesMut::new();
        loop {
            let bytes = match self.next_part().await {
                BodyPart::Data(bytes) => bytes,
                BodyPart::End(BodyEnd::Broken) => return Err(BodyError::Broken),
                BodyPart::End(end) => {
                    let bytes = if collected.is_empty() {
                        first
                    } else {
                        collected.freeze()
                    };
                    return Ok(CollectedBody { bytes, end });
                }
            };
            if first.len().max(collected.len()) + bytes.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            if !may_grow(bytes.len()) {
                return Err(BodyError::NoMemory);
            }
            if first.is_empty() {
                // Most bodies come in one part, which is passed on without a copy.
                first = bytes;
                continue;
            }
            if collected.is_empty() {
                collected.extend_from_slice(&first);
            }
            collected.extend_from_slice(&bytes);
        }
    }
}

/// Whether the last of the encodings of a transfer is that in chunks.
fn ends_in_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok());
    last.and_then(|encodings| encodings.rsplit(',').next())
        .is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}
