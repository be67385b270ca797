//! Unsafe calls with an idempotency key: claimed in the platform's table, then sent at most once.
//!
//! The claim is written before the call is sent. While the table is unreachable, such calls are
//! not sent but refused as not run.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use slog::warn;

use super::RequestContext;
use super::ResponseBody;
use super::error_response::Refusal;
use super::exchange;
use super::job::Job;
use crate::platform::StoreError;
use crate::shared::Shared;
use cranereach_core::claim::ANSWER_MAX_BYTES;
use cranereach_core::claim::Claim;
use cranereach_core::claim::ClaimDecision;
use cranereach_core::claim::KeptAnswer;
use cranereach_core::claim::Outcome;
use cranereach_core::claim::decide;
use cranereach_core::codes::Ran;
use cranereach_core::codes::ResultCode;
use cranereach_http::body;

/// Largest response to a claimed call, in bytes; it is buffered in full before it is returned.
const CLAIMED_RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of attempts to settle a claim whose write was not acknowledged.
const SETTLE_MAX_ATTEMPTS: u32 = 100;

/// Pause before each of these attempts, in milliseconds.
const SETTLE_RETRY_INTERVAL_MS: u64 = 2_000;

/// A claim held by this attempt, with the key and version of its row.
#[derive(Clone, Debug)]
struct HeldClaim {
    row_key: String,
    version: u64,
    claim: Claim,
}

/// Claims the idempotency key, runs the job and stores its outcome.
///
/// The call continues if the caller disconnects, so that a retry gets its response.
pub(crate) async fn run(
    context: RequestContext,
    job: Job,
    key: &str,
    bytes: &Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let row_key = row_key(&context, key);
    let claim = Claim {
        attempt_id: context.request_name.clone(),
        fingerprint: fingerprint(&job, bytes),
        outcome: Outcome::Open,
    };
    let running = tokio::spawn(run_claimed(context, job, row_key, claim));
    running
        .await
        .unwrap_or_else(|_panicked| Err(Refusal::of(ResultCode::OutcomeUnknown)))
}

/// Acquires the claim and runs the job, or replays the stored response of an earlier attempt.
async fn run_claimed(
    context: RequestContext,
    mut job: Job,
    row_key: String,
    claim: Claim,
) -> Result<Response<ResponseBody>, Refusal> {
    let held = match acquire(&context.shared, row_key, claim).await? {
        Acquired::Held(held) => held,
        Acquired::Replay(response) => return Ok(replay(&response)),
    };
    let outcome = exchange::run(&context, &mut job).await;
    finish_claim(&context.shared, held, outcome).await
}

/// Result of acquiring a claim.
enum Acquired {
    Held(HeldClaim),
    Replay(KeptAnswer),
}

/// Writes the claim. If the key is already claimed, the state of that claim decides whether it is
/// taken over, its stored response is replayed, or the call is refused.
async fn acquire(shared: &Arc<Shared>, row_key: String, claim: Claim) -> Result<Acquired, Refusal> {
    let mut expected_version = 0;
    loop {
        match shared.table.write(&row_key, expected_version, &claim).await {
            Ok(version) => {
                return Ok(Acquired::Held(HeldClaim {
                    row_key,
                    version,
                    claim,
                }));
            }
            Err(StoreError::NotDone { .. }) => {
                return Err(Refusal::of(ResultCode::ClaimsUnavailable));
            }
            Err(StoreError::Conflict) => {}
            Err(StoreError::Unknown { .. }) => {
                let unconfirmed = HeldClaim {
                    row_key: row_key.clone(),
                    version: expected_version + 1,
                    claim: claim.clone(),
                };
                if shared.table.read::<Option<Claim>>(&row_key).await.is_err() {
                    settle_in_background(shared, unconfirmed);
                    return Err(Refusal::of(ResultCode::ClaimsUnavailable));
                }
            }
        }
        let found = shared.table.read::<Option<Claim>>(&row_key).await;
        let found = found.map_err(|_read_error| Refusal::of(ResultCode::ClaimsUnavailable))?;
        match decide(found.value.as_ref(), &claim.attempt_id, &claim.fingerprint) {
            ClaimDecision::Send => expected_version = found.version,
            ClaimDecision::Own => {
                return Ok(Acquired::Held(HeldClaim {
                    row_key,
                    version: found.version,
                    claim,
                }));
            }
            ClaimDecision::Replay(response) => return Ok(Acquired::Replay(response)),
            ClaimDecision::Refuse(code) => return Err(Refusal::of(code)),
        }
    }
}

