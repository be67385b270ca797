//! Stand-in of the platform: table, object store, instance list and weight store.
//!
//! All are served on one port. The table, the object store and the list can be made to refuse
//! requests, to leave them unanswered, or to be slow. The table can also lose the response to a
//! transaction that was committed, and the list can be frozen.

pub mod state;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::Answer;
use crate::BODY_MAX_BYTES;
use crate::BODY_TIMEOUT_MS;
use crate::lock;
use crate::platform::state::PlatformFaults;
use crate::platform::state::PlatformState;
use crate::platform::state::StoreFaults;
use crate::platform::state::WeightLimits;
use cranereach_http::body;
use cranereach_http::server::Closed;
use cranereach_wire::platform::Committed;
use cranereach_wire::platform::ListedInstance;
use cranereach_wire::platform::Transaction;

/// Time for which a request is held without a response: longer than any client waits.
const HELD_ANSWER_DURATION: Duration = Duration::from_mins(2);

/// A running platform stand-in.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<PlatformState>,
}

impl Platform {
    /// Starts serving on a listener until `stopping` turns true.
    pub fn start(
        listener: TcpListener,
        limits: WeightLimits,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        let state = Arc::new(PlatformState::new(limits));
        let shared = Arc::clone(&state);
        crate::serve(listener, stopping, move |request| {
            answer(Arc::clone(&shared), request)
        });
        Self { state }
    }

    /// Returns the state, to inspect it or to inject faults.
    pub fn state(&self) -> &PlatformState {
        &self.state
    }
}

/// Handles one request.
async fn answer(state: Arc<PlatformState>, request: Request<Incoming>) -> Result<Answer, Closed> {
    let (parts, incoming) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let read = body::collect(incoming, BODY_MAX_BYTES, BODY_TIMEOUT_MS).await;
    let Ok(bytes) = read else { return Err(Closed) };
    match path.split('/').nth(1).unwrap_or_default() {
        "table" => table(&state, &parts.method, &path, &bytes).await,
        "objects" => objects(&state, &parts.method, &path, bytes).await,
        "instances" => instances(&state, &parts.method, &bytes).await,
        "weights" => weights(&state).await,
        "stand-in" => Ok(control(&state, &path, &bytes)),
        _ => Ok(status_answer(404)),
    }
}

/// Handles a request to the table.
async fn table(
    state: &PlatformState,
    method: &Method,
    path: &str,
    bytes: &Bytes,
) -> Result<Answer, Closed> {
    let faults = lock(&state.faults).table;
    if let Some(fault_answer) = apply_faults(faults).await {
        return fault_answer;
    }
    lock(&state.counts).table_count += 1;
    if method == Method::GET {
        let key = path.trim_start_matches("/table/");
        return Ok(lock(&state.rows)
            .get(key)
            .map_or_else(|| status_answer(404), |row| body::json(200, row)));
    }
    let Some(transaction) = parse::<Transaction>(bytes) else {
        return Ok(status_answer(400));
    };
    let outcome = state.transact(&transaction);
    if outcome.is_ok() && state.consume_lost_answer() {
        return Err(Closed);
    }
    Ok(match outcome {
        Ok(versions) => body::json(200, &Committed { versions }),
        Err(_failed) => status_answer(409),
    })
}

/// Handles a request to the object store.
async fn objects(
    state: &PlatformState,
    method: &Method,
    path: &str,
    bytes: Bytes,
) -> Result<Answer, Closed> {
    let faults = lock(&state.faults).objects;
    if let Some(fault_answer) = apply_faults(faults).await {
        return fault_answer;
    }
    lock(&state.counts).object_count += 1;
    let key = path.trim_start_matches("/objects/").to_owned();
    if method == Method::PUT {
        lock(&state.objects).insert(key, bytes);
        return Ok(status_answer(200));
    }
    let found = lock(&state.objects).get(&key).cloned();
    Ok(found.map_or_else(
        || status_answer(404),
        |bytes| Response::new(Full::new(bytes)),
    ))
}

/// Handles a request to the instance list.
async fn instances(
    state: &PlatformState,
    method: &Method,
    bytes: &Bytes,
) -> Result<Answer, Closed> {
    if method == Method::POST {
        let Some(listed) = parse::<ListedInstance>(bytes) else {
            return Ok(status_answer(400));
        };
        state.list(listed);
        return Ok(status_answer(200));
    }
    let faults = lock(&state.faults).list;
    if let Some(fault_answer) = apply_faults(faults).await {
        return fault_answer;
    }
    lock(&state.counts).list_count += 1;
    Ok(body::json(200, &state.visible_instances()))
}

/// Serves the weights for one load, within the limits on rate and concurrency.
async fn weights(state: &PlatformState) -> Result<Answer, Closed> {
    let now_ms = state.now_ms();
    let admitted = lock(&state.weights).begin(now_ms);
    if !admitted {
        return Ok(status_answer(429));
    }
    let load_ms = state.limits.load_ms;
    tokio::time::sleep(Duration::from_millis(load_ms)).await;
    lock(&state.weights).end();
    Ok(status_answer(200))
}

/// Handles a request that controls the stand-in itself.
fn control(state: &PlatformState, path: &str, bytes: &Bytes) -> Answer {
    match path {
        "/stand-in/faults" => match parse::<PlatformFaults>(bytes) {
            Some(faults) => {
                *lock(&state.faults) = faults;
                status_answer(200)
            }
            None => status_answer(400),
        },
        "/stand-in/counts" => body::json(200, &*lock(&state.counts)),
        _ => status_answer(404),
    }
}

/// Applies the faults of a store. A returned response means that the store must not act on the
/// request.
async fn apply_faults(faults: StoreFaults) -> Option<Result<Answer, Closed>> {
    if faults.holds {
        tokio::time::sleep(HELD_ANSWER_DURATION).await;
        return Some(Err(Closed));
    }
    tokio::time::sleep_until((Instant::now() + Duration::from_millis(faults.slow_ms)).into()).await;
    faults.refuses.then(|| Ok(status_answer(503)))
}

/// Parses a JSON body.
fn parse<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    serde_json::from_slice(bytes).ok()
}

/// Builds a response whose body only repeats the status.
fn status_answer(status: u16) -> Answer {
    body::json(status, &json!({ "status": status }))
}
