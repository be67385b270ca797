//! Kept connections to one upstream, one request at a time on each.
//!
//! HTTP/1.1 towards upstreams: an answer is bound to its request by the
//! connection, and leaving a connection cancels what runs on it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::clock::boot_ms;

/// Most idle connections kept per upstream.
const IDLE_MAX_COUNT: usize = 256;

/// Largest buffer of one connection, so that a fast upstream fills no memory.
const BUFFER_MAX_BYTES: usize = 32 * 1024;

/// How a request failed.
#[derive(Debug, Error)]
pub enum SendError<B> {
    /// The request was handed back: no byte of it left.
    #[error("the connection closed before the request was sent")]
    Unsent(Box<Request<B>>),
    /// Bytes may have left.
    #[error("the connection broke: {0}")]
    Broken(#[source] hyper::Error),
}

/// Why no connection could be made.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The system refused.
    #[error("can't connect: {0}")]
    Refused(#[from] std::io::Error),
    /// The protocol could not be started.
    #[error("can't start HTTP: {0}")]
    Handshake(#[from] hyper::Error),
}

/// A connection that rests.
struct Idle<B> {
    sender: SendRequest<B>,
    /// Until when it may be used again, in milliseconds since the machine's start; none
    /// for as long as it is open.
    until_ms: Option<u64>,
}

/// Connections that rest, the one used last at the end.
type IdleList<B> = Arc<Mutex<Vec<Idle<B>>>>;

/// Pool of connections to one address.
pub struct Pool<B> {
    address: String,
    idle: IdleList<B>,
    silence_max_ms: Option<u64>,
    does_reset: bool,
}

impl<B> std::fmt::Debug for Pool<B> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A connection taken from the pool.
pub struct Connection<B> {
    sender: SendRequest<B>,
    home: IdleList<B>,
    is_reused: bool,
}

impl<B> std::fmt::Debug for Connection<B> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("is_reused", &self.is_reused)
            .finish_non_exhaustive()
    }
}

impl<B> Pool<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Makes a pool for `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            idle: Arc::default(),
            silence_max_ms: None,
            does_reset: false,
        }
    }

    /// Resets connections that are given up, so that what the network still holds
    /// back of a call, as behind a cut, never arrives later.
    #[must_use]
    pub fn with_reset(mut self) -> Self {
        self.does_reset = true;
        self
    }

    /// Breaks a connection whose peer hasn't confirmed sent bytes for so long.
    #[must_use]
    pub fn with_silence_max_ms(mut self, silence_max_ms: u64) -> Self {
        self.silence_max_ms = Some(silence_max_ms);
        self
    }

    /// Returns the address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Takes a kept connection, or makes one.
    pub async fn take(&self) -> Result<Connection<B>, ConnectError> {
        if let Some(sender) = self.pop_idle() {
            return Ok(Connection {
                sender,
                home: Arc::clone(&self.idle),
                is_reused: true,
            });
        }
        self.make().await
    }

    /// Makes a new connection, for a call that must not meet an old one's end.
    pub async fn make(&self) -> Result<Connection<B>, ConnectError> {
        let stream = TcpStream::connect(&self.address).await?;
        stream.set_nodelay(true)?;
        if let Some(silence_max_ms) = self.silence_max_ms {
            let silence_max = Duration::from_millis(silence_max_ms);
            // Where the system lacks the option, deadlines alone end the wait.
            let _set = SockRef::from(&stream).set_tcp_user_timeout(Some(silence_max));
        }
        if self.does_reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The error reaches whoever waits on the sender.
            let _ended = connection.await;
        });
        Ok(Connection {
            sender,
            home: Arc::clone(&self.idle),
            is_reused: false,
        })
    }

    /// Removes a kept connection that is still good.
    fn pop_idle(&self) -> Option<SendRequest<B>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = boot_ms();
        while let Some(rested) = idle.pop() {
            let is_fresh = rested.until_ms.is_none_or(|until_ms| now_ms < until_ms);
            if is_fresh && rested.sender.is_ready() {
                return Some(rested.sender);
            }
        }
        None
    }
}

impl<B> Connection<B>
where
    B: Body + 'static,
{
    /// Whether the connection carried a request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<B>) -> Result<Response<Incoming>, SendError<B>> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None => SendError::Broken(error.into_error()),
            })
    }

    /// Keeps the connection for another request; call it after a whole answer.
    pub fn keep(self) {
        self.keep_until(None);
    }

    /// Keeps the connection for another request within `rest_max_ms`.
    pub fn keep_for(self, rest_max_ms: u64) {
        self.keep_until(Some(boot_ms() + rest_max_ms));
    }

    /// Keeps the connection for another request until a time.
    fn keep_until(self, until_ms: Option<u64>) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self.home.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = boot_ms();
        idle.retain(|rested| rested.until_ms.is_none_or(|until_ms| now_ms < until_ms));
        if idle.len() < IDLE_MAX_COUNT {
            idle.push(Idle {
                sender: self.sender,
                until_ms,
            });
        }
    }
}
