//! Requests that arrived at the worker of the simulated fleet.

use super::World;

/// A request that arrived at the worker.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    /// Whether the limit is checked for it: its sender had received an answer that names a limit at
    /// least half a second before, and had not been disturbed recently.
    pub is_counted: bool,
}

impl World {
    /// Returns the sorted times of all arrivals, or only of those for which the limit is checked.
    pub fn arrived_ms(&self, only_counted: bool) -> Vec<u64> {
        let counted = self.arrivals.iter();
        let counted = counted.filter(|arrival| arrival.is_counted || !only_counted);
        let mut arrived_ms: Vec<u64> = counted.map(|arrival| arrival.at_ms).collect();
        arrived_ms.sort_unstable();
        arrived_ms
    }

    /// Returns the highest number of arrivals within any window.
    pub fn max_count(&self, window_ms: u64) -> usize {
        let arrived_ms = self.arrived_ms(false);
        let counts = arrived_ms.iter().enumerate().map(|(index, first_ms)| {
            let rest = &arrived_ms[index..];
            rest.partition_point(|at_ms| *at_ms < first_ms + window_ms)
        });
        counts.max().unwrap_or(0)
    }
}
