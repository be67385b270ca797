//! What each worker should hold: which load or unload comes next.
//!
//! Each order is the one that takes most off what is served badly, as
//! [`crate::pressure`] sees it, less what a model that makes way adds, and less
//! what the time of the load costs.

use std::collections::HashMap;

use crate::demand::ModelKey;
use crate::pressure::Pressure;

/// How much more a swap must bring than it costs.
const MIN_SWAP_GAIN_RATIO: f64 = 1.6;

/// Least gain of an order, in milliseconds of workers' time per second.
const MIN_GAIN_MS: f64 = 25.0;

/// Time for which a gain is counted, in seconds.
const GAIN_HORIZON_S: f64 = 14.0;

/// Time of a load from a copy that the worker has, in seconds.
const LOCAL_COPY_LOAD_S: f64 = 2.0;

/// What the plan needs to know of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSize {
    /// Memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Adapters that it has.
    pub adapter_count: u16,
    /// Time of a load from the weight store, in seconds.
    pub load_s: f64,
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

impl Place {
    /// Whether the model is served there.
    pub fn is_ready(&self) -> bool {
        !self.is_going && !self.is_coming
    }
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
    /// Whether its failure domain is being evacuated: what it holds is kept, but serves
    /// nobody, so that demand needs copies elsewhere.
    pub is_evacuated: bool,
    /// Models that it loads cheaply, from memory or disk.
    pub copies: Vec<u16>,
}

impl WorkerView {
    /// Whether demand may be laid on the worker.
    pub fn carries_demand(&self) -> bool {
        self.is_serving && !self.is_evacuated
    }
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
    /// Demand, in milliseconds of workers' time per second.
    pub demand: &'a HashMap<ModelKey, f64>,
    /// Workers.
    pub workers: &'a [WorkerView],
}

