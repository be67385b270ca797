//! Runs a scenario: starts a deployment, sends the calls and injects the faults.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Mutex;

use super::BATCH_SLOWDOWN_RATIO;
use super::FaultKind;
use super::Scenario;
use super::arrivals;
use super::arrivals::Arrival;
use super::arrivals::CallTarget;
use super::report;
use super::report::Report;
use crate::caller::Caller;
use crate::deployment::DeployError;
use crate::deployment::Deployment;
use crate::waiting::TimedOut;
use cranereach_entry::settings::PolicySettings;
use cranereach_standin::engine::state::EngineOptions;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;
use cranereach_standin::platform::state::WeightLimits;
use cranereach_standin::service::CALL_HEADER;

/// Timeout for the configuration to come into force, in milliseconds.
const CONFIG_TIMEOUT_MS: u64 = 60_000;

/// Longest Retry-After that a caller follows, in seconds.
const RETRY_AFTER_MAX_S: u64 = 10;

/// A call and its outcomes.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// The call.
    pub arrival: Arrival,
    /// Outcome of the first attempt.
    pub first: Outcome,
    /// Outcome of the retry after Retry-After, if there was one.
    pub retry: Option<Outcome>,
}

/// Runs a scenario once and summarizes the results.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    policy: &PolicySettings,
) -> Result<Report, DeployError> {
    let deployment = start(scenario, policy).await?;
    let deployment = Arc::new(Mutex::new(deployment));
    let calls = arrivals::generate(scenario, seed);
    let started = Instant::now();
    let faults = tokio::spawn(inject_faults(
        scenario.clone(),
        Arc::clone(&deployment),
        started,
    ));
    let entries = callers(&deployment).await;
    let tasks: Vec<_> = send_on_schedule(calls, scenario.answer_tokens, &entries, started).await;
    let mut completed = Vec::with_capacity(tasks.len());
    for task in tasks {
        completed.extend(task.await.ok());
    }
    // The last fault may come after the last call.
    let _injected = faults.await;
    let deployment = Arc::into_inner(deployment).map(Mutex::into_inner);
    let deployment = deployment.ok_or_else(|| TimedOut {
        what: "all callers to finish".to_owned(),
    })?;
    let report = report::summarize(scenario, seed, &completed, &deployment);
    deployment.stop().await;
    Ok(report)
}

/// Starts the deployment of a scenario and waits until its configuration is in force.
async fn start(scenario: &Scenario, policy: &PolicySettings) -> Result<Deployment, DeployError> {
    let limits = WeightLimits {
        loads_per_s: scenario.loads_per_s,
        at_once_count: scenario.loads_at_once_count,
        load_ms: scenario.load_ms,
    };
    let mut deployment = Deployment::start(limits).await?;
    deployment.policy = PolicySettings {
        attainment_weight: scenario.attainment_weight,
        move_weight: scenario.move_weight,
        ..policy.clone()
    };
    let domain = |number: usize| format!("d{}", number % scenario.domain_count);
    for number in 0..scenario.engine_count {
        let options = EngineOptions {
            memory_bytes: scenario.engine_memory_gb * 1_000_000_000,
            slot_count: scenario.slot_count,
            token_us: scenario.token_us,
            batch_slowdown_ratio: BATCH_SLOWDOWN_RATIO,
            report_every_ms: scenario.report_every_ms,
            weight_store: Some(deployment.platform_address.clone()),
            ..EngineOptions::default()
        };
        deployment
            .add_engine("text", &domain(number), options)
            .await?;
    }
    preload(scenario, &deployment);
    for number in 0..scenario.service_count {
        deployment.add_service("ledger", &domain(number)).await?;
    }
    let version = deployment.apply(&arrivals::declarations(scenario)).await?;
    for number in 0..scenario.entry_count {
        deployment.add_entry(&domain(number)).await?;
    }
    deployment
        .wait_for_version(version, CONFIG_TIMEOUT_MS)
        .await?;
    Ok(deployment)
}

