//! A caller's request, parsed from its head and body.

use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use super::authentication;
use super::continuation::Continuation;
use super::forwarded_headers::forwarded_headers;
use super::refusal::Refusal;
use super::worker_body::StreamLimits;
use crate::node::Node;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::accounts::Account;
use cranereach_fleet::accounts::LimitUnit;
use cranereach_fleet::configuration::Route;
use cranereach_fleet::configuration::RouteKind;
use cranereach_fleet::configuration::Service;
use cranereach_fleet::fingerprint::Content;
use cranereach_fleet::fingerprint::Fingerprint;
use cranereach_fleet::prefixes;
use cranereach_fleet::prefixes::PromptPart;
use cranereach_fleet::quarantine::SuspectKey;
use cranereach_fleet::regions::AllowedRegions;
use cranereach_http::body;
use cranereach_http::body::BodyError;

/// Model that a request names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestedModel {
    /// Name of the model.
    pub name: String,
    /// Name of the adapter, without the model's name.
    pub adapter: Option<String>,
}

/// Request that may be sent to workers.
#[derive(Debug)]
pub struct Call {
    /// Identity of the request, as given by the caller.
    pub id: String,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that the request is routed to.
    pub service: Arc<Service>,
    /// When the request was received, in milliseconds.
    pub received_ms: u64,
    /// Deadline of the final response, in milliseconds.
    pub deadline_at_ms: u64,
    /// Client account of the caller; `None` if no key is needed.
    pub account: Option<Arc<Account>>,
    /// Whether the call begins a stream or continues one.
    pub continuation: Continuation,
    /// Label of the account in metrics; empty if there is no account.
    pub account_label: String,
    /// Cost of the request, in units of the account's limit.
    pub cost: f64,
    /// Rank of urgency, zero for the most urgent: that of the account if it has one, else that of
    /// the route.
    pub rank: u8,
    /// Shortest latency target of more urgent routes of the service, in milliseconds.
    pub urgent_latency_target_ms: Option<u64>,
    /// Regions in which the request may be served.
    pub regions: AllowedRegions,
    /// Model, if the service has models.
    pub model: Option<RequestedModel>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the prompt and the longest response.
    pub held_tokens: u32,
    /// Number of output tokens that the caller expects, at most that of the longest response.
    pub answer_tokens: u32,
    /// Shortest target for the gaps in streams of the service, in milliseconds.
    pub gap_aim_ms: Option<u64>,
    /// Parts of the prompt, used to find workers with a matching prefix cache.
    pub parts: Vec<PromptPart>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    pub(super) body: Bytes,
    fingerprints: Fingerprints,
}

/// Fingerprints of a request, computed on first use.
#[derive(Debug, Default)]
struct Fingerprints {
    /// Of the whole content.
    content: OnceLock<Fingerprint>,
    /// Of the parts of the prompt.
    parts: OnceLock<Vec<Fingerprint>>,
}

