//! Disturbances of instances, workers and the store.

use super::Event;
use super::World;
use super::new_instance;
use super::row;

impl World {
    pub fn stop_store(&mut self, for_ms: u64) {
        self.store_down_until_ms = self.now_ms + for_ms;
    }

    /// Lets a worker leave: its answers announce it at once, its row only if the store is up.
    pub fn leave(&mut self, worker: usize) {
        self.workers[worker].is_leaving = true;
        if self.now_ms >= self.store_down_until_ms {
            self.write(worker);
        }
    }

    /// Restarts a worker under the same identity.
    pub fn restart_worker(&mut self, worker: usize) {
        self.workers[worker].start += 1;
        self.workers[worker].is_leaving = false;
        self.workers[worker].is_shedding = false;
        self.write(worker);
    }

    pub fn set_shedding(&mut self, worker: usize, is_shedding: bool) {
        self.workers[worker].is_shedding = is_shedding;
    }

    /// Lets all instances read a newer row of a worker that doesn't announce its departure.
    pub fn write_as_ready(&mut self, worker: usize) {
        self.version += 1;
        let start = self.workers[worker].start;
        for number in 0..self.instances.len() {
            let in_ms = self.transit_ms();
            self.schedule(
                in_ms,
                Event::Row(number, self.version, row(worker, start, false)),
            );
        }
    }

    fn write(&mut self, worker: usize) {
        self.version += 1;
        let written = &mut self.workers[worker];
        written.row = row(worker, written.start, written.is_leaving);
        written.row_version = self.version;
    }

    pub fn restart_instance(&mut self, number: usize, down_ms: u64) {
        self.instances[number] = new_instance();
        self.instances[number].down_until_ms = self.now_ms + down_ms;
        self.record
            .stopped(number, self.now_ms, self.now_ms + down_ms);
    }

    pub fn freeze_instance(&mut self, number: usize, for_ms: u64) {
        self.instances[number].frozen_until_ms = self.now_ms + for_ms;
        self.record
            .stopped(number, self.now_ms, self.now_ms + for_ms);
    }

    pub fn cut_off_instance(&mut self, number: usize, for_ms: u64) {
        self.instances[number].cut_until_ms = self.now_ms + for_ms;
        self.record.cut(number, self.now_ms, self.now_ms + for_ms);
    }
}
