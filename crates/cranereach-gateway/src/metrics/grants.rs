//! Metrics of grants for requests to workers that take only a limited number.

use prometheus::IntCounterVec;

use super::Registrar;

/// Metrics of grants for requests to workers that take only a limited number.
#[derive(Debug)]
pub struct GrantMetrics {
    /// Requests for a grant to send to a worker with a limited request rate, by reason and
    /// outcome.
    pub send_grants_total: IntCounterVec,
    /// Requests about to be sent, by what it rests on that their worker is taken to be brittle or
    /// not.
    pub brittle_knowledge_total: IntCounterVec,
}

impl GrantMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(make: &Registrar<'_>) -> Self {
        Self {
            send_grants_total: make.counters(
                "send_grants_total",
                "grants asked for",
                &["reason", "outcome"],
            ),
            brittle_knowledge_total: make.counters(
                "brittle_knowledge_total",
                "requests by what is known of their worker's brittleness",
                &["source"],
            ),
        }
    }
}
