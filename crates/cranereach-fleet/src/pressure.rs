//! How much demand is served badly, per model, and what replicas change.
//!
//! A model with demand `d` (workers' time asked for, per second) on `r` workers
//! uses the share `u = d / r` of each. What is served badly is taken as `d u^2`
//! while `u` is below one, and as `d (2 u - 1)` above, where queues grow; a model
//! that no worker holds has all of its demand served badly, several times over.
//! Demand moves on along the declared list: the models right behind a busy one
//! get a part of its demand ahead of time.

use std::collections::HashMap;

use crate::demand::ModelKey;
use crate::placement::WorkerView;

/// How much worse it is to have no worker than to have one that is full.
const MISSING_WEIGHT: f64 = 8.0;

/// Workers' time that one worker gives, in milliseconds per second.
const WORKER_MS: f64 = 1_000.0;

/// Demand that models behind a busy one are given, as a share of its own.
const AHEAD_SHARE: f64 = 0.6;

/// Models behind a busy one that are given demand ahead of time.
const AHEAD_COUNT: usize = 3;

/// Models further behind a busy one that are given a little demand.
const FURTHER_COUNT: usize = 5;

/// That little demand, as a share of the busy model's own.
const FURTHER_SHARE: f64 = 0.03;

/// Demand that every model is given, as a share of all demand.
const LEAST_SHARE: f64 = 0.002;

/// Share of the demand from which a model counts as busy.
const BUSY_SHARE: f64 = 0.1;

/// Demand and replicas of all models of one service.
#[derive(Clone, Debug)]
pub struct Pressure {
    demand: Vec<f64>,
    replicas: Vec<usize>,
}

impl Pressure {
    /// Works the pressure out from what is asked for and what workers hold.
    pub fn of(model_count: usize, asked: &HashMap<ModelKey, f64>, workers: &[WorkerView]) -> Self {
        let mut replicas = vec![0; model_count];
        let serving = workers.iter().filter(|worker| worker.is_serving);
        let places = serving.flat_map(|worker| &worker.places);
        for place in places.filter(|place| !place.is_going) {
            if let Some(count) = replicas.get_mut(usize::from(place.model)) {
                *count += 1;
            }
        }
        Self {
            demand: expected_demand(model_count, asked),
            replicas,
        }
    }

    /// Returns what one more replica of a model takes off.
    pub fn gain(&self, model: usize) -> f64 {
        let demand = self.demand[model];
        let count = self.replicas[model];
        badly_served(demand, count) - badly_served(demand, count + 1)
    }

    /// Returns what one less of a model's ready replicas adds.
    pub fn loss(&self, model: usize, ready_count: usize) -> f64 {
        let demand = self.demand[model];
        badly_served(demand, ready_count.saturating_sub(1)) - badly_served(demand, ready_count)
    }

    /// Returns the demand that falls on a worker.
    pub fn on_worker(&self, worker: &WorkerView) -> f64 {
        let places = worker.places.iter().filter(|place| !place.is_going);
        places
            .map(|place| {
                let model = usize::from(place.model);
                self.demand[model] / self.replicas[model].max(1) as f64
            })
            .sum()
    }
}

/// Returns the demand per model, with what is expected to come.
fn expected_demand(model_count: usize, asked: &HashMap<ModelKey, f64>) -> Vec<f64> {
    let mut by_model = vec![0.0; model_count];
    for ((model, _adapter), rate) in asked {
        if let Some(sum) = by_model.get_mut(usize::from(*model)) {
            *sum += rate;
        }
    }
    let total: f64 = by_model.iter().sum();
    let is_busy = |demand: f64| total > 0.0 && demand >= BUSY_SHARE * total;
    let least = LEAST_SHARE * total;
    let mut expected: Vec<f64> = by_model.iter().map(|own| own.max(least)).collect();
    for (model, demand) in by_model
        .iter()
        .enumerate()
        .filter(|(_, own)| is_busy(**own))
    {
        for next in expected.iter_mut().skip(model + 1).take(AHEAD_COUNT) {
            *next = next.max(AHEAD_SHARE * demand);
        }
        let further = expected.iter_mut().skip(model + 1 + AHEAD_COUNT);
        for next in further.take(FURTHER_COUNT) {
            *next = next.max(FURTHER_SHARE * demand);
        }
    }
    expected
}

/// Returns how much of a demand is served badly by a number of replicas.
fn badly_served(demand: f64, replica_count: usize) -> f64 {
    if replica_count == 0 {
        return MISSING_WEIGHT * demand;
    }
    let share = demand / replica_count as f64 / WORKER_MS;
    if share < 1.0 {
        demand * share * share
    } else {
        demand * (2.0 * share - 1.0)
    }
}
