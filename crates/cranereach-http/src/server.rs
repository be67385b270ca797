//! Server for HTTP/1 and HTTP/2 with graceful shutdown.
//!
//! If the body of a response fails, the caller sees that it is incomplete: HTTP/2 resets the stream,
//! and HTTP/1.1 closes the connection without the last chunk. In HTTP/1.0 the end of the connection
//! ends the body, so the connection is reset instead (see [`reset`]).

mod reset;
mod response_body;

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

use self::reset::ResetSignal;
use self::reset::ResettableStream;
use self::response_body::ResponseBody;
use crate::intake::Intake;
use crate::intake::TakenConnection;
use crate::meter::Metered;
use crate::meter::Side;

/// Delay before the next attempt after accepting a connection failed, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// Options of a listener.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Timeout for receiving the headers of a request, in milliseconds.
    pub header_within_ms: u64,
    /// Largest size of the headers of a request, in bytes.
    pub header_max_bytes: usize,
    /// Decides which connections are taken; `None` takes all.
    pub intake: Option<Arc<Intake>>,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            header_within_ms: 10_000,
            header_max_bytes: 32 * 1024,
            intake: None,
        }
    }
}

/// Error by which a handler closes the connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the connection is closed without an answer")]
pub struct Closed;

/// Serves connections until `stopping` becomes true, then closes the listener and waits for
/// the requests in progress.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    options: ServeOptions,
    stopping: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, Closed>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send + Unpin,
{
    let builder = Arc::new(builder(&options));
    let meter = options
        .intake
        .as_ref()
        .map_or_else(Arc::default, |intake| Arc::clone(intake.meter()));
    let mut stop = stopping.clone();
    // Each connection holds a sender, so that the channel closes with the last one.
    let (open, mut all_closed) = mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _changed = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok(stream) = configure(accepted) else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        let taken = match options.intake.as_ref().map(Intake::open).transpose() {
            Ok(taken) => taken.map(Arc::new),
            // Dropping the stream closes the connection unread.
            Err(_reason) => continue,
        };
        let connection = serve_connection(
            Arc::clone(&builder),
            Metered::new(stream, &meter, Side::Callers),
            taken,
            stopping.clone(),
            handler.clone(),
        );
        let open = open.clone();
        tokio::spawn(async move {
            connection.await;
            drop(open);
        });
    }
    drop(listener);
    drop(open);
    let _all_closed = all_closed.recv().await;
}

/// Serves one connection until it ends. Once `stopping` becomes true, or the connection is to be
/// closed, it ends after the requests in progress.
async fn serve_connection<H, F, B>(
    builder: Arc<auto::Builder<TokioExecutor>>,
    stream: Metered<TcpStream>,
    taken: Option<Arc<TakenConnection>>,
    mut stopping: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, Closed>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send + Unpin,
{
    let signal = ResetSignal::default();
    let stream = ResettableStream::new(stream, &signal, taken.clone());
    let request_taken = taken.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let open = request_taken.as_deref().map(TakenConnection::begin_request);
        // Boxed, since an idle connection would otherwise reserve the memory of a request.
        let responding = Box::pin(handler(request));
        let signal = signal.clone();
        let taken = request_taken.clone();
        async move {
            let response = responding.await?;
            let mut response = response.map(|body| ResponseBody::new(body, version, &signal, open));
            if let Some(taken) = taken.filter(|taken| taken.ends_after_answer()) {
                end_after_answer(&taken, version, &mut response);
            }
            Ok::<_, Closed>(response)
        }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Connection errors need no handling here: open requests end with their connection.
        _ended = connection.as_mut() => return,
        _changed = stopping.wait_for(|stopping| *stopping) => {}
        () = until_closing(taken.as_deref()) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}

/// Waits until a connection is to be closed; forever if nothing decides on that.
async fn until_closing(taken: Option<&TakenConnection>) {
    match taken {
        Some(taken) => taken.until_closing().await,
        None => pending().await,
    }
}

/// Ends a connection after its answer.
fn end_after_answer<B>(taken: &TakenConnection, version: Version, response: &mut Response<B>) {
    if version == Version::HTTP_2 {
        taken.close();
    } else {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}

/// Configures the socket of an accepted connection.
fn configure(accepted: io::Result<(TcpStream, std::net::SocketAddr)>) -> io::Result<TcpStream> {
    let (stream, _peer) = accepted?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Creates the connection builder of a listener.
fn builder(options: &ServeOptions) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(options.header_within_ms))
        .max_buf_size(options.header_max_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(options.header_max_bytes as u32);
    builder
}
