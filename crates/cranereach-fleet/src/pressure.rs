//! Estimates the congestion cost of the current placement, and how one replica more or less changes
//! it.
//!
//! Several models share a worker, and requests for a model go to whichever of its replicas has
//! capacity. So the demand of all models is first distributed over the workers as evenly as their
//! replicas allow (water-filling). At a utilization `u`, the congestion cost of a worker is `u^3`
//! for `u < 1` and `u (2 u - 1)` above, where queues grow; beyond the saturation point it grows
//! linearly, because further demand is not served at all. For a model without any replica, all of
//! its demand counts, weighted by `NO_REPLICA_WEIGHT`.

use std::collections::HashMap;

use crate::demand::ModelKey;
use crate::worker_view::WorkerView;

/// Cost of demand for a model without a replica, relative to the cost at a fully utilized worker.
const NO_REPLICA_WEIGHT: f64 = 8.0;

/// Utilization from which the congestion cost grows linearly. The slope there, `4 u - 1`, is below
/// `NO_REPLICA_WEIGHT`, so that under overload a model without a replica still gets one.
const SATURATION_UTILIZATION: f64 = 1.75;

/// Capacity of one worker, in milliseconds of worker time per second.
const WORKER_MS_PER_S: f64 = 1_000.0;

/// Number of passes in which the demand of each model is redistributed, given that of the others.
const SWEEP_COUNT: usize = 6;

/// Share of the total demand that is spread evenly over all models as a minimum.
///
/// It keeps the last replica of a model without requests, until a model with demand needs the
/// memory.
const BASELINE_DEMAND_SHARE: f64 = 0.05;

/// A replica of a model on a worker.
#[derive(Clone, Copy, Debug)]
struct Replica {
    /// Index of the worker in the list of views.
    worker: usize,
    /// Utilization of the worker caused by the demand for this model.
    share: f64,
    /// Whether the replica serves requests, that is, is not still being loaded.
    is_ready: bool,
}

/// Demand for a model and the state of its replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WantedModel {
    /// Index of the model in the declared list.
    pub model: usize,
    /// Demand, as a number of fully utilized workers.
    pub demand: f64,
    /// Number of replicas that serve requests.
    pub ready_count: usize,
    /// Number of replicas being loaded.
    pub loading_count: usize,
    /// Lowest utilization among the workers that serve it; infinite if there is none.
    pub level: f64,
}

/// Demand for all models of one service, distributed over the workers.
#[derive(Clone, Debug)]
pub struct Pressure {
    /// Demand by model, as a number of fully utilized workers.
    demand: Vec<f64>,
    /// Replicas by model, without those being unloaded.
    replicas_by_model: Vec<Vec<Replica>>,
    /// Utilization by worker; above one, the worker gets more demand than it can serve.
    levels: Vec<f64>,
}

impl Pressure {
    /// Distributes the demand over the replicas on the workers.
    pub fn of(
        model_count: usize,
        requested: &HashMap<ModelKey, f64>,
        workers: &[WorkerView],
    ) -> Self {
        let mut replicas_by_model = vec![Vec::new(); model_count];
        let carrying = workers
            .iter()
            .enumerate()
            .filter(|(_, view)| view.carries_demand());
        for (index, worker) in carrying {
            for held in worker.replicas.iter().filter(|held| !held.is_unloading) {
                let Some(of_model) = replicas_by_model.get_mut(usize::from(held.model)) else {
                    continue;
                };
                of_model.push(Replica {
                    worker: index,
                    share: 0.0,
                    is_ready: !held.is_loading,
                });
            }
        }
        let demand = expected_demand(model_count, requested);
        let mut pressure = Self {
            demand: demand
                .into_iter()
                .map(|work| work / WORKER_MS_PER_S)
                .collect(),
            replicas_by_model,
            levels: vec![0.0; workers.len()],
        };
        for _sweep in 0..SWEEP_COUNT {
            pressure.distribute();
        }
        pressure
    }

    /// Returns the largest cost reduction that one more replica of a model could bring, on an idle
    /// worker, in milliseconds of worker time per second.
    pub fn max_gain(&self, model: usize) -> f64 {
        self.gain_at(model, 0.0)
    }

    /// Returns the cost reduction by a new replica of a model on a worker, after the eviction of
    /// another model if one is given, in milliseconds of worker time per second.
    pub fn gain(&self, model: usize, worker: usize, evicted: Option<u16>) -> f64 {
        let freed = evicted.map_or(0.0, |other| self.share(usize::from(other), worker));
        self.gain_at(model, (self.levels[worker] - freed).max(0.0))
    }

    /// Returns the cost increase when a model's replica is removed from a worker, in milliseconds
    /// of worker time per second.
    pub fn loss(&self, model: usize, worker: usize) -> f64 {
        let others = self.replicas_by_model[model]
            .iter()
            .filter(|replica| replica.is_ready && replica.worker != worker);
        let levels: Vec<f64> = others.map(|other| self.levels[other.worker]).collect();
        if levels.is_empty() {
            return NO_REPLICA_WEIGHT * self.demand[model] * WORKER_MS_PER_S;
        }
        let share = self.share(model, worker);
        let water_level = water_fill(&levels, share);
        let added: f64 = levels
            .iter()
            .map(|level| congestion_cost(level.max(water_level)) - congestion_cost(*level))
            .sum();
        let level = self.levels[worker];
        let relieved = congestion_cost(level) - congestion_cost((level - share).max(0.0));
        (added - relieved) * WORKER_MS_PER_S
    }

