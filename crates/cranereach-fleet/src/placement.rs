//! Chooses the next load or unload of a model or adapter on the workers of a service.
//!
//! Each order is the one with the highest net gain: the reduction of the congestion cost that
//! [`crate::pressure`] computes, discounted by the time that the load takes, minus the cost of the
//! model that is evicted to make room.

use std::collections::HashMap;

use crate::demand::ModelKey;
use crate::pressure::Pressure;
use crate::worker_view::WorkerView;

/// Minimum ratio of the gain of a swap (evicting one model or adapter for another) to its cost.
const MIN_SWAP_GAIN_RATIO: f64 = 1.6;

/// Minimum net gain of an order, in milliseconds of worker time per second.
const MIN_GAIN_MS: f64 = 25.0;

/// Period over which a gain is counted, in seconds; the load time is subtracted from it.
const GAIN_HORIZON_S: f64 = 14.0;

/// Load time from a copy in the worker's memory or on its disk, in seconds.
const LOCAL_COPY_LOAD_S: f64 = 2.0;

/// Size and load time of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelSize {
    /// Memory that its weights take, in megabytes.
    pub weights_mb: f64,
    /// Memory that one adapter takes, in megabytes.
    pub adapter_mb: f64,
    /// Number of its adapters.
    pub adapter_count: u16,
    /// Load time from the weight store, in seconds.
    pub load_s: f64,
}

/// An order to a worker.
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

/// An order and the worker that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Index of the worker in [`Plan::workers`].
    pub worker: usize,
    /// The order.
    pub order: Order,
    /// Whether the order is a load from the weight store.
    pub is_from_store: bool,
}

/// Input of the planner, for one service.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    /// Models in the declared order.
    pub models: &'a [ModelSize],
    /// Memory of one worker for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on one worker.
    pub adapter_slot_count: usize,
    /// Demand by model and adapter, in milliseconds of worker time per second.
    pub demand: &'a HashMap<ModelKey, f64>,
    /// Workers of the service.
    pub workers: &'a [WorkerView],
}

impl Plan<'_> {
    /// Returns the best order that can be sent now; missing adapters come before models.
    pub fn next(&self, may_load_from_store: bool) -> Option<Planned> {
        if let Some(planned) = self.missing_adapter() {
            return Some(planned);
        }
        let pressure = Pressure::of(self.models.len(), self.demand, self.workers);
        self.best_order(&pressure, may_load_from_store)
    }

    /// Finds the load with the highest net gain, or the unload that makes room for it.
    fn best_order(&self, pressure: &Pressure, may_load_from_store: bool) -> Option<Planned> {
        let wanted: Vec<usize> = (0..self.models.len())
            .filter(|model| pressure.max_gain(*model) > MIN_GAIN_MS)
            .collect();
        let unloading_count = self
            .workers
            .iter()
            .filter(|worker| is_unloading(worker))
            .count();
        let may_swap = unloading_count < (self.workers.len() / 3).max(2);
        let mut best_order: Option<(f64, Planned)> = None;
        for (index, worker) in self.workers.iter().enumerate() {
            if !worker.is_free || !worker.carries_demand() || is_unloading(worker) {
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
                if best_order
                    .as_ref()
                    .is_none_or(|(best_net, _)| net > *best_net)
                {
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

    /// Discounts a gain by the part of the horizon that the load takes.
    fn discounted_gain(&self, model: usize, gain: f64, is_local_copy: bool) -> f64 {
        let load_s = if is_local_copy {
            LOCAL_COPY_LOAD_S
        } else {
            self.models[model].load_s
        };
        gain * ((GAIN_HORIZON_S - load_s) / GAIN_HORIZON_S).max(0.1)
    }

    /// Returns an order for the adapter with the highest demand among those that no worker serves
    /// and for which an order can be made.
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

    /// Lists, for each model, the indices of the workers that serve it.
    ///
    /// Computed once for all adapters: scanning all workers for each adapter would take 1,171 times
    /// as long with that many adapters in demand.
    fn ready_holders(&self) -> Vec<Vec<usize>> {
        let mut holders = vec![Vec::new(); self.models.len()];
        let carrying = self.workers.iter().enumerate();
        for (index, worker) in carrying.filter(|(_, worker)| worker.carries_demand()) {
            let ready = worker.replicas.iter().filter(|replica| replica.is_ready());
            for replica in ready {
                if let Some(of_model) = holders.get_mut(usize::from(replica.model)) {
                    of_model.push(index);
                }
            }
        }
        holders
    }

    /// Returns the order for an adapter that is on none of the workers serving its model: a load on
    /// the worker with the fewest adapters, or an unload there if it is full.
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

    /// Returns the worker's adapter with the lowest demand, if its demand is far enough below that
    /// of `key` to evict it.
    fn least_wanted_adapter(&self, worker: &WorkerView, key: ModelKey) -> Option<ModelKey> {
        let rate_of = |key: &ModelKey| self.demand.get(key).copied().unwrap_or_default();
        let held = worker.replicas.iter().flat_map(|replica| {
            let adapters = replica.adapters.iter();
            adapters.map(move |adapter| (replica.model, *adapter))
        });
        let least = held.min_by(|left, right| rate_of(left).total_cmp(&rate_of(right)))?;
        (rate_of(&least) * MIN_SWAP_GAIN_RATIO < rate_of(&key)).then_some(least)
    }

    /// Returns the memory that the models and adapters on a worker take, in megabytes.
    fn used_mb(&self, worker: &WorkerView) -> f64 {
        let replicas = worker.replicas.iter();
        replicas
            .map(|replica| {
                let size = &self.models[usize::from(replica.model)];
                size.weights_mb + size.adapter_mb * replica.adapters.len() as f64
            })
            .sum()
    }
}

/// Returns the model that is cheapest to unload from a worker, with the cost; models being loaded
/// don't count.
fn cheapest_unload(index: usize, worker: &WorkerView, pressure: &Pressure) -> Option<(f64, u16)> {
    let ready = worker.replicas.iter().filter(|replica| !replica.is_loading);
    let losses = ready.map(|replica| {
        (
            pressure.loss(usize::from(replica.model), index),
            replica.model,
        )
    });
    losses.min_by(|left, right| left.0.total_cmp(&right.0))
}

/// Whether a worker is unloading a model.
fn is_unloading(worker: &WorkerView) -> bool {
    worker.replicas.iter().any(|replica| replica.is_unloading)
}

/// Whether a worker holds a model in any state.
fn holds(worker: &WorkerView, model: usize) -> bool {
    let mut replicas = worker.replicas.iter();
    replicas.any(|replica| usize::from(replica.model) == model)
}

/// Whether a worker holds an adapter of a model that it serves.
fn holds_adapter(worker: &WorkerView, (model, adapter): ModelKey) -> bool {
    let mut ready = worker.replicas.iter().filter(|replica| replica.is_ready());
    ready.any(|replica| replica.model == model && replica.adapters.contains(&adapter))
}

/// Whether a worker has a copy of a model's weights in memory or on disk.
fn has_copy(worker: &WorkerView, model: usize) -> bool {
    worker.copies.iter().any(|copy| usize::from(*copy) == model)
}

/// Counts the adapters on a worker.
fn adapter_count(worker: &WorkerView) -> usize {
    worker
        .replicas
        .iter()
        .map(|replica| replica.adapters.len())
        .sum()
}
