//! Calls of plain services, streamed both ways, and at most once where unsafe.

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use super::AnswerBody;
use super::Caller;
use super::REQUEST_ID_HEADER;
use super::claims;
use super::error_answer::Refusal;
use super::exchange;
use super::job::AnswerForm;
use super::job::Job;
use super::job::JobBody;
use super::job::passed_headers;
use super::model_call::body_code;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::Pool;
use cranereach_core::declarations::Repeatable;
use cranereach_core::names::TargetName;
use cranereach_http::body;

/// Header by which a caller joins a repeat to its first attempt.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Cost of a plain call, in tokens.
const COST_TOKENS: f64 = 32.0;

/// Largest body that is kept so that it can be sent again, in bytes.
const KEPT_MAX_BYTES: u64 = 64 * 1024;

/// Answers a call of a plain service.
pub(crate) async fn answer(
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let Some(pool) = caller.snapshot.plain_pool(request.uri().path()).cloned() else {
        return Err(Refusal::of(ResultCode::NoSuchPath));
    };
    let target = TargetName::from(pool.name.as_str());
    if !caller.grant.targets.contains(&target) {
        return Err(Refusal::of(ResultCode::NoSuchPath));
    }
    let repeat = repeat_of(&pool, request.method(), request.uri().path());
    let key = request
        .headers()
        .get(IDEMPOTENCY_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let mut job = job(&caller, target, repeat, &request);
    let limits = caller.shared.settings.limits;
    let incoming = request.into_body();
    if let Some(key) = key.filter(|_| repeat == Repeatable::Unsafe) {
        let collected = body::collect(incoming, limits.body_max_bytes, limits.body_within_ms).await;
        let bytes = collected.map_err(|error| Refusal::of(body_code(error)))?;
        job.body = JobBody::Kept(bytes.clone());
        claims::run(caller, job, &key, &bytes).await
    } else {
        job.body = keep_if_small(incoming, limits.body_within_ms).await?;
        exchange::run(&caller, &mut job).await
    }
}

/// Makes the job of a call, its body still empty.
fn job(
    caller: &Caller,
    target: TargetName,
    repeat: Repeatable,
    request: &Request<Incoming>,
) -> Job {
    let mut headers = passed_headers(request.headers());
    if let Ok(name) = HeaderValue::from_str(&caller.request_name) {
        headers.insert(REQUEST_ID_HEADER, name);
    }
    Job {
        target,
        form: AnswerForm::Plain,
        repeat,
        end_by_ms: caller.shared.now_ms() + caller.grant.whole_answer_ms,
        cost_tokens: COST_TOKENS,
        prefix_hash: 0,
        method: request.method().clone(),
        path: request
            .uri()
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string),
        headers,
        body: JobBody::Kept(Bytes::new()),
    }
}

/// Keeps a small body, so that it can be sent again; passes others on.
async fn keep_if_small(incoming: Incoming, within_ms: u64) -> Result<JobBody, Refusal> {
    let is_small = incoming
        .size_hint()
        .upper()
        .is_some_and(|bytes| bytes <= KEPT_MAX_BYTES);
    if !is_small {
        return Ok(JobBody::Passed(Some(incoming)));
    }
    let collected = body::collect(incoming, KEPT_MAX_BYTES as usize, within_ms).await;
    collected
        .map(JobBody::Kept)
        .map_err(|error| Refusal::of(body_code(error)))
}

/// Returns whether a call may run twice: by the pool's rules, else by method.
fn repeat_of(pool: &Pool, method: &Method, path: &str) -> Repeatable {
    let prefix = pool.path_prefix.as_deref().unwrap_or_default();
    let rest = path.strip_prefix(prefix).unwrap_or(path);
    let matches = |rule: &&cranereach_core::declarations::RepeatRule| {
        (rule.method == "*" || rule.method == method.as_str()) && rest.starts_with(&rule.path_start)
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
