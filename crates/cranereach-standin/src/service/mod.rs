//! Stand-in of a plain service that counts the runs of each call.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::Answer;
use crate::BODY_MAX_BYTES;
use crate::BODY_TIMEOUT_MS;
use crate::lock;
use cranereach_core::ledger::MemoryReport;
use cranereach_http::body;
use cranereach_http::server::Closed;
use cranereach_wire::upstream::EngineLoad;

/// Request header with the name of a call, by which runs are counted.
pub const CALL_HEADER: &str = "x-call";

/// Slot count that the service reports.
const SLOT_COUNT: u32 = 64;

/// Faults to inject. Each occurrence of a counted fault decrements its count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Calls that run and whose connection is then closed without a response.
    pub close_unanswered_count: u32,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
}

/// State of the service stand-in.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Number of runs by the name of the call.
    pub runs: Mutex<HashMap<String, u32>>,
    /// Faults to inject.
    pub faults: Mutex<ServiceFaults>,
    is_leaving: Mutex<bool>,
    outstanding_count: AtomicU32,
}

/// A running service stand-in.
#[derive(Clone, Debug)]
pub struct PlainService {
    state: Arc<ServiceState>,
}

impl PlainService {
    /// Starts serving on a listener until `stopping` turns true.
    pub fn start(listener: TcpListener, stopping: watch::Receiver<bool>) -> Self {
        let state = Arc::new(ServiceState::default());
        let shared = Arc::clone(&state);
        crate::serve(listener, stopping, move |request| {
            answer(Arc::clone(&shared), request)
        });
        Self { state }
    }

    /// Returns the state, to inspect it or to inject faults.
    pub fn state(&self) -> &ServiceState {
        &self.state
    }
}

/// Handles one request.
async fn answer(state: Arc<ServiceState>, request: Request<Incoming>) -> Result<Answer, Closed> {
    let (parts, incoming) = request.into_parts();
    let read = body::collect(incoming, BODY_MAX_BYTES, BODY_TIMEOUT_MS).await;
    let Ok(bytes) = read else { return Err(Closed) };
    match parts.uri.path() {
        "/load" => Ok(body::json(200, &state.load())),
        "/stand-in/runs" => Ok(body::json(200, &*lock(&state.runs))),
        "/stand-in/leave" => {
            *lock(&state.is_leaving) = true;
            Ok(body::json(200, &json!({})))
        }
        "/stand-in/faults" => {
            if let Ok(faults) = serde_json::from_slice(&bytes) {
                *lock(&state.faults) = faults;
            }
            Ok(body::json(200, &json!({})))
        }
        path => {
            let call = parts
                .headers
                .get(CALL_HEADER)
                .and_then(|value| value.to_str().ok())
                .unwrap_or("");
            run(&state, path, call, bytes.len()).await
        }
    }
}

/// Runs one call.
async fn run(
    state: &ServiceState,
    path: &str,
    call: &str,
    body_bytes: usize,
) -> Result<Answer, Closed> {
    state.outstanding_count.fetch_add(1, Ordering::Relaxed);
    let run_number = {
        let mut runs = lock(&state.runs);
        let count = runs.entry(call.to_owned()).or_default();
        *count += 1;
        *count
    };
    let faults = *lock(&state.faults);
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    state.outstanding_count.fetch_sub(1, Ordering::Relaxed);
    if faults.close_unanswered_count > 0 {
        lock(&state.faults).close_unanswered_count -= 1;
        return Err(Closed);
    }
    Ok(body::json(
        200,
        &json!({ "path": path, "call": call, "run": run_number, "body_bytes": body_bytes }),
    ))
}

impl ServiceState {
    /// Returns the number of runs of a call.
    pub fn runs_of(&self, call: &str) -> u32 {
        lock(&self.runs).get(call).copied().unwrap_or_default()
    }

    /// Returns the number of runs of each call.
    pub fn all_runs(&self) -> HashMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Returns the load report of the service.
    fn load(&self) -> EngineLoad {
        EngineLoad {
            memory: MemoryReport::default(),
            outstanding_count: self.outstanding_count.load(Ordering::Relaxed),
            slot_count: SLOT_COUNT,
            is_leaving: *lock(&self.is_leaving),
        }
    }
}
