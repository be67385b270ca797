//! Stand-in of a model engine: memory accounting, batch slots, load and unload orders, streams.
//!
//! It never refuses a load for lack of memory. It counts the excess instead, so that a test sees
//! every overcommitment. A response carries the ID of the request that it belongs to.

mod answer;
mod loading;
pub mod state;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::BODY_MAX_BYTES;
use crate::BODY_TIMEOUT_MS;
use crate::engine::answer::EngineBody;
use crate::engine::state::EngineFaults;
use crate::engine::state::EngineOptions;
use crate::engine::state::EngineState;
use crate::lock;
use cranereach_http::body;
use cranereach_http::server::Closed;
use cranereach_wire::upstream::OrderRequest;

/// A running engine stand-in.
#[derive(Clone, Debug)]
pub struct Engine {
    state: Arc<EngineState>,
}

impl Engine {
    /// Starts serving on a listener until `stopping` turns true.
    pub fn start(
        listener: TcpListener,
        options: EngineOptions,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        let state = Arc::new(EngineState::new(options));
        tokio::spawn(refresh_reports(Arc::clone(&state), stopping.clone()));
        let shared = Arc::clone(&state);
        crate::serve(listener, stopping, move |request| {
            handle(Arc::clone(&shared), request)
        });
        Self { state }
    }

    /// Returns the state, to inspect it or to inject faults.
    pub fn state(&self) -> &Arc<EngineState> {
        &self.state
    }
}

/// Refreshes the load report periodically until the stand-in stops.
async fn refresh_reports(state: Arc<EngineState>, stopping: watch::Receiver<bool>) {
    while !*stopping.borrow() {
        state.refresh_report();
        tokio::time::sleep(Duration::from_millis(state.options.report_every_ms.max(1))).await;
    }
}

/// Handles one request.
async fn handle(
    state: Arc<EngineState>,
    request: Request<Incoming>,
) -> Result<Response<EngineBody>, Closed> {
    let (parts, incoming) = request.into_parts();
    let read = body::collect(incoming, BODY_MAX_BYTES, BODY_TIMEOUT_MS).await;
    let Ok(bytes) = read else { return Err(Closed) };
    match parts.uri.path() {
        "/load" => Ok(into_engine_body(body::json(200, &state.report()))),
        "/orders" => handle_order(&state, &bytes),
        "/v1/chat/completions" | "/v1/completions" => {
            answer::complete(state, &parts.headers, &bytes).await
        }
        "/stand-in/faults" => Ok(set_faults(&state, &bytes)),
        "/stand-in/ledger" => Ok(into_engine_body(body::json(200, &state.ledger()))),
        "/stand-in/leave" => {
            state.leave();
            Ok(into_engine_body(body::json(200, &json!({}))))
        }
        _ => Ok(into_engine_body(body::json(
            404,
            &json!({ "error": "no such path" }),
        ))),
    }
}

/// Applies an order; injected faults may drop, delay or repeat it.
fn handle_order(state: &Arc<EngineState>, bytes: &Bytes) -> Result<Response<EngineBody>, Closed> {
    let Ok(order) = serde_json::from_slice::<OrderRequest>(bytes) else {
        return Ok(into_engine_body(body::json(
            400,
            &json!({ "error": "not an order" }),
        )));
    };
    state.record_order();
    if state.consume_fault(|faults| &mut faults.lose_order_count) {
        return Err(Closed);
    }
    if state.consume_fault(|faults| &mut faults.delay_order_count) {
        let delay_ms = lock(&state.faults).delay_order_ms;
        let delayed_state = Arc::clone(state);
        // The sender gets no response; the order takes effect later.
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            loading::apply(&delayed_state, &order);
        });
        return Err(Closed);
    }
    let outcome = loading::apply(state, &order);
    if state.consume_fault(|faults| &mut faults.repeat_order_count) {
        loading::apply(state, &order);
    }
    let status = if outcome.is_accepted { 200 } else { 409 };
    Ok(into_engine_body(body::json(status, &outcome)))
}

/// Replaces the injected faults.
fn set_faults(state: &EngineState, bytes: &Bytes) -> Response<EngineBody> {
    match serde_json::from_slice::<EngineFaults>(bytes) {
        Ok(faults) => {
            *lock(&state.faults) = faults;
            into_engine_body(body::json(200, &json!({})))
        }
        Err(error) => into_engine_body(body::json(400, &json!({ "error": error.to_string() }))),
    }
}

/// Converts a complete body into an [`EngineBody`].
fn into_engine_body(answer: crate::Answer) -> Response<EngineBody> {
    answer.map(EngineBody::full)
}
