//! Pool of connections to one upstream; each connection carries one request at a time.
//!
//! Upstreams are called over HTTP/1.1: the connection ties an answer to its request, and
//! closing the connection cancels the request that runs on it.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

use crate::body_end::ResponseBody;
use crate::clock::boottime_ms;
use crate::connector::Connector;
use crate::head_limit::HeadBudget;
use crate::liveness;
use crate::meter::Meter;
use crate::meter::Metered;
use crate::meter::Side;

/// Maximum number of idle connections kept per upstream.
const IDLE_MAX_COUNT: usize = 256;

/// Largest buffer of one connection, in bytes; limits the memory that a fast upstream can fill.
const BUFFER_MAX_BYTES: usize = 32 * 1024;

/// Reasons why a request failed.
#[derive(Debug, Error)]
pub enum SendError<B> {
    /// No byte of the request was sent; the request is returned.
    #[error("the connection closed before the request was sent")]
    Unsent(Box<Request<B>>),
    /// Bytes of the request may have been sent.
    #[error("the connection failed after the request may have been sent: {0}")]
    Broken(#[source] hyper::Error),
}

/// Reasons why no connection could be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The connection could not be opened or configured.
    #[error("can't connect: {0}")]
    Refused(#[from] std::io::Error),
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Idle connection.
struct IdleConnection<B> {
    sender: SendRequest<B>,
    via: Option<Ipv4Addr>,
    /// Time until which it may be used, in milliseconds since the machine booted; `None` if
    /// it may be used for as long as it is open.
    expires_at_ms: Option<u64>,
    told_start_unix_ms: Option<u64>,
    head_budget: Arc<HeadBudget>,
}

/// Idle connections, the most recently used at the end.
type IdleList<B> = Arc<Mutex<Vec<IdleConnection<B>>>>;

/// Pool of connections to one address.
pub struct Pool<B> {
    address: String,
    connector: Connector,
    idle: IdleList<B>,
    silent_max_ms: Option<u64>,
    resets_on_close: bool,
    meter: Arc<Meter>,
    side: Side,
}

impl<B> std::fmt::Debug for Pool<B> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Connection in use, taken from a pool.
pub struct Connection<B> {
    sender: SendRequest<B>,
    idle_list: IdleList<B>,
    is_reused: bool,
    /// Host that relays the connection; none if it is direct.
    via: Option<Ipv4Addr>,
    /// Start of the process at the other end, as it told over this connection, in milliseconds of
    /// Unix time.
    told_start_unix_ms: Option<u64>,
    head_budget: Arc<HeadBudget>,
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
    /// Creates a pool for an address of the form `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            connector: Connector::default(),
            idle: Arc::default(),
            silent_max_ms: None,
            resets_on_close: false,
            meter: Arc::default(),
            side: Side::Workers,
        }
    }

    /// Opens connections with a connector instead of directly.
    #[must_use]
    pub fn with_connector(mut self, connector: &Connector) -> Self {
        self.connector = connector.clone();
        self
    }

    /// Makes connections send a reset when they are closed.
    ///
    /// This discards unsent data, so that an abandoned call isn't delivered later, such as
    /// after a network partition has healed.
    #[must_use]
    pub fn with_reset_on_close(mut self) -> Self {
        self.resets_on_close = true;
        self
    }

    /// Breaks a connection if the other end acknowledges nothing for this time.
    #[must_use]
    pub fn with_silent_max_ms(mut self, silent_max_ms: u64) -> Self {
        self.silent_max_ms = Some(silent_max_ms);
        self
    }

