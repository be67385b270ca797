//! Error responses that say why a request was not served.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::json;

use super::ResponseBody;
use cranereach_core::codes::Repeat;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::fingerprint::Fingerprint;

/// Retry-After of a refusal without a better estimate, in milliseconds.
pub const RETRY_AFTER_DEFAULT_MS: u64 = 300;

/// Retry-After in milliseconds if the workers that could serve the call cannot be reached, are
/// leaving or have all been tried.
pub const NO_HOLDER_RETRY_AFTER_MS: u64 = 1_500;

/// Error that a request gets in place of a worker's response.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// What was tried, for the log.
    pub detail: String,
    /// Time after which a retry is worthwhile, in milliseconds.
    pub retry_after_ms: u64,
    /// Key of what is in short supply, if callers want more of it than there is. The Retry-After
    /// then depends on how long the shortage has lasted.
    pub shortage_key: Option<u64>,
    /// Identity of the request; empty if it has none.
    pub request_id: String,
    /// Route, if one was found.
    pub route: Option<Arc<str>>,
    /// Fingerprint of the request, if that is the reason for the refusal.
    pub fingerprint: Option<Fingerprint>,
    /// Whether workers were passed over because their software has another version than the one
    /// that began the stream.
    pub lacks_version: bool,
}

impl Refusal {
    /// Creates a refusal with the default Retry-After.
    pub fn new(code: ResultCode, request_id: &str) -> Self {
        Self {
            code,
            detail: String::new(),
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
            shortage_key: None,
            request_id: request_id.to_owned(),
            route: None,
            fingerprint: None,
            lacks_version: false,
        }
    }

    /// Adds what was tried, for the log.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Makes the error response.
    pub fn to_response(&self, request_id_header: &'static str) -> Response<ResponseBody> {
        let row = self.code.row();
        let error = json!({ "code": row.number, "name": row.name, "message": row.meaning });
        let text = json!({ "error": error }).to_string();
        let mut response = Response::new(ResponseBody::Buffered(Full::new(Bytes::from(text))));
        *response.status_mut() =
            StatusCode::from_u16(row.http_status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(&self.request_id) {
            headers.insert(HeaderName::from_static(request_id_header), id);
        }
        if row.repeat == Repeat::Later {
            let seconds = format!("{:.2}", self.retry_after_ms as f64 / 1_000.0);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, seconds);
            }
        }
        response
    }
}
