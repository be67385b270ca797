//! Views of the ledger: for planning, for peers and for waiting requests.

use std::collections::HashMap;
use std::sync::Arc;

use super::Ledger;
use super::Phase;
use super::order_effects::apply;
use crate::demand::ModelKey;
use crate::placement::Order;
use crate::worker_view::WorkerView;

impl Ledger {
    /// Returns the workers as planning sees them, sorted by identity.
    pub fn views(&self) -> (Vec<Arc<str>>, Vec<WorkerView>) {
        let mut ids: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        ids.sort_unstable();
        let views = ids.iter().filter_map(|id| self.view(id)).collect();
        (ids, views)
    }

    /// Returns one worker as planning sees it.
    pub fn view(&self, id: &str) -> Option<WorkerView> {
        let entry = self.entries.get(id)?;
        let mut replicas = entry.replicas.clone();
        if let Some(order) = entry.reserved {
            apply(&mut replicas, order);
        }
        Some(WorkerView {
            replicas,
            is_free: matches!(entry.phase, Phase::Free | Phase::RowOnly),
            is_serving: entry.is_serving,
            copies: entry.copies.clone(),
            ..WorkerView::default()
        })
    }

    /// Returns the adapters that workers hold according to these orders, without those that are not
    /// available yet.
    pub fn adapters(&mut self, now_ms: u64) -> Vec<(Arc<str>, ModelKey)> {
        let mut held = Vec::new();
        for (id, entry) in &mut self.entries {
            entry.pending_adapters.retain(|(_, at_ms)| now_ms < *at_ms);
            let resident = entry.replicas.iter().flat_map(|replica| {
                let adapters = replica.adapters.iter();
                adapters.map(|adapter| (replica.model, *adapter))
            });
            let ready = resident.filter(|adapter| !entry.is_pending(*adapter));
            held.extend(ready.map(|adapter| (Arc::clone(id), adapter)));
        }
        held
    }

    /// Returns the models that are being loaded, and when each should be available, in
    /// milliseconds: the earliest time if several workers load it.
    pub fn loading(&self, now_ms: u64) -> HashMap<u16, u64> {
        let mut loading: HashMap<u16, u64> = HashMap::new();
        for entry in self.entries.values() {
            let busy = matches!(entry.phase, Phase::Busy { .. });
            let open = entry.open.filter(|_| busy);
            if let Some(Order::Load(model)) = open.map(|open| open.order) {
                let at_ms = entry.load_due_at_ms.max(now_ms);
                let first_ms = loading.entry(model).or_insert(at_ms);
                *first_ms = at_ms.min(*first_ms);
            }
        }
        loading
    }

    /// Returns the models that are being unloaded.
    pub fn unloading(&self) -> impl Iterator<Item = (&Arc<str>, u16)> {
        self.entries.iter().flat_map(|(id, entry)| {
            let replicas = entry.replicas.iter().filter(|replica| replica.is_unloading);
            replicas.map(move |replica| (id, replica.model))
        })
    }
}
