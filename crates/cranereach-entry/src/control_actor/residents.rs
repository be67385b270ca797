//! Tracks which cells hold which targets, from reports polled by this instance or
//! received from peers.

use std::collections::HashMap;
use std::collections::HashSet;

use cranereach_core::cell::CellId;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::names::PoolName;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;

/// Resident targets and cell of each worker.
#[derive(Debug, Default)]
pub(super) struct Residents {
    cells: HashMap<WorkerId, CellId>,
    held: HashMap<WorkerId, Held>,
}

/// Age at which a worker's last report is discarded, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 4_500;

/// Resident targets and free memory of one worker, as last reported.
#[derive(Debug, Default)]
struct Held {
    targets: HashSet<TargetName>,
    free_bytes: u64,
    reported_at_ms: u64,
}

impl Residents {
    /// Removes workers without a recent report.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.held
            .retain(|_, held| now_ms.saturating_sub(held.reported_at_ms) < REPORT_EXPIRY_MS);
    }

    /// Replaces the assignment of workers to cells and drops unassigned workers.
    pub(super) fn set_cells(&mut self, cells: HashMap<WorkerId, CellId>) {
        self.held.retain(|worker, _| cells.contains_key(worker));
        self.cells = cells;
    }

    /// Records a worker's report; a leaving worker counts as holding nothing.
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

    /// Returns, for each cell, the largest free memory on a single worker, in bytes.
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

    /// Returns the cells of a pool, sorted.
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

    /// Returns, for each cell that has any, the number of workers that hold a target.
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
