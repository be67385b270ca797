//! Work that a call causes at a worker, as estimated from earlier calls, and the demand derived
//! from it.

use std::sync::Arc;

use super::request::Call;
use crate::expected_models;
use crate::expected_models::Expectation;
use crate::node::Node;
use crate::node::lock;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::prefill_cost::PrefillCost;

/// Records the demand of a call, so that its model is loaded where it is needed.
pub fn note_demand(node: &Node, call: &Call) {
    let Some(key) = model_key(call) else { return };
    let now_ms = node.now_ms();
    let engine = call.service.engine.as_ref();
    let slot_count = engine.map_or(1, |engine| engine.slot_count.max(1));
    // A worker prefills one prompt at a time, but generates responses in all slots concurrently.
    let prefill_ms = f64::from(call.prompt_tokens.max(1)) * prefill_cost(node, call).token_ms;
    let work_ms = prefill_ms + stay_ms(node, call) / f64::from(slot_count);
    let mut demand = node.demand();
    let service_demand = demand.entry(Arc::clone(&call.service.name)).or_default();
    service_demand.record_request(now_ms, key, work_ms);
}

/// Records that the call lacks a model or an adapter that no worker is known to hold.
pub fn note_missing_model(node: &Node, call: &Call, why: NoWorker) {
    let Some((model, adapter)) = model_key(call) else {
        return;
    };
    let service = worker_key(&call.service.name);
    if matches!(why, NoWorker::NoModel | NoWorker::Evacuated) {
        lock(&node.lacks).insert((service, model));
    }
    if adapter > 0 {
        lock(&node.waits_for).insert((service, (model, adapter)));
    }
}

/// Returns what the lease holder says about when the model that a call lacks will be loaded.
pub fn load_expectation(node: &Node, call: &Call) -> Option<Expectation> {
    let (model, _) = model_key(call)?;
    expected_models::expectation(node, &call.service.name, model)
}

/// Returns the time to load the call's model from the weight store, in milliseconds.
pub fn model_load_ms(call: &Call) -> Option<u64> {
    let (model, _) = model_key(call)?;
    let engine = call.service.engine.as_ref()?;
    let model = engine.models.get(usize::from(model))?;
    Some((model.load_s * 1_000.0) as u64)
}

/// Returns the prefill cost of the call's model; zero if the call names no model.
pub fn prefill_cost(node: &Node, call: &Call) -> PrefillCost {
    let model = call.model();
    model.map_or(PrefillCost::default(), |(model, _)| {
        node.prefill_costs().of(model)
    })
}

/// Returns the time for which the call is expected to occupy a slot once it runs, in
/// milliseconds.
pub fn stay_ms(node: &Node, call: &Call) -> f64 {
    if let Some((model, _)) = call.model() {
        return node.slot_times().expected_ms(model, call.answer_tokens);
    }
    let times = node.service_times();
    times.expected_ms(&call.service.name, &call.route.name)
}

/// Returns the indexes of the model and adapter that a call names; the adapter index is 0 if there
/// is none.
fn model_key(call: &Call) -> Option<ModelKey> {
    let (name, adapter) = call.model()?;
    let model = call.service.engine.as_ref()?.model_index(name)?;
    let adapter = adapter.and_then(|adapter| adapter.trim_start_matches('a').parse().ok());
    Some((model, adapter.unwrap_or(0)))
}
