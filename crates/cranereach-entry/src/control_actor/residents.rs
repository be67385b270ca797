//! Which cell holds which target, from reports polled here and told by peers.

use std::collections::HashMap;
use std::collections::HashSet;

use cranereach_core::cell::CellId;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::names::PoolName;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;

/// What each worker holds, and in which cell it is.
#[derive(Debug, Default)]
pub(super) struct Residents {
    cells: HashMap<WorkerId, CellId>,
    held: HashMap<WorkerId, Held>,
}

/// Time after which a worker that nobody speaks of holds nothing, in ms.
const REPORT_EXPIRY_MS: u64 = 4_500;

/// What one worker holds.
#[derive(Debug, Default)]
struct Held {
    targets: HashSet<TargetName>,
    free_bytes: u64,
    reported_at_ms: u64,
}

impl Residents {
    /// Forgets workers of which nobody has spoken for too long.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.held
            .retain(|_, held| now_ms.saturating_sub(held.reported_at_ms) < REPORT_EXPIRY_MS);
    }

    /// Takes which worker is in which cell.
    pub(super) fn set_cells(&mut self, cells: HashMap<WorkerId, CellId>) {
        self.held.retain(|worker, _| cells.contains_key(worker));
        self.cells = cells;
    }

    /// Takes a worker's report; a worker that leaves holds nothing any more.
    pub(super) fn record_report(&mut self, now_ms: u64, report: &WorkerReport) {
        let held = if report.is_leaving {
            Held {
                reported_at_ms: now_ms,
                ..Held::default()
            }
        } else {
            Held {
                targets: report.resident.iter().cloned().collect(),
                free_bytes: report.free_bytes,
                reported_at_ms: now_ms,
            }
        };
        self.held.insert(report.worker.clone(), held);
    }

    /// Returns the most memory that is free on one worker of each cell, in bytes.
    pub(super) fn free_bytes(&self) -> HashMap<&CellId, u64> {
        let mut free: HashMap<&CellId, u64> = HashMap::new();
        for (worker, held) in &self.held {
            if let Some(cell) = self.cells.get(worker) {
                let most = free.entry(cell).or_default();
                *most = held.free_bytes.max(*most);
            }
        }
        free
    }

    /// Returns the cells of a pool, in order.
    pub(super) fn cells_of(&self, pool: &PoolName) -> Vec<CellId> {
        let mut cells: Vec<CellId> = self
            .cells
            .values()
            .filter(|cell| &cell.pool == pool)
            .cloned()
            .collect();
        cells.sort();
        cells.dedup();
        cells
    }

    /// Returns how many workers of each cell hold a target.
    pub(super) fn replicas(&self, target: &TargetName) -> HashMap<&CellId, usize> {
        let mut replicas = HashMap::new();
        for (worker, held) in &self.held {
            if let Some(cell) = self
                .cells
                .get(worker)
                .filter(|_| held.targets.contains(target))
            {
                *replicas.entry(cell).or_default() += 1;
            }
        }
        replicas
    }
}
