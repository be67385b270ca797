//! Evidence against one request or one part of prompts.

use super::local::LocalObservations;

/// Consecutive ends from which on a suspect is sent to no worker; two may be a coincidence.
pub const END_MAX_COUNT: usize = 3;

/// Consecutive ends from which on weak evidence counts: a part is blamed for ends under requests
/// that had written for some time, and requests are refused that have any of several tied parts.
pub(super) const WEAK_END_MAX_COUNT: usize = END_MAX_COUNT + 1;

/// Consecutive ends from which on a request is not sent to a worker that runs another such request:
/// the next end then shows which of them caused it. Without this rule, some 50 of 360 callers whose
/// requests ran next to such requests were quarantined with them.
pub const ALONE_FROM_COUNT: usize = END_MAX_COUNT - 1;

/// Maximum number of ends kept of a request, the newest ones: one more than is needed to decide.
pub(super) const KEPT_END_COUNT: usize = END_MAX_COUNT + 1;

/// Maximum number of ends kept of a part. More than of a request: they also tell which ends of
/// other parts need no other explanation.
const KEPT_PART_END_COUNT: usize = 4 * KEPT_END_COUNT;

/// Ends of the same incarnation of a worker that lie closer together than this are the same end, in
/// milliseconds. Workers whose rows do not tell their incarnations apart may end again after some
/// seconds; gossip from an instance that was stalled reports an end later than it happened.
const DUPLICATE_END_MS: i64 = 10_000;

/// Minimum time by which an end must be newer than the oldest one kept to replace it, in
/// milliseconds. Each gossip hop delays an end by some ten milliseconds; without this margin,
/// instances that observed different ends of the same moment would exchange them forever.
const REPLACE_IF_NEWER_BY_MS: i64 = 500;

/// Time after its last activity at which a suspect that is not quarantined is forgotten, in
/// milliseconds; callers repeat requests within minutes.
const SUSPECT_TTL_MS: i64 = 600_000;

/// Time after which a quarantined suspect that no caller asks for is forgotten, in milliseconds. A
/// complete response is remembered equally long, so that an instance that was partitioned does not
/// bring back older ends.
const QUARANTINE_TTL_MS: i64 = 3_600_000;

/// An end of a worker while it ran a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerEnd {
    /// Key of the worker's incarnation.
    pub worker: u64,
    /// Time of the end, in milliseconds; negative if it precedes the start of this instance.
    pub at_ms: i64,
}

impl WorkerEnd {
    /// Whether two ends are the same one.
    pub(super) const fn is_same(&self, other: &Self) -> bool {
        self.worker == other.worker && (self.at_ms - other.at_ms).abs() < DUPLICATE_END_MS
    }
}

/// Evidence against a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Workers that ended in a row while they ran it.
    pub end_count: usize,
    /// Whether it is sent to no worker.
    pub is_quarantined: bool,
}

impl Suspicion {
    /// Returns whether the request must not share a worker with another such request.
    pub fn runs_alone(&self) -> bool {
        self.end_count >= ALONE_FROM_COUNT
    }
}

/// What is known about one suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Suspect {
    /// Newest ends since the last complete response.
    pub(super) ends: Vec<WorkerEnd>,
    /// Whether one of the ends came under an attempt whose sender knew of an earlier one.
    pub(super) is_repeated: bool,
    /// Maximum number of ends that were counted at once.
    pub(super) max_end_count: usize,
    /// Time of the last complete response, or of the release by an operator, in milliseconds.
    pub(super) cleared_at_ms: Option<i64>,
    /// Time at which any instance last received the suspect, in milliseconds.
    pub(super) requested_at_ms: i64,
    /// Time of the last change of this entry on this instance, in milliseconds.
    pub(super) changed_at_ms: i64,
    /// What this instance itself has observed.
    pub(super) observed: LocalObservations,
}

impl Suspect {
    /// Whether the ends are enough to blame the suspect for them.
    pub(super) fn is_accused(&self) -> bool {
        self.ends.len() >= END_MAX_COUNT && self.is_repeated
    }

    /// Adds an end, unless it is known or a complete response came after it. Returns whether it was
    /// added.
    pub(super) fn add(&mut self, end: WorkerEnd, is_part: bool) -> bool {
        if self.cleared_at_ms.is_some_and(|at_ms| end.at_ms <= at_ms) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            known.at_ms = known.at_ms.min(end.at_ms);
            return false;
        }
        let kept_count = if is_part {
            KEPT_PART_END_COUNT
        } else {
            KEPT_END_COUNT
        };
        if self.ends.len() >= kept_count {
            let oldest = self
                .ends
                .iter()
                .enumerate()
                .min_by_key(|(_, end)| end.at_ms);
            let oldest = oldest
                .filter(|(_, candidate)| candidate.at_ms + REPLACE_IF_NEWER_BY_MS < end.at_ms);
            let Some((index, _)) = oldest else {
                return false;
            };
            self.ends.remove(index);
        }
        self.ends.push(end);
        self.max_end_count = self.max_end_count.max(self.ends.len());
        true
    }

    /// Records that the suspect was proved harmless at the given time. Returns whether that is
    /// later than what was known.
    pub(super) fn clear(&mut self, at_ms: i64) -> bool {
        if self.cleared_at_ms.is_some_and(|known_ms| known_ms >= at_ms) {
            return false;
        }
        self.cleared_at_ms = Some(at_ms);
        let end_count = self.ends.len();
        self.ends.retain(|end| end.at_ms > at_ms);
        if self.ends.len() < end_count {
            // It is not known whether the remaining ends came under repeated attempts.
            self.is_repeated = false;
        }
        true
    }

    /// Returns the time of the last end, in milliseconds.
    pub(super) fn last_end_ms(&self) -> Option<i64> {
        self.ends.iter().map(|end| end.at_ms).max()
    }

    /// Returns the time of the last event, in milliseconds.
    fn last_activity_ms(&self) -> i64 {
        let last_activity_ms = self.last_end_ms().max(self.cleared_at_ms);
        last_activity_ms
            .unwrap_or(i64::MIN)
            .max(self.requested_at_ms)
    }

    /// Returns whether the entry has expired.
    pub(super) fn is_expired(&self, now_ms: i64) -> bool {
        let has_short_ttl = !self.is_accused() && self.cleared_at_ms.is_none();
        let ttl_ms = if has_short_ttl {
            SUSPECT_TTL_MS
        } else {
            QUARANTINE_TTL_MS
        };
        now_ms >= self.last_activity_ms() + ttl_ms
    }

    /// Returns the eviction order: the entry with the lowest value is evicted first.
    pub(super) fn retention_priority(&self) -> (bool, usize, i64) {
        (self.is_accused(), self.ends.len(), self.last_activity_ms())
    }
}
