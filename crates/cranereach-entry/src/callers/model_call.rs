//! Model calls in the completions and chat completions protocol.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;

use super::RequestContext;
use super::ResponseBody;
use super::error_response::Refusal;
use super::exchange;
use super::job::BodyKind;
use super::job::Job;
use super::job::JobBody;
use cranereach_core::codes::ResultCode;
use cranereach_core::membership::rendezvous_weight;
use cranereach_core::names::TargetName;
use cranereach_http::body;
use cranereach_http::body::BodyError;
use cranereach_wire::upstream::PRIORITY_HEADER;
use cranereach_wire::upstream::REQUEST_HEADER;

/// Output tokens assumed for a request that sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Bytes of prompt JSON per token, for cost estimates.
const PROMPT_BYTES_PER_TOKEN: f64 = 4.0;

/// Number of characters at the start of a prompt that are hashed as its prefix.
const PREFIX_CHARS: usize = 64;

/// Fields that are read from the request body; the body itself is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct Completion<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    prompt: Option<&'a serde_json::value::RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a serde_json::value::RawValue>,
}

/// Handles a model call.
pub(crate) async fn handle(
    context: RequestContext,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let path = request.uri().path().to_owned();
    let limits = context.shared.settings.limits;
    let collected = body::collect(
        request.into_body(),
        limits.body_max_bytes,
        limits.body_within_ms,
    )
    .await;
    let bytes = collected.map_err(|error| Refusal::of(body_error_code(error)))?;
    let mut job = build_job(&context, path, bytes)?;
    exchange::run(&context, &mut job).await
}

/// Returns the result code for a request body that could not be read.
pub(crate) fn body_error_code(error: BodyError) -> ResultCode {
    match error {
        BodyError::TooLarge | BodyError::NoMemory => ResultCode::BodyTooLarge,
        BodyError::TooSlow => ResultCode::RequestTooSlow,
        BodyError::Broken => ResultCode::BadRequest,
    }
}

/// Builds the job of a model call.
fn build_job(context: &RequestContext, path: String, bytes: Bytes) -> Result<Job, Refusal> {
    let completion: Completion<'_> = serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::of(ResultCode::BadRequest).with_detail(error.to_string()))?;
    let target = TargetName::from(completion.model.as_str());
    if !context.may_use_model(&target) {
        // The error is the same whether the model belongs to another account or does not exist.
        let allowed: Vec<&str> = context
            .grant
            .targets
            .iter()
            .map(TargetName::as_str)
            .collect();
        let detail = format!("This account may use: {}.", allowed.join(", "));
        return Err(Refusal::of(ResultCode::UnknownTarget).with_detail(detail));
    }
    let max_tokens = completion
        .max_completion_tokens
        .or(completion.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    let prompt = completion
        .messages
        .or(completion.prompt)
        .map_or("", serde_json::value::RawValue::get);
    let cost_tokens = prompt.len() as f64 / PROMPT_BYTES_PER_TOKEN + f64::from(max_tokens);
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    Ok(Job {
        kind: if completion.stream {
            BodyKind::EventStream
        } else {
            BodyKind::JsonObject
        },
        repeat: context.grant.repeat,
        deadline_ms: context.shared.now_ms() + context.grant.whole_answer_ms,
        cost_tokens,
        prefix_hash: rendezvous_weight(&prefix, target.as_str()),
        method: hyper::Method::POST,
        path,
        headers: engine_headers(context),
        body: JobBody::Buffered(bytes),
        target,
    })
}

/// Builds the headers sent to an engine.
fn engine_headers(context: &RequestContext) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        PRIORITY_HEADER,
        HeaderValue::from(context.grant.class.index()),
    );
    if let Ok(name) = HeaderValue::from_str(&context.request_name) {
        headers.insert(REQUEST_HEADER, name);
    }
    headers
}
