//! Evidence about one worker, and the state of the direct path to it.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use super::EVIDENCE_TTL_MS;
use super::PEER_RACE_MS;
use super::PathState;

/// Time for which a worker that nobody reaches is probed, in milliseconds: the row of one that has
/// ended is removed within it.
const DARK_PROBED_FOR_MS: u64 = 6_000;

/// Evidence about one worker. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerEvidence {
    /// Last success on a direct connection.
    pub(super) succeeded_ms: Option<u64>,
    /// Last direct failure since then, and the first one without a success in between.
    pub(super) failed_ms: Option<u64>,
    pub(super) failing_since_ms: Option<u64>,
    pub(super) is_silent: bool,
    /// When a peer last reached the worker, and when one last failed to.
    pub(super) peer_reached_ms: Option<u64>,
    pub(super) peer_missed_ms: Option<u64>,
    /// Peer that last failed to.
    pub(super) missed_by: Option<Ipv4Addr>,
    /// When each peer last reported the worker as unreachable.
    pub(super) reported_ms: HashMap<Ipv4Addr, u64>,
}

impl WorkerEvidence {
    /// Returns the time of the newest evidence.
    pub(super) fn newest_ms(&self) -> u64 {
        let own = [
            self.succeeded_ms,
            self.failed_ms,
            self.peer_reached_ms,
            self.peer_missed_ms,
        ];
        let reported = self.reported_ms.values().copied();
        own.into_iter().flatten().chain(reported).max().unwrap_or(0)
    }

    /// Whether the last direct attempt succeeded, within the time for which evidence counts and
    /// after another time.
    pub(super) fn has_succeeded_after(&self, now_ms: u64, since_ms: u64) -> bool {
        let is_counted = |at_ms| at_ms > since_ms && now_ms < at_ms + EVIDENCE_TTL_MS;
        self.failed_ms.is_none() && self.succeeded_ms.is_some_and(is_counted)
    }

    /// Whether the direct path is probed: as long as it is cut, and for a limited time if the
    /// worker may have ended.
    pub(super) fn is_probed(&self, now_ms: u64) -> bool {
        match self.state(now_ms) {
            PathState::Open => false,
            PathState::Cut => true,
            PathState::Dark | PathState::Unknown => self
                .failing_since_ms
                .is_some_and(|since_ms| now_ms < since_ms + DARK_PROBED_FOR_MS),
        }
    }

    /// Returns the state of the direct path.
    pub(super) fn state(&self, now_ms: u64) -> PathState {
        let is_recent = |at_ms: &u64| now_ms < at_ms + EVIDENCE_TTL_MS;
        if !self.failed_ms.as_ref().is_some_and(is_recent) {
            return PathState::Open;
        }
        let reached_ms = self.peer_reached_ms.filter(is_recent);
        let missed_ms = self.peer_missed_ms.filter(is_recent);
        match (reached_ms, missed_ms) {
            (Some(reached_ms), Some(missed_ms)) if missed_ms > reached_ms + PEER_RACE_MS => {
                PathState::Dark
            }
            (Some(_), _) => PathState::Cut,
            (None, Some(_)) => PathState::Dark,
            (None, None) => PathState::Unknown,
        }
    }
}
