//! Poison requests: counts the workers that end while they run a request, and quarantines requests
//! under which several workers ended.
//!
//! A request may crash every worker that starts to run it. The caller repeats it, with another
//! request identity and through any instance. A single instance can't tell such a request from
//! others: a worker runs dozens of requests when it ends, and machines also fail in large numbers
//! for other reasons. So ends of workers are counted per request content, over all instances:
//!
//! - Ends of different workers count, and those of one worker that was restarted in between.
//! - One complete response proves the request harmless; earlier ends no longer count.
//! - From [`END_MAX_COUNT`] ends in a row on, the request is quarantined, if at least one of them
//!   came under an attempt whose sender knew of an earlier end. If many workers are lost at the
//!   same moment, equal requests running on several of them are thus not taken for one request that
//!   was repeated.
//! - From [`ALONE_FROM_COUNT`] ends on, the request does not share a worker with other such
//!   requests. Requests that were interrupted together with it are repeated at the same time, and
//!   would otherwise be placed on the same worker again.
//!
//! This needs no agreement between instances. Each instance merges what it observes with what
//! others gossip: the union of the ends and the newest complete response. Updates may arrive in any
//! order, repeatedly and from any instance. Memory is bounded: the entries with the least evidence
//! are evicted first.

mod gossip;
mod local;

use std::collections::BTreeMap;

pub use self::gossip::Change;
pub use self::gossip::GOSSIPED_MAX_COUNT;
pub use self::gossip::GossipedEnd;
pub use self::gossip::SuspectUpdate;
pub use self::local::LocalObservations;
pub use self::local::SuspectReport;
use crate::fingerprint::Fingerprint;

/// Consecutive ends from which on a request is sent to no worker; two may be a coincidence.
pub const END_MAX_COUNT: usize = 3;

/// Consecutive ends from which on a request is not sent to a worker that runs another such request:
/// the next end then shows which of them caused it. Without this rule, some 50 of 360 callers whose
/// requests ran next to such requests were quarantined with them.
pub const ALONE_FROM_COUNT: usize = END_MAX_COUNT - 1;

/// Maximum number of ends kept per request, the newest ones: one more than is needed to decide.
const KEPT_END_COUNT: usize = END_MAX_COUNT + 1;

/// Ends of the same incarnation of a worker that lie closer together than this are the same end, in
/// milliseconds. Workers whose rows do not tell their incarnations apart may end again after some
/// seconds; gossip from an instance that was stalled reports an end later than it happened.
const DUPLICATE_END_MS: i64 = 10_000;

/// Minimum time by which an end must be newer than the oldest one kept to replace it, in
/// milliseconds. Each gossip hop delays an end by some ten milliseconds; without this margin,
/// instances that observed different ends of the same moment would exchange them forever.
const REPLACE_IF_NEWER_BY_MS: i64 = 500;

/// Time after its last activity at which a request that is not quarantined is forgotten, in
/// milliseconds; callers repeat requests within minutes.
const SUSPECT_TTL_MS: i64 = 600_000;

/// Time after which a quarantined request that no caller repeats is forgotten, in milliseconds. A
/// complete response is remembered equally long, so that an instance that was partitioned does not
/// bring back older ends.
const QUARANTINE_TTL_MS: i64 = 3_600_000;

/// Maximum number of requests that are remembered: some 64 on each of 64 workers that end at once.
/// They take 3.0 MB if each has the maximum number of ends, all observed here (resident memory of a
/// debug build).
pub const SUSPECT_MAX_COUNT: usize = 4_096;

/// Identifies a request by its content. The size comes first, so that requests of a size that is
/// not known need no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestMark {
    /// Size of the body, in bytes.
    pub body_bytes: u32,
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
}

/// An end of a worker while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerEnd {
    /// Key of the worker's incarnation.
    pub worker: u64,
    /// Time of the end, in milliseconds; negative if it precedes the start of this instance.
    pub at_ms: i64,
}

/// What is known about one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Suspect {
    /// Newest ends since the last complete response.
    ends: Vec<WorkerEnd>,
    /// Whether one of the ends came under an attempt whose sender knew of an earlier one.
    is_repeated: bool,
    /// Maximum number of ends that were counted at once.
    max_end_count: usize,
    /// Time of the last complete response, or of the release by an operator, in milliseconds.
    cleared_at_ms: Option<i64>,
    /// Time at which any instance last received the request, in milliseconds.
    requested_at_ms: i64,
    /// Time of the last change of this entry on this instance, in milliseconds.
    changed_at_ms: i64,
    /// What this instance itself has observed.
    observed: LocalObservations,
}

/// Evidence against a request.
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

/// All requests under which workers ended recently.
///
/// ```
/// use cranereach_fleet::fingerprint::Fingerprint;
/// use cranereach_fleet::quarantine::Quarantine;
/// use cranereach_fleet::quarantine::RequestMark;
///
/// let mark = RequestMark { body_bytes: 10, fingerprint: Fingerprint::default() };
/// let mut quarantine = Quarantine::default();
/// for worker in 1..=3 {
///     let knew_of_others = quarantine.suspicion(mark).end_count > 0;
///     quarantine.ended(worker as i64 * 1_000, mark, worker, knew_of_others);
/// }
/// assert!(quarantine.suspicion(mark).is_quarantined);
/// quarantine.clear(4_000, mark);
/// assert_eq!(quarantine.suspicion(mark).end_count, 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<RequestMark, Suspect>,
}

impl Suspect {
    /// Returns the evidence against the request.
    fn suspicion(&self) -> Suspicion {
        let end_count = self.ends.len();
        Suspicion {
            end_count,
            is_quarantined: end_count >= END_MAX_COUNT && self.is_repeated,
        }
    }