/// Loads models on the engines before the first call, in a placement made for an earlier demand.
fn preload(scenario: &Scenario, deployment: &Deployment) {
    for item in arrivals::preloaded(scenario) {
        let mut engines: Vec<_> = deployment
            .engines
            .iter()
            .map(|engine| engine.stand_in.state())
            .collect();
        engines.sort_by_key(|engine| engine.taken_bytes());
        let engine_with_base =
            |base: &String| engines.iter().position(|engine| engine.is_resident(base));
        match &item.base {
            Some(base) => engine_with_base(base)
                .is_some_and(|index| engines[index].preload(&item.target, item.memory_bytes)),
            None => engines
                .iter()
                .any(|engine| engine.preload(&item.target, item.memory_bytes)),
        };
    }
}

/// Returns a client of each entry instance.
async fn callers(deployment: &Mutex<Deployment>) -> Vec<Arc<Caller>> {
    deployment.lock().await.callers()
}

/// Sends each call at its scheduled time, round-robin over the entry instances like a load
/// balancer.
async fn send_on_schedule(
    calls: Vec<Arrival>,
    answer_tokens: u32,
    entries: &[Arc<Caller>],
    started: Instant,
) -> Vec<tokio::task::JoinHandle<CompletedCall>> {
    let mut tasks = Vec::with_capacity(calls.len());
    for (number, arrival) in calls.into_iter().enumerate() {
        tokio::time::sleep_until((started + Duration::from_millis(arrival.at_ms)).into()).await;
        let entries = entries.to_vec();
        tasks.push(tokio::spawn(async move {
            send_with_retry(arrival, answer_tokens, &entries, number).await
        }));
    }
    tasks
}

/// Sends one call; after an answer with Retry-After it retries once, at the next instance.
async fn send_with_retry(
    arrival: Arrival,
    answer_tokens: u32,
    entries: &[Arc<Caller>],
    number: usize,
) -> CompletedCall {
    let call = build_call(&arrival, answer_tokens);
    let mut first = entries[number % entries.len()].send(&call).await;
    if first.status == 0 {
        // The instance did not answer: a load balancer would use the next one.
        first = entries[(number + 1) % entries.len()].send(&call).await;
    }
    let mut retry = None;
    if let Some(seconds) = first
        .retry_after_s
        .filter(|seconds| *seconds <= RETRY_AFTER_MAX_S)
    {
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        retry = Some(entries[(number + 1) % entries.len()].send(&call).await);
    }
    CompletedCall {
        arrival,
        first,
        retry,
    }
}

/// Returns the request of a generated call.
fn build_call(arrival: &Arrival, answer_tokens: u32) -> Call {
    let key = arrivals::account_name(arrival.account);
    match &arrival.target {
        CallTarget::Model(model) => Call::chat(&key, model, &arrival.prompt, answer_tokens, true),
        CallTarget::Lookup(name) => Call::plain(&key, hyper::Method::POST, "/ledger/tickets", "{}")
            .with_header(CALL_HEADER, name),
    }
}

/// Injects the faults at their scheduled times.
async fn inject_faults(scenario: Scenario, deployment: Arc<Mutex<Deployment>>, started: Instant) {
    for fault in &scenario.faults {
        let at = started + Duration::from_millis(scenario.warmup_ms + fault.at_ms);
        tokio::time::sleep_until(at.into()).await;
        let mut deployment = deployment.lock().await;
        match fault.kind {
            FaultKind::KillEngine => kill_engines(&mut deployment, |index| index == 0),
            FaultKind::KillDomain => {
                kill_engines(&mut deployment, |index| index % scenario.domain_count == 0);
            }
            FaultKind::KillEntry => deployment.kill_entry(0).await,
            FaultKind::TableDown => deployment.platform.state().set_table_refuses(true),
            FaultKind::LoseOrders => lose_orders(&deployment),
        }
    }
}

/// Kills engines and removes them from the platform's instance list.
fn kill_engines(deployment: &mut Deployment, should_kill: impl Fn(usize) -> bool) {
    for index in (0..deployment.engines.len()).filter(|index| should_kill(*index)) {
        deployment.kill_engine(index);
        deployment
            .platform
            .state()
            .unlist(&deployment.engines[index].id);
    }
}

/// Makes each engine lose some orders and apply some late.
fn lose_orders(deployment: &Deployment) {
    for engine in &deployment.engines {
        engine.stand_in.state().set_periodic_order_faults(20, 2_000);
    }
}
