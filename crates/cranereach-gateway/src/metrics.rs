//! Counters, gauges and histograms of an instance.

mod grants;
mod intake;
mod origins;
mod paths;
mod quarantine;

use prometheus::CounterVec;
use prometheus::Encoder;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use prometheus::histogram_opts;
use prometheus::opts;

use self::grants::GrantMetrics;
use self::intake::IntakeMetrics;
use self::origins::OriginMetrics;
use self::paths::PathMetrics;
use self::quarantine::QuarantineMetrics;

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.0, 6.0, 15.0];

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and result.
    pub requests_total: IntCounterVec,
    /// Time to the first byte, in seconds, by route.
    pub first_byte_seconds: HistogramVec,
    /// Requests sent again to a further worker, by cause.
    pub repeats_total: IntCounterVec,
    /// Streams that their worker broke off, by what became of the stream.
    pub streams_broken_total: IntCounterVec,
    /// Bodies of workers' responses, by how they ended and whether they count as complete.
    pub body_ends_total: IntCounterVec,
    /// Calls whose connection to the worker broke, by what became of the worker.
    pub broken_off_total: IntCounterVec,
    /// Prompts held back so that their prefill does not pause other streams for too long.
    pub prompts_held_total: IntCounter,
    /// Completed streams with a pause longer than the target of their route.
    pub streams_paused_total: IntCounter,
    /// Calls to the store by kind and outcome.
    pub store_calls_total: IntCounterVec,
    /// Orders and report requests to workers by kind and outcome.
    pub orders_total: IntCounterVec,
    /// Inputs that could not be parsed, by source.
    pub bad_input_total: IntCounterVec,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Time since the moment at which the configuration in force was last known to be the newest,
    /// in milliseconds.
    pub configuration_age_ms: IntGauge,
    /// Queries for a proof of the configuration that were answered once there was one.
    pub proofs_answered_later_total: IntCounter,
    /// Requests by client account and result.
    pub account_requests_total: IntCounterVec,
    /// Time to the first byte, in seconds, by client account and route.
    pub account_first_byte_seconds: HistogramVec,
    /// Units charged to the limits of client accounts, by account.
    pub account_units_total: CounterVec,
    /// Time for which the list of workers may have been out of date, in milliseconds.
    pub list_age_ms: IntGauge,
    /// Whether this instance holds a lease.
    pub leases_held: IntGauge,
    /// Open requests of callers.
    pub open_requests: IntGauge,
    /// Peers that were heard from recently.
    pub peers_heard: IntGauge,
    /// Open requests at workers, by failure domain.
    pub open_in_domain: IntGaugeVec,
    /// Models that no worker serves, by service, for services whose lease this instance holds.
    pub models_missing: IntGaugeVec,
    /// Failure domains under evacuation.
    pub evacuated_domains: IntGauge,
    /// Requests sent to workers, by failure domain.
    pub sends_total: IntCounterVec,
    /// Grants for requests to workers that take only a limited number.
    pub grants: GrantMetrics,
    /// Workers that state a limit, updated when the metrics are requested.
    pub limited_workers: IntGauge,
    /// Workers that are leaving, updated when the metrics are requested.
    pub leaving_workers: IntGauge,
    /// Workers that asked this instance to pause sending, updated when the metrics are requested.
    pub resting_workers: IntGauge,
    /// Requests sent to workers that state a limit, by purpose.
    pub limited_sends_total: IntCounterVec,
    /// Requests that were not sent to the chosen worker, by reason and purpose.
    pub sends_barred_total: IntCounterVec,
    /// Headers in which workers seem to describe themselves but which this system does not read,
    /// by name.
    pub unknown_words_total: IntCounterVec,
    /// Headers of the store's answers that this system does not read, by name.
    pub store_unknown_words_total: IntCounterVec,
    /// Era of the store.
    pub store_era: IntGauge,
    /// What the instance takes in.
    pub intake: IntakeMetrics,
    /// Paths to workers.
    pub paths: PathMetrics,
    /// Metrics of requests and parts of prompts under which workers ended.
    pub quarantine: QuarantineMetrics,
    /// Streams that callers take up.
    pub origins: OriginMetrics,
    /// Connections opened to workers.
    pub connections_total: IntCounter,
    /// Bytes sent to peers, by kind and distance.
    pub peer_sent_bytes_total: IntCounterVec,
    /// Messages sent to peers, by kind and distance.
    pub peer_sent_messages_total: IntCounterVec,
    /// Body bytes of calls to workers and of their answers, by direction and by the worker's
    /// distance.
    pub worker_bytes_total: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which any test that creates them detects.
    pub fn new() -> Self {
        let registry = Registry::new();
        let make = Registrar(&registry);
        let counters = |name: &str, help: &str, labels: &[&str]| make.counters(name, help, labels);
        let gauge = |name: &str, help: &str| make.gauge(name, help);
        let first_byte_seconds = make.first_byte_histogram("first_byte_seconds", &["route"]);
        let account_labels = ["account", "route"];
        let account_first_byte_seconds =
            make.first_byte_histogram("account_first_byte_seconds", &account_labels);
        let units_help = "units charged to limits";
        let account_units_total =
            make.float_counters("account_units_total", units_help, &["account"]);
        Self {
            requests_total: counters("requests_total", "requests by result", &["route", "result"]),
            repeats_total: counters("repeats_total", "sends to a further worker", &["cause"]),
            streams_broken_total: counters(
                "streams_broken_total",
                "streams that broke off midway",
                &["outcome"],
            ),
            body_ends_total: counters("body_ends_total", "ends of bodies", &["end", "verdict"]),
            broken_off_total: counters("broken_off_total", "broken calls", &["worker"]),
            store_calls_total: counters("store_calls_total", "store calls", &["kind", "outcome"]),
            orders_total: counters("orders_total", "orders to workers", &["kind", "outcome"]),
            bad_input_total: counters("bad_input_total", "input not understood", &["source"]),
            account_requests_total: counters(
                "account_requests_total",
                "requests of client accounts by result",
                &["account", "result"],
            ),
            peer_sent_bytes_total: counters(
                "peer_sent_bytes_total",
                "bytes sent to peers, without headers of the network",
                &["kind", "distance"],
            ),
            peer_sent_messages_total: counters(
                "peer_sent_messages_total",
                "messages sent to peers",
                &["kind", "distance"],
            ),
            worker_bytes_total: counters(
                "worker_bytes_total",
                "bytes of bodies to and from workers",
                &["direction", "distance"],
            ),
            account_first_byte_seconds,
            account_units_total,
            proofs_answered_later_total: make.counter(
                "proofs_answered_later_total",
                "queries answered once there was a proof",
            ),
            configuration_age_ms: gauge("configuration_age_ms", "age of the configuration"),
            configuration_version: gauge("configuration_version", "version in force"),
            list_age_ms: gauge("list_age_ms", "age of the list of workers"),
            leases_held: gauge("leases_held", "leases held here"),
            open_requests: gauge("open_requests", "requests that are open"),
            peers_heard: gauge("peers_heard", "peers heard lately"),
            open_in_domain: make.gauges("open_in_domain", "requests open at workers", &["domain"]),
            models_missing: make.gauges("models_missing", "models no worker serves", &["service"]),
            limited_workers: gauge("limited_workers", "workers that name a limit"),
            leaving_workers: gauge("leaving_workers", "workers that leave"),
            resting_workers: gauge("resting_workers", "workers that asked for rest"),
            evacuated_domains: gauge("evacuated_domains", "failure domains to be evacuated"),
            sends_total: counters("sends_total", "requests sent to workers", &["domain"]),
            grants: GrantMetrics::new(&make),
            sends_barred_total: counters(
                "sends_barred_total",
                "requests not sent to their worker",
                &["reason", "purpose"],
            ),
            unknown_words_total: counters(
                "unknown_words_total",
                "headers of workers that aren't read",
                &["header"],
            ),
            store_unknown_words_total: counters(
                "store_unknown_words_total",
                "headers of the store that aren't read",
                &["header"],
            ),
            store_era: gauge("store_era", "era of the store"),
            limited_sends_total: counters(
                "limited_sends_total",
                "sends within limits",
                &["purpose"],
            ),
            intake: IntakeMetrics::new(&make),
            paths: PathMetrics::new(&make),
            quarantine: QuarantineMetrics::new(&make),
            origins: OriginMetrics::new(&make),
            connections_total: make.counter("connections_total", "connections made to workers"),
            prompts_held_total: make.counter("prompts_held_total", "prompts held back"),
            streams_paused_total: make.counter("streams_paused_total", "streams that paused"),
            first_byte_seconds,
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Encoding errors are ignored; what could not be encoded is left out.
        let _written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}

/// Creates metrics and registers them.
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    /// Registers a metric.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which any test that creates them detects.
    fn register<T: Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("metric names and labels should be valid");
        let registered = self.0.register(Box::new(metric.clone()));
        registered.expect("metric names should be unique");
        metric
    }

    /// Creates integer counters with labels.
    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(opts!(name, help), labels))
    }

    /// Creates floating-point counters with labels.
    fn float_counters(&self, name: &str, help: &str, labels: &[&str]) -> CounterVec {
        self.register(CounterVec::new(opts!(name, help), labels))
    }

    /// Creates an integer counter.
    fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::new(name, help))
    }

    /// Creates a gauge.
    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name, help))
    }

    /// Creates gauges with labels.
    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(opts!(name, help), labels))
    }

    /// Creates a histogram of times to the first byte, with labels.
    fn first_byte_histogram(&self, name: &str, labels: &[&str]) -> HistogramVec {
        let help = "time from receipt to the first byte of the answer";
        let options = histogram_opts!(name, help, LATENCY_BOUNDS_S.to_vec());
        self.register(HistogramVec::new(options, labels))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