/// Stores the outcome of a claimed call before the caller gets the response.
async fn finish_claim(
    shared: &Arc<Shared>,
    held: HeldClaim,
    outcome: Result<Response<ResponseBody>, Refusal>,
) -> Result<Response<ResponseBody>, Refusal> {
    match outcome {
        Ok(response) => {
            let (parts, response_body) = response.into_parts();
            let collected = body::collect(
                response_body,
                CLAIMED_RESPONSE_MAX_BYTES,
                u64::from(u32::MAX),
            )
            .await;
            // The claim stays open if the response is incomplete: the outcome is unknown.
            let bytes = collected.map_err(|_body_error| Refusal::of(ResultCode::OutcomeUnknown))?;
            let content_type = parts
                .headers
                .get(CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            let stored_response = KeptAnswer {
                status: parts.status.as_u16(),
                content_type: content_type.to_owned(),
                body: bytes.to_vec(),
            };
            let stored_outcome = if bytes.len() <= ANSWER_MAX_BYTES {
                Outcome::Answered(stored_response)
            } else {
                Outcome::AnsweredUnkept
            };
            write_outcome(shared, &held, stored_outcome).await;
            Ok(Response::from_parts(
                parts,
                ResponseBody::buffered(Full::new(bytes)),
            ))
        }
        Err(refusal) => {
            if refusal.code.row().ran == Ran::No {
                write_outcome(shared, &held, Outcome::NotRun).await;
            }
            Err(refusal)
        }
    }
}

/// Writes the outcome of a claim to its row; returns whether the write succeeded.
async fn write_outcome(shared: &Shared, held: &HeldClaim, outcome: Outcome) -> bool {
    let claim = Claim {
        outcome,
        ..held.claim.clone()
    };
    let written = shared
        .table
        .write(&held.row_key, held.version, &claim)
        .await;
    if let Err(error) = &written {
        warn!(shared.log, "storing the outcome of an idempotency claim failed"; "attempt" => held.claim.attempt_id.as_str(), "error" => error.to_string());
    }
    written.is_ok()
}

/// Marks a claim as not run once the table is reachable again, if the claim's write took effect.
fn settle_in_background(shared: &Arc<Shared>, held: HeldClaim) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        for _attempt in 0..SETTLE_MAX_ATTEMPTS {
            tokio::time::sleep(std::time::Duration::from_millis(SETTLE_RETRY_INTERVAL_MS)).await;
            let Ok(found) = shared.table.read::<Option<Claim>>(&held.row_key).await else {
                continue;
            };
            let is_own_claim = found
                .value
                .as_ref()
                .is_some_and(|claim| claim.attempt_id == held.claim.attempt_id);
            let settled = HeldClaim {
                version: found.version,
                ..held.clone()
            };
            if !is_own_claim || write_outcome(&shared, &settled, Outcome::NotRun).await {
                return;
            }
        }
    });
}

/// Builds the response to a retry from the stored response.
fn replay(stored_response: &KeptAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Full::new(Bytes::from(
        stored_response.body.clone(),
    ))));
    *response.status_mut() =
        hyper::StatusCode::from_u16(stored_response.status).unwrap_or_default();
    if let Ok(content_type) = HeaderValue::from_str(&stored_response.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
        .headers_mut()
        .insert("x-replayed", HeaderValue::from_static("true"));
    response
}

/// Returns the row key of a claim, unique per account and idempotency key.
fn row_key(context: &RequestContext, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(context.grant.account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    format!("claim-{}", hasher.finalize().to_hex())
}

/// Returns a hash of the request that tells a retry from another request with the same key.
fn fingerprint(job: &Job, bytes: &Bytes) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(bytes);
    hasher.finalize().to_hex().to_string()
}
