//! Small stand-ins of what isn't ours: the platform, engines, plain services.
//!
//! Each runs as its own process (`cranereach stand-in ...`) or inside a test.
//! They count what the promises are about (real memory, runs per call) and take
//! faults at `POST /stand-in/faults`. [`relay`] stands in the path between two
//! processes and cuts or holds it. [`load`] is a caller.

pub mod engine;
pub mod load;
pub mod platform;
pub mod relay;
pub mod service;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use cranereach_http::server;
use cranereach_http::server::Closed;
use cranereach_http::server::ServeOptions;

/// Answer of a stand-in's own paths.
type Answer = Response<Full<Bytes>>;

/// Largest body that a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time for a body to arrive, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 60_000;

/// Answers requests on a listener in a task of its own, until `stopping` turns true.
fn serve<H, F, B>(listener: TcpListener, stopping: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<B>, Closed>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let options = ServeOptions::default();
    tokio::spawn(server::serve(listener, options, stopping, handler));
}

/// Locks a mutex, also after a panic elsewhere.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
