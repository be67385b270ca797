//! One request, ready to be sent to an upstream.

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

/// Which form of answer is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    /// Server-sent events that end with `[DONE]`.
    EventStream,
    /// One JSON object.
    JsonObject,
    /// Whatever a plain service answers.
    Plain,
}

/// Body of a job.
#[derive(Debug)]
pub(crate) enum JobBody {
    /// Kept, so that it can be sent again.
    Buffered(Bytes),
    /// To be passed on as it arrives; none once it is gone.
    Streamed(Option<Incoming>),
}

/// One request, ready to be sent.
#[derive(Debug)]
pub(crate) struct Job {
    /// What it asks for.
    pub(crate) target: TargetName,
    /// Which form of answer is expected.
    pub(crate) kind: BodyKind,
    /// Whether it may run twice.
    pub(crate) repeat: Repeatable,
    /// When the whole answer is due.
    pub(crate) deadline_ms: u64,
    /// Expected cost, in tokens.
    pub(crate) cost_tokens: f64,
    /// Hash of the start of its prompt; zero for none.
    pub(crate) prefix_hash: u64,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers that go to the upstream.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: JobBody,
}

/// Headers that belong to one connection, or to us alone.
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

/// Copies the headers that pass from one side to the other.
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
    /// Returns the request's entry for the dispatcher.
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

    /// Builds the request for an upstream; none if the body is gone.
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

    /// Takes the body of a request back that was not sent.
    pub(crate) fn restore_body(&mut self, request: Request<UpstreamRequestBody>) {
        if let (JobBody::Streamed(slot), UpstreamRequestBody::Streamed(incoming)) =
            (&mut self.body, request.into_body())
        {
            *slot = Some(incoming);
        }
    }

    /// Whether the request can be sent once more.
    pub(crate) fn can_resend(&self) -> bool {
        !matches!(self.body, JobBody::Streamed(None))
    }
}
