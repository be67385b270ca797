//! Samples what this instance takes in, at a fixed interval.
//!
//! The samples tell operators what binds the instance ([`cranereach_http::intake`]).

use std::sync::Arc;

use slog::info;
use tokio::runtime::Handle;

use crate::node::Node;
use cranereach_core::overload::load::SAMPLE_INTERVAL_MS;
use cranereach_http::meter::Side;
use cranereach_http::system;

/// Interval between two log lines of an instance that isn't under pressure, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// The same for one that is.
const PRESSED_LOG_INTERVAL_MS: u64 = 1_000;

/// Pressure from which an instance logs more often.
const PRESSED_LEVEL: f64 = 0.8;

/// Takes samples until the process ends.
pub async fn run(node: Arc<Node>) {
    let runtime = Handle::current().metrics();
    let mut logged_at_ms = node.now_ms();
    loop {
        let due_ms = node.now_ms() + SAMPLE_INTERVAL_MS;
        tokio::time::sleep_until(node.instant(due_ms)).await;
        let delay_ms = node.now_ms().saturating_sub(due_ms);
        node.intake.sample(&runtime, delay_ms);
        node.metrics.intake.own_delay_ms.set(delay_ms as i64);
        node.metrics.intake.own_delay_ms_total.inc_by(delay_ms);
        let now_ms = node.now_ms();
        if now_ms >= logged_at_ms + log_interval_ms(&node) {
            logged_at_ms = now_ms;
            log_intake(&node);
        }
    }
}

/// Returns the interval between two log lines, in milliseconds.
fn log_interval_ms(node: &Node) -> u64 {
    if node.intake.admission().pressure().level < PRESSED_LEVEL {
        LOG_INTERVAL_MS
    } else {
        PRESSED_LOG_INTERVAL_MS
    }
}

/// Logs what the instance takes in, and what binds it.
fn log_intake(node: &Node) {
    let meter = node.intake.meter();
    let delay_ms = node.metrics.intake.own_delay_ms.get();
    let admission = node.intake.admission();
    let load = admission.load();
    info!(node.log, "intake"; "pressure" => admission.pressure().level,
        "bottleneck" => format!("{:?}", admission.pressure().bottleneck),
        "busy_share" => load.busy_share(), "link_share" => load.link_share(),
        "delay_ms" => delay_ms, "lasting_delay_ms" => load.lasting_delay_ms(),
        "callers" => meter.open_count(Side::Callers), "busy" => admission.busy_count(),
        "workers" => meter.open_count(Side::Workers), "resident_bytes" => system::resident_bytes());
}
