//! Inputs of the lease holder's plan: workers, models and demand, with models and adapters as
//! numbers.

use std::collections::HashMap;
use std::sync::Arc;

use crate::node::Node;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::ledger::Ledger;
use cranereach_fleet::ledger::WorkerRow;
use cranereach_fleet::placement::ModelSize;
use cranereach_fleet::worker::HeldModel;
use cranereach_fleet::worker_view::ModelReplica;
use cranereach_fleet::worker_view::WorkerView;

/// Returns the number in an adapter's name, such as 1 for `a1`. A suffix after `@` is ignored.
pub fn adapter_number(name: &str) -> Option<u16> {
    let name = name.split('@').next().unwrap_or_default();
    name.trim_start_matches('a').parse().ok()
}

/// Returns the models and adapters that a worker holds, as numbers. Unknown ones are left out.
pub fn replicas(engine: &Engine, models: &[HeldModel]) -> Vec<ModelReplica> {
    models
        .iter()
        .filter_map(|held| {
            let adapters = held.adapters.iter();
            Some(ModelReplica {
                model: engine.model_index(&held.name)?,
                adapters: adapters.filter_map(|name| adapter_number(name)).collect(),
                is_unloading: false,
                is_loading: false,
            })
        })
        .collect()
}

/// Updates the ledger from the list of workers.
pub fn update_ledger(node: &Node, service: &str, engine: &Engine, ledger: &mut Ledger) {
    let now_ms = node.now_ms();
    let roster = node.roster();
    ledger.retain(|id| roster.get(id).is_some());
    for worker in roster.of_service(service) {
        let record = &worker.record;
        let is_serving = !worker.is_leaving() && !worker.health.is_ejected(now_ms);
        if ledger.knows(&record.id, worker.position, is_serving) {
            // Skips unchanged rows: resolving the names of their models would dominate the cost
            // of a round.
            continue;
        }
        let copies = record.in_memory.iter().chain(&record.on_disk);
        ledger.row(
            now_ms,
            WorkerRow {
                id: &record.id,
                position: worker.position,
                started_unix_ms: record.started_unix_ms,
                replicas: replicas(engine, &record.models),
                copies: copies.filter_map(|name| engine.model_index(name)).collect(),
                is_serving,
            },
        );
    }
}

/// Returns the workers as the plan sees them, ordered by identifier.
pub fn workers(node: &Node, ledger: &Ledger) -> (Vec<Arc<str>>, Vec<WorkerView>) {
    let (ids, mut views) = ledger.views();
    let now_ms = node.now_ms();
    let roster = node.roster();
    for (id, view) in ids.iter().zip(&mut views) {
        view.is_evacuated = roster.is_evacuated(id);
        // The few requests that a limited or resting worker accepts are left to callers. Each
        // order also leads to a report request.
        view.is_free &= !roster.is_rate_limited(now_ms, id) && !roster.is_resting(now_ms, id);
    }
    (ids, views)
}

/// Returns the sizes and load times of the models.
pub fn model_sizes(engine: &Engine) -> Vec<ModelSize> {
    let models = engine.models.iter();
    models
        .map(|model| ModelSize {
            weights_mb: model.weights_mb,
            adapter_mb: model.adapter_mb,
            adapter_count: model.adapter_count,
            load_s: model.load_s,
        })
        .collect()
}

/// Returns the demand for a service, summed over this instance and all peers that report theirs to
/// it.
pub fn demand(node: &Node, now_ms: u64, service: &Arc<str>) -> HashMap<ModelKey, f64> {
    let mut all: HashMap<ModelKey, f64> = HashMap::new();
    if let Some(own) = node.demand().get_mut(service) {
        all.clone_from(own.rates(now_ms));
    }
    let key = worker_key(service);
    let digest_interval_ms = node.settings.peers.digest_every_ms;
    let peers = node.peers();
    let reported = peers.demand(now_ms, digest_interval_ms);
    for part in reported.filter(|part| part.service == key) {
        *all.entry(part.model).or_default() += f64::from(part.work_ms_per_s);
    }
    all
}
