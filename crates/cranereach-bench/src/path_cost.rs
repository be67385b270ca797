//! Overhead of an entry instance: added latency, calls and tokens per core, memory.
//!
//! The instance and the engine run as separate processes. The calls go through
//! the instance and, for comparison in the same run, directly to the engine.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use http_body_util::Full;
use serde::Serialize;

use crate::process;
use cranereach_http::pool::Pool;
use cranereach_http::system;
use cranereach_standin::load;
use cranereach_standin::load::Call;

/// Sequential calls on each path, for the added latency.
const SEQUENTIAL_CALL_COUNT: usize = 3_000;

/// Concurrent callers, for calls and tokens per core.
const CONCURRENT_CALLER_COUNT: usize = 64;

/// Duration of each phase with concurrent callers, in milliseconds.
const LOAD_PHASE_MS: u64 = 5_000;

/// Tokens of a streamed answer in the phase with concurrent callers.
const STREAM_TOKENS: u32 = 400;

/// Streams held open to measure the memory per stream.
const OPEN_STREAM_COUNT: usize = 1_000;

/// The instance and the engine to measure, and how to call them.
#[derive(Clone, Debug)]
pub struct Path {
    /// Address on which the instance accepts calls.
    pub through: String,
    /// Address of the engine.
    pub direct: String,
    /// Process id of the instance.
    pub process: String,
    /// API key, sent as a bearer token.
    pub key: String,
    /// Model to call, resident on the engine.
    pub model: String,
}

/// Measured overhead of an entry instance.
#[derive(Clone, Debug, Serialize)]
pub struct PathCost {
    /// Duration of a small call through the instance, in microseconds: 50th, 95th and 99th
    /// percentile.
    pub through_us: [u64; 3],
    /// Duration of a small call sent directly to the engine, with the same percentiles.
    pub direct_us: [u64; 3],
    /// Small calls per second with concurrent callers.
    pub calls_per_s: f64,
    /// Processor cores that the instance used during these calls.
    pub calls_cores: f64,
    /// Streamed tokens per second with concurrent callers.
    pub tokens_per_s: f64,
    /// Processor cores that the instance used during these streams.
    pub tokens_cores: f64,
    /// Resident memory of the idle instance, in bytes.
    pub rest_bytes: u64,
    /// Resident memory after the phases with concurrent callers, before the streams are opened, in
    /// bytes.
    pub after_busy_bytes: u64,
    /// Resident memory with the streams open, in bytes.
    pub open_bytes: u64,
    /// Number of open streams.
    pub open_count: usize,
}

/// Measures the overhead of an instance.
pub async fn measure(path: &Path) -> PathCost {
    let through = Arc::new(Pool::new(&path.through));
    let direct = Arc::new(Pool::new(&path.direct));
    let small = Call::chat(&path.key, &path.model, "small", 1, false);
    wait_until_served(&through, &small).await;
    let rest_bytes = system::resident_bytes_of(&path.process).unwrap_or_default();
    let mut durations_us = [Vec::new(), Vec::new()];
    // The calls alternate, so that other load on the machine affects both paths alike.
    for _call in 0..SEQUENTIAL_CALL_COUNT {
        for (pool, samples) in [&through, &direct].into_iter().zip(&mut durations_us) {
            samples.push(load::send(pool, &small).await.whole_us);
        }
    }
    let calls = measure_throughput(&through, &small, path).await;
    let stream = Call::chat(&path.key, &path.model, "stream", STREAM_TOKENS, true);
    let streams = measure_throughput(&through, &stream, path).await;
    let after_busy_bytes = system::resident_bytes_of(&path.process).unwrap_or_default();
    let open_bytes = open_streams_memory(&through, path).await;
    PathCost {
        through_us: quantiles(&durations_us[0]),
        direct_us: quantiles(&durations_us[1]),
        calls_per_s: calls.0,
        calls_cores: calls.1,
        tokens_per_s: streams.0 * f64::from(STREAM_TOKENS),
        tokens_cores: streams.1,
        rest_bytes,
        after_busy_bytes,
        open_bytes,
        open_count: OPEN_STREAM_COUNT,
    }
}

/// Repeats a call until it is served; by then, the model is resident.
async fn wait_until_served(pool: &Pool<Full<bytes::Bytes>>, call: &Call) {
    while load::send(pool, call).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends calls from concurrent callers; returns the answers per second and the processor cores
/// that the instance used.
async fn measure_throughput(
    pool: &Arc<Pool<Full<bytes::Bytes>>>,
    call: &Call,
    path: &Path,
) -> (f64, f64) {
    let started = Instant::now();
    let cpu_before_s = process::cpu_s(&path.process);
    let callers: Vec<_> = (0..CONCURRENT_CALLER_COUNT)
        .map(|_| {
            let pool = Arc::clone(pool);
            let call = call.clone();
            tokio::spawn(async move {
                let mut served = 0_u32;
                while started.elapsed().as_millis() < u128::from(LOAD_PHASE_MS) {
                    served += u32::from(load::send(&pool, &call).await.status == 200);
                }
                served
            })
        })
        .collect();
    let mut served = 0.0;
    for caller in callers {
        served += f64::from(caller.await.unwrap_or(0));
    }
    let seconds = started.elapsed().as_secs_f64();
    (
        served / seconds,
        (process::cpu_s(&path.process) - cpu_before_s) / seconds,
    )
}

/// Returns the resident memory of the instance while streams are open, in bytes.
async fn open_streams_memory(pool: &Arc<Pool<Full<bytes::Bytes>>>, path: &Path) -> u64 {
    // Most of them wait in the instance, like calls to a busy engine.
    let call = Call::chat(
        &path.key,
        &path.model,
        &"words ".repeat(100),
        2_000_000,
        true,
    );
    let streams: Vec<_> = (0..OPEN_STREAM_COUNT)
        .map(|_| {
            let pool = Arc::clone(pool);
            let call = call.clone();
            tokio::spawn(async move { load::send(&pool, &call).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let bytes = system::resident_bytes_of(&path.process).unwrap_or_default();
    for stream in &streams {
        stream.abort();
    }
    bytes
}

/// Returns the 50th, 95th and 99th percentile.
fn quantiles(durations_us: &[u64]) -> [u64; 3] {
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are supported");
    for &duration_us in durations_us {
        histogram.saturating_record(duration_us);
    }
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile))
}
