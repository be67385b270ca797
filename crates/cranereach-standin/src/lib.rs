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
use hyper::Response;

/// Answer of a stand-in's own paths.
type Answer = Response<Full<Bytes>>;

/// Largest body that a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time for a body to arrive, in milliseconds.
const BODY_WITHIN_MS: u64 = 60_000;

/// Locks a mutex, also after a panic elsewhere.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
