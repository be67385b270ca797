//! What each worker should hold: which load or unload comes next.
//!
//! Every model keeps a replica somewhere; the other places follow demand. One
//! more replica of a model with demand `d` and `r` replicas takes `d / (r (r+1))`
//! off each of them; a place changes hands only where that is clearly more than
//! what the model that makes way loses. Models that stand right behind the busy
//! ones in the declared list get a part of their demand ahead of time.

use std::collections::HashMap;

use crate::demand::ModelKey;

/// How much more a swap must bring than it costs.
const SWAP_GAIN: f64 = 1.6;

/// Least gain of a load, as a share of the whole demand.
const LEAST_GAIN_SHARE: f64 = 0.02;

/// Demand that models behind the busy ones are given, as a share of a busy one's.
const AHEAD_SHARE: f64 = 0.35;

/// Price of a load from the weight store, as a share of the whole demand.
const NO_COPY: f64 = 0.1;

/// The same price where no worker holds the model.
const NO_COPY_URGENT: f64 = 10.0;

/// Models behind the busy ones that are given demand ahead of time.
const AHEAD_COUNT: usize = 2;

/// Share of the demand from which a model counts as busy.
const BUSY_SHARE: f64 = 0.06;

/// What the plan needs to know of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSize {
    /// Memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Adapters that it has.
    pub adapter_count: u16,
}

/// A model on a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The model's place in the declared list.
    pub model: u16,
    /// Its adapters, numbered from one.
    pub adapters: Vec<u16>,
    /// Whether it is being unloaded.
    pub is_going: bool,
    /// Whether it is still being loaded.
    pub is_coming: bool,
}

/// A worker as the plan sees it.
#[derive(Clone, Debug, Default)]
pub struct WorkerView {
    /// What it holds, loads in flight included.
    pub places: Vec<Place>,
    /// Whether an order may be sent to it now.
    pub is_free: bool,
    /// Whether it takes requests: not leaving, not failing.
    pub is_serving: bool,
    /// Models that it loads cheaply, from memory or disk.
    pub copies: Vec<u16>,
}

/// One order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    Load(u16),
    /// Unload a model.
    Unload(u16),
    /// Load an adapter of a model.
    LoadAdapter(ModelKey),
    /// Unload an adapter of a model.
    UnloadAdapter(ModelKey),
}

/// An order for one worker, by its place in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The worker's place in the view.
    pub worker: usize,
    /// The order.
    pub order: Order,
    /// Whether it needs a load from the weight store.
    pub is_from_store: bool,
}

/// What the plan looks at.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    /// Models, in the declared order.
    pub models: &'a [ModelSize],
    /// Memory of one worker, in megabytes.
    pub weights_mb: f64,
    /// Adapters that one worker holds at most.
    pub adapter_slot_count: usize,
    /// Demand in tokens per second.
    pub demand: &'a HashMap<ModelKey, f64>,
    /// Workers.
    pub workers: &'a [WorkerView],
}

