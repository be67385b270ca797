//! A request that the engine stand-in runs: its slot, and the prefill of its prompt.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::PREFIX_CHARS;
use crate::engine::loading;
use crate::engine::state::EngineState;
use crate::lock;
use cranereach_core::ledger::Residence;
use cranereach_core::membership::rendezvous_weight;
use cranereach_core::names::TargetName;

/// A running request; releases its slot and its use of the target when dropped.
#[derive(Debug)]
pub(super) struct RunGuard {
    pub(super) state: Arc<EngineState>,
    pub(super) target: TargetName,
    pub(super) has_slot: bool,
    pub(super) is_done: bool,
}

impl RunGuard {
    /// Starts a run if the target is resident.
    pub(super) fn begin(state: &Arc<EngineState>, model: &str) -> Option<Self> {
        let target = TargetName::from(model);
        let mut memory = lock(&state.memory);
        let residence = memory
            .occupants
            .get(&target)
            .map(|occupant| occupant.residence);
        if residence != Some(Residence::Resident) {
            return None;
        }
        *memory.running.entry(target.clone()).or_default() += 1;
        state.outstanding_count.fetch_add(1, Ordering::Relaxed);
        Some(Self {
            state: Arc::clone(state),
            target,
            has_slot: false,
            is_done: false,
        })
    }

    /// Waits for a free batch slot.
    pub(super) async fn acquire_slot(&mut self) {
        let state = Arc::clone(&self.state);
        let permit = state.slots.acquire().await;
        permit.expect("the slots are never closed").forget();
        self.has_slot = true;
        state.running_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Simulates the time of prefill, which is skipped if the prefix of the prompt is cached.
    pub(super) async fn prefill(&self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let hash = rendezvous_weight(&prefix, self.target.as_str());
        let was_cached = self.touch_prefix(hash);
        let tokens = (prompt.len() / 4) as u64;
        if !was_cached && self.state.options.prompt_token_us > 0 {
            tokio::time::sleep(Duration::from_micros(
                tokens * self.state.options.prompt_token_us,
            ))
            .await;
        }
    }

    /// Marks a prefix as the most recently used one and returns whether it was cached.
    pub(super) fn touch_prefix(&self, hash: u64) -> bool {
        let mut prefixes = lock(&self.state.prefixes);
        let was_cached = prefixes.contains(&hash);
        prefixes.retain(|known| *known != hash);
        prefixes.push_back(hash);
        while prefixes.len() > self.state.options.prefix_cache_count {
            prefixes.pop_front();
        }
        lock(&self.state.counts).prefix_hit_count += u64::from(was_cached);
        was_cached
    }

    /// Returns the time between tokens at the current batch size.
    pub(super) fn token_time(&self) -> Duration {
        let options = &self.state.options;
        let batch = f64::from(self.state.running_count.load(Ordering::Relaxed));
        let fullness = batch / f64::from(options.slot_count.max(1));
        let token_us = options.token_us as f64 * (1.0 + options.batch_slowdown_ratio * fullness);
        Duration::from_micros(token_us as u64)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.has_slot {
            self.state.slots.add_permits(1);
            self.state.running_count.fetch_sub(1, Ordering::Relaxed);
        }
        self.state.outstanding_count.fetch_sub(1, Ordering::Relaxed);
        if !self.is_done {
            lock(&self.state.counts).cancelled_count += 1;
        }
        let mut memory = lock(&self.state.memory);
        if let Some(count) = memory.running.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
        loading::free_if_idle(&mut memory, &self.target);
    }
}
