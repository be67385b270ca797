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

use super::AnswerBody;
use super::Caller;
use super::error_answer::Refusal;
use super::exchange;
use super::job::Job;
use crate::platform::StoreError;
use crate::shared::Shared;
use cranereach_core::claim::ANSWER_MAX_BYTES;
use cranereach_core::claim::Claim;
use cranereach_core::claim::ClaimDecision;
use cranereach_core::claim::KeptAnswer;
use cranereach_core::claim::Outcome;
use cranereach_core::claim::join;
use cranereach_core::codes::Ran;
use cranereach_core::codes::ResultCode;
use cranereach_http::body;

/// Largest answer of a claimed call, in bytes; it is kept whole on its way.
const CLAIMED_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Tries to settle a claim whose write was not answered.
const SETTLE_TRIES: u32 = 100;

/// Pause between two such tries, in milliseconds.
const SETTLE_PAUSE_MS: u64 = 2_000;

/// A claim that this attempt holds.
#[derive(Clone, Debug)]
struct Held {
    row_key: String,
    version: u64,
    claim: Claim,
}

/// Claims the key, runs the job, and keeps what became of it.
///
/// The call goes on when the caller leaves, so that a repeat gets its answer.
pub(crate) async fn run(
    caller: Caller,
    job: Job,
    key: &str,
    bytes: &Bytes,
) -> Result<Response<AnswerBody>, Refusal> {
    let row_key = row_key(&caller, key);
    let claim = Claim {
        attempt_id: caller.request_name.clone(),
        fingerprint: fingerprint(&job, bytes),
        outcome: Outcome::Open,
    };
    let running = tokio::spawn(run_claimed(caller, job, row_key, claim));
    running
        .await
        .unwrap_or_else(|_panicked| Err(Refusal::of(ResultCode::OutcomeUnknown)))
}

/// Takes the claim, and runs the job if it is ours.
async fn run_claimed(
    caller: Caller,
    mut job: Job,
    row_key: String,
    claim: Claim,
) -> Result<Response<AnswerBody>, Refusal> {
    let held = match take(&caller.shared, row_key, claim).await? {
        Taken::Held(held) => held,
        Taken::Replay(answer) => return Ok(replay(&answer)),
    };
    let outcome = exchange::run(&caller, &mut job).await;
    keep_outcome(&caller.shared, held, outcome).await
}

/// What came of taking a claim.
enum Taken {
    Held(Held),
    Replay(KeptAnswer),
}

/// Writes the claim, or joins the attempt that has.
async fn take(shared: &Arc<Shared>, row_key: String, claim: Claim) -> Result<Taken, Refusal> {
    let mut expected_version = 0;
    loop {
        match shared.table.write(&row_key, expected_version, &claim).await {
            Ok(version) => {
                return Ok(Taken::Held(Held {
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
                let lost = Held {
                    row_key: row_key.clone(),
                    version: expected_version + 1,
                    claim: claim.clone(),
                };
                if shared.table.read::<Option<Claim>>(&row_key).await.is_err() {
                    settle_later(shared, lost);
                    return Err(Refusal::of(ResultCode::ClaimsUnavailable));
                }
            }
        }
        let found = shared.table.read::<Option<Claim>>(&row_key).await;
        let found = found.map_err(|_unread| Refusal::of(ResultCode::ClaimsUnavailable))?;
        match join(found.value.as_ref(), &claim.attempt_id, &claim.fingerprint) {
            ClaimDecision::Send => expected_version = found.version,
            ClaimDecision::Own => {
                return Ok(Taken::Held(Held {
                    row_key,
                    version: found.version,
                    claim,
                }));
            }
            ClaimDecision::Replay(answer) => return Ok(Taken::Replay(answer)),
            ClaimDecision::Tell(code) => return Err(Refusal::of(code)),
        }
    }
}

/// Keeps what became of a claimed call before the caller is told.
async fn keep_outcome(
    shared: &Arc<Shared>,
    held: Held,
    outcome: Result<Response<AnswerBody>, Refusal>,
) -> Result<Response<AnswerBody>, Refusal> {
    match outcome {
        Ok(answer) => {
            let (parts, passing) = answer.into_parts();
            let collected =
                body::collect(passing, CLAIMED_ANSWER_MAX_BYTES, u64::from(u32::MAX)).await;
            // Broken midway: the claim stays open, for the outcome is unknown.
            let bytes = collected.map_err(|_broken| Refusal::of(ResultCode::OutcomeUnknown))?;
            let content_type = parts
                .headers
                .get(CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            let kept = KeptAnswer {
                status: parts.status.as_u16(),
                content_type: content_type.to_owned(),
                body: bytes.to_vec(),
            };
            let became = if bytes.len() <= ANSWER_MAX_BYTES {
                Outcome::Answered(kept)
            } else {
                Outcome::AnsweredUnkept
            };
            write_outcome(shared, &held, became).await;
            Ok(Response::from_parts(
                parts,
                AnswerBody::whole(Full::new(bytes)),
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
async fn write_outcome(shared: &Shared, held: &Held, outcome: Outcome) -> bool {
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
fn settle_later(shared: &Arc<Shared>, held: Held) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        for _try in 0..SETTLE_TRIES {
            tokio::time::sleep(std::time::Duration::from_millis(SETTLE_PAUSE_MS)).await;
            let Ok(found) = shared.table.read::<Option<Claim>>(&held.row_key).await else {
                continue;
            };
            let is_ours = found
                .value
                .as_ref()
                .is_some_and(|claim| claim.attempt_id == held.claim.attempt_id);
            let settled = Held {
                version: found.version,
                ..held.clone()
            };
            if !is_ours || write_outcome(&shared, &settled, Outcome::NotRun).await {
                return;
            }
        }
    });
}

/// Makes the answer of a kept one.
fn replay(kept: &KeptAnswer) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(Full::new(Bytes::from(kept.body.clone()))));
    *answer.status_mut() = hyper::StatusCode::from_u16(kept.status).unwrap_or_default();
    if let Ok(content_type) = HeaderValue::from_str(&kept.content_type) {
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    answer
        .headers_mut()
        .insert("x-replayed", HeaderValue::from_static("true"));
    answer
}

/// Returns the key of a claim's row.
fn row_key(caller: &Caller, key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.grant.account.as_str().as_bytes());
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
