//! Models and adapters that a worker holds, and those that it is known to lack.

use std::collections::HashSet;
use std::sync::Arc;

use super::Worker;
use crate::no_worker::NoWorker;

/// Time for which a worker that refused a model as missing isn't sent requests for it, in
/// milliseconds.
const MODEL_MISSING_FOR_MS: u64 = 1_500;

/// The same for an adapter, in milliseconds. An adapter that was ordered arrives within tens of
/// milliseconds, so a worker that lacks it may have it soon.
const ADAPTER_MISSING_FOR_MS: u64 = 60;

/// Time for which an adapter that a peer reported as loaded counts as held, in milliseconds.
const ANNOUNCED_FOR_MS: u64 = 5_000;

impl Worker {
    /// Records that the worker refused a model or adapter as missing.
    pub fn lacks(&mut self, now_ms: u64, model: &str, adapter: Option<&str>) {
        let name = full_name(model, adapter);
        let missing_for_ms = match adapter {
            Some(_) => ADAPTER_MISSING_FOR_MS,
            None => MODEL_MISSING_FOR_MS,
        };
        self.missing_until_ms.insert(name, now_ms + missing_for_ms);
    }

    /// Records a peer's report that an adapter was loaded, before the list says so.
    pub fn note_adapter_loaded(&mut self, now_ms: u64, model: &str, adapter: &str) {
        let name = full_name(model, Some(adapter));
        self.announced_until_ms
            .insert(name, now_ms + ANNOUNCED_FOR_MS);
    }

    /// Sets the models that are being unloaded.
    pub fn withhold(&mut self, models: HashSet<Arc<str>>) {
        self.withheld = models;
    }

    /// Checks that the worker holds the model and the adapter that a request names.
    pub(crate) fn has(
        &self,
        now_ms: u64,
        model: Option<(&str, Option<&str>)>,
    ) -> Result<(), NoWorker> {
        let Some((name, adapter)) = model else {
            return Ok(());
        };
        let held = self
            .record
            .models
            .iter()
            .find(|held| held.name.as_ref() == name);
        let held = held.ok_or(NoWorker::NoModel)?;
        if self.withheld.contains(name) || self.is_missing(now_ms, name, None) {
            return Err(NoWorker::NoModel);
        }
        let Some(adapter) = adapter else {
            return Ok(());
        };
        let is_listed = held.adapters.iter().any(|known| known.as_ref() == adapter);
        let announced_until_ms = self.announced_until_ms.get(&full_name(name, Some(adapter)));
        let is_there = is_listed || announced_until_ms.is_some_and(|until_ms| now_ms < *until_ms);
        if is_there && !self.is_missing(now_ms, name, Some(adapter)) {
            Ok(())
        } else {
            Err(NoWorker::NoAdapter)
        }
    }

    /// Whether the worker recently refused a model or adapter as missing.
    fn is_missing(&self, now_ms: u64, model: &str, adapter: Option<&str>) -> bool {
        if self.missing_until_ms.is_empty() {
            return false;
        }
        let until_ms = self.missing_until_ms.get(&full_name(model, adapter));
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }
}

/// Joins the names of a model and an adapter.
fn full_name(model: &str, adapter: Option<&str>) -> String {
    adapter.map_or_else(|| model.to_owned(), |adapter| format!("{model}/{adapter}"))
}
