//! Metrics of what the instance takes in and what binds it, updated when they are requested.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;

use super::Registrar;
use cranereach_core::overload::admission::Reason;
use cranereach_http::intake::Intake;
use cranereach_http::meter::Side;
use cranereach_http::system;

/// Metrics of connections, bytes, delays and of what the instance has for them.
#[derive(Debug)]
pub struct IntakeMetrics {
    /// Open connections, by who is at the other end.
    pub open_connections: IntGaugeVec,
    /// Connections of callers with an open request.
    pub busy_connections: IntGauge,
    /// Connections of callers that were turned away, by reason.
    pub turned_away_connections_total: IntCounterVec,
    /// Bytes that passed through the network link, by direction.
    pub link_bytes_total: IntCounterVec,
    /// Use of the link in its busier direction, in percent.
    pub link_percent: IntGauge,
    /// Share of the time for which the event loop is not idle, in percent.
    pub busy_percent: IntGauge,
    /// Latest delay of the instance's own work, in milliseconds.
    pub own_delay_ms: IntGauge,
    /// Total of the delays of all samples, in milliseconds.
    pub own_delay_ms_total: IntCounter,
    /// Memory in use, in bytes.
    pub resident_bytes: IntGauge,
    /// Connections on which something was read.
    pub first_reads_total: IntCounter,
    /// Total of the times from accepting them until then, in milliseconds.
    pub first_read_delay_ms_total: IntCounter,
    /// Largest number of requests taken a second; zero if it isn't limited.
    pub request_limit_per_s: IntGauge,
    /// Whether the instance has withdrawn.
    pub is_withdrawn: IntGauge,
}

impl IntakeMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(make: &Registrar<'_>) -> Self {
        Self {
            open_connections: make.gauges("open_connections", "connections open", &["side"]),
            busy_connections: make.gauge("busy_connections", "callers with an open request"),
            turned_away_connections_total: make.counters(
                "turned_away_connections_total",
                "callers' connections closed unread",
                &["reason"],
            ),
            link_bytes_total: make.counters(
                "link_bytes_total",
                "bytes on the link",
                &["direction"],
            ),
            link_percent: make.gauge("link_percent", "use of the link"),
            busy_percent: make.gauge("busy_percent", "time that the event loop isn't idle"),
            own_delay_ms: make.gauge("own_delay_ms", "latest delay of own work"),
            own_delay_ms_total: make.counter("own_delay_ms_total", "delays of own work"),
            resident_bytes: make.gauge("resident_bytes", "memory in use"),
            first_reads_total: make.counter("first_reads_total", "connections with a first read"),
            first_read_delay_ms_total: make.counter(
                "first_read_delay_ms_total",
                "time from accepting a connection to its first read",
            ),
            request_limit_per_s: make.gauge("request_limit_per_s", "requests taken a second"),
            is_withdrawn: make.gauge("is_withdrawn", "whether not ready since overloaded"),
        }
    }

    /// Updates all of them.
    pub fn update(&self, intake: &Intake) {
        let meter = intake.meter();
        for side in Side::ALL {
            let gauge = self.open_connections.with_label_values(&[side.name()]);
            gauge.set(meter.open_count(side) as i64);
        }
        for reason in Reason::ALL {
            let counter = &self.turned_away_connections_total;
            let counter = counter.with_label_values(&[reason.name()]);
            raise_to(&counter, intake.turned_away_count(reason));
        }
        let (first_read_count, first_read_delay_ms) = intake.first_reads();
        raise_to(&self.first_reads_total, first_read_count);
        raise_to(&self.first_read_delay_ms_total, first_read_delay_ms);
        let bytes = [
            ("sent", meter.sent_bytes()),
            ("received", meter.received_bytes()),
        ];
        for (direction, byte_count) in bytes {
            let counter = self.link_bytes_total.with_label_values(&[direction]);
            raise_to(&counter, byte_count);
        }
        if let Some(resident_bytes) = system::resident_bytes() {
            self.resident_bytes.set(resident_bytes as i64);
        }
        let admission = intake.admission();
        self.busy_connections.set(admission.busy_count() as i64);
        self.request_limit_per_s
            .set(admission.max_per_s().unwrap_or_default() as i64);
        let load = admission.load();
        self.link_percent.set((load.link_share() * 100.0) as i64);
        self.busy_percent.set((load.busy_share() * 100.0) as i64);
    }
}

/// Raises a counter to a total that is kept elsewhere.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
