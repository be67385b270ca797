//! Stand-ins (simulated versions) of the external systems: the platform, engines and plain
//! services.
//!
//! Each runs as its own process (`cranereach stand-in ...`) or inside a test. They count what the
//! guarantees are checked against (memory in use, runs per call) and accept faults to inject at
//! `POST /stand-in/faults`. [`relay`] is a TCP relay that can interrupt or delay the connections
//! between two processes, and [`narrow_link`] one that limits their bytes. [`balancer`] chooses the
//! instances that callers connect to. [`load`] is a test client.

pub mod balancer;
pub mod engine;
pub mod load;
pub mod narrow_link;
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

/// Response with a complete body.
type Answer = Response<Full<Bytes>>;

/// Largest request body that a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time-out for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 60_000;

/// Spawns a task that serves requests on a listener until `stopping` turns true.
fn serve<H, F, B>(listener: TcpListener, stopping: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, Closed>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send + Unpin,
{
    let options = ServeOptions::default();
    tokio::spawn(server::serve(listener, options, stopping, handler));
}

/// Locks a mutex, even if it is poisoned.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
