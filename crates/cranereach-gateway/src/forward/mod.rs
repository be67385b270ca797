//! Forwarding of a caller's request: routing, sending to workers, and the response.
//!
//! [`request`] parses the request, [`continuation`] says which stream it continues (see
//! [`crate::stream_origins`]), and [`authentication`] finds the client account of its key.
//! [`exchange`] offers the call to workers until there is a response or a final failure:
//! [`choosing`] selects each worker, [`sending`] makes one offer with the [`forwarded_headers`],
//! [`in_flight`] counts the call at the worker, and [`broken_connection`] checks whether a worker
//! ended while it ran the call. [`offer_history`] counts the offers that a call has used,
//! [`version_requirement`] is the version of the workers' software that it is bound to, and
//! [`workload`] estimates its work. [`response_head`] checks the head of a response,
//! [`worker_body`] judges how its body ended, [`stream_relay`] relays a stream to the caller, and
//! [`resumption`] resumes it on another worker, and [`writing_progress`] says how long a worker
//! wrote. [`telemetry`] counts and logs results, and [`refusal`] makes the response to a call that
//! could not be served.
//!
//! The owner of a worker is the instance that keeps count of all requests open at it (see
//! [`crate::owners`]). Cold and rate-limited workers are sent a call only with a grant (see
//! [`crate::send_grants`]).

mod authentication;
mod broken_connection;
mod choosing;
mod continuation;
mod exchange;
mod forwarded_headers;
mod in_flight;
mod offer_history;
mod refusal;
mod request;
mod response_head;
mod resumption;
mod sending;
mod stream_relay;
mod telemetry;
mod version_requirement;
mod worker_body;
mod workload;
mod writing_progress;

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use slog::info;

pub use self::continuation::Continuation;
pub use self::refusal::Refusal;
pub use self::request::Call;
use self::stream_relay::StreamInterrupted;
use self::stream_relay::StreamRelay;
use self::version_requirement::VersionRequirement;
use crate::account_limits;
use crate::account_limits::Charge;
use crate::account_limits::Denied;
use crate::node::Node;
use crate::node::lock;
use crate::quarantine;
use crate::stream_origins::take_up;
use cranereach_core::codes::Ran;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::quarantine::SuspectKey;
use cranereach_http::server::Closed;

/// Share of the latency target for which a call waits until an owner of its account's limit is
/// available. The rest of the target is enough for the work of the call.
const OWNER_WAIT_SHARE: f64 = 0.4;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body.
    Buffered(Full<Bytes>),
    /// Body that is relayed from the worker as it arrives.
    Streaming(Box<StreamRelay>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streaming(relay) => relay.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streaming(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}

/// Handles a request of a caller.
pub async fn handle_request(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Closed> {
    let received_ms = node.now_ms();
    let mut response = match serve(&node, request, received_ms).await {
        Ok(response) => response,
        Err(mut refusal) => refusal_response(&node, received_ms, &mut refusal),
    };
    if node.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Reads a call and forwards it.
async fn serve(
    node: &Arc<Node>,
    request: Request<Incoming>,
    received_ms: u64,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut call = Call::read(node, request, received_ms).await?;
    let taken_up = take_up::find_origin(node, &mut call).await?;
    let call = Arc::new(call);
    let probe = quarantine::admit(node, &call).map_err(|key| quarantined(node, &call, key))?;
    let charge = charge(node, &call).await?;
    let requirement = taken_up.map_or_else(VersionRequirement::default, |taken_up| {
        VersionRequirement::from_key(taken_up.origin.version)
    });
    let result = exchange::run(node, &call, requirement, probe).await;
    if let Some(taken_up) = &taken_up {
        take_up::record_result(node, &call, taken_up, &result);
    }
    if result
        .as_ref()
        .is_err_and(|refusal| refusal.code.row().ran == Ran::No)
    {
        charge.give_back(node);
    }
    telemetry::record_account_usage(node, &call, &result);
    result
}

/// Refuses a call that is quarantined: workers ended, one after another, while they ran requests
/// with the key, which is that of the whole call or of a part of its prompt.
fn quarantined(node: &Node, call: &Call, key: SuspectKey) -> Refusal {
    let mut refusal = Refusal::new(quarantine::result_code(key), &call.id);
    refusal.detail = quarantine::record_refusal(node, call, key);
    refusal.fingerprint = Some(key.fingerprint);
    refusal.route = Some(Arc::clone(&call.route.name));
    refusal
}

/// Charges a call to its account's limit, or refuses it.
async fn charge(node: &Node, call: &Call) -> Result<Charge, Refusal> {
    let Some(account) = &call.account else {
        return Ok(Charge::default());
    };
    let ask_until_ms =
        call.received_ms + (call.route.latency_target_ms as f64 * OWNER_WAIT_SHARE) as u64;
    let charged = account_limits::charge(node, account, call.cost, ask_until_ms).await;
    charged.map_err(|denied| {
        let code = match denied {
            Denied::Beyond(_) => ResultCode::OverLimit,
            Denied::Unknown => ResultCode::LimitUnknown,
        };
        let limit = account.limit.map(|limit| (limit.rate_per_s, limit.burst));
        let detail = format!(
            "account {}, cost {}, rate and burst {limit:?}",
            account.name, call.cost
        );
        let mut refusal = Refusal::new(code, &call.id).with_detail(detail);
        refusal.route = Some(Arc::clone(&call.route.name));
        if let Denied::Beyond(wait_ms) = denied {
            refusal.retry_after_ms = wait_ms;
            refusal.shortage_key = Some(account.key());
        }
        let results = &node.metrics.account_requests_total;
        let label = call.account_label.as_str();
        results.with_label_values(&[label, code.row().name]).inc();
        refusal
    })
}

/// Makes the response to a refused call, counts and logs it.
fn refusal_response(
    node: &Node,
    received_ms: u64,
    refusal: &mut Refusal,
) -> Response<ResponseBody> {
    if let Some(shortage_key) = refusal.shortage_key {
        let available_in_ms = refusal.retry_after_ms;
        let mut shortages = lock(&node.shortages);
        refusal.retry_after_ms =
            shortages.retry_delay_ms(node.now_ms(), shortage_key, available_in_ms, rand::random());
    }
    let row = refusal.code.row();
    let route = refusal.route.as_deref().unwrap_or("");
    let counter = &node.metrics.requests_total;
    counter.with_label_values(&[route, row.name]).inc();
    if refusal.code != ResultCode::NoSuchPath {
        info!(node.log, "refused"; "request" => refusal.request_id.clone(), "route" => route,
            "code" => row.number, "name" => row.name, "detail" => refusal.detail.clone(),
            "took_ms" => node.now_ms().saturating_sub(received_ms),
            "fingerprint" => refusal.fingerprint.map(|value| value.to_string()),
            "configuration" => node.configuration_version(),
            "retry_after_ms" => refusal.retry_after_ms);
    }
    refusal.to_response(node.adapter.headers.request_id)
}
