//! Client for JSON interfaces; each call has a timeout.

use std::future::ready;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::connector::Connector;
use crate::meter::Meter;
use crate::meter::Side;
use crate::pool::Pool;
use crate::pool::SendError;

/// Largest response body that is accepted, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Timeout for connecting, in milliseconds.
///
/// It doesn't depend on the timeout of the call, so that a call with a long timeout still
/// fails early if nobody accepts the connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Reasons why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent: the permit was refused.
    #[error("{address}: sending was not permitted")]
    NotPermitted {
        /// Address of the server.
        address: String,
    },
    /// Nothing was sent: there was no connection.
    #[error("{address}: could not be reached")]
    NotSent {
        /// Address of the server.
        address: String,
    },
    /// No complete answer came in time; the request may have taken effect.
    #[error("{address}: no complete answer; the request may have taken effect")]
    Unanswered {
        /// Address of the server.
        address: String,
    },
    /// The answer can't be decoded, or the request could not be built.
    #[error("{address}: invalid message (HTTP status {status}): {detail}")]
    Garbled {
        /// Address of the server.
        address: String,
        /// HTTP status; zero if the request could not be built.
        status: u16,
        /// Text of the underlying error.
        detail: String,
    },
}

/// Response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// Client for the JSON interface at one address.
#[derive(Debug)]
pub struct JsonClient {
    pool: Pool<Full<Bytes>>,
    token: Option<String>,
    header: Option<(&'static str, String)>,
}

impl JsonClient {
    /// Creates a client for an address of the form `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            // An order or write whose caller has given up must not be delivered seconds later.
            pool: Pool::new(address).with_reset_on_close(),
            token: None,
            header: None,
        }
    }

    /// Opens connections with a connector instead of directly.
    #[must_use]
    pub fn with_connector(mut self, connector: &Connector) -> Self {
        self.pool = self.pool.with_connector(connector);
        self
    }

    /// Counts the connections, as those to a side, and their bytes.
    #[must_use]
    pub fn with_meter(mut self, meter: &Arc<Meter>, side: Side) -> Self {
        self.pool = self.pool.with_meter(meter, side);
        self
    }

    /// Adds a header to each call.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.header = Some((name, value.to_owned()));
        self
    }

    /// Adds a bearer token to each call.
    #[must_use]
    pub fn with_token(mut self, token: &str) -> Self {
        self.token = Some(token.to_owned());
        self
    }

    /// Returns the address of the server.
    pub fn address(&self) -> &str {
        self.pool.address()
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str, timeout_ms: u64) -> Result<Answer, CallError> {
        self.call(Method::GET, path, Bytes::new(), timeout_ms).await
    }

    /// Sends a GET request if `permit` grants it, as in [`JsonClient::post_bytes_with_permit`].
    pub async fn get_with_permit<T, F>(
        &self,
        path: &str,
        timeout_ms: u64,
        permit: impl Fn() -> F,
    ) -> Result<(Answer, T), CallError>
    where
        F: Future<Output = Option<T>>,
    {
        self.call_with_permit(Method::GET, path, Bytes::new(), timeout_ms, permit)
            .await
    }

    /// Sends a POST request with a value as JSON.
    pub async fn post<T: Serialize>(
        &self,
        path: &str,
        value: &T,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        let bytes =
            serde_json::to_vec(value).map_err(|error| self.garbled(0, &error.to_string()))?;
        self.call(Method::POST, path, Bytes::from(bytes), timeout_ms)
            .await
    }

    /// Sends a POST request with a body of bytes.
    pub async fn post_bytes(
        &self,
        path: &str,
        bytes: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        self.call(Method::POST, path, bytes, timeout_ms).await
    }

    /// Sends a POST request if `permit` grants it; returns the permit with the answer.
    ///
    /// The permit is requested once the connection is open, right before the request is
    /// sent, and again before each retry. Without a permit, the call fails with
    /// [`CallError::NotPermitted`].
    pub async fn post_bytes_with_permit<T, F>(
        &self,
        path: &str,
        bytes: Bytes,
        timeout_ms: u64,
        permit: impl Fn() -> F,
    ) -> Result<(Answer, T), CallError>
    where
        F: Future<Output = Option<T>>,
    {
        self.call_with_permit(Method::POST, path, bytes, timeout_ms, permit)
            .await
    }

    /// Sends a PUT request with a body of bytes.
    pub async fn put(
        &self,
        path: &str,
        bytes: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        self.call(Method::PUT, path, bytes, timeout_ms).await
    }

    /// Decodes the JSON body of an answer.
    pub fn read<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, CallError> {
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.garbled(answer.status, &error.to_string()))
    }

    /// Makes a call that needs no permit.
    async fn call(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        let permit = || ready(Some(()));
        let called = self.call_with_permit(method, path, bytes, timeout_ms, permit);
        called.await.map(|(answer, ())| answer)
    }

    /// Makes a call with a permit, within `timeout_ms` in all.
    async fn call_with_permit<T, F>(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
        timeout_ms: u64,
        permit: impl Fn() -> F,
    ) -> Result<(Answer, T), CallError>
    where
        F: Future<Output = Option<T>>,
    {
        let calling = self.exchange(method, path, bytes, permit);
        tokio::time::timeout(Duration::from_millis(timeout_ms), calling)
            .await
            .map_err(|_elapsed| CallError::Unanswered {
                address: self.address().to_owned(),
            })?
    }

    /// Sends the request and reads the whole answer.
    ///
    /// If a reused connection turns out to be closed before any byte of the request was
    /// sent, the request is retried on another connection.
    async fn exchange<T, F>(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
        permit: impl Fn() -> F,
    ) -> Result<(Answer, T), CallError>
    where
        F: Future<Output = Option<T>>,
    {
        let mut request = self.request(method, path, bytes)?;
        let not_sent = || CallError::NotSent {
            address: self.address().to_owned(),
        };
        let unanswered = || CallError::Unanswered {
            address: self.address().to_owned(),
        };
        loop {
            let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
            let taken = tokio::time::timeout(connect_timeout, self.pool.take()).await;
            let taken = taken.map_err(|_elapsed| not_sent())?;
            let mut connection = taken.map_err(|_refused| not_sent())?;
            let Some(permit) = permit().await else {
                connection.keep();
                return Err(CallError::NotPermitted {
                    address: self.address().to_owned(),
                });
            };
            let head = match connection.send(request).await {
                Ok(head) => head,
                Err(SendError::Unsent(unsent)) if connection.is_reused() => {
                    request = *unsent;
                    continue;
                }
                Err(SendError::Unsent(_)) => return Err(not_sent()),
                Err(SendError::Broken(_)) => return Err(unanswered()),
            };
            let (head, body) = head.into_parts();
            let collected = body
                .collect(ANSWER_MAX_BYTES, u64::from(u32::MAX))
                .await
                .map_err(|_broken| unanswered())?;
            connection.keep();
            let answer = Answer {
                status: head.status.as_u16(),
                headers: head.headers,
                // A body that ended undeclared is checked by decoding: no message is the beginning
                // of another one.
                body: collected.bytes,
            };
            return Ok((answer, permit));
        }
    }

    /// Builds a request with the headers of this client.
    fn request(
        &self,
        method: Method,
        path: &str,
        bytes: Bytes,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address());
        if !bytes.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        if let Some(token) = &self.token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some((name, value)) = &self.header {
            builder = builder.header(*name, value);
        }
        builder
            .body(Full::new(bytes))
            .map_err(|error| self.garbled(0, &error.to_string()))
    }

    /// Returns the error for a message that can't be encoded or decoded.
    fn garbled(&self, status: u16, detail: &str) -> CallError {
        CallError::Garbled {
            address: self.address().to_owned(),
            status,
            detail: detail.to_owned(),
        }
    }
}
