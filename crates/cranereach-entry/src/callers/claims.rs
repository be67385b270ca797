//! Unsafe calls with an idempotency key: claimed in the table, then sent once.
//!
//! The claim is written before the call is sent. While the table is out of
//! reach no such call is sent: it is refused as not run.

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
use cranereach_core::claim::Joining;
use cranereach_core::claim::KeptAnswer;
use cranereach_core::claim::Outcome;
use cranereach_core::claim::join;
use cranereach_core::codes::Ran;
use cranereach_core::codes::ResultCode;
use cranereach_http::body;

/// Largest answer of a claimed call, in bytes; it is kept whole on its way.
const CLAIMED_RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Tries to settle a claim whose write was not answered.
const SETTLE_MAX_ATTEMPTS: u32 = 100;

/// Pause between two such tries, in milliseconds.
const SETTLE_RETRY_INTERVAL_MS: u64 = 2_000;

/// A claim that this attempt holds.
#[derive(Clone, Debug)]
struct HeldClaim {
    row_key: String,
    version: u64,
    claim: Claim,
}

/// Claims the key, runs the job, and keeps what became of it.
///
/// The call goes on when the caller leaves, so that a repeat gets its answer.
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

/// Takes the claim, and runs the job if it is ours.
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

/// What came of taking a claim.
enum Acquired {
    Held(HeldClaim),
    Replay(KeptAnswer),
}

/// Writes the claim, or joins the attempt that has.
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
        match join(found.value.as_ref(), &claim.attempt_id, &claim.fingerprint) {
            Joining::Send => expected_version = found.version,
            Joining::Own => {
                return Ok(Acquired::Held(HeldClaim {
                    row_key,
                    version: found.version,
                    claim,
                }));
            }
            Joining::Replay(response) => return Ok(Acquired::Replay(response)),
            Joining::Tell(code) => return Err(Refusal::of(code)),
        }
    }
}

/// Keeps what became of a claimed call before the caller is told.
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
            // Broken midway: the claim stays open, for the outcome is unknown.
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

/// Writes what became of a claim; says whether the row has it now.
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
        warn!(shared.log, "a claim's outcome isn't kept"; "attempt" => held.claim.attempt_id.as_str(), "error" => error.to_string());
    }
    written.is_ok()
}

/// Marks a claim as not run once the table is back, if its write took effect.
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

/// Makes the answer of a kept one.
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

/// Returns the key of a claim's row.
fn row_key(context: &RequestContext, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(context.grant.account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    format!("claim-{}", hasher.finalize().to_hex())
}

/// Returns the hash by which a reused key is told from a repeat.
fn fingerprint(job: &Job, bytes: &Bytes) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(bytes);
    hasher.finalize().to_hex().to_string()
}
