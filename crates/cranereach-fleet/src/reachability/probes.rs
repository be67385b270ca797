//! Which failing paths are probed, so that it is noticed that they are back.

use super::Reachability;

/// Minimum time between a failure of a path and the next probe of it, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 200;

/// Number of failing paths that are probed at a time.
const PROBE_COUNT: usize = 2;

/// The same after a probe has shown that a path is back: others probably are, too.
const HEALING_PROBE_COUNT: usize = 16;

impl Reachability {
    /// Whether some path is to be probed, now or soon.
    pub fn has_probed_paths(&self, now_ms: u64) -> bool {
        self.workers
            .values()
            .any(|evidence| evidence.is_probed(now_ms))
    }

    /// Lists the workers to be probed directly, those with the oldest failure first: paths that are
    /// cut as long as they are, others for a limited time.
    pub fn probes_due(&self, now_ms: u64) -> Vec<u64> {
        let mut due: Vec<(u64, u64)> = self
            .workers
            .iter()
            .filter(|(_, evidence)| evidence.is_probed(now_ms))
            .filter_map(|(worker, evidence)| Some((evidence.failed_ms?, *worker)))
            .filter(|(failed_ms, _)| now_ms >= failed_ms + PROBE_INTERVAL_MS)
            .collect();
        due.sort_unstable();
        due.truncate(if self.last_healed_ms > self.last_failed_ms {
            HEALING_PROBE_COUNT
        } else {
            PROBE_COUNT
        });
        due.into_iter().map(|(_, worker)| worker).collect()
    }
}
