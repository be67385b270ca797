//! Error responses: result code, request identity and Retry-After.

use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;

use super::ResponseBody;
use cranereach_core::codes::Ran;
use cranereach_core::codes::Repeat;
use cranereach_core::codes::ResultCode;
use cranereach_core::names::AccountName;
use cranereach_http::body;

/// Retry-After of a refusal without a better estimate, in milliseconds.
const RETRY_AFTER_DEFAULT_MS: u64 = 1_000;

/// Reason and details of a request that is answered with an error.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Result code.
    pub(crate) code: ResultCode,
    /// Earliest useful time of a retry, in milliseconds from now.
    pub(crate) retry_after_ms: u64,
    /// Text appended to the meaning of the code.
    pub(crate) detail: Option<String>,
    /// Account of the request; set only if a `RequestRecord` has already recorded the refusal.
    pub(crate) account: Option<AccountName>,
}

/// Body of an error response, and data of an error event.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// Content of an error.
#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: u16,
    name: &'a str,
    message: String,
    ran: &'a str,
    request: &'a str,
}

impl Refusal {
    /// Whether the caller may still be sending the request body, so that the connection must close.
    pub(crate) fn leaves_body_unread(&self) -> bool {
        matches!(
            self.code,
            ResultCode::BodyTooLarge | ResultCode::RequestTooSlow
        )
    }

    /// Creates a refusal from a code, without further detail.
    pub(crate) fn of(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: RETRY_AFTER_DEFAULT_MS,
            detail: None,
            account: None,
        }
    }

    /// Sets the text that is appended to the meaning of the code.
    pub(crate) fn with_detail(mut self, detail: String) -> Self {
        self.detail = Some(detail);
        self
    }
}

/// Builds the error response for a refusal.
pub(crate) fn build(refusal: &Refusal, request_name: &str) -> Response<ResponseBody> {
    let row = refusal.code.row();
    let body = error_body(refusal.code, refusal.detail.as_deref(), request_name);
    let mut response = body::json(row.http_status, &body).map(ResponseBody::buffered);
    if row.repeat == Repeat::Later {
        let seconds = refusal.retry_after_ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds the error event that ends an aborted event stream.
pub(crate) fn event(code: ResultCode, request_name: &str) -> Bytes {
    let body = error_body(code, None, request_name);
    let text = serde_json::to_string(&body).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {text}\n\n"))
}

/// Builds the error body for a code.
fn error_body<'a>(code: ResultCode, detail: Option<&str>, request: &'a str) -> ErrorBody<'a> {
    let row = code.row();
    let message = detail.map_or_else(
        || row.meaning.to_owned(),
        |detail| format!("{} {detail}", row.meaning),
    );
    let ran = match row.ran {
        Ran::Whole => "whole",
        Ran::No => "no",
        Ran::Unknown => "unknown",
        Ran::NotApplicable => "not_applicable",
    };
    ErrorBody {
        error: ErrorDetail {
            code: row.number,
            name: row.name,
            message,
            ran,
            request,
        },
    }
}
