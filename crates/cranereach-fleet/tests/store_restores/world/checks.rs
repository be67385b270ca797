//! What must hold at all times in the simulated network.

use super::DRAIN_MS;
use super::RESTORED_ROWS_HELD_MS;
use super::SETTLE_MS;
use super::WORKER_COUNT;
use super::World;
use cranereach_fleet::purpose::Purpose;

impl World {
    /// Whether an instance and the store have been undisturbed for long enough.
    pub(super) fn is_connected(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let since_ms = instance.disturbed_at_ms.max(self.store.disturbed_at_ms);
        self.now_ms >= since_ms.max(instance.started_at_ms) + SETTLE_MS
    }

    /// Whether an instance itself has been undisturbed for long enough, whatever happened to the
    /// store.
    pub(super) fn is_steady(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let since_ms = instance.disturbed_at_ms.max(instance.started_at_ms);
        self.now_ms >= since_ms + SETTLE_MS
    }

    /// Checks for each worker that an instance uses it only if it may, and lists it if it must.
    pub(super) fn check_routing(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let is_connected = self.is_connected(number);
        for worker in 0..WORKER_COUNT {
            let id = format!("w{worker}");
            let instance = &self.instances[number];
            let actual = self.workers[worker];
            let is_usable = instance
                .roster
                .barred(now_ms, &id, Purpose::Call, 1)
                .is_none();
            let listed = instance.roster.get(&id);
            let start = listed.map(|known| known.record.started_unix_ms);
            let mut violation = None;
            if is_usable
                && instance
                    .known_leaving
                    .contains(&(worker, start.unwrap_or(0)))
            {
                violation = Some("uses a worker start that it knew to be leaving");
            }
            let has_ended =
                start.is_some_and(|start| start != actual.start || actual.row_state.is_none());
            let known_gone = instance
                .known_gone
                .contains_key(&(worker, start.unwrap_or(0)));
            let is_forbidden = self.checks_gone_always
                || instance.era == self.store.era
                    && now_ms < self.store.restored_at_ms + RESTORED_ROWS_HELD_MS;
            if is_usable && has_ended && known_gone && is_forbidden && self.is_steady(number) {
                violation = Some("uses a worker start that it knew to be gone");
            }
            let ends_ms = actual.unusable_from_ms.unwrap_or(u64::MAX);
            if is_usable && is_connected && start == Some(actual.start) && now_ms > ends_ms {
                violation = Some("uses a worker beyond the bound");
            }
            let is_due_ms = actual.written_at_ms + DRAIN_MS;
            let is_listed = self.store.row(worker) == actual.row_state;
            let serves = actual.row_state.is_some_and(|row_state| !row_state.leaves) && is_listed;
            if serves && is_connected && now_ms > is_due_ms && start != Some(actual.start) {
                violation = Some("doesn't list a worker");
            }
            if let Some(what) = violation
                && self.violations.len() < 5
            {
                let position = self.instances[number].listing.position();
                self.violations.push(format!(
                    "{now_ms} ms: instance {number} at {position} {what}: {id}, {actual:?}"
                ));
            }
        }
    }

    /// Checks that each instance would use each worker that serves.
    pub fn check_all_serve(&mut self) {
        for (worker, actual) in self.workers.iter().enumerate() {
            let is_new = self.now_ms < actual.written_at_ms + DRAIN_MS;
            if is_new || actual.row_state.is_none_or(|row_state| row_state.leaves) {
                continue;
            }
            for (number, instance) in self.instances.iter().enumerate() {
                let id = format!("w{worker}");
                let barred = instance.roster.barred(self.now_ms, &id, Purpose::Call, 1);
                if let Some(why) = barred {
                    self.violations.push(format!(
                        "instance {number} doesn't use {id} at the end: {why:?}"
                    ));
                }
            }
        }
    }
}