impl Plan<'_> {
    /// Returns the order that brings most of those that can be sent now.
    pub fn next(&self, may_load_from_store: bool) -> Option<Planned> {
        if let Some(planned) = self.missing_adapter() {
            return Some(planned);
        }
        let pressure = Pressure::of(self.models.len(), self.demand, self.workers);
        self.best_order(&pressure, may_load_from_store)
    }

    /// Finds the load, or the unload that makes room for one, that brings most.
    fn best_order(&self, pressure: &Pressure, may_load_from_store: bool) -> Option<Planned> {
        let wanted: Vec<usize> = (0..self.models.len())
            .filter(|model| pressure.max_gain(*model) > MIN_GAIN_MS)
            .collect();
        let unloading_count = self
            .workers
            .iter()
            .filter(|worker| is_going(worker))
            .count();
        let may_swap = unloading_count < (self.workers.len() / 3).max(2);
        let mut best_order: Option<(f64, Planned)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if !worker.is_free || !worker.carries_demand() || is_going(worker) {
                continue;
            }
            let used_mb = self.used_mb(worker);
            let cheapest_unload = cheapest_unload(index, worker, pressure);
            for model in &wanted {
                let is_local_copy = has_copy(worker, *model);
                if holds(worker, *model) || !(is_local_copy || may_load_from_store) {
                    continue;
                }
                let has_room = used_mb + self.models[*model].weights_mb <= self.weights_mb;
                let candidate = if has_room {
                    let gain = pressure.gain(*model, index, None);
                    let gain = self.discounted_gain(*model, gain, is_local_copy);
                    Some((gain, Order::Load(*model as u16)))
                } else if let (true, Some((loss, other))) = (may_swap, cheapest_unload) {
                    let gain = pressure.gain(*model, index, Some(other));
                    let gain = self.discounted_gain(*model, gain, is_local_copy);
                    Some((gain / MIN_SWAP_GAIN_RATIO - loss, Order::Unload(other)))
                } else {
                    None
                };
                let Some((net, order)) = candidate.filter(|(net, _)| *net > MIN_GAIN_MS) else {
                    continue;
                };
                if best_order.as_ref().is_none_or(|(most, _)| net > *most) {
                    let is_from_store = matches!(order, Order::Load(_)) && !is_local_copy;
                    let planned = Planned {
                        worker: index,
                        order,
                        is_from_store,
                    };
                    best_order = Some((net, planned));
                }
            }
        }
        best_order.map(|(_, planned)| planned)
    }

    /// Returns the part of a gain that is left when a load has been done.
    fn discounted_gain(&self, model: usize, gain: f64, is_local_copy: bool) -> f64 {
        let load_s = if is_local_copy {
            LOCAL_COPY_LOAD_S
        } else {
            self.models[model].load_s
        };
        gain * ((GAIN_HORIZON_S - load_s) / GAIN_HORIZON_S).max(0.1)
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
        let holders = self.ready_holders();
        wanted
            .iter()
            .find_map(|(key, _)| self.adapter_order(*key, holders.get(usize::from(key.0))?))
    }

    /// Lists by model who serves it, by their places in the view.
    ///
    /// Made once for all adapters: a look at all workers for each would take 1,171 times as
    /// long where so many adapters are asked for.
    fn ready_holders(&self) -> Vec<Vec<usize>> {
        let mut holders = vec![Vec::new(); self.models.len()];
        let carrying = self.workers.iter().enumerate();
        for (index, worker) in carrying.filter(|(_, worker)| worker.carries_demand()) {
            let ready = worker.places.iter().filter(|place| place.is_ready());
            for place in ready {
                if let Some(of_model) = holders.get_mut(usize::from(place.model)) {
                    of_model.push(index);
                }
            }
        }
        holders
    }

    /// Orders an adapter that none of the workers that serve its model holds yet.
    fn adapter_order(&self, key: ModelKey, holders: &[usize]) -> Option<Planned> {
        let (model, adapter) = key;
        let size = self.models.get(usize::from(model))?;
        if adapter > size.adapter_count {
            return None;
        }
        let is_held = holders
            .iter()
            .any(|index| holds_adapter(&self.workers[*index], key));
        if is_held {
            return None;
        }
        let free = holders.iter().filter(|index| self.workers[**index].is_free);
        let index = *free.min_by_key(|index| adapter_count(&self.workers[**index]))?;
        let worker = &self.workers[index];
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
        (rate_of(&least) * MIN_SWAP_GAIN_RATIO < rate_of(&key)).then_some(least)
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

/// Finds the model on a worker whose unload costs least.
fn cheapest_unload(index: usize, worker: &WorkerView, pressure: &Pressure) -> Option<(f64, u16)> {
    let ready = worker.places.iter().filter(|place| !place.is_coming);
    let losses = ready.map(|place| (pressure.loss(usize::from(place.model), index), place.model));
    losses.min_by(|left, right| left.0.total_cmp(&right.0))
}

/// Whether a worker is unloading a model.
fn is_going(worker: &WorkerView) -> bool {
    worker.places.iter().any(|place| place.is_going)
}

/// Whether a worker holds a model in any state.
fn holds(worker: &WorkerView, model: usize) -> bool {
    let mut places = worker.places.iter();
    places.any(|place| usize::from(place.model) == model)
}

/// Whether a worker holds an adapter of a model that it serves.
fn holds_adapter(worker: &WorkerView, (model, adapter): ModelKey) -> bool {
    let mut ready = worker.places.iter().filter(|place| place.is_ready());
    ready.any(|place| place.model == model && place.adapters.contains(&adapter))
}

/// Whether a worker has a copy of a model's weights.
fn has_copy(worker: &WorkerView, model: usize) -> bool {
    worker.copies.iter().any(|copy| usize::from(*copy) == model)
}

/// Counts the adapters on a worker.
fn adapter_count(worker: &WorkerView) -> usize {
    worker.places.iter().map(|place| place.adapters.len()).sum()
}
