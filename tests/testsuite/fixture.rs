//! A small deployment within the process of the test, into which faults can be injected.

use serde_json::Value;
use serde_json::json;

use cranereach_bench::deployment::Deployment;
use cranereach_core::snapshot::KeyHash;
use cranereach_standin::engine::state::EngineOptions;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;
use cranereach_standin::platform::state::WeightLimits;
use cranereach_wire::folder::Folder;

/// Number of models; each takes 60 bytes, so that an engine of 100 bytes holds one at a time.
pub const MODEL_COUNT: usize = 4;

/// Generous timeout for whatever a test waits for, in milliseconds.
pub const WAIT_TIMEOUT_MS: u64 = 60_000;

/// Size and properties of the deployment of a test.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of entry instances, assigned to the failure domains in turn.
    pub entry_count: usize,
    /// Number of engines, assigned to the failure domains in turn.
    pub engine_count: usize,
    /// Number of failure domains.
    pub domain_count: usize,
    /// Whether the engines check fencing tokens.
    pub checks_fences: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            entry_count: 1,
            engine_count: 1,
            domain_count: 1,
            checks_fences: true,
        }
    }
}

/// Returns the hash of an API key in the form that declarations use.
pub fn key_hash(key: &str) -> String {
    KeyHash::of(key).to_hex()
}

/// Returns declarations as JSON that a test can modify.
pub fn declarations(checks_fences: bool) -> Value {
    let models: Vec<Value> = (0..MODEL_COUNT)
        .map(|n| json!({ "name": format!("m{n}"), "pool": "text", "memory_bytes": 60 }))
        .collect();
    let names: Vec<String> = (0..MODEL_COUNT).map(|n| format!("m{n}")).collect();
    let account =
        |name: &str| json!({ "name": name, "template": "all", "key_hashes": [key_hash(name)] });
    json!({
        "pools": [
            { "name": "text", "kind": "engine", "checks_fences": checks_fences, "worker_memory_bytes": 100 },
            { "name": "ledger", "kind": "plain", "path_prefix": "/ledger" },
        ],
        "models": models,
        "templates": [{
            "name": "all", "models": names, "services": ["ledger"],
            "first_token_ms": 30_000, "whole_answer_ms": 60_000,
        }],
        "accounts": [account("a"), account("b")],
    })
}

/// Returns a folder whose only file holds the declarations.
pub fn folder(declared: &Value) -> Folder {
    Folder {
        files: [("all.jsonc".to_owned(), declared.to_string())].into(),
    }
}

/// Starts a deployment with one ledger service and waits until its declarations are in force.
pub async fn start(shape: Shape) -> Deployment {
    let mut deployment = Deployment::start(WeightLimits::default())
        .await
        .expect("the platform starts");
    let domain = |number: usize| format!("d{}", number % shape.domain_count);
    for number in 0..shape.engine_count {
        let options = EngineOptions {
            memory_bytes: 100,
            token_us: 2_000,
            report_every_ms: 50,
            checks_fences: shape.checks_fences,
            ..EngineOptions::default()
        };
        deployment
            .add_engine("text", &domain(number), options)
            .await
            .expect("an engine starts");
    }
    deployment
        .add_service("ledger", "d0")
        .await
        .expect("a service starts");
    let version = deployment
        .apply(&folder(&declarations(shape.checks_fences)))
        .await
        .expect("declarations are accepted");
    for number in 0..shape.entry_count {
        deployment
            .add_entry(&domain(number))
            .await
            .expect("an instance starts");
    }
    deployment
        .wait_for_version(version, WAIT_TIMEOUT_MS)
        .await
        .expect("the version is in force");
    deployment
}

/// Returns how often memory was overcommitted, summed over all engines.
pub fn excess_count(deployment: &Deployment) -> u64 {
    deployment
        .engines
        .iter()
        .map(|engine| engine.stand_in.state().ledger().excess_count)
        .sum()
}

/// Repeats a call until it is served; fails the test unless the answer is complete.
pub async fn assert_served(deployment: &Deployment, entry: usize, call: &Call) -> Outcome {
    let outcome = deployment
        .call_until_served(entry, call, WAIT_TIMEOUT_MS)
        .await;
    assert!(
        outcome.status == 200 && outcome.is_whole,
        "{} {}: {outcome:?}",
        call.method,
        call.path
    );
    outcome
}
