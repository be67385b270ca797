//! Size, demand and faults of a test deployment, as read from a scenario file.
//!
//! [`arrivals`] generates the calls from a seed, [`run`] sends them to a
//! deployment, and [`report`] compares the results with the service objectives.

pub mod arrivals;
pub mod report;
pub mod run;

use serde::Deserialize;
use serde::Serialize;

/// A load test: the deployment, its demand and the faults to inject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Number of entry instances.
    pub entry_count: usize,
    /// Number of model engines, spread over the failure domains.
    pub engine_count: usize,
    /// Number of plain services.
    pub service_count: usize,
    /// Number of failure domains.
    pub domain_count: usize,
    /// Number of base models.
    pub model_count: usize,
    /// Number of adapters, spread over the base models.
    pub adapter_count: usize,
    /// Number of accounts, a third in each class.
    pub account_count: usize,
    /// Accelerator memory of one engine, in GB.
    pub engine_memory_gb: u64,
    /// Maximum number of requests in an engine's batch.
    pub slot_count: u32,
    /// Time per token for a request that runs alone on an engine, in microseconds.
    pub token_us: u64,
    /// Time between two refreshes of an engine's report, in milliseconds.
    pub report_every_ms: u64,
    /// Maximum number of model loads that the weight store starts per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads from the weight store.
    pub loads_at_once_count: u32,
    /// Duration of one load, in milliseconds.
    pub load_ms: u64,
    /// Number of tokens of each answer.
    pub answer_tokens: u32,
    /// Demand, as a fraction of the tokens that the engines can generate.
    pub load_ratio: f64,
    /// Lookups per second, sent to the plain services.
    pub lookups_per_s: f64,
    /// Duration of the measured phase, in milliseconds.
    pub measured_ms: u64,
    /// Duration of the warm-up before the measured phase, in milliseconds.
    pub warmup_ms: u64,
    /// Time between two bursts that raise one model's demand tenfold, in milliseconds.
    pub burst_every_ms: u64,
    /// Duration of a burst, in milliseconds.
    pub burst_ms: u64,
    /// Index of an account that sends ten times its usual demand; none if absent.
    #[serde(default)]
    pub flooding_account: Option<usize>,
    /// Faults to inject, in order of time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// Weight of attainment in the placement plan: value of one more request running concurrently.
    #[serde(default = "one")]
    pub attainment_weight: f64,
    /// Weight of moves in the placement plan: cost of one load or unload.
    #[serde(default = "fifth")]
    pub move_weight: f64,
}

/// Returns the default attainment weight.
fn one() -> f64 {
    1.0
}

/// Returns the default move weight.
fn fifth() -> f64 {
    0.2
}

/// A fault and the time of its injection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time since the start of the measured phase, in milliseconds.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The first engine stops abruptly.
    KillEngine,
    /// All engines of the first failure domain stop abruptly.
    KillDomain,
    /// The first entry instance stops abruptly.
    KillEntry,
    /// The platform's table refuses all requests from this time on.
    TableDown,
    /// Each engine loses one order in twenty, and applies one in twenty 2 s late.
    LoseOrders,
}

impl Scenario {
    /// Returns the tokens per second that all engines together can generate with full batches.
    pub fn capacity_tokens_per_s(&self) -> f64 {
        let full_token_s = self.token_us as f64 * (1.0 + BATCH_SLOWDOWN_RATIO) / 1e6;
        self.engine_count as f64 * f64::from(self.slot_count) / full_token_s
    }

    /// Returns the model calls per second that result from the load ratio.
    pub fn calls_per_s(&self) -> f64 {
        self.load_ratio * self.capacity_tokens_per_s() / f64::from(self.answer_tokens)
    }
}

/// Relative increase of the time per token in a full batch, compared with a request that runs
/// alone.
pub const BATCH_SLOWDOWN_RATIO: f64 = 0.5;
