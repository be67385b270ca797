//! Failures of instances of the simulated fleet.

use proptest::prelude::*;

use super::World;

/// A failure of the owner, for a time in milliseconds, or of a random share of the instances.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Kill(u64),
    /// Kills a random instance other than the owner.
    KillAnother(u64),
    Freeze(u64),
    Partition(u64),
    KillShare(f64),
    PartitionShare(f64),
}

/// Generates any event but [`Event::KillAnother`].
pub fn any() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (200_u64..6_000).prop_map(Event::Kill),
        3 => (200_u64..8_000).prop_map(Event::Freeze),
        3 => (200_u64..30_000).prop_map(Event::Partition),
        1 => (0.1..1.0).prop_map(Event::KillShare),
        1 => (0.05..0.4).prop_map(Event::PartitionShare),
    ]
}

impl World {
    /// Applies a failure to the owner or to random instances.
    pub fn apply_event(&mut self, event: Event) {
        let owner = self.owner();
        let now_ms = self.now_ms;
        match event {
            Event::Kill(for_ms) => self.kill(owner, for_ms),
            Event::KillAnother(for_ms) => {
                let step = self.rng.random_range(1..self.instances.len());
                self.kill((owner + step) % self.instances.len(), for_ms);
            }
            Event::Freeze(for_ms) => self.instances[owner].frozen_until_ms = now_ms + for_ms,
            Event::Partition(for_ms) => self.instances[owner].cut_off_until_ms = now_ms + for_ms,
            Event::KillShare(share) => {
                for number in 0..self.instances.len() {
                    if self.rng.random_bool(share) {
                        self.kill(number, 1_500);
                    }
                }
            }
            Event::PartitionShare(share) => {
                for number in 0..self.instances.len() {
                    if self.rng.random_bool(share) {
                        self.instances[number].cut_off_until_ms = now_ms + 9_000;
                    }
                }
            }
        }
    }

    fn kill(&mut self, number: usize, for_ms: u64) {
        let mut new_instance = self.new_instance(number);
        new_instance.down_until_ms = self.now_ms + for_ms;
        new_instance.started_ms = self.now_ms + for_ms;
        new_instance.cut_off_until_ms = self.instances[number].cut_off_until_ms;
        self.instances[number] = new_instance;
    }
}
