//! A caller's request in the form in which it is sent to an upstream.

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use super::RequestContext;
use crate::upstream::UpstreamRequestBody;
use cranereach_core::declarations::Repeatable;
use cranereach_core::dispatch::queues::Waiting;
use cranereach_core::names::TargetName;

/// Kind of response body that is expected from the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    /// Server-sent events that end with `[DONE]`.
    EventStream,
    /// One JSON object.
    JsonObject,
    /// Any body, from a plain service.
    Plain,
}

/// Request body of a job.
#[derive(Debug)]
pub(crate) enum JobBody {
    /// Buffered, so that it can be sent again.
    Buffered(Bytes),
    /// Streamed from the caller as it arrives; `None` once it has been sent.
    Streamed(Option<Incoming>),
}

/// A request to be sent to an upstream, possibly more than once.
#[derive(Debug)]
pub(crate) struct Job {
    /// Requested model or plain pool.
    pub(crate) target: TargetName,
    /// Kind of response body that is expected.
    pub(crate) kind: BodyKind,
    /// Whether the request may run more than once.
    pub(crate) repeat: Repeatable,
    /// Deadline of the whole response, in milliseconds on the process clock.
    pub(crate) deadline_ms: u64,
    /// Estimated cost, in tokens.
    pub(crate) cost_tokens: f64,
    /// Hash of the start of the prompt, used for routing by prefix; zero for plain calls.
    pub(crate) prefix_hash: u64,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers sent to the upstream.
    pub(crate) headers: HeaderMap,
    /// Request body.
    pub(crate) body: JobBody,
}

/// Headers that are not forwarded: hop-by-hop headers, and those meant for or set by this instance.
const UNFORWARDED_HEADERS: [HeaderName; 11] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
];

/// Copies the headers that are forwarded, without those named in the Connection header.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !UNFORWARDED_HEADERS.contains(name) && !connection_headers.contains(name) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

impl Job {
    /// Returns the queue entry of the request for the dispatcher.
    pub(crate) fn queue_entry(&self, context: &RequestContext, now_ms: u64) -> Waiting {
        let grant = &context.grant;
        Waiting {
            request: context.request_id,
            account: grant.account.clone(),
            share: grant.share,
            queue_count: grant.queue_count,
            target: self.target.clone(),
            class: grant.class,
            arrived_at_ms: now_ms,
            start_by_ms: self.deadline_ms.min(now_ms + grant.first_token_ms),
            cost_tokens: self.cost_tokens,
            prefix_hash: self.prefix_hash,
        }
    }

    /// Builds the HTTP request for an upstream; `None` if a streamed body has already been sent, or
    /// the path or address is invalid.
    pub(crate) fn build_request(&mut self, address: &str) -> Option<Request<UpstreamRequestBody>> {
        let body = match &mut self.body {
            JobBody::Buffered(bytes) => UpstreamRequestBody::Buffered(Full::new(bytes.clone())),
            JobBody::Streamed(incoming) => UpstreamRequestBody::Streamed(incoming.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().ok()?;
        *request.headers_mut() = self.headers.clone();
        request
            .headers_mut()
            .insert(header::HOST, HeaderValue::from_str(address).ok()?);
        Some(request)
    }

    /// Takes the streamed body back from a request that was not sent.
    pub(crate) fn restore_body(&mut self, request: Request<UpstreamRequestBody>) {
        if let (JobBody::Streamed(slot), UpstreamRequestBody::Streamed(incoming)) =
            (&mut self.body, request.into_body())
        {
            *slot = Some(incoming);
        }
    }

    /// Whether the body is still available for another attempt.
    pub(crate) fn can_resend(&self) -> bool {
        !matches!(self.body, JobBody::Streamed(None))
    }
}