impl Call {
    /// Reads a request with its whole body, and finds its route.
    pub async fn read(
        node: &Node,
        request: Request<Incoming>,
        received_ms: u64,
    ) -> Result<Self, Refusal> {
        let names = &node.adapter.headers;
        let text = |name: &str| request.headers().get(name)?.to_str().ok();
        let id = text(names.request_id).unwrap_or_default().to_owned();
        let configuration = node
            .configuration()
            .ok_or_else(|| Refusal::new(ResultCode::ConfigUnknown, &id))?;
        let host = request
            .uri()
            .host()
            .or_else(|| text("host"))
            .unwrap_or_default();
        let route = configuration.route(host, request.uri().path());
        let route = Arc::clone(route.ok_or_else(|| Refusal::new(ResultCode::NoSuchPath, &id))?);
        let account =
            authentication::authenticate(node, &configuration, &route, request.headers()).await;
        let refuse = |code: ResultCode, detail: &str| {
            let mut refusal = Refusal::new(code, &id).with_detail(detail);
            refusal.route = Some(Arc::clone(&route.name));
            refusal
        };
        if id.is_empty() {
            return Err(refuse(ResultCode::BadRequest, "missing request identity"));
        }
        let account =
            account.map_err(|code| refuse(code, &authentication::rejection_context(node)))?;
        let continuation = Continuation::read(&route, request.headers(), names)
            .map_err(|detail| refuse(ResultCode::BadRequest, detail))?;
        let cost = cost(account.as_deref(), text(names.tokens))
            .map_err(|detail| refuse(ResultCode::BadRequest, detail))?;
        let label = account
            .as_ref()
            .map(|account| configuration.accounts.label(account));
        let account_label = label.unwrap_or_default().to_owned();
        let account_rank = account.as_ref().and_then(|account| account.rank);
        let service = route
            .target(rand::random())
            .and_then(|target| configuration.services.get(target))
            .cloned()
            .ok_or_else(|| {
                refuse(
                    ResultCode::NoUpstream,
                    "no configured service for the route",
                )
            })?;
        let allowed_ms = text(names.deadline_ms).and_then(|text| text.trim().parse::<f64>().ok());
        let allowed_ms = allowed_ms.map_or(route.timeout_ms, |given_ms| given_ms.max(0.0) as u64);
        let deadline_at_ms = received_ms + allowed_ms.min(route.timeout_ms);
        let model = text(names.model).map(parse_model);
        let model = model.filter(|_| service.engine.is_some());
        let (prompt_tokens, answer_max_tokens) =
            text(names.tokens).map_or((0, 0), parse_token_counts);
        let hinted = text(names.expected_tokens).and_then(parse_expected_tokens);
        let answer_tokens =
            hinted.map_or(answer_max_tokens, |hinted| hinted.min(answer_max_tokens));
        let parts = match (&model, text(names.prompt_parts)) {
            (Some(_), Some(listed)) => {
                parse_prompt_parts(text(names.model).unwrap_or_default(), listed)
            }
            _ => Vec::new(),
        };
        let route_rank = route.priority;
        let regions = match &account {
            Some(account) => route.regions.common(&account.regions),
            None => route.regions.clone(),
        };
        let urgent_latency_target_ms =
            configuration.urgent_latency_target_ms(&service.name, route_rank);
        let gap_aim_ms = configuration.gap_aim_ms(&service.name);
        let (head, incoming) = request.into_parts();
        let remaining_ms = deadline_at_ms.saturating_sub(node.now_ms());
        let collected = body::collect(incoming, configuration.limits.body_max_bytes, remaining_ms);
        let body = collected.await;
        let body = body.map_err(|error| refuse(body_error_code(error), "body"))?;
        Ok(Self {
            id,
            route,
            service,
            received_ms,
            deadline_at_ms,
            rank: account_rank.unwrap_or(route_rank),
            account,
            continuation,
            account_label,
            cost,
            urgent_latency_target_ms,
            regions,
            model,
            prompt_tokens,
            held_tokens: prompt_tokens.saturating_add(answer_max_tokens),
            answer_tokens,
            gap_aim_ms,
            parts,
            method: head.method,
            uri: head.uri,
            headers: forwarded_headers(&head.headers, names.reserved),
            body,
            fingerprints: Fingerprints::default(),
        })
    }

    /// Returns the headers that are passed on.
    pub(super) fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the size of the body, in bytes.
    pub fn body_bytes(&self) -> u32 {
        u32::try_from(self.body.len()).unwrap_or(u32::MAX)
    }

    /// Returns the key by which repeated requests are recognized.
    pub fn suspect_key(&self, node: &Node) -> SuspectKey {
        SuspectKey::request(self.body_bytes(), self.fingerprint(node))
    }

    /// Returns the fingerprint of the request's content, which is equal for equal requests.
    pub fn fingerprint(&self, node: &Node) -> Fingerprint {
        *self.fingerprints.content.get_or_init(|| {
            let names = &node.adapter.headers;
            let header = |name: &str| self.header(name);
            let content = Content {
                account: self.account.as_ref().map(|account| account.name.as_ref()),
                method: self.method.as_str(),
                host: header(HOST.as_str()),
                target: self.uri.path_and_query().map_or("/", |path| path.as_str()),
                model: header(names.model),
                prompt_parts: header(names.prompt_parts),
                body: &self.body,
            };
            content.fingerprint(&node.fingerprint_key)
        })
    }

    /// Returns the fingerprints of the parts of the prompt, each by its id alone.
    pub fn part_fingerprints(&self, node: &Node) -> &[Fingerprint] {
        self.fingerprints.parts.get_or_init(|| {
            let listed = self.header(node.adapter.headers.prompt_parts);
            node.fingerprint_key.parts(listed)
        })
    }

