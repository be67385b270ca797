//! Metrics of the paths to workers.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;

use super::Registrar;

/// Metrics of the paths to workers, and of the tunnels that replace them.
#[derive(Debug)]
pub struct PathMetrics {
    /// How often a worker was taken to be unreachable, by whose evidence: this instance's own,
    /// several peers' digests, or a sender's notice to the worker's owner.
    pub unreachable_workers_total: IntCounterVec,
    /// Connections to workers that a peer opened for this instance.
    pub tunneled_connections_total: IntCounter,
    /// Requests of peers for a tunnel to a worker, by the status of the answer.
    pub tunnels_total: IntCounterVec,
    /// Connections to workers that this instance relays for peers.
    pub tunnels_open: IntGauge,
    /// Share of the recently tried workers that this instance reaches itself, in percent.
    pub reached_workers_percent: IntGauge,
    /// Whether this instance is isolated from the workers: it reaches few while peers reach them.
    pub is_isolated: IntGauge,
}

impl PathMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(make: &Registrar<'_>) -> Self {
        let reached_workers_percent = make.gauge(
            "reached_workers_percent",
            "share of the tried workers that are reached",
        );
        reached_workers_percent.set(100);
        Self {
            unreachable_workers_total: make.counters(
                "unreachable_workers_total",
                "how often a worker was taken to be unreachable",
                &["by"],
            ),
            tunneled_connections_total: make.counter(
                "tunneled_connections_total",
                "connections to workers made through peers",
            ),
            tunnels_total: make.counters(
                "tunnels_total",
                "peers' requests for a tunnel to a worker",
                &["status"],
            ),
            tunnels_open: make.gauge("tunnels_open", "tunnels relayed for peers"),
            reached_workers_percent,
            is_isolated: make.gauge("is_isolated", "whether few workers are reached"),
        }
    }
}
