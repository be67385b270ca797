//! Residency policies: which targets a cell loads and unloads next.
//!
//! A plan is incremental: it lists the next moves, not a complete layout. It
//! contains a load only if the worker's ledger has enough free memory. If memory
//! must be freed first, the plan contains the unloads, and the load follows once
//! the worker has reported the memory as free.

use serde::Deserialize;
use serde::Serialize;

use crate::ledger::Residence;
use crate::names::TargetName;
use crate::names::WorkerId;

mod plan_builder;
pub mod split;
mod value;

use self::plan_builder::EvictionRules;
use self::plan_builder::PlanBuilder;
pub use self::value::FORCED_LOAD_AFTER_MS;
use self::value::marginal_value;
use self::value::recency_value;
use self::value::replica_candidates;
use self::value::urgent_candidates;

/// Demand for one target, and its replicas.
#[derive(Clone, Debug)]
pub struct PlanTarget {
    /// The target.
    pub target: TargetName,
    /// Its own memory, in bytes.
    pub memory_bytes: u64,
    /// Base model that must be resident on the same worker, for an adapter.
    pub base: Option<TargetName>,
    /// Requests that would run concurrently, over all cells.
    pub concurrent_count: f64,
    /// Waiting requests on all instances.
    pub waiting_count: u32,
    /// Wait of the oldest request, in milliseconds.
    pub oldest_wait_ms: u64,
    /// Time of the last request for it.
    pub used_at_ms: u64,
    /// Replicas in the cells before this one in the target's order of cells.
    pub replicas_before: usize,
    /// Replicas in all other cells.
    pub replicas_elsewhere: usize,
    /// Whether this cell may add the next replica.
    pub may_add_replica: bool,
}

/// Target on a worker.
#[derive(Clone, Debug)]
pub struct PlanOccupant {
    /// Index into the plan's targets; none if the target is no longer declared.
    pub target_index: Option<usize>,
    /// The target's name.
    pub target: TargetName,
    /// Memory that it occupies, in bytes.
    pub memory_bytes: u64,
    /// State of the target on the worker.
    pub residence: Residence,
    /// Time at which this lease holder first saw it on the worker.
    pub seen_at_ms: u64,
}

/// Worker of the cell.
#[derive(Clone, Debug)]
pub struct PlanWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Memory available to a load now, in bytes.
    pub free_bytes: u64,
    /// Memory that open unloads will free, in bytes.
    pub freeing_bytes: u64,
    /// Maximum number of requests in its batch.
    pub slot_count: u32,
    /// Targets on the worker, with ordered loads as `Loading`.
    pub occupants: Vec<PlanOccupant>,
}

/// Weights of the planner's objectives.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanWeights {
    /// Value of one more request running concurrently.
    pub attainment_weight: f64,
    /// Cost of one load or unload.
    pub move_weight: f64,
}

impl Default for PlanWeights {
    fn default() -> Self {
        Self {
            attainment_weight: 1.0,
            move_weight: 0.2,
        }
    }
}

/// Input of a residency policy.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// Current time.
    pub now_ms: u64,
    /// Weights from settings.
    pub weights: PlanWeights,
    /// Declared targets of the cell's pool.
    pub targets: &'a [PlanTarget],
    /// Workers of the cell.
    pub workers: &'a [PlanWorker],
    /// Number of overdue targets that may evict regardless of cost in this plan.
    pub forced_loads_allowed_count: usize,
}

/// Load or unload requested by a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Worker that receives the order.
    pub worker: WorkerId,
    /// Target to load or unload.
    pub target: TargetName,
    /// Whether to load the target rather than unload it.
    pub is_load: bool,
    /// Whether it is for a target with waiting requests and no replica.
    pub is_urgent: bool,
}

/// Residency policy.
#[derive(Debug)]
pub struct ResidencyPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Returns the next moves, the most urgent first.
    pub plan: fn(&PlanInput<'_>) -> Vec<Move>,
}

inventory::collect!(&'static ResidencyPolicy);

/// Loads by marginal attainment minus the cost of moves, and evicts the lowest value per byte.
pub static MARGINAL: ResidencyPolicy = ResidencyPolicy {
    name: "marginal",
    plan: plan_marginal,
};

/// Loads on demand and evicts the least recently used target: the baseline.
pub static LEAST_RECENTLY_USED: ResidencyPolicy = ResidencyPolicy {
    name: "least-recently-used",
    plan: plan_least_recently_used,
};

inventory::submit! { &MARGINAL }
inventory::submit! { &LEAST_RECENTLY_USED }

/// Finds a policy by its name in settings.
///
/// ```
/// assert_eq!(cranereach_core::residency::find("marginal").unwrap().name, "marginal");
/// ```
pub fn find(name: &str) -> Option<&'static ResidencyPolicy> {
    inventory::iter::<&'static ResidencyPolicy>()
        .copied()
        .find(|policy| policy.name == name)
}

/// Lists the names of all policies, for messages.
pub fn names() -> Vec<&'static str> {
    inventory::iter::<&'static ResidencyPolicy>()
        .map(|policy| policy.name)
        .collect()
}

/// Plans by marginal attainment.
fn plan_marginal(input: &PlanInput<'_>) -> Vec<Move> {
    let mut builder = PlanBuilder::new(input);
    for candidate in replica_candidates(input) {
        let respects_min_residency = candidate.gain.is_finite();
        builder.place(
            candidate,
            EvictionRules {
                value: marginal_value,
                respects_min_residency,
            },
        );
    }
    builder.moves
}

/// Plans loads on demand only and evicts by least recent use.
fn plan_least_recently_used(input: &PlanInput<'_>) -> Vec<Move> {
    let mut builder = PlanBuilder::new(input);
    builder.forced_loads_left_count = usize::MAX;
    for candidate in urgent_candidates(input) {
        builder.place(
            candidate,
            EvictionRules {
                value: recency_value,
                respects_min_residency: false,
            },
        );
    }
    builder.moves
}