    /// Counts the connections, as those to a side, and their bytes.
    #[must_use]
    pub fn with_meter(mut self, meter: &Arc<Meter>, side: Side) -> Self {
        self.meter = Arc::clone(meter);
        self.side = side;
        self
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Takes an idle connection, or opens one.
    pub async fn take(&self) -> Result<Connection<B>, ConnectError> {
        match self.take_idle(|_via| true) {
            Some(connection) => Ok(connection),
            None => self.make().await,
        }
    }

    /// Takes the most recently used idle connection among those that may be used, given the host
    /// that relays each, if any.
    pub fn take_idle(&self, may_use: impl Fn(Option<Ipv4Addr>) -> bool) -> Option<Connection<B>> {
        let idle = self.pop_idle(may_use)?;
        Some(Connection {
            sender: idle.sender,
            idle_list: Arc::clone(&self.idle),
            is_reused: true,
            via: idle.via,
            told_start_unix_ms: idle.told_start_unix_ms,
            head_budget: idle.head_budget,
        })
    }

    /// Opens a new connection, for a call that must not fail because the upstream closes a reused
    /// one at the same time.
    pub async fn make(&self) -> Result<Connection<B>, ConnectError> {
        let stream = self.connect().await?;
        self.make_on(stream, None).await
    }

    /// Opens a TCP connection with the options of this pool.
    pub async fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = self.connector.connect(&self.address).await?;
        stream.set_nodelay(true)?;
        if let Some(silent_max_ms) = self.silent_max_ms {
            // Systems without the options rely on the deadlines of calls.
            let _set = liveness::break_when_silent(&stream, silent_max_ms);
        }
        if self.resets_on_close {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        Ok(stream)
    }

    /// Makes a connection of a byte stream to the upstream, which the host `via` may relay.
    pub async fn make_on<S>(
        &self,
        stream: S,
        via: Option<Ipv4Addr>,
    ) -> Result<Connection<B>, ConnectError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let head_budget = Arc::default();
        let stream = Metered::new(stream, &self.meter, self.side).with_head_budget(&head_budget);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // A connection error is also reported to the task that waits on the sender.
            let _ended = connection.await;
        });
        Ok(Connection {
            sender,
            idle_list: Arc::clone(&self.idle),
            is_reused: false,
            via,
            told_start_unix_ms: None,
            head_budget,
        })
    }

    /// Removes the most recently used idle connection that may be used, is open and hasn't expired.
    /// Drops those found closed or expired before it.
    fn pop_idle(&self, may_use: impl Fn(Option<Ipv4Addr>) -> bool) -> Option<IdleConnection<B>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = boottime_ms();
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            let candidate = &idle[index];
            let is_fresh = candidate
                .expires_at_ms
                .is_none_or(|expires_at_ms| now_ms < expires_at_ms);
            if !is_fresh || !candidate.sender.is_ready() {
                idle.remove(index);
            } else if may_use(candidate.via) {
                return Some(idle.remove(index));
            }
        }
        None
    }
}

impl<B> Connection<B>
where
    B: Body + 'static,
{
    /// Returns whether the connection was reused, that is, idle before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the host that relays the connection; none if it is direct.
    pub fn via(&self) -> Option<Ipv4Addr> {
        self.via
    }

    /// Returns the start of the process at the other end, in milliseconds of Unix time, if it has
    /// told that over this connection. It holds for as long as the connection, which ends with the
    /// process that accepted it.
    pub fn told_start_unix_ms(&self) -> Option<u64> {
        self.told_start_unix_ms
    }

    /// Records the start that the process at the other end told over this connection, in
    /// milliseconds of Unix time.
    pub fn set_told_start_unix_ms(&mut self, started_unix_ms: u64) {
        self.told_start_unix_ms = Some(started_unix_ms);
    }

    /// Waits until another request can be sent. Returns whether the connection is still open.
    pub async fn until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the connection has been closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the status and headers of its answer. Fails if the upstream
    /// sends more than [`crate::head_limit::HEAD_MAX_BYTES`] before these are complete.
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<ResponseBody>, SendError<B>> {
        self.head_budget.begin();
        let sent = self.sender.try_send_request(request).await;
        self.head_budget.end();
        match sent {
            Ok(response) => Ok(ResponseBody::wrap(response)),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None => SendError::Broken(error.into_error()),
            }),
        }
    }

    /// Returns the connection to the pool. Must only be called while no answer is outstanding.
    pub fn keep(self) {
        self.keep_until(None);
    }

    /// Returns the connection to the pool, for reuse within `idle_max_ms`.
    pub fn keep_for(self, idle_max_ms: u64) {
        self.keep_until(Some(boottime_ms() + idle_max_ms));
    }

    /// Returns the connection to the pool, for reuse until a time.
    fn keep_until(self, expires_at_ms: Option<u64>) {
        if self.sender.is_closed() {
            return;
        }
        let mut idle = self
            .idle_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now_ms = boottime_ms();
        idle.retain(|candidate| {
            candidate
                .expires_at_ms
                .is_none_or(|expires_at_ms| now_ms < expires_at_ms)
        });
        if idle.len() < IDLE_MAX_COUNT {
            idle.push(IdleConnection {
                sender: self.sender,
                via: self.via,
                expires_at_ms,
                told_start_unix_ms: self.told_start_unix_ms,
                head_budget: self.head_budget,
            });
        }
    }
}
