//! Costs of whole idle deployments, by size.
//!
//! All components run in one process, so the processor time includes that of the
//! stand-ins: it is an upper bound of what an entry instance uses.

use std::time::Duration;

use super::Point;
use super::Slope;
use super::fit;
use crate::deployment::DeployError;
use crate::deployment::Deployment;
use crate::scenario::Scenario;
use crate::scenario::arrivals;
use cranereach_standin::engine::state::EngineOptions;
use cranereach_standin::platform::state::WeightLimits;

/// Measuring time of a deployment, in milliseconds.
const SAMPLE_MS: u64 = 6_000;

/// Time before measuring in which leases are acquired and models first loaded, in milliseconds.
const SETTLE_MS: u64 = 12_000;

/// Timeout for the configuration to come into force, in milliseconds.
const CONFIG_TIMEOUT_MS: u64 = 60_000;

/// Cost per entry instance of an idle deployment.
#[derive(Clone, Copy, Debug)]
struct Cost {
    sent_bytes_per_s: f64,
    table_requests_per_s: f64,
    cpu_percent: f64,
}

/// Measures how the costs of idle deployments scale with instances and with workers.
pub async fn measure(scenario: &Scenario) -> Result<Vec<Slope>, DeployError> {
    let mut by_instances = Vec::new();
    for count in [2, 4, 8, 16, 20] {
        by_instances.push((count, measure_idle(scenario, count, 12).await?));
    }
    let mut by_workers = Vec::new();
    for count in [4, 12, 24, 48] {
        by_workers.push((count, measure_idle(scenario, 4, count).await?));
    }
    let points = |costs: &[(usize, Cost)], value: fn(&Cost) -> f64| {
        costs
            .iter()
            .map(|(count, cost)| Point {
                count: *count as f64,
                value: value(cost),
            })
            .collect::<Vec<_>>()
    };
    Ok(vec![
        fit(
            "digests sent by one instance at rest",
            "instances of the group",
            "bytes/s",
            points(&by_instances, |cost| cost.sent_bytes_per_s),
        ),
        fit(
            "table requests by one instance at rest",
            "instances of the group",
            "1/s",
            points(&by_instances, |cost| cost.table_requests_per_s),
        ),
        fit(
            "processor time of one instance at rest",
            "instances of the group",
            "% of a core",
            points(&by_instances, |cost| cost.cpu_percent),
        ),
        fit(
            "digests sent by one instance at rest",
            "workers (4 instances)",
            "bytes/s",
            points(&by_workers, |cost| cost.sent_bytes_per_s),
        ),
        fit(
            "table requests by one instance at rest",
            "workers (4 instances)",
            "1/s",
            points(&by_workers, |cost| cost.table_requests_per_s),
        ),
        fit(
            "processor time of one instance at rest",
            "workers (4 instances)",
            "% of a core",
            points(&by_workers, |cost| cost.cpu_percent),
        ),
    ])
}

/// Starts a deployment, waits until it has settled, and measures its cost without any calls.
async fn measure_idle(
    scenario: &Scenario,
    entry_count: usize,
    engine_count: usize,
) -> Result<Cost, DeployError> {
    let mut deployment = Deployment::start(WeightLimits::default()).await?;
    for number in 0..engine_count {
        let options = EngineOptions {
            memory_bytes: scenario.engine_memory_gb * 1_000_000_000,
            ..EngineOptions::default()
        };
        deployment
            .add_engine("text", &format!("d{}", number % 3), options)
            .await?;
    }
    let version = deployment.apply(&arrivals::declarations(scenario)).await?;
    for number in 0..entry_count {
        let platform = deployment.platform_address.clone();
        // The default intervals; `Deployment` otherwise uses shorter ones for tests.
        let configure = |settings: &mut cranereach_entry::settings::Settings| {
            settings.peers.digest_every_ms = 200;
            settings.platform.head_every_ms = 2_000;
            settings.platform.list_every_ms = 1_000;
        };
        deployment
            .add_entry_with(&format!("d{}", number % 3), &platform, configure)
            .await?;
    }
    deployment
        .wait_for_version(version, CONFIG_TIMEOUT_MS)
        .await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let before = counters(&deployment);
    tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
    let after = counters(&deployment);
    deployment.stop().await;
    let per_instance_s = SAMPLE_MS as f64 / 1_000.0 * entry_count as f64;
    Ok(Cost {
        sent_bytes_per_s: (after.sent_bytes - before.sent_bytes) / per_instance_s,
        table_requests_per_s: (after.table_count - before.table_count) / per_instance_s,
        cpu_percent: 100.0 * (after.cpu_s - before.cpu_s) / per_instance_s,
    })
}

/// Counters of a deployment at one moment.
#[derive(Clone, Copy, Debug)]
struct Counters {
    sent_bytes: f64,
    table_count: f64,
    cpu_s: f64,
}

/// Reads the counters of a deployment.
fn counters(deployment: &Deployment) -> Counters {
    let sent = deployment
        .entries
        .iter()
        .flatten()
        .map(|entry| entry.shared().metrics.peer_sent_bytes_total.get() as f64);
    Counters {
        sent_bytes: sent.sum(),
        table_count: deployment.platform.state().table_count() as f64,
        cpu_s: crate::process::cpu_s("self"),
    }
}
