//! Generates calls from a seed: Zipf demand over models, with bursts, from accounts of three
//! classes.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

use super::Scenario;
use cranereach_core::declarations::Class;
use cranereach_core::snapshot::KeyHash;
use cranereach_wire::folder::Folder;

/// Exponent of the Zipf distribution of demand over base models.
const ZIPF_EXPONENT: f64 = 0.9;

/// Factor by which a burst multiplies one model's demand.
const BURST_FACTOR: f64 = 10.0;

/// Fraction of a base model's demand that goes to its adapters.
const ADAPTER_DEMAND_RATIO: f64 = 0.5;

/// Bytes in a GB, the unit of memory in scenario files.
const BYTES_PER_GB: u64 = 1_000_000_000;

/// Different prompt prefixes per account; they repeat, so that the prefix cache has hits.
const PROMPT_PREFIX_COUNT: u32 = 8;

/// Service objectives of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceObjective {
    /// Maximum time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Intended time between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Weight of the class's calls in attainment.
    pub weight: u32,
}

/// Target of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// Name of a model or adapter.
    Model(String),
    /// Name of a lookup at a plain service, by which its executions are counted.
    Lookup(String),
}

/// One generated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the warm-up, in milliseconds.
    pub at_ms: u64,
    /// Index of the account.
    pub account: usize,
    /// Target of the call.
    pub target: CallTarget,
    /// Text of the prompt.
    pub prompt: String,
}

/// Returns the service objectives of a class.
pub fn objective(class: Class) -> ServiceObjective {
    match class {
        Class::Urgent => ServiceObjective {
            first_token_ms: 600,
            between_tokens_ms: 50,
            weight: 3,
        },
        Class::Standard => ServiceObjective {
            first_token_ms: 1_500,
            between_tokens_ms: 50,
            weight: 2,
        },
        Class::Deferrable => ServiceObjective {
            first_token_ms: 5_000,
            between_tokens_ms: 100,
            weight: 1,
        },
    }
}

/// Returns the class of an account, by its index.
pub fn class_of(account: usize) -> Class {
    Class::ALL[account % Class::ALL.len()]
}

/// Returns an account's name, which is also its API key.
pub fn account_name(account: usize) -> String {
    format!("account-{account}")
}

/// Generates the calls of a scenario from a seed, in order of time.
///
/// ```
/// use cranereach_bench::scenario::arrivals::objective;
/// use cranereach_core::declarations::Class;
///
/// assert_eq!(objective(Class::Urgent).first_token_ms, 600);
/// ```
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(seed);
    let total_ms = scenario.warmup_ms + scenario.measured_ms;
    let mut weights = base_weights(scenario);
    let model_by_rank = shuffled_indices(scenario.model_count, &mut random);
    let mut burst: Option<(usize, u64)> = None;
    let mut next_burst_ms = scenario.burst_every_ms;
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    while (at_ms as u64) < total_ms {
        if burst.is_some_and(|(_, until_ms)| at_ms as u64 >= until_ms) {
            burst = None;
            weights = base_weights(scenario);
        }
        if at_ms as u64 >= next_burst_ms {
            let rank = random.random_range(0..scenario.model_count);
            weights = base_weights(scenario);
            weights[rank] *= BURST_FACTOR;
            burst = Some((rank, at_ms as u64 + scenario.burst_ms));
            next_burst_ms += scenario.burst_every_ms;
        }
        let rates = [
            scenario.calls_per_s(),
            scenario.lookups_per_s,
            flood_calls_per_s(scenario),
        ];
        let rate: f64 = rates.iter().sum();
        at_ms += -random.random::<f64>().max(1e-12).ln() * 1_000.0 / rate;
        let drawn = random.random::<f64>() * rate;
        let is_lookup = drawn >= rates[0] && drawn < rates[0] + rates[1];
        let is_flood = drawn >= rates[0] + rates[1];
        let flooding = scenario.flooding_account.filter(|_| is_flood);
        let account = flooding.unwrap_or_else(|| random.random_range(0..scenario.account_count));
        let target = if is_lookup {
            CallTarget::Lookup(format!("lookup-{}", arrivals.len()))
        } else {
            CallTarget::Model(draw_target(scenario, &weights, &model_by_rank, &mut random))
        };
        let prompt = format!(
            "{} start {}: {}",
            account_name(account),
            random.random_range(0..PROMPT_PREFIX_COUNT),
            "words ".repeat(30)
        );
        arrivals.push(Arrival {
            at_ms: at_ms as u64,
            account,
            target,
            prompt,
        });
    }
    arrivals
}

