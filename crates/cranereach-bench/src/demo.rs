//! Demonstration of a whole deployment under a burst of calls, with a summary of the results.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployment::DeployError;
use crate::deployment::Deployment;
use crate::waiting::TimedOut;
use cranereach_core::names::AccountName;
use cranereach_core::snapshot::KeyHash;
use cranereach_standin::engine::state::EngineOptions;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;
use cranereach_standin::platform::state::WeightLimits;
use cranereach_wire::folder::Folder;

/// Memory of each of the two engines, in bytes: each holds two of the six declared models.
const ENGINE_MEMORY_BYTES: u64 = 100;

/// Memory of one model, in bytes.
const MODEL_MEMORY_BYTES: u64 = 40;

/// Number of declared models.
const MODEL_COUNT: usize = 6;

/// Length of the burst, in milliseconds.
const BURST_MS: u64 = 6_000;

/// Timeout of each step that waits for a result, in milliseconds.
const STEP_TIMEOUT_MS: u64 = 15_000;

/// Name, share, class and number of concurrent callers of each account.
const ACCOUNTS: [(&str, f64, &str, usize); 3] = [
    ("disputes", 2.0, "urgent", 8),
    ("crews", 1.0, "standard", 8),
    ("auditors", 1.0, "deferrable", 8),
];

/// Result of the demo.
#[derive(Debug, Default)]
pub struct Report {
    /// Descriptions of the guarantees that were violated.
    pub broken: Vec<String>,
}

/// Results of one account's calls during the burst.
#[derive(Clone, Debug, Default)]
struct AccountTotals {
    served_count: u32,
    late_count: u32,
    refused: BTreeMap<u16, u32>,
    first_token_us: Vec<u64>,
}

/// Starts the demo's deployment and waits until its configuration is in force.
pub async fn start() -> Result<Deployment, DeployError> {
    let limits = WeightLimits {
        loads_per_s: 4.0,
        at_once_count: 4,
        load_ms: 300,
    };
    let mut deployment = Deployment::start(limits).await?;
    for number in 0..2 {
        let options = EngineOptions {
            memory_bytes: ENGINE_MEMORY_BYTES,
            slot_count: 8,
            token_us: 4_000,
            weight_store: Some(deployment.platform_address.clone()),
            ..EngineOptions::default()
        };
        deployment
            .add_engine("text", &format!("d{number}"), options)
            .await?;
    }
    deployment.add_service("ledger", "d0").await?;
    let version = deployment.apply(&declarations()).await?;
    deployment.add_entry("d0").await?;
    deployment
        .wait_for_version(version, STEP_TIMEOUT_MS)
        .await?;
    Ok(deployment)
}

/// Runs the demo on a deployment and prints each step.
pub async fn run(deployment: Deployment) -> Result<(Report, Deployment), DeployError> {
    println!(
        "declared  {MODEL_COUNT} models of {MODEL_MEMORY_BYTES} bytes, 2 engines of {ENGINE_MEMORY_BYTES} bytes: 4 models fit at the same time"
    );
    for (name, share, class, _) in ACCOUNTS {
        println!("declared  account {name}: class {class}, share {share}");
    }
    let deployment = Arc::new(deployment);
    let mut report = Report::default();
    load_each_model(&deployment, &mut report).await;
    check_idempotent_lookup(&deployment, &mut report).await;
    let totals_by_account = burst(&deployment).await;
    print_account_totals(&totals_by_account, &mut report);
    print_memory(&deployment, &mut report);
    let deployment = Arc::into_inner(deployment).ok_or_else(|| TimedOut {
        what: "all callers to finish".to_owned(),
    })?;
    Ok((report, deployment))
}

/// Calls each model once, to check that every model is reachable.
async fn load_each_model(deployment: &Deployment, report: &mut Report) {
    for number in 0..MODEL_COUNT {
        let call = Call::chat("disputes", &format!("m{number}"), "first words", 2, true);
        let started = Instant::now();
        let outcome = deployment
            .call_until_served(0, &call, STEP_TIMEOUT_MS)
            .await;
        if outcome.status == 200 && outcome.is_whole {
            println!(
                "loaded    m{number}: first answer after {} ms",
                started.elapsed().as_millis()
            );
        } else {
            report
                .broken
                .push(format!("m{number} was not reachable: {}", outcome.text));
        }
    }
}

/// Sends a ledger lookup twice with the same idempotency key and checks that it runs once.
async fn check_idempotent_lookup(deployment: &Deployment, report: &mut Report) {
    let call = Call::plain("crews", hyper::Method::POST, "/ledger/tickets", "{}")
        .with_header("x-call", "ticket-1")
        .with_header("idempotency-key", "ticket-1");
    let first = deployment
        .call_until_served(0, &call, STEP_TIMEOUT_MS)
        .await;
    let second = deployment.call(0, &call).await;
    let runs = deployment.services[0].stand_in.state().runs_of("ticket-1");
    println!(
        "looked up ticket-1 twice with the same idempotency key: executed {runs} time(s), answers equal: {}",
        first.text == second.text
    );
    if runs != 1 || first.text != second.text {
        report
            .broken
            .push("a lookup with a key did not run once, or its answers differed".to_owned());
    }
}

