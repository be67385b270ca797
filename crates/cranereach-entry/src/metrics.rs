//! Metrics of one entry instance, in the format of `prometheus`.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Edges of the time histograms, in seconds.
const TIME_BUCKETS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// All metrics, registered with one registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time to the first token or byte, by account and class.
    pub first_token_seconds: HistogramVec,
    /// Time between tokens, by account and class.
    pub between_tokens_seconds: HistogramVec,
    /// Time to the whole answer, by account and class.
    pub whole_answer_seconds: HistogramVec,
    /// Time in the queue, by account and class.
    pub queue_wait_seconds: HistogramVec,
    /// Answers by account and code.
    pub answers_total: IntCounterVec,
    /// Tokens passed on, by account.
    pub tokens_total: IntCounterVec,
    /// Attempts after the first.
    pub retries_total: IntCounter,
    /// Loads and unloads ordered, by kind.
    pub moves_total: IntCounterVec,
    /// Answers that belonged to no request of ours.
    pub foreign_answers_total: IntCounter,
    /// Peer messages dropped, by reason.
    pub peer_dropped_total: IntCounterVec,
    /// Peer bytes sent.
    pub peer_sent_bytes_total: IntCounter,
    /// Requests that wait.
    pub queue_waiting: IntGauge,
    /// Requests at upstreams.
    pub upstream_running: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Cells whose lease this instance holds.
    pub cells_held: IntGauge,
    /// Targets resident on workers that this instance knows of.
    pub resident_targets: IntGauge,
    /// Whether this instance is ready, 0 or 1.
    pub is_ready: IntGauge,
}

impl Metrics {
    /// Makes and registers all metrics.
    ///
    /// # Panics
    ///
    /// If two metrics had the same name, which the source rules out.
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

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory doesn't fail.
        let _written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Adds our prefix to a name.
fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("cranereach_{name}"), help)
}

/// Makes a histogram by account and class.
fn histogram(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options = HistogramOpts::from(options(name, help)).buckets(TIME_BUCKETS_S.to_vec());
    let metric =
        HistogramVec::new(options, &["account", "class"]).expect("names are constants of ours");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

/// Makes counters by labels.
fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric =
        IntCounterVec::new(options(name, help), labels).expect("names are constants of ours");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

/// Makes one counter.
fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::with_opts(options(name, help)).expect("names are constants of ours");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

/// Makes one gauge.
fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::with_opts(options(name, help)).expect("names are constants of ours");
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}
