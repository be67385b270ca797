//! Assigns the listed workers to cells and keeps a client for each worker.

use std::collections::HashMap;
use std::sync::Arc;

use super::Cell;
use super::ControlActor;
use crate::discovery::worker_id;
use crate::upstream::engine::EngineControl;
use cranereach_core::cell::CellId;
use cranereach_core::cell::cell_of;
use cranereach_core::control::CellControl;
use cranereach_core::control::ControlOptions;
use cranereach_core::declarations::PoolKind;
use cranereach_core::names::WorkerId;
use cranereach_core::residency;
use cranereach_wire::platform::ListState;
use cranereach_wire::platform::ListedInstance;
use cranereach_wire::platform::Role;

impl ControlActor {
    /// Assigns the listed workers to cells and drops cells and clients that are no
    /// longer listed.
    pub(super) fn assign_cells(&mut self) {
        let snapshot = self.shared.snapshot();
        let listed = self.shared.listed();
        let workers: Vec<&ListedInstance> = listed
            .iter()
            .filter(|instance| instance.role == Role::Worker)
            .collect();
        let mut members: HashMap<CellId, Vec<WorkerId>> = HashMap::new();
        for instance in &workers {
            let Some(pool) = instance
                .pool
                .as_ref()
                .and_then(|name| snapshot.pools.get(name))
            else {
                continue;
            };
            let same_domain_count = workers
                .iter()
                .filter(|other| other.pool == instance.pool && other.domain == instance.domain)
                .count();
            let cell = cell_of(
                &pool.name,
                &instance.domain,
                &worker_id(instance),
                same_domain_count,
            );
            let is_live = instance.state == ListState::Live;
            members
                .entry(cell)
                .or_default()
                .extend(is_live.then(|| worker_id(instance)));
            self.ensure_client(instance);
        }
        self.clients
            .retain(|id, _| workers.iter().any(|instance| &worker_id(instance) == id));
        self.polled.retain(|id, _| self.clients.contains_key(id));
        self.cells.retain(|id, _| members.contains_key(id));
        let cells = members.iter().flat_map(|(cell, workers)| {
            workers.iter().map(|worker| (worker.clone(), cell.clone()))
        });
        self.residents.set_cells(cells.collect());
        self.update_cells(members);
    }

    /// Creates a client for a worker if there is none for its present address.
    fn ensure_client(&mut self, instance: &ListedInstance) {
        let id = worker_id(instance);
        let is_known = self
            .clients
            .get(&id)
            .is_some_and(|client| client.address() == instance.address);
        if !is_known {
            self.clients
                .insert(id, Arc::new(EngineControl::new(&instance.address)));
        }
    }

    /// Creates missing cells and updates the worker list of every cell.
    ///
    /// A cell whose pool's `checks_fences` has changed is created anew.
    fn update_cells(&mut self, members: HashMap<CellId, Vec<WorkerId>>) {
        let snapshot = self.shared.snapshot();
        let engine_cells = members.keys().filter(|cell| {
            snapshot
                .pools
                .get(&cell.pool)
                .is_some_and(|pool| pool.kind == PoolKind::Engine)
        });
        let options = self.cell_options(engine_cells.count());
        let now_ms = self.shared.now_ms();
        for (id, workers) in members {
            let Some(pool) = snapshot.pools.get(&id.pool) else {
                continue;
            };
            let is_known = self
                .cells
                .get(&id)
                .is_some_and(|cell| cell.control.checks_fences() == pool.checks_fences);
            if !is_known {
                let control =
                    CellControl::new(self.lease_id.clone(), pool.checks_fences, options, now_ms);
                let cell = Cell {
                    control,
                    kind: pool.kind,
                    workers: Vec::new(),
                    lease_read_at_ms: None,
                    intents_version: 0,
                };
                self.cells.insert(id.clone(), cell);
            }
            if let Some(cell) = self.cells.get_mut(&id) {
                cell.control.set_workers(&workers, pool.worker_memory_bytes);
                cell.workers = workers;
            }
        }
    }

    /// Returns the options of a cell, with its share of the weight store's limits.
    fn cell_options(&self, engine_cells_count: usize) -> ControlOptions {
        let settings = &self.shared.settings;
        let cells_count = engine_cells_count.max(1);
        let policy = residency::find(&settings.policy.residency).unwrap_or(&residency::MARGINAL);
        ControlOptions {
            policy,
            weights: settings.weights(),
            loads_per_s: settings.weight_store.loads_per_s / cells_count as f64,
            loads_at_once_count: (settings.weight_store.loads_at_once_count as usize / cells_count)
                .max(1),
        }
    }
}
