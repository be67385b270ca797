//! Calls of models: the usual completions protocol.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;

use super::AnswerBody;
use super::Caller;
use super::error_answer::Refusal;
use super::exchange;
use super::job::AnswerForm;
use super::job::Job;
use super::job::JobBody;
use cranereach_core::codes::ResultCode;
use cranereach_core::membership::rendezvous_weight;
use cranereach_core::names::TargetName;
use cranereach_http::body;
use cranereach_http::body::BodyError;
use cranereach_wire::upstream::PRIORITY_HEADER;
use cranereach_wire::upstream::REQUEST_HEADER;

/// Tokens expected of a request that names no limit.
const DEFAULT_TOKENS: u32 = 256;

/// Characters per token, for estimates.
const CHARS_PER_TOKEN: f64 = 4.0;

/// Characters at the start of a prompt that make its prefix.
const PREFIX_CHARS: usize = 64;

/// What is read of a request; the rest is passed on untouched.
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

/// Answers a call of a model.
pub(crate) async fn answer(
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let path = request.uri().path().to_owned();
    let limits = caller.shared.settings.limits;
    let collected = body::collect(
        request.into_body(),
        limits.body_max_bytes,
        limits.body_within_ms,
    )
    .await;
    let bytes = collected.map_err(|error| Refusal::of(body_code(error)))?;
    let mut job = job(&caller, path, bytes)?;
    exchange::run(&caller, &mut job).await
}

/// Returns the code of a body that could not be read.
pub(crate) fn body_code(error: BodyError) -> ResultCode {
    match error {
        BodyError::TooLarge => ResultCode::BodyTooLarge,
        BodyError::TooSlow => ResultCode::RequestTooSlow,
        BodyError::Broken => ResultCode::BadRequest,
    }
}

/// Makes the job of a call.
fn job(caller: &Caller, path: String, bytes: Bytes) -> Result<Job, Refusal> {
    let completion: Completion<'_> = serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::of(ResultCode::BadRequest).with_detail(error.to_string()))?;
    let target = TargetName::from(completion.model.as_str());
    if !caller.may_use_model(&target) {
        // The same answer for a model of another account as for none at all.
        let allowed: Vec<&str> = caller
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
        .unwrap_or(DEFAULT_TOKENS);
    let prompt = completion
        .messages
        .or(completion.prompt)
        .map_or("", serde_json::value::RawValue::get);
    let cost_tokens = prompt.len() as f64 / CHARS_PER_TOKEN + f64::from(max_tokens);
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    Ok(Job {
        form: if completion.stream {
            AnswerForm::Events
        } else {
            AnswerForm::Object
        },
        repeat: caller.grant.repeat,
        end_by_ms: caller.shared.now_ms() + caller.grant.whole_answer_ms,
        cost_tokens,
        prefix_hash: rendezvous_weight(&prefix, target.as_str()),
        method: hyper::Method::POST,
        path,
        headers: headers(caller),
        body: JobBody::Kept(bytes),
        target,
    })
}

/// Makes the headers that an engine gets.
fn headers(caller: &Caller) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        PRIORITY_HEADER,
        HeaderValue::from(caller.grant.class.index()),
    );
    if let Ok(name) = HeaderValue::from_str(&caller.request_name) {
        headers.insert(REQUEST_HEADER, name);
    }
    headers
}
