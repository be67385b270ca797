//! Metrics of one entry instance, exported in the Prometheus text format.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bucket bounds of the time histograms, in seconds.
const TIME_BUCKETS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// All metrics of an instance, registered with one registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time to the first token or byte, by account and class.
    pub first_token_seconds: HistogramVec,
    /// Time between tokens, by account and class.
    pub between_tokens_seconds: HistogramVec,
    /// Time to the complete answer, by account and class.
    pub whole_answer_seconds: HistogramVec,
    /// Time in the queue, by account and class.
    pub queue_wait_seconds: HistogramVec,
    /// Answers, by account and result code.
    pub answers_total: IntCounterVec,
    /// Tokens forwarded to callers, by account.
    pub tokens_total: IntCounterVec,
    /// Attempts after the first one of a request.
    pub retries_total: IntCounter,
    /// Loads and unloads ordered, by kind.
    pub moves_total: IntCounterVec,
    /// Upstream answers that match no request of this instance.
    pub foreign_answers_total: IntCounter,
    /// Peer messages dropped, by reason.
    pub peer_dropped_total: IntCounterVec,
    /// Bytes of digests sent to peers.
    pub peer_sent_bytes_total: IntCounter,
    /// Requests waiting in the queues.
    pub queue_waiting: IntGauge,
    /// Requests running at upstreams.
    pub upstream_running: IntGauge,
    /// Version of the active configuration.
    pub config_version: IntGauge,
    /// Cells whose lease this instance holds.
    pub cells_held: IntGauge,
    /// Targets that are resident on at least one known worker.
    pub resident_targets: IntGauge,
    /// Whether this instance is ready, 0 or 1.
    pub is_ready: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if a metric name is invalid or used twice; all names are constants.
    ///
    /// ```
    /// let metrics = cranereach_entry::metrics::Metrics::new();
    /// assert!(metrics.text().contains("cranereach_config_version"));
    /// ```
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            first_token_seconds: histogram(
                &registry,
                "first_token_seconds",
                "Time to the first token or byte",
            ),
            between_tokens_seconds: histogram(
                &registry,
                "between_tokens_seconds",
                "Time between two tokens",
            ),
            whole_answer_seconds: histogram(
                &registry,
                "whole_answer_seconds",
                "Time to the whole answer",
            ),
            queue_wait_seconds: histogram(&registry, "queue_wait_seconds", "Time in the queue"),
            answers_total: counters(
                &registry,
                "answers_total",
                "Answers by code",
                &["account", "code"],
            ),
            tokens_total: counters(&registry, "tokens_total", "Tokens passed on", &["account"]),
            retries_total: counter(&registry, "retries_total", "Attempts after the first"),
            moves_total: counters(
                &registry,
                "moves_total",
                "Orders to load or unload",
                &["kind"],
            ),
            foreign_answers_total: counter(
                &registry,
                "foreign_answers_total",
                "Answers to no request of ours",
            ),
            peer_dropped_total: counters(
                &registry,
                "peer_dropped_total",
                "Peer messages dropped",
                &["reason"],
            ),
            peer_sent_bytes_total: counter(
                &registry,
                "peer_sent_bytes_total",
                "Bytes of digests sent",
            ),
            queue_waiting: gauge(&registry, "queue_waiting", "Requests that wait"),
            upstream_running: gauge(&registry, "upstream_running", "Requests at upstreams"),
            config_version: gauge(&registry, "config_version", "Configuration in force"),
            cells_held: gauge(&registry, "cells_held", "Cells whose lease is held"),
            resident_targets: gauge(
                &registry,
                "resident_targets",
                "Targets that some worker serves",
            ),
            is_ready: gauge(&registry, "is_ready", "Whether this instance is ready"),
            registry,
        }
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to a vector can't fail.
        let _written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns metric options with the common name prefix.
fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("cranereach_{name}"), help)
}

/// Creates and registers a histogram by account and class.
fn histogram(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options = HistogramOpts::from(options(name, help)).buckets(TIME_BUCKETS_S.to_vec());
    let metric = HistogramVec::new(options, &["account", "class"])
        .expect("metric names are valid constants");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric name is registered once");
    metric
}

/// Creates and registers a counter with labels.
fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric =
        IntCounterVec::new(options(name, help), labels).expect("metric names are valid constants");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric name is registered once");
    metric
}

/// Creates and registers a counter without labels.
fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric =
        IntCounter::with_opts(options(name, help)).expect("metric names are valid constants");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric name is registered once");
    metric
}

/// Creates and registers a gauge.
fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric =
        IntGauge::with_opts(options(name, help)).expect("metric names are valid constants");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric name is registered once");
    metric
}
