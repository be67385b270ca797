//! The operators' API: health, metrics and status.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;
use xtra::Address;

use crate::control_actor::ControlActor;
use crate::control_actor::GetCellViews;
use crate::dispatch_actor::CollectDigest;
use crate::shared::Shared;
use cranereach_core::codes::ResultCode;
use cranereach_core::drain::Phase;
use cranereach_http::bearer::bearer;
use cranereach_http::body;
use cranereach_http::server::Closed;

/// Response to an operator.
type Answer = Response<Full<Bytes>>;

/// Answers a request of an operator, the load balancer or a metrics scraper.
pub async fn answer(
    shared: Arc<Shared>,
    control: Address<ControlActor>,
    request: Request<Incoming>,
) -> Result<Answer, Closed> {
    Ok(match request.uri().path() {
        "/health/live" => body::json(200, &json!({ "live": true })),
        "/health/ready" => ready(&shared),
        "/metrics" => Response::new(Full::new(Bytes::from(shared.metrics.text()))),
        "/status" if is_operator(&shared, &request) => status(&shared, &control).await,
        "/status" => error(ResultCode::OperatorUnauthenticated),
        _ => error(ResultCode::NoSuchPath),
    })
}

/// Answers whether the load balancer should send callers to this instance, with the
/// phase and configuration version that readiness depends on.
fn ready(shared: &Shared) -> Answer {
    let is_ready = shared.is_ready();
    let phase = phase_name(shared.phase());
    let version = shared.config().held().version;
    let status = if is_ready { 200 } else { 503 };
    body::json(
        status,
        &json!({ "ready": is_ready, "phase": phase, "config_version": version }),
    )
}

/// Answers with the state of this instance.
async fn status(shared: &Shared, control: &Address<ControlActor>) -> Answer {
    let digest = shared
        .dispatcher
        .send(CollectDigest)
        .await
        .unwrap_or_default();
    let cells = control.send(GetCellViews).await.unwrap_or_default();
    let live: Vec<String> = shared
        .membership()
        .live(shared.now_ms())
        .iter()
        .map(ToString::to_string)
        .collect();
    let served: Vec<_> = digest
        .served
        .iter()
        .map(|(account, tokens)| json!({ "account": account, "tokens": tokens }))
        .collect();
    body::json(
        200,
        &json!({
            "instance": shared.own_id(),
            "phase": phase_name(shared.phase()),
            "ready": shared.is_ready(),
            "config_version": shared.config().held().version,
            "live_instances": live,
            "in_flight_count": shared.in_flight_count(),
            "waiting_count": digest.waiting_count,
            "running_count": digest.running_count,
            "served": served,
            "demand": digest.demand,
            "cells": cells,
        }),
    )
}

/// Whether a request carries the operators' token.
///
/// Without a configured token no request does.
fn is_operator(shared: &Shared, request: &Request<Incoming>) -> bool {
    let Some(token) = &shared.settings.operators.token else {
        return false;
    };
    // BLAKE3 hashes are compared in constant time, so timing doesn't leak the token.
    bearer(request.headers())
        .is_some_and(|given| blake3::hash(given.as_bytes()) == blake3::hash(token.as_bytes()))
}

/// Creates the response for a result code.
fn error(code: ResultCode) -> Answer {
    let row = code.row();
    body::json(
        row.http_status,
        &json!({ "error": { "code": row.number, "name": row.name, "message": row.meaning } }),
    )
}

/// Returns the external name of a phase.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::Unready => "announced",
        Phase::Finishing => "finishing",
        Phase::Done => "done",
    }
}
