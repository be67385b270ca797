//! Answers that say why a request was not served.

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

/// Retry-After where the workers that hold the model can't be reached, in milliseconds.
pub const NO_HOLDER_RETRY_AFTER_MS: u64 = 1_500;

/// A request that gets an error in place of an answer.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Why.
    pub code: ResultCode,
    /// What was tried, for the log.
    pub detail: String,
    /// When a repeat is worth it, in milliseconds.
    pub retry_after_ms: u64,
    /// Key of what there is none of for now, where more callers want it than there is
    /// room for; the time to come back then depends on how long that has lasted.
    pub shortage_key: Option<u64>,
    /// Identity of the request, if it has one.
    pub request_id: String,
    /// Route, if there is one.
    pub route: Option<Arc<str>>,
    /// Fingerprint of what was asked for, where that is the reason.
    pub fingerprint: Option<Fingerprint>,
}

impl Refusal {
    /// Makes a refusal.
    pub fn new(code: ResultCode, request_id: &str) -> Self {
        Self {
            code,
            detail: String::new(),
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
            shortage_key: None,
            request_id: request_id.to_owned(),
            route: None,
            fingerprint: None,
        }
    }

    /// Adds what was tried.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Makes the answer.
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