    /// Returns the value of a header that is passed on; empty if there is none.
    fn header(&self, name: &str) -> &[u8] {
        self.headers
            .get(name)
            .map_or(&[][..], HeaderValue::as_bytes)
    }

    /// Makes the request to one worker.
    pub fn to_worker(
        &self,
        node: &Node,
        worker: &str,
        last_event: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let names = &node.adapter.headers;
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))
            .ok()?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let remaining_ms = self.deadline_at_ms.saturating_sub(node.now_ms()).max(1);
        headers.insert(
            HeaderName::from_static(names.deadline_ms),
            HeaderValue::from(remaining_ms),
        );
        headers.insert(
            HeaderName::from_static(names.expected_worker),
            HeaderValue::from_str(worker).ok()?,
        );
        if self.service.engine.is_some() {
            headers.insert(
                HeaderName::from_static(names.priority),
                HeaderValue::from(u16::from(self.rank.min(9))),
            );
        }
        if let Some(account) = &self.account {
            headers.insert(
                HeaderName::from_static(names.account),
                HeaderValue::from_str(&account.name).ok()?,
            );
        }
        if let Some(last_event) = last_event {
            headers.insert(
                HeaderName::from_static(names.last_event),
                HeaderValue::from_str(last_event).ok()?,
            );
        }
        Some(request)
    }

    /// Returns how large the stream of the call may become.
    pub(super) fn stream_limits(&self) -> StreamLimits {
        StreamLimits::for_tokens(self.held_tokens.saturating_sub(self.prompt_tokens))
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// Returns the requested model and adapter.
    pub fn model(&self) -> Option<(&str, Option<&str>)> {
        let model = self.model.as_ref()?;
        Some((model.name.as_str(), model.adapter.as_deref()))
    }
}

/// Returns the result code of a request whose body can't be read.
fn body_error_code(error: BodyError) -> ResultCode {
    match error {
        BodyError::TooLarge | BodyError::NoMemory => ResultCode::BodyTooLarge,
        BodyError::TooSlow => ResultCode::RequestTooSlow,
        BodyError::Broken => ResultCode::CallerLeft,
    }
}

/// Splits the name of a model from that of its adapter.
fn parse_model(text: &str) -> RequestedModel {
    let (name, adapter) = match text.trim().split_once('/') {
        Some((name, adapter)) => (name, Some(adapter.to_owned())),
        None => (text.trim(), None),
    };
    RequestedModel {
        name: name.to_owned(),
        adapter,
    }
}

/// Returns the cost of a request with the given token counts for its account's limit. Returns an
/// error if the limit depends on token counts that are not valid numbers.
fn cost(account: Option<&Account>, listed_counts: Option<&str>) -> Result<f64, &'static str> {
    let Some(account) = account.filter(|account| account.limit.is_some()) else {
        return Ok(0.0);
    };
    let listed_counts = listed_counts.filter(|_| account.unit != LimitUnit::Requests);
    let Some(listed_counts) = listed_counts else {
        return Ok(account.cost(None));
    };
    let mut sum = 0_u64;
    for count in listed_counts.split(',') {
        let count: Result<u64, _> = count.trim().parse();
        let Ok(count) = count else {
            return Err("invalid token counts");
        };
        sum = sum.saturating_add(count);
    }
    Ok(account.cost(Some(sum)))
}

/// Parses the token counts of the prompt and the longest response.
fn parse_token_counts(text: &str) -> (u32, u32) {
    let mut counts = text
        .split(',')
        .map(|count| count.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

/// Parses the number of output tokens that the caller expects; `None` if it is not a positive
/// number.
fn parse_expected_tokens(text: &str) -> Option<u32> {
    let expected: f64 = text.trim().parse().ok()?;
    (expected.is_finite() && expected > 0.0).then_some(expected as u32)
}

/// Parses the parts of a prompt, each in the form `ID:TOKENS`.
fn parse_prompt_parts(model: &str, text: &str) -> Vec<PromptPart> {
    let parts: Vec<(&str, u32)> = text
        .split(',')
        .filter_map(|part| part.trim().split_once(':'))
        .map(|(id, tokens)| (id, tokens.parse().unwrap_or(0)))
        .collect();
    prefixes::hash_parts(model, &parts)
}
