//! Load and unload orders. A load takes memory at once; an unload frees it only after the last
//! running request has ended.

use std::sync::Arc;
use std::time::Duration;

use crate::engine::state::EngineState;
use crate::engine::state::Memory;
use crate::lock;
use cranereach_core::ledger::Occupant;
use cranereach_core::ledger::OrderKind;
use cranereach_core::ledger::Residence;
use cranereach_core::names::TargetName;
use cranereach_http::client::JsonClient;
use cranereach_wire::upstream::OrderAnswer;
use cranereach_wire::upstream::OrderRequest;

/// Delay between requests to the weight store, in milliseconds.
const WEIGHT_RETRY_MS: u64 = 100;

/// Time-out for a response of the weight store, in milliseconds.
const WEIGHT_TIMEOUT_MS: u64 = 60_000;

/// Applies an order if its fencing token is valid; loading continues in the background.
pub(crate) fn apply(state: &Arc<EngineState>, order: &OrderRequest) -> OrderAnswer {
    let mut memory = lock(&state.memory);
    let is_current = order.boot_id == state.boot_id && memory.gate.admit(order.fence);
    let is_accepted = is_current || !state.options.checks_fences;
    let highest = memory.gate.highest();
    if !is_accepted {
        lock(&state.counts).fenced_count += 1;
        return OrderAnswer {
            is_accepted,
            highest,
        };
    }
    match order.kind {
        OrderKind::Load => begin_load(state, &mut memory, order),
        OrderKind::Unload => begin_unload(state, &mut memory, &order.target),
        OrderKind::Seal => {}
    }
    OrderAnswer {
        is_accepted,
        highest,
    }
}

/// Takes memory and starts to load weights.
fn begin_load(state: &Arc<EngineState>, memory: &mut Memory, order: &OrderRequest) {
    lock(&state.counts).load_count += 1;
    if memory.occupants.contains_key(&order.target) {
        return;
    }
    let occupant = Occupant {
        target: order.target.clone(),
        memory_bytes: order.memory_bytes,
        residence: Residence::Loading,
    };
    memory.occupants.insert(order.target.clone(), occupant);
    let taken_bytes: u64 = memory
        .occupants
        .values()
        .map(|occupant| occupant.memory_bytes)
        .sum();
    let mut counts = lock(&state.counts);
    counts.peak_bytes = counts.peak_bytes.max(taken_bytes);
    if taken_bytes > state.options.memory_bytes {
        counts.excess_count += 1;
    }
    drop(counts);
    tokio::spawn(finish_load(Arc::clone(state), order.target.clone()));
}

/// Loads weights and marks the target as resident.
async fn finish_load(state: Arc<EngineState>, target: TargetName) {
    match &state.options.weight_store {
        Some(address) => fetch_weights(address, &target).await,
        None => tokio::time::sleep(Duration::from_millis(state.options.load_ms)).await,
    }
    let mut memory = lock(&state.memory);
    if let Some(occupant) = memory
        .occupants
        .get_mut(&target)
        .filter(|occupant| occupant.residence == Residence::Loading)
    {
        occupant.residence = Residence::Resident;
    }
}

/// Requests the weights from the weight store until it succeeds.
async fn fetch_weights(address: &str, target: &TargetName) {
    let client = JsonClient::new(address);
    loop {
        let answer = client
            .get(&format!("/weights/{target}"), WEIGHT_TIMEOUT_MS)
            .await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(WEIGHT_RETRY_MS)).await;
    }
}

/// Stops accepting requests for a target and frees it once none is running.
fn begin_unload(state: &Arc<EngineState>, memory: &mut Memory, target: &TargetName) {
    lock(&state.counts).unload_count += 1;
    if let Some(occupant) = memory.occupants.get_mut(target) {
        occupant.residence = Residence::Unloading;
    }
    free_if_idle(memory, target);
}

/// Frees a target that is unloading and has no running requests.
pub(crate) fn free_if_idle(memory: &mut Memory, target: &TargetName) {
    let is_idle = memory.running.get(target).copied().unwrap_or_default() == 0;
    let is_unloading = memory
        .occupants
        .get(target)
        .is_some_and(|occupant| occupant.residence == Residence::Unloading);
    if is_idle && is_unloading {
        memory.occupants.remove(target);
    }
}