    /// Returns the `count` models with the highest demand, in descending order.
    pub fn most_wanted(&self, count: usize) -> Vec<WantedModel> {
        let mut wanted: Vec<WantedModel> = self
            .demand
            .iter()
            .zip(&self.replicas_by_model)
            .enumerate()
            .map(|(model, (demand, replicas))| WantedModel {
                model,
                demand: *demand,
                ready_count: replicas.iter().filter(|replica| replica.is_ready).count(),
                loading_count: replicas.iter().filter(|replica| !replica.is_ready).count(),
                level: replicas
                    .iter()
                    .filter(|replica| replica.is_ready)
                    .map(|replica| self.levels[replica.worker])
                    .fold(f64::INFINITY, f64::min),
            })
            .collect();
        wanted.sort_by(|left, right| right.demand.total_cmp(&left.demand));
        wanted.truncate(count);
        wanted
    }

    /// Returns the maximum and the mean utilization of the workers.
    pub fn levels(&self) -> (f64, f64) {
        let most = self.levels.iter().copied().fold(0.0, f64::max);
        let sum: f64 = self.levels.iter().sum();
        (most, sum / self.levels.len().max(1) as f64)
    }

    /// Returns the cost reduction by a new replica on a worker of a given utilization.
    fn gain_at(&self, model: usize, level: f64) -> f64 {
        let demand = self.demand[model];
        let serving = self.replicas_by_model[model].iter();
        let used = serving.filter(|replica| replica.share > 0.0);
        let levels: Vec<f64> = used.map(|replica| self.levels[replica.worker]).collect();
        if levels.is_empty() {
            let added = congestion_cost(level + demand) - congestion_cost(level);
            return (NO_REPLICA_WEIGHT * demand - added).max(0.0) * WORKER_MS_PER_S;
        }
        let count = levels.len() as f64;
        let before = levels.iter().sum::<f64>() / count;
        // Demand moves to the new replica until the utilizations are equal.
        let moved = ((before - level) / (1.0 + 1.0 / count)).clamp(0.0, demand);
        let relieved = count * (congestion_cost(before) - congestion_cost(before - moved / count));
        let added = congestion_cost(level + moved) - congestion_cost(level);
        (relieved - added) * WORKER_MS_PER_S
    }

    /// Returns the utilization of a worker caused by the demand for a model.
    fn share(&self, model: usize, worker: usize) -> f64 {
        let mut replicas = self.replicas_by_model[model].iter();
        let found = replicas.find(|replica| replica.worker == worker);
        found.map_or(0.0, |replica| replica.share)
    }

    /// Redistributes the demand of each model over its replicas, given that of the others.
    fn distribute(&mut self) {
        for (replicas, demand) in self.replicas_by_model.iter_mut().zip(&self.demand) {
            for replica in &*replicas {
                self.levels[replica.worker] -= replica.share;
            }
            let levels: Vec<f64> = replicas
                .iter()
                .map(|replica| self.levels[replica.worker])
                .collect();
            let water_level = water_fill(&levels, *demand);
            for (replica, level) in replicas.iter_mut().zip(levels) {
                replica.share = (water_level - level).max(0.0);
                self.levels[replica.worker] += replica.share;
            }
        }
    }
}

/// Returns the common level that workers of the given levels reach when an amount is added to the
/// lowest ones (water-filling).
fn water_fill(levels: &[f64], amount: f64) -> f64 {
    let mut sorted = levels.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let mut sum = 0.0;
    for (index, level) in sorted.iter().enumerate() {
        sum += level;
        let water_level = (sum + amount) / (index + 1) as f64;
        if sorted
            .get(index + 1)
            .is_none_or(|next| water_level <= *next)
        {
            return water_level;
        }
    }
    0.0
}

/// Returns the demand by model, raised to a minimum for each model; the total stays the same.
fn expected_demand(model_count: usize, requested: &HashMap<ModelKey, f64>) -> Vec<f64> {
    let mut by_model = vec![0.0; model_count];
    for ((model, _adapter), rate) in requested {
        if let Some(sum) = by_model.get_mut(usize::from(*model)) {
            *sum += rate;
        }
    }
    let total: f64 = by_model.iter().sum();
    let least = BASELINE_DEMAND_SHARE * total / model_count.max(1) as f64;
    let mut expected: Vec<f64> = by_model.iter().map(|own| own.max(least)).collect();
    // Scale all down so that the minimum doesn't add to the total.
    let expected_total: f64 = expected.iter().sum();
    if expected_total > 0.0 {
        for demand in &mut expected {
            *demand *= total / expected_total;
        }
    }
    expected
}

/// Returns the congestion cost of a worker at a given utilization, as a number of workers.
fn congestion_cost(share: f64) -> f64 {
    if share < 1.0 {
        share * share * share
    } else {
        let queued = share.min(SATURATION_UTILIZATION);
        let excess = share - queued;
        queued * (2.0 * queued - 1.0) + excess * (4.0 * SATURATION_UTILIZATION - 1.0)
    }
}
