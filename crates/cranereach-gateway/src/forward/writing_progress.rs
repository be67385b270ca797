//! For how long a worker has written to the answer of a call.

use std::time::Instant;

use crate::node::Node;
use cranereach_fleet::quarantine::PROGRESS_MS;
use cranereach_fleet::quarantine::RunPhase;

/// For how long the current worker has written.
#[derive(Debug)]
pub(super) struct WritingProgress {
    since: Instant,
    /// The same by the clock of the node, in milliseconds.
    pub(super) since_ms: u64,
    /// When the progress was last recorded.
    recorded_at: Option<Instant>,
}

impl WritingProgress {
    /// Starts with the first chunk of a worker.
    pub(super) fn start(node: &Node) -> Self {
        Self {
            since: Instant::now(),
            since_ms: node.now_ms(),
            recorded_at: None,
        }
    }

    /// Takes a chunk that has arrived. Returns whether the progress is to be recorded now: the
    /// worker has written for [`PROGRESS_MS`], unless this instance was too slow to know.
    pub(super) fn is_due(&mut self, node: &Node) -> bool {
        let now = Instant::now();
        let last = self.recorded_at.unwrap_or(self.since);
        let elapsed_ms = now.duration_since(last).as_millis() as u64;
        let is_due = elapsed_ms >= PROGRESS_MS && !node.is_own_delay(PROGRESS_MS);
        if is_due {
            self.recorded_at = Some(now);
        }
        is_due
    }

    /// Returns how far the worker was.
    pub(super) fn phase(&self) -> RunPhase {
        match self.recorded_at {
            Some(_) => RunPhase::Writing,
            None => RunPhase::Beginning,
        }
    }
}