    /// Adds an end, unless it is known or a complete response came after it. Returns whether it was
    /// added.
    fn add(&mut self, end: WorkerEnd) -> bool {
        if self.cleared_at_ms.is_some_and(|at_ms| end.at_ms <= at_ms) {
            return false;
        }
        let is_same = |known: &&mut WorkerEnd| {
            known.worker == end.worker && (known.at_ms - end.at_ms).abs() < DUPLICATE_END_MS
        };
        if let Some(known) = self.ends.iter_mut().find(is_same) {
            known.at_ms = known.at_ms.min(end.at_ms);
            return false;
        }
        if self.ends.len() >= KEPT_END_COUNT {
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

    /// Records that the request was proved harmless at the given time. Returns whether that is
    /// later than what was known.
    fn clear(&mut self, at_ms: i64) -> bool {
        if self.cleared_at_ms.is_some_and(|known_ms| known_ms >= at_ms) {
            return false;
        }
        self.cleared_at_ms = Some(at_ms);
        self.ends.retain(|end| end.at_ms > at_ms);
        // It is not known whether the remaining ends came under repeated attempts.
        self.is_repeated = false;
        true
    }

    /// Returns the time of the last event, in milliseconds.
    fn last_activity_ms(&self) -> i64 {
        let ends = self.ends.iter().map(|end| end.at_ms);
        let last_activity_ms = ends.chain(self.cleared_at_ms).max().unwrap_or(i64::MIN);
        last_activity_ms.max(self.requested_at_ms)
    }

    /// Returns whether the entry has expired.
    fn is_expired(&self, now_ms: i64) -> bool {
        let has_short_ttl = !self.suspicion().is_quarantined && self.cleared_at_ms.is_none();
        let ttl_ms = if has_short_ttl {
            SUSPECT_TTL_MS
        } else {
            QUARANTINE_TTL_MS
        };
        now_ms >= self.last_activity_ms() + ttl_ms
    }

    /// Returns the eviction order: the entry with the lowest value is evicted first.
    fn retention_priority(&self) -> (bool, usize, i64) {
        let suspicion = self.suspicion();
        (
            suspicion.is_quarantined,
            suspicion.end_count,
            self.last_activity_ms(),
        )
    }
}

impl Quarantine {
    /// Returns whether a request with a body of this size may be known; if not, its fingerprint
    /// need not be computed.
    pub fn may_know(&self, body_bytes: u32) -> bool {
        let first = RequestMark {
            body_bytes,
            fingerprint: Fingerprint::default(),
        };
        let next = self.suspects.range(first..).next();
        next.is_some_and(|(mark, _)| mark.body_bytes == body_bytes)
    }

    /// Returns the evidence against a request.
    pub fn suspicion(&self, mark: RequestMark) -> Suspicion {
        self.suspects
            .get(&mark)
            .map(Suspect::suspicion)
            .unwrap_or_default()
    }

    /// Records the end of a worker under a request, as observed by this instance. `knew_of_others`
    /// tells whether an earlier end was known here when the request was sent.
    pub fn ended(
        &mut self,
        now_ms: i64,
        mark: RequestMark,
        worker: u64,
        knew_of_others: bool,
    ) -> Suspicion {
        let suspect = self.suspect_mut(now_ms, mark);
        suspect.requested_at_ms = now_ms;
        if suspect.add(WorkerEnd {
            worker,
            at_ms: now_ms,
        }) {
            suspect.is_repeated |= knew_of_others && suspect.ends.len() > 1;
            suspect.changed_at_ms = now_ms;
        }
        suspect.suspicion()
    }

    /// Records a complete response to a request, or its release by an operator. Returns the
    /// evidence that was held against it, if there was any.
    pub fn clear(&mut self, now_ms: i64, mark: RequestMark) -> Option<Suspicion> {
        let suspect = self.suspects.get_mut(&mark)?;
        let before = suspect.suspicion();
        if before.end_count == 0 {
            return None;
        }
        suspect.clear(now_ms);
        suspect.changed_at_ms = now_ms;
        Some(before)
    }

    /// Returns whether a request was proved harmless or released by an operator, and nothing is
    /// held against it since.
    pub fn is_cleared(&self, mark: RequestMark) -> bool {
        let suspect = self.suspects.get(&mark);
        suspect.is_some_and(|suspect| suspect.cleared_at_ms.is_some() && suspect.ends.is_empty())
    }

    /// Counts the quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        let suspicions = self.suspects.values().map(Suspect::suspicion);
        suspicions
            .filter(|suspicion| suspicion.is_quarantined)
            .count()
    }

    /// Counts the requests that are remembered.
    pub fn known_count(&self) -> usize {
        self.suspects.len()
    }

    /// Removes expired entries.
    pub fn forget(&mut self, now_ms: i64) {
        self.suspects
            .retain(|_, suspect| !suspect.is_expired(now_ms));
    }

    /// Returns the entry of a request, creating it if needed; at capacity, the entry with the
    /// lowest retention priority is evicted.
    fn suspect_mut(&mut self, now_ms: i64, mark: RequestMark) -> &mut Suspect {
        if self.suspects.len() >= SUSPECT_MAX_COUNT && !self.suspects.contains_key(&mark) {
            self.forget(now_ms);
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.retention_priority());
            let least = least.map(|(mark, _)| *mark);
            if let Some(least) = least.filter(|_| self.suspects.len() >= SUSPECT_MAX_COUNT) {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(mark).or_insert_with(|| Suspect {
            requested_at_ms: now_ms,
            ..Suspect::default()
        })
    }
}
