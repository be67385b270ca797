//! How much demand is served badly, and what a replica more or less changes.
//!
//! Several models share a worker, and each model's demand goes to whichever of
//! its holders has time. So the demand of all models is first laid over the
//! workers as evenly as what they hold allows. A worker of which the share `u` of
//! its time is requested for serves `u^3` badly while `u` is below one, and
//! `u (2 u - 1)` above, where queues grow, up to where nothing more is served. A
//! model that no worker holds has all of its demand served badly, several times
//! over.

use std::collections::HashMap;

use crate::demand::ModelKey;
use crate::placement::WorkerView;

/// How much worse it is to have no worker than to have one that is full.
const NO_REPLICA_WEIGHT: f64 = 8.0;

/// Share of a worker's time from which all further demand is served equally badly:
/// below the weight of a model that nobody holds, so that some are served.
const SATURATION_UTILIZATION: f64 = 1.75;

/// Workers' time that one worker gives, in milliseconds per second.
const WORKER_MS_PER_S: f64 = 1_000.0;

/// Times that the demand of each model is laid out anew, given that of the others.
const SWEEP_COUNT: usize = 6;

/// Demand that is spread over all models alike, as a share of all demand.
///
/// It keeps a model that nobody asks for on its last worker, but no longer than a
/// busy one needs the place.
const BASELINE_DEMAND_SHARE: f64 = 0.05;

/// A model on a worker.
#[derive(Clone, Copy, Debug)]
struct Replica {
    /// The worker's place in the view.
    worker: usize,
    /// Share of the worker's time that the model's demand takes there.
    share: f64,
    /// Whether the model is served there already.
    is_ready: bool,
}

/// The demand for a model and who serves it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WantedModel {
    /// The model's place in the declared list.
    pub model: usize,
    /// Demand, in workers.
    pub demand: f64,
    /// Workers that serve it.
    pub ready_count: usize,
    /// Workers that are loading it.
    pub coming_count: usize,
    /// Share of its time that is requested of the least busy worker that serves it.
    pub level: f64,
}

/// Demand of all models of one service, laid over the workers.
#[derive(Clone, Debug)]
pub struct Pressure {
    /// Demand by model, in workers.
    demand: Vec<f64>,
    /// Who holds each model.
    replicas: Vec<Vec<Replica>>,
    /// Share of each worker's time that is requested for.
    levels: Vec<f64>,
}

impl Pressure {
    /// Works the pressure out from what is requested for and what workers hold.
    pub fn of(
        model_count: usize,
        requested: &HashMap<ModelKey, f64>,
        workers: &[WorkerView],
    ) -> Self {
        let mut replicas = vec![Vec::new(); model_count];
        let carrying = workers
            .iter()
            .enumerate()
            .filter(|(_, view)| view.carries_demand());
        for (index, worker) in carrying {
            for place in worker.places.iter().filter(|place| !place.is_going) {
                let Some(of_model) = replicas.get_mut(usize::from(place.model)) else {
                    continue;
                };
                of_model.push(Replica {
                    worker: index,
                    share: 0.0,
                    is_ready: !place.is_coming,
                });
            }
        }
        let demand = expected_demand(model_count, requested);
        let mut pressure = Self {
            demand: demand
                .into_iter()
                .map(|work| work / WORKER_MS_PER_S)
                .collect(),
            replicas,
            levels: vec![0.0; workers.len()],
        };
        for _sweep in 0..SWEEP_COUNT {
            pressure.distribute();
        }
        pressure
    }

    /// Returns the most that one more replica of a model could take off, in
    /// milliseconds of workers' time per second.
    pub fn max_gain(&self, model: usize) -> f64 {
        self.gain_at(model, 0.0)
    }

    /// Returns what a replica of a model on a worker takes off, after another model
    /// has made way if one is named.
    pub fn gain(&self, model: usize, worker: usize, evicted: Option<u16>) -> f64 {
        let freed = evicted.map_or(0.0, |other| self.share(usize::from(other), worker));
        self.gain_at(model, (self.levels[worker] - freed).max(0.0))
    }

    /// Returns what one less of a model's ready replicas adds, taken from a worker.
    pub fn loss(&self, model: usize, worker: usize) -> f64 {
        let others = self.replicas[model]
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

    /// Lists the models by demand, the most wanted first.
    pub fn most_wanted(&self, count: usize) -> Vec<WantedModel> {
        let mut wanted: Vec<WantedModel> = self
            .demand
            .iter()
            .zip(&self.replicas)
            .enumerate()
            .map(|(model, (demand, replicas))| WantedModel {
                model,
                demand: *demand,
                ready_count: replicas.iter().filter(|replica| replica.is_ready).count(),
                coming_count: replicas.iter().filter(|replica| !replica.is_ready).count(),
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

    /// Returns the share of their time that is requested of the busiest worker, and of
    /// all on the average.
    pub fn levels(&self) -> (f64, f64) {
        let most = self.levels.iter().copied().fold(0.0, f64::max);
        let sum: f64 = self.levels.iter().sum();
        (most, sum / self.levels.len().max(1) as f64)
    }

    /// Returns what a replica takes off on a worker that is busy so far already.
    fn gain_at(&self, model: usize, level: f64) -> f64 {
        let demand = self.demand[model];
        let serving = self.replicas[model].iter();
        let used = serving.filter(|replica| replica.share > 0.0);
        let levels: Vec<f64> = used.map(|replica| self.levels[replica.worker]).collect();
        if levels.is_empty() {
            let added = congestion_cost(level + demand) - congestion_cost(level);
            return (NO_REPLICA_WEIGHT * demand - added).max(0.0) * WORKER_MS_PER_S;
        }
        let count = levels.len() as f64;
        let before = levels.iter().sum::<f64>() / count;
        // What moves over evens the levels out.
        let moved = ((before - level) / (1.0 + 1.0 / count)).clamp(0.0, demand);
        let relieved = count * (congestion_cost(before) - congestion_cost(before - moved / count));
        let added = congestion_cost(level + moved) - congestion_cost(level);
        (relieved - added) * WORKER_MS_PER_S
    }

    /// Returns the share of a worker's time that a model's demand takes there.
    fn share(&self, model: usize, worker: usize) -> f64 {
        let mut replicas = self.replicas[model].iter();
        let found = replicas.find(|replica| replica.worker == worker);
        found.map_or(0.0, |replica| replica.share)
    }

    /// Lays the demand of each model over its holders, given that of the others.
    fn distribute(&mut self) {
        for (replicas, demand) in self.replicas.iter_mut().zip(&self.demand) {
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

/// Returns the level up to which an amount fills vessels that are filled already
/// up to levels of their own.
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

/// Returns the demand per model, with a little of all for models that nobody asks for.
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
    // That little is taken off the others.
    let expected_total: f64 = expected.iter().sum();
    if expected_total > 0.0 {
        for demand in &mut expected {
            *demand *= total / expected_total;
        }
    }
    expected
}

/// Returns how much is served badly, in workers, by one of whose time a share is
/// requested for.
fn congestion_cost(share: f64) -> f64 {
    if share < 1.0 {
        share * share * share
    } else {
        let queued = share.min(SATURATION_UTILIZATION);
        let excess = share - queued;
        queued * (2.0 * queued - 1.0) + excess * (4.0 * SATURATION_UTILIZATION - 1.0)
    }
}
