//! Reading bodies within limits of size and time, and building JSON responses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Response;
use hyper::body::Body;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;
use thiserror::Error;

/// Reasons why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// Reading failed before the end, usually because the connection was closed.
    #[error("the body ended before it was complete")]
    Broken,
}

/// Reads a whole body of at most `max_bytes` within `timeout_ms`.
pub async fn collect<B>(body: B, max_bytes: usize, timeout_ms: u64) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collecting = Limited::new(body, max_bytes).collect();
    let collected = tokio::time::timeout(Duration::from_millis(timeout_ms), collecting).await;
    match collected {
        Err(_elapsed) => Err(BodyError::TooSlow),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_broken)) => Err(BodyError::Broken),
    }
}

/// Builds a response with a JSON body.
///
/// # Panics
///
/// Panics if the value doesn't serialize to JSON, which all message types of this project
/// do, or if `status` isn't a valid HTTP status code.
///
/// ```
/// let answer = cranereach_http::body::json(200, &[1, 2]);
/// assert_eq!(answer.status(), 200);
/// ```
pub fn json<T: Serialize>(status: u16, value: &T) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(value).expect("message types serialize to JSON");
    let mut answer = Response::new(Full::new(Bytes::from(bytes)));
    *answer.status_mut() =
        hyper::StatusCode::from_u16(status).expect("callers pass valid status codes");
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
