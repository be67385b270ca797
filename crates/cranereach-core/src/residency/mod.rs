//! Residency plug-ins: which targets a cell loads and unloads now.
//!
//! A plan is incremental: it names the next moves, not a whole layout. Loads
//! are named only where the ledger has room; where room must be made first, the
//! plan unloads and the load follows once the worker has reported it free.

use serde::Deserialize;
use serde::Serialize;

use crate::ledger::Residence;
use crate::names::TargetName;
use crate::names::WorkerId;

mod plan_builder;
pub mod split;
mod value;

use self::plan_builder::Eviction;
use self::plan_builder::PlanBuilder;
pub use self::value::FORCED_LOAD_AFTER_MS;
use self::value::marginal_value;
use self::value::recency_value;
use self::value::replica_candidates;
use self::value::urgent_candidates;

/// Demand for one target, and where it stands.
#[derive(Clone, Debug)]
pub struct PlanTarget {
    /// The target.
    pub target: TargetName,
    /// Its own memory, in bytes.
    pub memory_bytes: u64,
    /// Base that must be resident beside it.
    pub base: Option<TargetName>,
    /// Requests that would run at once, over all cells.
    pub concurrent_count: f64,
    /// Requests that wait, on all instances.
    pub waiting_count: u32,
    /// How long the oldest has waited, in milliseconds.
    pub oldest_wait_ms: u64,
    /// When it was last asked for.
    pub used_at_ms: u64,
    /// Replicas in cells before this one in the target's order.
    pub replicas_before: usize,
    /// Replicas in all other cells.
    pub replicas_elsewhere: usize,
    /// Whether this cell adds the next replica.
    pub may_grow: bool,
}

/// One target on a worker.
#[derive(Clone, Debug)]
pub struct PlanOccupant {
    /// Index into the plan's targets; none for one that isn't declared any more.
    pub target_index: Option<usize>,
    /// The target's name.
    pub target: TargetName,
    /// Memory that it takes, in bytes.
    pub memory_bytes: u64,
    /// What the worker does with it.
    pub residence: Residence,
    /// When this holder first saw it there.
    pub seen_at_ms: u64,
}

/// One worker of the cell.
#[derive(Clone, Debug)]
pub struct PlanWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Memory that a load may take now, in bytes.
    pub free_bytes: u64,
    /// Memory that is being freed, in bytes.
    pub freeing_bytes: u64,
    /// Requests that it can batch.
    pub slot_count: u32,
    /// What is there, with open loads as `Loading`.
    pub occupants: Vec<PlanOccupant>,
}

/// Weights of what is measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanWeights {
    /// Worth of one more request running at once.
    pub attainment_weight: f64,
    /// Price of one load or unload.
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

/// Everything that a plan is made from.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// Now.
    pub now_ms: u64,
    /// Weights from settings.
    pub weights: PlanWeights,
    /// Declared targets of the cell's pool.
    pub targets: &'a [PlanTarget],
    /// Workers of the cell.
    pub workers: &'a [PlanWorker],
    /// Targets waited for too long that may evict whatever it costs, now.
    pub forces_allowed_count: usize,
}

/// One order that the plan wants sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Worker to order.
    pub worker: WorkerId,
    /// Target to load or unload.
    pub target: TargetName,
    /// Whether to load (else unload).
    pub is_load: bool,
    /// Whether a caller waits for it.
    pub is_urgent: bool,
}

/// A residency policy.
#[derive(Debug)]
pub struct ResidencyPolicy {
    /// Name in settings.
    pub name: &'static str,
    /// Names the next moves, the most urgent first.
    pub plan: fn(&PlanInput<'_>) -> Vec<Move>,
}

inventory::collect!(&'static ResidencyPolicy);

/// Marginal attainment per memory, minus the price of moves.
pub static MARGINAL: ResidencyPolicy = ResidencyPolicy {
    name: "marginal",
    plan: plan_marginal,
};

/// Least recently used, loaded on demand: the baseline.
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
            Eviction {
                value: marginal_value,
                respects_min_residency,
            },
        );
    }
    builder.moves
}

/// Plans by least recent use, on demand only.
fn plan_least_recently_used(input: &PlanInput<'_>) -> Vec<Move> {
    let mut builder = PlanBuilder::new(input);
    builder.forced_loads_left_count = usize::MAX;
    for candidate in urgent_candidates(input) {
        builder.place(
            candidate,
            Eviction {
                value: recency_value,
                respects_min_residency: false,
            },
        );
    }
    builder.moves
}
