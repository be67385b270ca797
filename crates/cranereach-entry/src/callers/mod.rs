//! Request path of callers: authenticates, routes by path, and responds.

mod claims;
mod dispatch_guard;
mod error_response;
mod exchange;
mod job;
mod model_call;
mod plain_call;
mod record;
mod response_body;
mod streamed_response;

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use serde_json::json;

use self::error_response::Refusal;
pub use self::response_body::ResponseBody;
use crate::shared::Shared;
use cranereach_core::codes::ResultCode;
use cranereach_core::declarations::PoolKind;
use cranereach_core::drain::Phase;
use cranereach_core::names::TargetName;
use cranereach_core::snapshot::Grant;
use cranereach_core::snapshot::Snapshot;
use cranereach_http::bearer::bearer;
use cranereach_http::body;
use cranereach_http::server::Closed;

/// Header that carries the name of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Context of one authenticated request.
#[derive(Debug)]
pub(crate) struct RequestContext {
    shared: Arc<Shared>,
    snapshot: Arc<Snapshot>,
    grant: Arc<Grant>,
    request_id: cranereach_core::names::RequestId,
    request_name: String,
}

/// Handles one request of a caller.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Closed> {
    let in_flight = shared.begin_request();
    let version = request.version();
    let request_id = shared.next_request();
    let request_name = shared.request_name(request_id);
    let result = match authenticate(&shared, request_id, &request_name, request.headers()) {
        Ok(context) => route(context, request).await,
        Err(code) => Err(Refusal::of(code)),
    };
    let is_body_unread = result.as_ref().is_err_and(Refusal::leaves_body_unread);
    let mut response =
        result.unwrap_or_else(|refusal| refusal_response(&shared, &request_name, &refusal));
    if let Ok(value) = HeaderValue::from_str(&request_name) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    let is_leaving = shared.phase() != Phase::Serving;
    if (is_leaving || is_body_unread) && version < Version::HTTP_2 {
        // While draining, this makes the caller reconnect through the load balancer, which
        // picks another instance. A connection whose request body was not read to its end
        // can't be reused either.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| body.with_in_flight_guard(in_flight)))
}

/// Authenticates the caller by its bearer key, if this instance may serve at all.
fn authenticate(
    shared: &Arc<Shared>,
    request_id: cranereach_core::names::RequestId,
    request_name: &str,
    headers: &HeaderMap,
) -> Result<RequestContext, ResultCode> {
    if !shared.may_serve() {
        return Err(ResultCode::ConfigUnknown);
    }
    let key = bearer(headers).ok_or(ResultCode::Unauthenticated)?;
    let snapshot = shared.snapshot();
    let grant = snapshot
        .grant(key)
        .map(Arc::clone)
        .ok_or(ResultCode::Unauthenticated)?;
    Ok(RequestContext {
        shared: Arc::clone(shared),
        snapshot,
        grant,
        request_id,
        request_name: request_name.to_owned(),
    })
}

/// Dispatches a request to the handler for its method and path.
async fn route(
    context: RequestContext,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            model_call::handle(context, request).await
        }
        (&Method::GET, "/v1/models") => Ok(list_models(&context)),
        _ => plain_call::handle(context, request).await,
    }
}

/// Lists the models that the client account is entitled to.
fn list_models(context: &RequestContext) -> Response<ResponseBody> {
    let is_model = |target: &&TargetName| context.snapshot.models.contains_key(*target);
    let data: Vec<_> = context
        .grant
        .targets
        .iter()
        .filter(is_model)
        .map(|target| json!({ "id": target, "object": "model", "owned_by": "cranereach" }))
        .collect();
    body::json(200, &json!({ "object": "list", "data": data })).map(ResponseBody::buffered)
}

/// Counts and logs a refusal and builds its response.
fn refusal_response(
    shared: &Shared,
    request_name: &str,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    record::record_refused(shared, request_name, refusal);
    error_response::build(refusal, request_name)
}

impl RequestContext {
    /// Whether the target belongs to an engine pool and the account is entitled to it.
    fn may_use_model(&self, target: &TargetName) -> bool {
        let is_model = self
            .snapshot
            .pool_of(target)
            .is_some_and(|pool| pool.kind == PoolKind::Engine);
        is_model && self.grant.targets.contains(target)
    }
}
