//! What workers and the store do in the simulated network.

use rand::RngExt;

use super::Action;
use super::DRAIN_MS;
use super::REWRITE_WITHIN_MS;
use super::ROW_EXPIRES_AFTER_MS;
use super::WORKER_COUNT;
use super::Worker;
use super::World;
use crate::store::RowState;

impl World {
    pub(super) fn start_worker(&mut self, worker: usize) {
        let start = self.workers[worker].start + 1;
        let row_state = RowState {
            start,
            leaves: false,
        };
        self.workers[worker] = Worker {
            start,
            written_at_ms: self.now_ms,
            row_state: Some(row_state),
            unusable_from_ms: None,
        };
        self.write(worker);
    }

    /// Writes the content that a worker's row should have, as soon as the store is available.
    pub(super) fn write(&mut self, worker: usize) {
        let row_state = self.workers[worker].row_state;
        if self.store.is_unavailable(self.now_ms) {
            let wait_ms =
                self.store.unavailable_until_ms - self.now_ms + self.rng.random_range(0..800);
            let start = self.workers[worker].start;
            let action = row_state.map_or(Action::End(worker, start), |row_state| {
                Action::Write(worker, row_state)
            });
            self.schedule(wait_ms, action);
            return;
        }
        self.store.write(worker, row_state);
        self.workers[worker].written_at_ms = self.now_ms;
        let announces_end = row_state.is_none_or(|row_state| row_state.leaves);
        if announces_end {
            let ends_ms = &mut self.workers[worker].unusable_from_ms;
            ends_ms.get_or_insert(self.now_ms + DRAIN_MS);
        }
    }

    pub(super) fn announce_leaving(&mut self, worker: usize) {
        let Some(row_state) = self.workers[worker]
            .row_state
            .filter(|row_state| !row_state.leaves)
        else {
            return;
        };
        self.workers[worker].row_state = Some(RowState {
            leaves: true,
            ..row_state
        });
        self.write(worker);
        let serves_ms = self.rng.random_range(2_500..6_000);
        self.schedule(serves_ms, Action::End(worker, row_state.start));
        self.schedule(serves_ms + 1_500, Action::Start(worker, row_state.start));
    }

    /// Ends a worker whose row is removed after a time in milliseconds.
    pub(super) fn end_worker(&mut self, worker: usize, row_after_ms: u64) {
        let Some(row_state) = self.workers[worker]
            .row_state
            .filter(|row_state| !row_state.leaves)
        else {
            return;
        };
        self.workers[worker].row_state = None;
        self.schedule(row_after_ms, Action::End(worker, row_state.start));
        let back_ms = row_after_ms + self.rng.random_range(2_500..6_000);
        self.schedule(back_ms, Action::Start(worker, row_state.start));
    }

    pub(super) fn restore(&mut self, age_ms: u64) {
        self.store.restore(self.now_ms, age_ms);
        self.store.disturbed_at_ms = self.store.disturbed_at_ms.max(self.now_ms);
        for worker in 0..WORKER_COUNT {
            let row = self.store.row(worker);
            let row_state = self.workers[worker].row_state;
            if row == row_state {
                continue;
            }
            self.workers[worker].unusable_from_ms = None;
            if let Some(row_state) = row_state {
                let after_ms = self.rng.random_range(0..=REWRITE_WITHIN_MS);
                self.schedule(after_ms, Action::Write(worker, row_state));
            } else {
                let start = self.workers[worker].start;
                self.schedule(ROW_EXPIRES_AFTER_MS, Action::End(worker, start));
            }
        }
    }
}
