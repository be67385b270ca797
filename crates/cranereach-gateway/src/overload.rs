//! Samples what this instance takes in, at a fixed interval, and withdraws it while it turns callers
//! away.
//!
//! The samples tell the intake how many connections it can take ([`cranereach_http::intake`]).

use std::sync::Arc;

use slog::info;
use tokio::runtime::Handle;

use crate::node::Node;
use crate::node::lock;
use cranereach_core::overload::admission::Reason;
use cranereach_core::overload::load::SAMPLE_INTERVAL_MS;
use cranereach_core::overload::withdrawal::Change;
use cranereach_core::overload::withdrawal::Observation;
use cranereach_http::meter::Side;
use cranereach_http::system;

/// Interval between two log lines of an instance that isn't under pressure, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// The same for one that is.
const PRESSED_LOG_INTERVAL_MS: u64 = 1_000;

/// Pressure from which an instance logs more often.
const PRESSED_LEVEL: f64 = 0.8;

/// Number of samples for each of which the memory is read once.
const MEMORY_EVERY_COUNT: u64 = 5;

/// Takes samples until the process ends.
pub async fn run(node: Arc<Node>) {
    let runtime = Handle::current().metrics();
    let mut logged_at_ms = node.now_ms();
    let mut turning_away = TurningAway::default();
    for count in 0_u64.. {
        let due_ms = node.now_ms() + SAMPLE_INTERVAL_MS;
        tokio::time::sleep_until(node.instant(due_ms)).await;
        let now_ms = node.now_ms();
        let delay_ms = now_ms.saturating_sub(due_ms);
        let resident_bytes = if count.is_multiple_of(MEMORY_EVERY_COUNT) {
            system::resident_bytes()
        } else {
            None
        };
        node.intake.sample(&runtime, delay_ms, resident_bytes);
        node.metrics.intake.own_delay_ms.set(delay_ms as i64);
        node.metrics.intake.own_delay_ms_total.inc_by(delay_ms);
        let has_turned_away = turning_away.update(&node, now_ms);
        update_withdrawal(&node, now_ms, has_turned_away);
        if now_ms >= logged_at_ms + log_interval_ms(&node) {
            logged_at_ms = now_ms;
            log_intake(&node);
        }
    }
}

/// Connections turned away, by reason, and since when.
#[derive(Debug, Default)]
struct TurningAway {
    counts: [u64; 4],
    /// Counts before the first of those, and when it was, in milliseconds; `None` while none are.
    began: Option<([u64; 4], u64)>,
}

impl TurningAway {
    /// Logs the beginning and the end. Returns whether any were turned away since the last call.
    fn update(&mut self, node: &Node, now_ms: u64) -> bool {
        let counts = Reason::ALL.map(|reason| node.intake.turned_away_count(reason));
        let before = std::mem::replace(&mut self.counts, counts);
        let has_turned_away = counts != before;
        let is_over = !node.intake.admission().is_turning_away(now_ms);
        match self.began {
            None if has_turned_away => {
                self.began = Some((before, now_ms));
                info!(node.log, "turning connections away"; "reasons" => reasons(before, counts));
                log_intake(node);
            }
            Some((first, began_ms)) if is_over => {
                self.began = None;
                info!(node.log, "taking all connections again";
                    "after_ms" => now_ms.saturating_sub(began_ms), "reasons" => reasons(first, counts));
            }
            _ => {}
        }
        has_turned_away
    }
}

/// Formats how many connections were turned away between two moments, by reason.
fn reasons(before: [u64; 4], after: [u64; 4]) -> String {
    let by_reason = Reason::ALL.into_iter().zip(before.into_iter().zip(after));
    let changed = by_reason.filter(|(_, (before, after))| after > before);
    let formatted: Vec<String> = changed
        .map(|(reason, (before, after))| format!("{} {}", reason.name(), after - before))
        .collect();
    formatted.join(", ")
}

/// Withdraws the instance, or ends that, and tells peers and operators.
fn update_withdrawal(node: &Node, now_ms: u64, has_turned_away: bool) {
    let pressure = node.intake.admission().pressure().level;
    let withdrawn_peer_share = node.peers().withdrawn_share(now_ms);
    let change = lock(&node.withdrawal).update(Observation {
        now_ms,
        has_turned_away,
        pressure,
        withdrawn_peer_share,
        chance: rand::random(),
    });
    let Some(change) = change else { return };
    let is_withdrawn = change == Change::Withdrawn;
    let message = if is_withdrawn {
        "withdrawn since overloaded"
    } else {
        "ready after overload"
    };
    info!(node.log, "{}", message; "pressure" => pressure,
        "withdrawn_peer_share" => withdrawn_peer_share);
    node.metrics
        .intake
        .is_withdrawn
        .set(i64::from(is_withdrawn));
    node.digest_wanted.notify_one();
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
        "arrival_delay_ms" => load.arrival_delay_ms(), "max_per_s" => admission.max_per_s(),
        "callers" => meter.open_count(Side::Callers), "busy" => admission.busy_count(),
        "workers" => meter.open_count(Side::Workers), "resident_bytes" => system::resident_bytes());
}
