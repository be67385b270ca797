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
    /// Outage of the store, and the workers that run unlisted versions during it.
    outage_ms: (u64, u64),
    unlisted: Vec<ListedWorker>,
}

/// Number of workers that start again with another version during an outage of the store.
const UNLISTED_COUNT: usize = 2;

/// Marks the runs of workers whose rows describe the start before.
const UNLISTED_BIT: u64 = 1 << 63;

/// Time from the beginning of an outage until they do, and before its end until they are lost.
const UNLISTED_AFTER_MS: u64 = 500;

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
            outage_ms: (now_ms + plan.outage_ms.0, now_ms + plan.outage_ms.1),
            unlisted: Vec::new(),
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
        let (from_ms, to_ms) = self.outage_ms;
        if to_ms > from_ms && now_ms == from_ms + UNLISTED_AFTER_MS {
            self.start_unlisted(now_ms);
        }
        if to_ms > from_ms && now_ms == to_ms - UNLISTED_AFTER_MS {
            self.has_lost = true;
            self.unlisted.clear();
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

    /// Lets workers start again under their identities with another version. Their rows stay as they
    /// were.
    fn start_unlisted(&mut self, now_ms: u64) {
        for position in 0..UNLISTED_COUNT {
            let listed = self.current()[position];
            self.unlisted.push(ListedWorker {
                id: listed.id | UNLISTED_BIT,
                version: 3 - listed.version,
            });
            self.replace(now_ms, position, listed.version);
        }
    }

    /// Returns what runs where a row lists a worker, if anything does.
    pub fn run_at(&self, listed: ListedWorker) -> Option<ListedWorker> {
        let unlisted_id = listed.id | UNLISTED_BIT;
        let mut unlisted = self.unlisted.iter();
        let unlisted = unlisted.find(|worker| worker.id == unlisted_id).copied();
        unlisted.or_else(|| self.is_alive(listed.id).then_some(listed))
    }

    /// Returns for how long the store has been out.
    pub fn out_for_ms(&self, now_ms: u64) -> u64 {
        let (from_ms, to_ms) = self.outage_ms;
        let is_out = (from_ms..to_ms).contains(&now_ms);
        if is_out { now_ms - from_ms } else { 0 }
    }

    pub fn current(&self) -> &[ListedWorker] {
        &self.history[self.history.len() - 1].1
    }

    /// Whether workers ended in this step.
    pub fn has_lost_workers(&self) -> bool {
        self.has_lost
    }

    pub fn is_alive(&self, id: u64) -> bool {
        let workers = self.current().iter().chain(&self.unlisted);
        workers.into_iter().any(|worker| worker.id == id)
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
