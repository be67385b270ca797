//! Calls of plain services: streamed in both directions, and run at most once if unsafe.

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use super::REQUEST_ID_HEADER;
use super::RequestContext;
use super::ResponseBody;
use super::claims;
use super::error_response::Refusal;
use super::exchange;
use super::job::BodyKind;
use super::job::Job;
use super::job::JobBody;
use super::job::forwarded_headers;
use super::model_call::body_error_code;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Pool;
use cranereach_core::declarations::Repeatable;
use cranereach_core::names::TargetName;
use cranereach_http::body;

/// Header with the key that a caller sets on a request and its retries.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Estimated cost of a plain call, in tokens.
const COST_TOKENS: f64 = 32.0;

/// Largest request body that is buffered so that it can be sent again, in bytes.
const BUFFERED_BODY_MAX_BYTES: u64 = 64 * 1024;

/// Handles a call of a plain service.
pub(crate) async fn handle(
    context: RequestContext,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(pool) = context.snapshot.plain_pool(request.uri().path()).cloned() else {
        return Err(Refusal::of(ResultCode::NoSuchPath));
    };
    let target = TargetName::from(pool.name.as_str());
    if !context.grant.targets.contains(&target) {
        return Err(Refusal::of(ResultCode::NoSuchPath));
    }
    let repeat = repeatability(&pool, request.method(), request.uri().path());
    let key = request
        .headers()
        .get(IDEMPOTENCY_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let mut job = build_job(&context, target, repeat, &request);
    let limits = context.shared.settings.limits;
    let incoming = request.into_body();
    if let Some(key) = key.filter(|_| repeat == Repeatable::Unsafe) {
        let collected = body::collect(incoming, limits.body_max_bytes, limits.body_within_ms).await;
        let bytes = collected.map_err(|error| Refusal::of(body_error_code(error)))?;
        job.body = JobBody::Buffered(bytes.clone());
        claims::run(context, job, &key, &bytes).await
    } else {
        job.body = buffer_if_small(incoming, limits.body_within_ms).await?;
        exchange::run(&context, &mut job).await
    }
}

/// Builds the job of a call, with an empty body in place of the request's.
fn build_job(
    context: &RequestContext,
    target: TargetName,
    repeat: Repeatable,
    request: &Request<Incoming>,
) -> Job {
    let mut headers = forwarded_headers(request.headers());
    if let Ok(name) = HeaderValue::from_str(&context.request_name) {
        headers.insert(REQUEST_ID_HEADER, name);
    }
    Job {
        target,
        kind: BodyKind::Plain,
        repeat,
        deadline_ms: context.shared.now_ms() + context.grant.whole_answer_ms,
        cost_tokens: COST_TOKENS,
        prefix_hash: 0,
        method: request.method().clone(),
        path: request
            .uri()
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string),
        headers,
        body: JobBody::Buffered(Bytes::new()),
    }
}

/// Buffers a small request body so that it can be sent again; streams a larger one.
async fn buffer_if_small(incoming: Incoming, within_ms: u64) -> Result<JobBody, Refusal> {
    let is_small = incoming
        .size_hint()
        .upper()
        .is_some_and(|bytes| bytes <= BUFFERED_BODY_MAX_BYTES);
    if !is_small {
        return Ok(JobBody::Streamed(Some(incoming)));
    }
    let collected = body::collect(incoming, BUFFERED_BODY_MAX_BYTES as usize, within_ms).await;
    collected
        .map(JobBody::Buffered)
        .map_err(|error| Refusal::of(body_error_code(error)))
}

/// Returns whether a call may run more than once: by the pool's rules, else by the HTTP method.
fn repeatability(pool: &Pool, method: &Method, path: &str) -> Repeatable {
    let prefix = pool.path_prefix.as_deref().unwrap_or_default();
    let relative_path = path.strip_prefix(prefix).unwrap_or(path);
    let matches = |rule: &&cranereach_core::declarations::RepeatRule| {
        (rule.method == "*" || rule.method == method.as_str())
            && relative_path.starts_with(&rule.path_start)
    };
    let by_method = if method.is_safe() {
        Repeatable::Safe
    } else {
        Repeatable::Unsafe
    };
    pool.repeat_rules
        .iter()
        .find(matches)
        .map_or(by_method, |rule| rule.repeat)
}