impl Plan<'_> {
    /// Returns the most urgent order that can be sent now.
    pub fn next(&self, may_load_from_store: bool) -> Option<Planned> {
        let by_model = self.expected_demand();
        self.missing_model(&by_model, may_load_from_store)
            .or_else(|| self.missing_adapter())
            .or_else(|| self.more_replicas(&by_model, may_load_from_store))
    }

    /// Returns the demand per model, with what is expected to come.
    pub fn expected_demand(&self) -> Vec<f64> {
        let mut by_model = vec![0.0; self.models.len()];
        for ((model, _adapter), rate) in self.demand {
            if let Some(sum) = by_model.get_mut(usize::from(*model)) {
                *sum += rate;
            }
        }
        let total: f64 = by_model.iter().sum();
        let busy: Vec<usize> = (0..by_model.len())
            .filter(|model| total > 0.0 && by_model[*model] >= BUSY_SHARE * total)
            .collect();
        let Some(last) = busy.last().copied() else {
            return by_model;
        };
        let ahead = AHEAD_SHARE * total / busy.len() as f64;
        for model in last + 1..(last + 1 + AHEAD_COUNT).min(by_model.len()) {
            by_model[model] = by_model[model].max(ahead);
        }
        by_model
    }

    /// Finds a place for the most wanted model that no worker holds.
    fn missing_model(&self, by_model: &[f64], may_load_from_store: bool) -> Option<Planned> {
        let mut missing: Vec<usize> = (0..self.models.len())
            .filter(|model| self.replica_count(*model) == 0)
            .collect();
        missing.sort_by(|left, right| by_model[*right].total_cmp(&by_model[*left]));
        let placed = missing
            .iter()
            .find_map(|model| self.load(*model, by_model, may_load_from_store));
        placed.or_else(|| {
            let model = missing.first()?;
            self.make_room(*model, by_model, f64::INFINITY)
        })
    }

    /// Finds the replica that brings most, and the place for it.
    fn more_replicas(&self, by_model: &[f64], may_load_from_store: bool) -> Option<Planned> {
        let least_gain = LEAST_GAIN_SHARE * by_model.iter().sum::<f64>();
        let mut wanted: Vec<(f64, usize)> = (0..self.models.len())
            .map(|model| (self.gain(model, by_model), model))
            .filter(|(gain, _)| *gain > least_gain)
            .collect();
        wanted.sort_by(|left, right| right.0.total_cmp(&left.0));
        let placed = wanted
            .iter()
            .find_map(|(_, model)| self.load(*model, by_model, may_load_from_store));
        placed.or_else(|| {
            let (gain, model) = wanted.first()?;
            if !may_load_from_store {
                return None;
            }
            self.make_room(*model, by_model, *gain / SWAP_GAIN)
        })
    }

    /// Orders a load where there is room for it: least loaded, copies first.
    fn load(&self, model: usize, by_model: &[f64], may_load_from_store: bool) -> Option<Planned> {
        let fitting = self.workers.iter().enumerate().filter(|(_, worker)| {
            worker.is_free
                && worker.is_serving
                && !holds(worker, model)
                && self.used_mb(worker) + self.models[model].weights_mb <= self.weights_mb
                && (may_load_from_store || has_copy(worker, model))
        });
        let best = fitting.min_by(|(_, left), (_, right)| {
            let left = self.cost_of(left, model, by_model);
            left.total_cmp(&self.cost_of(right, model, by_model))
        });
        best.map(|(worker, view)| Planned {
            worker,
            order: Order::Load(model as u16),
            is_from_store: !has_copy(view, model),
        })
    }

    /// Orders the unload that costs least, if that is below a limit.
    fn make_room(&self, model: usize, by_model: &[f64], limit: f64) -> Option<Planned> {
        // One swap at a time on a worker, and few at once over all of them.
        let is_going = |worker: &WorkerView| worker.places.iter().any(|place| place.is_going);
        let going_count = self
            .workers
            .iter()
            .filter(|worker| is_going(worker))
            .count();
        if going_count * 6 > self.workers.len() {
            return None;
        }
        let mut best: Option<(f64, Planned)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if !worker.is_free || !worker.is_serving || holds(worker, model) || is_going(worker) {
                continue;
            }
            for place in &worker.places {
                let other = usize::from(place.model);
                if place.is_coming || self.ready_count(other) < 2 {
                    continue;
                }
                let loss = self.loss(other, by_model);
                let mut weighed = loss;
                if !has_copy(worker, model) {
                    let is_urgent = self.ready_count(model) == 0;
                    let price = if is_urgent { NO_COPY_URGENT } else { NO_COPY };
                    weighed += price * by_model.iter().sum::<f64>();
                }
                weighed += 1e-3 * self.worker_demand(worker, by_model);
                if loss < limit && best.as_ref().is_none_or(|(least, _)| weighed < *least) {
                    let planned = Planned {
                        worker: index,
                        order: Order::Unload(place.model),
                        is_from_store: false,
                    };
                    best = Some((weighed, planned));
                }
            }
        }
        best.map(|(_, planned)| planned)
    }

    /// Finds the most wanted adapter that too few workers hold.
    fn missing_adapter(&self) -> Option<Planned> {
        let mut wanted: Vec<(ModelKey, f64)> = self
            .demand
            .iter()
            .filter(|((_, adapter), _)| *adapter > 0)
            .map(|(key, rate)| (*key, *rate))
            .collect();
        wanted.sort_by(|left, right| right.1.total_cmp(&left.1).then(left.0.cmp(&right.0)));
        wanted.iter().find_map(|(key, _)| self.adapter(*key))
    }

    /// Orders an adapter that no worker holds yet.
    fn adapter(&self, key: ModelKey) -> Option<Planned> {
        let (model, adapter) = key;
        let size = self.models.get(usize::from(model))?;
        if adapter > size.adapter_count {
            return None;
        }
        let holders = || {
            let all = self.workers.iter().enumerate();
            all.filter(|(_, worker)| worker.is_serving)
                .filter_map(|(index, worker)| {
                    let place = worker.places.iter().find(|place| place.model == model)?;
                    let is_ready = !place.is_going && !place.is_coming;
                    is_ready.then_some((index, worker, place))
                })
        };
        if holders().any(|(_, _, place)| place.adapters.contains(&adapter)) {
            return None;
        }
        let roomiest = holders()
            .filter(|(_, worker, _)| worker.is_free)
            .min_by_key(|(_, worker, _)| adapter_count(worker));
        let (index, worker, _) = roomiest?;
        let has_slot = adapter_count(worker) < self.adapter_slot_count;
        let has_memory = self.used_mb(worker) + size.adapter_mb <= self.weights_mb;
        let order = if has_slot && has_memory {
            Order::LoadAdapter(key)
        } else {
            Order::UnloadAdapter(self.least_wanted_adapter(worker, key)?)
        };
        Some(Planned {
            worker: index,
            order,
            is_from_store: false,
        })
    }

    /// Returns the adapter of a worker that is wanted least, less than `key`.
    fn least_wanted_adapter(&self, worker: &WorkerView, key: ModelKey) -> Option<ModelKey> {
        let rate_of = |key: &ModelKey| self.demand.get(key).copied().unwrap_or_default();
        let held = worker.places.iter().flat_map(|place| {
            let adapters = place.adapters.iter();
            adapters.map(move |adapter| (place.model, *adapter))
        });
        let least = held.min_by(|left, right| rate_of(left).total_cmp(&rate_of(right)))?;
        (rate_of(&least) * SWAP_GAIN < rate_of(&key)).then_some(least)
    }

    /// Counts the workers that serve a model now.
    fn ready_count(&self, model: usize) -> usize {
        let serving = self.workers.iter().filter(|worker| worker.is_serving);
        let ready = serving.filter(|worker| {
            let mut places = worker.places.iter();
            places.any(|place| {
                usize::from(place.model) == model && !place.is_going && !place.is_coming
            })
        });
        ready.count()
    }

    /// Counts the workers that serve a model or load it.
    fn replica_count(&self, model: usize) -> usize {
        let serving = self.workers.iter().filter(|worker| worker.is_serving);
        serving
            .filter(|worker| {
                let mut places = worker.places.iter();
                places.any(|place| usize::from(place.model) == model && !place.is_going)
            })
            .count()
    }

    /// Returns what one more replica of a model brings.
    fn gain(&self, model: usize, by_model: &[f64]) -> f64 {
        let replicas = self.replica_count(model).max(1) as f64;
        by_model[model] / (replicas * (replicas + 1.0))
    }

    /// Returns what one replica less of a model costs.
    fn loss(&self, model: usize, by_model: &[f64]) -> f64 {
        let replicas = self.replica_count(model) as f64;
        by_model[model] / (replicas * (replicas - 1.0)).max(f64::MIN_POSITIVE)
    }

    /// Returns the demand that falls on a worker.
    fn worker_demand(&self, worker: &WorkerView, by_model: &[f64]) -> f64 {
        let places = worker.places.iter().filter(|place| !place.is_going);
        places
            .map(|place| {
                let model = usize::from(place.model);
                by_model[model] / self.replica_count(model).max(1) as f64
            })
            .sum()
    }

    /// Weighs a worker as the place of a load.
    fn cost_of(&self, worker: &WorkerView, model: usize, by_model: &[f64]) -> f64 {
        let total: f64 = by_model.iter().sum();
        let copy = if has_copy(worker, model) {
            0.0
        } else {
            0.1 * total
        };
        self.worker_demand(worker, by_model) + copy
    }

    /// Returns the memory that counts as used, in megabytes.
    fn used_mb(&self, worker: &WorkerView) -> f64 {
        let places = worker.places.iter();
        places
            .map(|place| {
                let size = &self.models[usize::from(place.model)];
                size.weights_mb + size.adapter_mb * place.adapters.len() as f64
            })
            .sum()
    }
}

/// Whether a worker holds a model in any state.
fn holds(worker: &WorkerView, model: usize) -> bool {
    let mut places = worker.places.iter();
    places.any(|place| usize::from(place.model) == model)
}

/// Whether a worker has a copy of a model's weights.
fn has_copy(worker: &WorkerView, model: usize) -> bool {
    worker.copies.iter().any(|copy| usize::from(*copy) == model)
}

/// Counts the adapters on a worker.
fn adapter_count(worker: &WorkerView) -> usize {
    worker.places.iter().map(|place| place.adapters.len()).sum()
}
