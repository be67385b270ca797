//! Metrics of streams that callers take up.

use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

use super::Registrar;

/// Metrics of streams that callers take up, and of the notes about where streams began.
#[derive(Debug)]
pub struct OriginMetrics {
    /// Streams that callers took up, by who knew the origin and by the result.
    pub take_ups_total: IntCounterVec,
    /// Questions to workers for the time of their start, by the result.
    pub starts_asked_total: IntCounterVec,
    /// Notes of streams, by whose they are.
    pub notes: IntGaugeVec,
}

impl OriginMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(make: &Registrar<'_>) -> Self {
        Self {
            take_ups_total: make.counters(
                "stream_take_ups_total",
                "streams that callers took up",
                &["origin", "result"],
            ),
            starts_asked_total: make.counters(
                "worker_starts_asked_total",
                "questions to workers for their start",
                &["result"],
            ),
            notes: make.gauges("stream_origin_notes", "notes of streams", &["kind"]),
        }
    }
}