/// Lets all accounts call concurrently, with more load than the engines can serve.
async fn burst(deployment: &Arc<Deployment>) -> BTreeMap<&'static str, AccountTotals> {
    let deadline = Instant::now() + Duration::from_millis(BURST_MS);
    let callers = ACCOUNTS
        .iter()
        .flat_map(|&(name, _, _, count)| (0..count).map(move |number| (name, number)));
    let tasks: Vec<_> = callers
        .map(|(name, number)| {
            let deployment = Arc::clone(deployment);
            (
                name,
                tokio::spawn(async move { run_caller(&deployment, name, number, deadline).await }),
            )
        })
        .collect();
    let mut totals_by_account: BTreeMap<&'static str, AccountTotals> = BTreeMap::new();
    for (name, task) in tasks {
        if let Ok(outcomes) = task.await {
            let totals = totals_by_account.entry(name).or_default();
            for outcome in &outcomes {
                totals.add(outcome);
            }
        }
    }
    totals_by_account
}

/// Sends calls one after another until the deadline; waits for Retry-After after a refusal.
async fn run_caller(
    deployment: &Deployment,
    name: &str,
    number: usize,
    deadline: Instant,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while Instant::now() < deadline {
        // Skewed demand: half of the callers use the same two models.
        let model = if number.is_multiple_of(2) {
            number % 4 / 2
        } else {
            number % MODEL_COUNT
        };
        let call = Call::chat(
            name,
            &format!("m{model}"),
            &format!("{name} {number}"),
            20,
            true,
        );
        let outcome = deployment.call(0, &call).await;
        let pause_s = if outcome.status == 200 {
            0
        } else {
            outcome.retry_after_s.unwrap_or(1)
        };
        outcomes.push(outcome);
        let remaining = deadline.saturating_duration_since(Instant::now());
        tokio::time::sleep(Duration::from_secs(pause_s).min(remaining)).await;
    }
    outcomes
}

/// Prints the results of each account.
fn print_account_totals(
    totals_by_account: &BTreeMap<&'static str, AccountTotals>,
    report: &mut Report,
) {
    for (name, totals) in totals_by_account {
        let refused: u32 = totals.refused.values().sum();
        let total = totals.served_count + totals.late_count + refused;
        let attained = 100.0 * f64::from(totals.served_count) / f64::from(total.max(1));
        let mut first_token_us = totals.first_token_us.clone();
        first_token_us.sort_unstable();
        let median_ms = first_token_us
            .get(first_token_us.len() / 2)
            .copied()
            .unwrap_or_default()
            / 1_000;
        println!(
            "served    {name}: {} in time ({attained:.0}%), {} late, {refused} refused, median time to first token {median_ms} ms",
            totals.served_count, totals.late_count
        );
        if totals.served_count == 0 {
            report
                .broken
                .push(format!("no call of account {name} was served in time"));
        }
    }
}

/// Prints the loads, unloads and peak memory of each engine.
fn print_memory(deployment: &Deployment, report: &mut Report) {
    for engine in &deployment.engines {
        let ledger = engine.stand_in.state().ledger();
        println!(
            "moved     {}: {} loads, {} unloads, peak memory {} of {ENGINE_MEMORY_BYTES} bytes",
            engine.id, ledger.load_count, ledger.unload_count, ledger.peak_bytes
        );
        if ledger.excess_count > 0 {
            report.broken.push(format!(
                "memory of {} was overcommitted {} time(s)",
                engine.id, ledger.excess_count
            ));
        }
    }
}

impl AccountTotals {
    /// Counts one outcome.
    fn add(&mut self, outcome: &Outcome) {
        let is_served = outcome.status == 200 && outcome.is_whole;
        let in_time = outcome
            .first_us
            .is_some_and(|first_us| first_us <= FIRST_TOKEN_MS * 1_000);
        match (is_served, in_time) {
            (true, true) => self.served_count += 1,
            (true, false) => self.late_count += 1,
            (false, _) => {
                *self
                    .refused
                    .entry(outcome.code.unwrap_or_default())
                    .or_default() += 1;
            }
        }
        if is_served {
            self.first_token_us.extend(outcome.first_us);
        }
    }
}

/// Objective for the time to the first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 2_000;

/// Returns the demo's declarations.
fn declarations() -> Folder {
    let names: Vec<String> = (0..MODEL_COUNT)
        .map(|number| format!("m{number}"))
        .collect();
    let models: Vec<_> = names
        .iter()
        .map(|name| json!({ "name": name, "pool": "text", "memory_bytes": MODEL_MEMORY_BYTES }))
        .collect();
    let accounts: Vec<_> = ACCOUNTS
        .iter()
        .map(|(name, share, class, _)| {
            json!({
                "name": AccountName::from(*name),
                "template": "all",
                "parameters": { "share": share, "class": class },
                "key_hashes": [KeyHash::of(name).to_hex()],
            })
        })
        .collect();
    let declared = json!({
        "pools": [
            { "name": "text", "kind": "engine", "checks_fences": true, "worker_memory_bytes": ENGINE_MEMORY_BYTES },
            { "name": "ledger", "kind": "plain", "path_prefix": "/ledger" },
        ],
        "models": models,
        "templates": [{ "name": "all", "models": names, "services": ["ledger"], "first_token_ms": FIRST_TOKEN_MS }],
        "accounts": accounts,
    });
    Folder {
        files: [("demo.jsonc".to_owned(), declared.to_string())].into(),
    }
}
