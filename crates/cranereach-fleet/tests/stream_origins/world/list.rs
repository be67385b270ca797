//! The workers of the service, and the list of them at each moment.

use rand::RngExt;
use rand::rngs::StdRng;

use super::Plan;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    pub id: u64,
    pub version: u64,
}

/// Workers, with the history of the list.
pub struct WorkerList {
    history: Vec<(u64, Vec<ListedWorker>)>,
    release_step_ms: u64,
    next_release_at_ms: u64,
    next_crash_at_ms: u64,
    next_id: u64,
    has_lost: bool,
}

impl WorkerList {
    pub fn new(now_ms: u64, plan: &Plan) -> Self {
        let workers = (0..plan.worker_count).map(|id| ListedWorker {
            id,
            version: if plan.is_side_by_side { 1 + id % 2 } else { 1 },
        });
        Self {
            history: vec![(0, workers.collect())],
            release_step_ms: plan.release_step_ms,
            next_release_at_ms: now_ms + plan.release_at_ms,
            next_crash_at_ms: now_ms + 10_000,
            next_id: plan.worker_count,
            has_lost: false,
        }
    }

    /// Replaces a worker by one of the next version when it is time, and lets workers crash.
    pub fn advance(&mut self, now_ms: u64, rng: &mut StdRng) {
        self.has_lost = false;
        if self.release_step_ms > 0 && now_ms >= self.next_release_at_ms {
            self.next_release_at_ms += self.release_step_ms;
            let earlier = self.current().iter().position(|worker| worker.version == 1);
            if let Some(position) = earlier {
                self.replace(now_ms, position, 2);
            }
        }
        if now_ms >= self.next_crash_at_ms {
            self.next_crash_at_ms += 7_000;
            let position = rng.random_range(0..self.current().len());
            let version = self.current()[position].version;
            self.replace(now_ms, position, version);
        }
    }

    fn replace(&mut self, now_ms: u64, position: usize, version: u64) {
        let mut workers = self.current().to_vec();
        workers[position] = ListedWorker {
            id: self.next_id,
            version,
        };
        self.next_id += 1;
        self.has_lost = true;
        self.history.push((now_ms, workers));
    }

    pub fn current(&self) -> &[ListedWorker] {
        &self.history[self.history.len() - 1].1
    }

    /// Whether workers ended in this step.
    pub fn has_lost_workers(&self) -> bool {
        self.has_lost
    }

    pub fn is_alive(&self, id: u64) -> bool {
        self.current().iter().any(|worker| worker.id == id)
    }

    /// Returns the list as of a moment.
    pub fn at(&self, at_ms: u64) -> &[ListedWorker] {
        let later = self.history.iter().rev();
        let mut known = later.filter(|(since_ms, _)| *since_ms <= at_ms);
        known.next().map_or(&[], |(_, workers)| workers)
    }

    pub fn versions_at(&self, at_ms: u64) -> Vec<u64> {
        let mut versions: Vec<u64> = self.at(at_ms).iter().map(|worker| worker.version).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}
