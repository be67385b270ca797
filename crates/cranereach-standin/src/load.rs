//! Test client that sends requests and records the outcomes.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use hyper::header::RETRY_AFTER;
use serde_json::json;

use cranereach_http::body_end::BodyEnd;
use cranereach_http::body_end::BodyPart;
use cranereach_http::body_end::ResponseBody;
use cranereach_http::pool::Pool;
use cranereach_http::pool::SendError;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Bearer token.
    pub key: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// Outcome of a call.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// HTTP status; zero if there was no response.
    pub status: u16,
    /// Result code in the error response or error event, if any.
    pub code: Option<u16>,
    /// Response body as text.
    pub text: String,
    /// Time to the first byte of the body, in microseconds.
    pub first_us: Option<u64>,
    /// Total time of the call, in microseconds.
    pub whole_us: u64,
    /// Longest time between two data frames, in microseconds.
    pub gap_max_us: u64,
    /// Whether the body ended as declared.
    pub has_declared_end: bool,
    /// Whether the response is complete; a stream must end with `[DONE]`.
    pub is_whole: bool,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Call {
    /// Creates a chat completion request, streamed or not.
    ///
    /// ```
    /// let call = cranereach_standin::load::Call::chat("key", "model", "hello", 8, true);
    /// assert_eq!(call.path, "/v1/chat/completions");
    /// ```
    pub fn chat(key: &str, model: &str, prompt: &str, tokens: u32, stream: bool) -> Self {
        let body = json!({
            "model": model,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        Self {
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
            body: Bytes::from(body.to_string()),
        }
    }

    /// Creates a call to a plain service.
    pub fn plain(key: &str, method: Method, path: &str, body: &str) -> Self {
        let body = Bytes::from(body.to_owned());
        Self {
            method,
            path: path.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
            body,
        }
    }

    /// Sets a header, replacing an earlier value.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// Sends one call and reads the complete response.
pub async fn send(pool: &Pool<Full<Bytes>>, call: &Call) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    exchange(pool, call, started, &mut outcome).await;
    outcome.whole_us = micros(started.elapsed());
    outcome.code = outcome.code.or_else(|| find_error_code(&outcome.text));
    outcome
}

/// Sends one call; a pooled connection that turns out to be closed is replaced.
async fn exchange(pool: &Pool<Full<Bytes>>, call: &Call, started: Instant, outcome: &mut Outcome) {
    let mut request = build_request(pool.address(), call);
    loop {
        let Ok(mut connection) = pool.take().await else {
            return;
        };
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(SendError::Unsent(unsent)) => {
                request = *unsent;
                continue;
            }
            Err(SendError::Broken(_)) => return,
        };
        outcome.status = answer.status().as_u16();
        let retry_after = answer
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok());
        outcome.retry_after_s = retry_after.and_then(|text| text.parse().ok());
        let is_stream = answer
            .headers()
            .get(hyper::header::CONTENT_TYPE)
            .is_some_and(|value| value == "text/event-stream");
        outcome.has_declared_end = read_body(answer.into_body(), started, outcome).await;
        if outcome.has_declared_end {
            outcome.is_whole = !is_stream || outcome.text.ends_with("data: [DONE]\n\n");
            connection.keep();
        }
        return;
    }
}

/// Reads the body; returns whether it ended as declared.
async fn read_body(mut body: ResponseBody, started: Instant, outcome: &mut Outcome) -> bool {
    let mut last_us = 0;
    loop {
        let data = match body.next_part().await {
            BodyPart::Data(data) => data,
            BodyPart::End(end) => return end == BodyEnd::Declared,
        };
        let now_us = micros(started.elapsed());
        if outcome.first_us.is_none() {
            outcome.first_us = Some(now_us);
        } else {
            outcome.gap_max_us = outcome.gap_max_us.max(now_us - last_us);
        }
        last_us = now_us;
        outcome.text.push_str(&String::from_utf8_lossy(&data));
    }
}

/// Builds the HTTP request.
fn build_request(address: &str, call: &Call) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, address)
        .header(AUTHORIZATION, format!("Bearer {}", call.key));
    for (name, value) in &call.headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(Full::new(call.body.clone()))
        .expect("all parts of a call are valid")
}

/// Finds the result code in the text of an error response or error event.
fn find_error_code(text: &str) -> Option<u16> {
    let (_, after) = text.split_once("\"error\":{\"code\":")?;
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Converts a duration to microseconds.
fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
