//! Disturbances of instances, workers and the store.

use super::Event;
use super::World;
use super::fresh;
use super::row;

impl World {
    pub fn store_down(&mut self, for_ms: u64) {
        self.store_down_until_ms = self.now_ms + for_ms;
    }

    /// Lets a worker leave: its answers announce it at once, its row only if the store is up.
    pub fn leave(&mut self, worker: usize) {
        self.workers[worker].leaves = true;
        if self.now_ms >= self.store_down_until_ms {
            self.write(worker);
        }
    }

    /// Restarts a worker under the same identity.
    pub fn start_again(&mut self, worker: usize) {
        self.workers[worker].start += 1;
        self.workers[worker].leaves = false;
        self.workers[worker].sheds = false;
        self.write(worker);
    }

    pub fn shed(&mut self, worker: usize, sheds: bool) {
        self.workers[worker].sheds = sheds;
    }

    /// Lets all instances read a newer row of a worker that doesn't announce its departure.
    pub fn write_as_ready(&mut self, worker: usize) {
        self.version += 1;
        let start = self.workers[worker].start;
        for number in 0..self.instances.len() {
            let in_ms = self.way_ms();
            self.at(
                in_ms,
                Event::Row(number, self.version, row(worker, start, false)),
            );
        }
    }

    fn write(&mut self, worker: usize) {
        self.version += 1;
        let of = &mut self.workers[worker];
        of.row = row(worker, of.start, of.leaves);
        of.row_version = self.version;
    }

    pub fn restart(&mut self, number: usize, down_ms: u64) {
        self.instances[number] = fresh();
        self.instances[number].down_until_ms = self.now_ms + down_ms;
        self.record
            .stopped(number, self.now_ms, self.now_ms + down_ms);
    }

    pub fn freeze(&mut self, number: usize, for_ms: u64) {
        self.instances[number].frozen_until_ms = self.now_ms + for_ms;
        self.record
            .stopped(number, self.now_ms, self.now_ms + for_ms);
    }

    pub fn cut(&mut self, number: usize, for_ms: u64) {
        self.instances[number].cut_until_ms = self.now_ms + for_ms;
        self.record.cut(number, self.now_ms, self.now_ms + for_ms);
    }
}
