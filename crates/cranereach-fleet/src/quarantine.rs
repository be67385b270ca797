//! Requests under which workers ended, and those that are sent to no worker any more.
//!
//! A request may end each worker that begins to run it, and comes again, with another
//! identity and to any instance. What one instance sees of it says little: a worker runs
//! dozens of requests when it ends, and machines are lost in numbers without anybody's
//! doing. So the ends are counted by what the request asks for, over all instances:
//!
//! - Ends of different workers count, or of one that has come back meanwhile.
//! - One whole answer proves the request harmless: ends before it count no more.
//! - From [`END_MAX_COUNT`] ends in a row on, the request is quarantined, if at least one of them
//!   came under a try whose sender knew of an earlier one. Where many workers are lost at
//!   one moment, equal requests at several of them are thus not taken for one that came
//!   again.
//! - From [`ALONE_FROM_COUNT`] ends on it runs apart from others like it: those that broke off
//!   with it come again at the same time, and would end up where it does.
//!
//! Nothing here is agreed on. Each instance keeps what it saw and heard, and joins what
//! others tell: the union of the ends, the newest whole answer. So it doesn't matter in
//! which order, how often or by whom it is told. All is bounded: what speaks least goes
//! first.

mod gossip;
mod local;

use std::collections::BTreeMap;

pub use self::gossip::Change;
pub use self::gossip::GossipedEnd;
pub use self::gossip::SuspectNews;
pub use self::gossip::TOLD_MAX_COUNT;
pub use self::local::Listed;
pub use self::local::Seen;
use crate::fingerprint::Fingerprint;

/// Ends in a row from which on a request is sent to no worker: two may be bad luck.
pub const END_MAX_COUNT: usize = 3;

/// Ends in a row from which on a request runs at no worker at which another such request
/// runs: the next end then tells which of them it came of. Of 360 callers whose requests
/// ran beside such ones, some 50 were quarantined with them otherwise.
pub const ALONE_FROM_COUNT: usize = END_MAX_COUNT - 1;

/// Ends that are remembered of one request at most, the newest: one more than decide.
const KEPT_END_COUNT: usize = END_MAX_COUNT + 1;

/// Ends of one start of a worker that are less apart than this are the same one, in
/// milliseconds. Workers whose rows don't tell their starts apart may end again after some
/// seconds; what is told by an instance that stood still comes later than it was.
const DUPLICATE_END_MS: i64 = 10_000;

/// Time by which an end must be newer than the oldest of those remembered to take its
/// place, in milliseconds: what is told on comes some ten milliseconds later at each hop,
/// and instances that saw other ends of one moment would exchange them for ever.
const REPLACE_IF_NEWER_BY_MS: i64 = 500;

/// Time from its last end after which a request that isn't quarantined is forgotten, in
/// milliseconds: callers come back within minutes.
const SUSPECT_TTL_MS: i64 = 600_000;

/// Time for which nobody must have asked for a quarantined request until it is
/// forgotten, in milliseconds. Also how long a whole answer is remembered, so that nobody
/// who was cut off brings older ends back.
const QUARANTINE_TTL_MS: i64 = 3_600_000;

/// Requests that are remembered at most: some 64 at each of 64 workers that end at once.
/// They take 3.0 MB where each has as many ends as are remembered, all seen here (resident
/// memory of a debug build).
pub const SUSPECT_MAX_COUNT: usize = 4_096;

/// What requests are known by here: the size first, so that requests of another size need
/// no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestMark {
    /// Size of the body, in bytes.
    pub body_bytes: u32,
    /// What is asked for.
    pub fingerprint: Fingerprint,
}

