//! Metrics of requests and parts of prompts under which workers ended.

use prometheus::IntCounter;
use prometheus::IntGauge;

use super::Registrar;

/// Metrics of requests and parts of prompts under which workers ended, as this instance knows them.
#[derive(Debug)]
pub struct QuarantineMetrics {
    /// Requests that are sent to no worker.
    pub quarantined_requests: IntGauge,
    /// Requests during which a worker ended.
    pub suspected_requests: IntGauge,
    /// Parts of prompts with which no request is sent to a worker.
    pub quarantined_parts: IntGauge,
    /// Parts of prompts during which a worker ended.
    pub suspected_parts: IntGauge,
    /// Requests that were sent although a part of their prompts is quarantined.
    pub part_probes_total: IntCounter,
}

impl QuarantineMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(make: &Registrar<'_>) -> Self {
        Self {
            quarantined_requests: make.gauge("quarantined_requests", "requests sent to no worker"),
            suspected_requests: make.gauge("suspected_requests", "requests workers ended under"),
            quarantined_parts: make.gauge("quarantined_parts", "parts of prompts not sent"),
            suspected_parts: make.gauge("suspected_parts", "parts of prompts workers ended under"),
            part_probes_total: make.counter(
                "part_probes_total",
                "requests sent to probe a quarantined part",
            ),
        }
    }
}