/// Returns the declarations of a scenario's pools, models and accounts.
pub fn declarations(scenario: &Scenario) -> Folder {
    let mut models = Vec::new();
    for number in 0..scenario.model_count {
        models.push(
            json!({ "name": model_name(number), "pool": "text", "memory_bytes": model_memory_bytes(number) }),
        );
    }
    for number in 0..scenario.adapter_count {
        let base = model_name(number % scenario.model_count);
        models.push(json!({ "name": adapter_name(number), "pool": "text", "memory_bytes": BYTES_PER_GB, "base": base }));
    }
    let names: Vec<String> = (0..scenario.model_count)
        .map(model_name)
        .chain((0..scenario.adapter_count).map(adapter_name))
        .collect();
    let template = |class: Class| {
        json!({
            "name": class.name(), "models": names, "services": ["ledger"], "class": class,
            "first_token_ms": objective(class).first_token_ms, "whole_answer_ms": 30_000, "queue_count": 64,
        })
    };
    let account = |number: usize| {
        json!({
            "name": account_name(number), "template": class_of(number).name(),
            "key_hashes": [KeyHash::of(&account_name(number)).to_hex()],
        })
    };
    let declared = json!({
        "pools": [
            { "name": "text", "kind": "engine", "checks_fences": true, "worker_memory_bytes": scenario.engine_memory_gb * BYTES_PER_GB },
            { "name": "ledger", "kind": "plain", "path_prefix": "/ledger" },
        ],
        "models": models,
        "templates": Class::ALL.map(template),
        "accounts": (0..scenario.account_count).map(account).collect::<Vec<_>>(),
    });
    Folder {
        files: [("scenario.jsonc".to_owned(), declared.to_string())].into(),
    }
}

/// A target that is loaded before the first call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preloaded {
    /// Name of a base model or adapter.
    pub target: String,
    /// Its memory, in bytes.
    pub memory_bytes: u64,
    /// Base model that must be resident on the same engine, for an adapter.
    pub base: Option<String>,
}

/// Lists the targets to load before the first call, base models first.
///
/// They are ordered by number, while the demand's ranks are shuffled by the seed,
/// so the initial placement is one that suited an earlier demand.
pub fn preloaded(scenario: &Scenario) -> Vec<Preloaded> {
    let bases = (0..scenario.model_count).map(|number| Preloaded {
        target: model_name(number),
        memory_bytes: model_memory_bytes(number),
        base: None,
    });
    let adapters = (0..scenario.adapter_count).map(|number| Preloaded {
        target: adapter_name(number),
        memory_bytes: BYTES_PER_GB,
        base: Some(model_name(number % scenario.model_count)),
    });
    bases.chain(adapters).collect()
}

/// Returns the calls per second that the flooding account sends on top of its usual demand.
fn flood_calls_per_s(scenario: &Scenario) -> f64 {
    let own = scenario.calls_per_s() / scenario.account_count as f64;
    if scenario.flooding_account.is_some() {
        9.0 * own
    } else {
        0.0
    }
}

/// Returns the Zipf weights of the base models, by rank.
fn base_weights(scenario: &Scenario) -> Vec<f64> {
    (0..scenario.model_count)
        .map(|rank| 1.0 / (rank as f64 + 1.0).powf(ZIPF_EXPONENT))
        .collect()
}

/// Returns the indices below `count` in random order.
fn shuffled_indices(count: usize, random: &mut SmallRng) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..count).collect();
    for index in (1..count).rev() {
        indices.swap(index, random.random_range(0..=index));
    }
    indices
}

/// Draws a base model by its weight, or one of its adapters.
fn draw_target(
    scenario: &Scenario,
    weights: &[f64],
    model_by_rank: &[usize],
    random: &mut SmallRng,
) -> String {
    let mut drawn = random.random::<f64>() * weights.iter().sum::<f64>();
    let rank = weights.iter().position(|weight| {
        drawn -= weight;
        drawn <= 0.0
    });
    let model = model_by_rank[rank.unwrap_or(0)];
    let adapters =
        (scenario.adapter_count + scenario.model_count - 1 - model) / scenario.model_count;
    if adapters == 0 || random.random::<f64>() >= ADAPTER_DEMAND_RATIO {
        return model_name(model);
    }
    adapter_name(model + scenario.model_count * random.random_range(0..adapters))
}

/// Returns a base model's memory in bytes; sizes range from 12 to 27 GB.
fn model_memory_bytes(number: usize) -> u64 {
    (12 + 3 * (number as u64 % 6)) * BYTES_PER_GB
}

/// Returns a base model's name.
fn model_name(number: usize) -> String {
    format!("model-{number}")
}

/// Returns an adapter's name; its base model is its number modulo the number of base models.
fn adapter_name(number: usize) -> String {
    format!("adapter-{number}")
}
