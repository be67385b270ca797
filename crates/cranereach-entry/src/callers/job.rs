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

use super::Caller;
use crate::upstream::SendBody;
use cranereach_core::declarations::Repeatable;
use cranereach_core::dispatch::queues::Waiting;
use cranereach_core::names::TargetName;

/// Which form of answer is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerForm {
    /// Server-sent events that end with `[DONE]`.
    Events,
    /// One JSON object.
    Object,
    /// Whatever a plain service answers.
    Plain,
}

/// Body of a job.
#[derive(Debug)]
pub(crate) enum JobBody {
    /// Kept, so that it can be sent again.
    Kept(Bytes),
    /// To be passed on as it arrives; none once it is gone.
    Passed(Option<Incoming>),
}

/// One request, ready to be sent.
#[derive(Debug)]
pub(crate) struct Job {
    /// What it asks for.
    pub(crate) target: TargetName,
    /// Which form of answer is expected.
    pub(crate) form: AnswerForm,
    /// Whether it may run twice.
    pub(crate) repeat: Repeatable,
    /// When the whole answer is due.
    pub(crate) end_by_ms: u64,
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
const OWN_HEADERS: [HeaderName; 11] = [
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
pub(crate) fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !OWN_HEADERS.contains(name) && !named.contains(name) {
            passed.append(name, value.clone());
        }
    }
    passed
}

impl Job {
    /// Returns the request's entry for the dispatcher.
    pub(crate) fn waiting(&self, caller: &Caller, now_ms: u64) -> Waiting {
        let grant = &caller.grant;
        Waiting {
            request: caller.request,
            account: grant.account.clone(),
            share: grant.share,
            queue_count: grant.queue_count,
            target: self.target.clone(),
            class: grant.class,
            arrived_at_ms: now_ms,
            start_by_ms: self.end_by_ms.min(now_ms + grant.first_token_ms),
            cost_tokens: self.cost_tokens,
            prefix_hash: self.prefix_hash,
        }
    }

    /// Builds the request for an upstream; none if the body is gone.
    pub(crate) fn request(&mut self, address: &str) -> Option<Request<SendBody>> {
        let body = match &mut self.body {
            JobBody::Kept(bytes) => SendBody::Kept(Full::new(bytes.clone())),
            JobBody::Passed(incoming) => SendBody::Passed(incoming.take()?),
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
    pub(crate) fn take_back(&mut self, request: Request<SendBody>) {
        if let (JobBody::Passed(place), SendBody::Passed(incoming)) =
            (&mut self.body, request.into_body())
        {
            *place = Some(incoming);
        }
    }

    /// Whether the request can be sent once more.
    pub(crate) fn can_send(&self) -> bool {
        !matches!(self.body, JobBody::Passed(None))
    }
}