/// End of a worker under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerEnd {
    /// Key of the worker.
    pub worker: u64,
    /// When, in milliseconds; before the start of this instance it is negative.
    pub at_ms: i64,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Suspect {
    /// Newest ends since the last whole answer.
    ends: Vec<WorkerEnd>,
    /// Whether one of them came under a try whose sender knew of an earlier one.
    is_repeated: bool,
    /// Most ends that were held against it at once.
    max_end_count: usize,
    /// When the last whole answer ended, or an operator let it through, in milliseconds.
    cleared_at_ms: Option<i64>,
    /// When it was last asked for, by anybody, in milliseconds.
    requested_at_ms: i64,
    /// When something of this last changed here, in milliseconds.
    changed_at_ms: i64,
    /// What this instance has seen of it.
    seen: Seen,
}

/// What is held against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Workers that ended under it in a row.
    pub end_count: usize,
    /// Whether it is sent to no worker.
    pub is_quarantined: bool,
}

impl Suspicion {
    /// Whether the request runs at no worker at which another such request runs.
    pub fn runs_alone(&self) -> bool {
        self.end_count >= ALONE_FROM_COUNT
    }
}

/// All requests under which workers ended lately.
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
    /// Returns what is held against it.
    fn suspicion(&self) -> Suspicion {
        let end_count = self.ends.len();
        Suspicion {
            end_count,
            is_quarantined: end_count >= END_MAX_COUNT && self.is_repeated,
        }
    }

    /// Adds an end unless it is known or a whole answer came after it.
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

    /// Notes that it was proved harmless at a time.
    fn clear(&mut self, at_ms: i64) -> bool {
        if self.cleared_at_ms.is_some_and(|known_ms| known_ms >= at_ms) {
            return false;
        }
        self.cleared_at_ms = Some(at_ms);
        self.ends.retain(|end| end.at_ms > at_ms);
        // Whether the later ones came again isn't known any more.
        self.is_repeated = false;
        true
    }

    /// Returns the last time that says something of it, in milliseconds.
    fn last_activity_ms(&self) -> i64 {
        let ends = self.ends.iter().map(|end| end.at_ms);
        let last_activity_ms = ends.chain(self.cleared_at_ms).max().unwrap_or(i64::MIN);
        last_activity_ms.max(self.requested_at_ms)
    }

    /// Whether it is to be forgotten.
    fn is_expired(&self, now_ms: i64) -> bool {
        let has_short_ttl = !self.suspicion().is_quarantined && self.cleared_at_ms.is_none();
        let ttl_ms = if has_short_ttl {
            SUSPECT_TTL_MS
        } else {
            QUARANTINE_TTL_MS
        };
        now_ms >= self.last_activity_ms() + ttl_ms
    }

    /// Returns what it is worth to remember: the least goes first.
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
    /// Whether a request whose body has a size may be known; if not, it needs no
    /// fingerprint.
    pub fn may_know(&self, body_bytes: u32) -> bool {
        let first = RequestMark {
            body_bytes,
            fingerprint: Fingerprint::default(),
        };
        let next = self.suspects.range(first..).next();
        next.is_some_and(|(mark, _)| mark.body_bytes == body_bytes)
    }

    /// Returns what is held against a request.
    pub fn suspicion(&self, mark: RequestMark) -> Suspicion {
        self.suspects
            .get(&mark)
            .map(Suspect::suspicion)
            .unwrap_or_default()
    }

    /// Notes the end of a worker under a request, as seen here. `knew_of_others` says
    /// whether an earlier end was known here when the request was sent.
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

    /// Notes a whole answer to a request, or that an operator lets it through; returns
    /// what was held against it, if anything was.
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

    /// Whether a request was proved harmless, or let through, and nothing is held against
    /// it since.
    pub fn is_cleared(&self, mark: RequestMark) -> bool {
        let suspect = self.suspects.get(&mark);
        suspect.is_some_and(|suspect| suspect.cleared_at_ms.is_some() && suspect.ends.is_empty())
    }

    /// Counts the requests that are quarantined.
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

    /// Forgets what is old.
    pub fn forget(&mut self, now_ms: i64) {
        self.suspects
            .retain(|_, suspect| !suspect.is_expired(now_ms));
    }

    /// Returns what is known of a request; where too many are known, in place of the one
    /// that is least worth it.
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
