//! Poison requests: counts the workers that end while they run a request, and quarantines requests
//! and parts of prompts under which several workers ended.
//!
//! A request may crash every worker that starts to run it. The caller repeats it, with another
//! request identity and through any instance. Or unlike requests share a part of their prompts that
//! does so. A single instance can't tell such requests from others: a worker runs dozens of
//! requests when it ends, and machines also fail in large numbers for other reasons. So ends of
//! workers are counted for all that a request may be suspected for, over all instances: for its
//! content, and for each part of its prompt by the part's id alone.
//!
//! - Ends of different workers count, and those of one worker that was restarted in between.
//! - One complete response proves the suspect harmless; earlier ends no longer count.
//! - A part that ends workers does so when an answer on it begins, or later. Ends under requests
//!   that had just begun are counted apart from those under requests that had written for
//!   [`PROGRESS_MS`] ([`RunPhase`]). A request that has written for that long proves its parts
//!   harmless as far as the former go, whether or not its own answer will be complete.
//! - From [`END_MAX_COUNT`] ends in a row on, the suspect is quarantined, if at least one of them
//!   came under an attempt whose sender knew of an earlier end. If many workers are lost at the
//!   same moment, requests running on several of them are thus not taken for one request that was
//!   repeated. A part is quarantined only for ends that no stronger suspect explains, as
//!   [`verdicts`] says.
//! - From [`ALONE_FROM_COUNT`] ends on, the request does not share a worker with other such
//!   requests. Requests that were interrupted together with it are repeated at the same time, and
//!   would otherwise be placed on the same worker again. Requests with a suspected part are not
//!   kept apart: there are too many of them while the common first part of a route is suspected.
//! - Now and then, ever less often, a quarantined part is probed with one request, in case that it
//!   was blamed wrongly ([`probes`]).
//!
//! This needs no agreement between instances. Each instance merges what it observes with what
//! others gossip: the union of the ends and the newest complete response. Updates may arrive in any
//! order, repeatedly and from any instance. Memory is bounded: the entries with the least evidence
//! are evicted first.

mod gossip;
mod key;
mod local;
mod probes;
mod suspect;
mod verdicts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use self::gossip::Change;
pub use self::gossip::GOSSIPED_MAX_COUNT;
pub use self::gossip::GossipedEnd;
pub use self::gossip::SuspectUpdate;
pub use self::key::KnownEnds;
pub use self::key::PROGRESS_MS;
pub use self::key::RequestKeys;
pub use self::key::RunPhase;
pub use self::key::SuspectKey;
pub use self::local::LocalObservations;
pub use self::local::SuspectReport;
pub use self::suspect::ALONE_FROM_COUNT;
pub use self::suspect::END_MAX_COUNT;
use self::suspect::KEPT_END_COUNT;
use self::suspect::Suspect;
pub use self::suspect::Suspicion;
pub use self::suspect::WorkerEnd;
use self::verdicts::Rank;
use self::verdicts::Verdicts;
use crate::fingerprint::Fingerprint;

/// Maximum number of suspects that are remembered: the content and three parts of some 64 requests
/// on each of 16 workers that end at once.
pub const SUSPECT_MAX_COUNT: usize = 4_096;

/// What is known of a request when it is received or sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Judgement {
    /// Evidence against its whole content.
    pub content: Suspicion,
    /// Part of its prompt for which it is quarantined.
    pub quarantined_part: Option<SuspectKey>,
    /// For which of its keys ends are known.
    pub known_ends: KnownEnds,
}

/// All requests and parts of prompts under which workers ended recently.
///
/// ```
/// use cranereach_fleet::fingerprint::Fingerprint;
/// use cranereach_fleet::quarantine::Quarantine;
/// use cranereach_fleet::quarantine::SuspectKey;
///
/// let key = SuspectKey::request(10, Fingerprint::default());
/// let mut quarantine = Quarantine::default();
/// for worker in 1..=3 {
///     let knew_of_others = quarantine.suspicion(key).end_count > 0;
///     quarantine.ended(worker as i64 * 1_000, key, worker, knew_of_others);
/// }
/// assert!(quarantine.suspicion(key).is_quarantined);
/// quarantine.clear(4_000, key);
/// assert_eq!(quarantine.suspicion(key).end_count, 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<SuspectKey, Suspect>,
    verdicts: Verdicts,
}

impl Quarantine {
    /// Returns whether a request with a body of this size may be known; if not, its fingerprint
    /// need not be computed.
    pub fn may_know(&self, body_bytes: u32) -> bool {
        self.has_key_like(SuspectKey::request(body_bytes, Fingerprint::default()))
    }

    /// Returns whether any part of prompts is known; if not, fingerprints of parts need not be
    /// computed.
    pub fn knows_parts(&self) -> bool {
        let first = SuspectKey::late_part(Fingerprint::default());
        self.suspects.range(first..).next().is_some()
    }

    /// Returns whether a key of the same kind and size as `first`, the lowest one of these, is
    /// known.
    fn has_key_like(&self, first: SuspectKey) -> bool {
        let next = self.suspects.range(first..).next();
        next.is_some_and(|(key, _)| key.body_bytes() == first.body_bytes())
    }

    /// Returns the evidence against a suspect.
    pub fn suspicion(&self, key: SuspectKey) -> Suspicion {
        let Some(suspect) = self.suspects.get(&key) else {
            return Suspicion::default();
        };
        let is_quarantined = if key.is_part() {
            self.verdicts.is_quarantined(&key)
        } else {
            suspect.is_accused()
        };
        Suspicion {
            end_count: suspect.ends.len(),
            is_quarantined,
        }
    }

    /// Returns what is known of a request.
    pub fn judge(&self, keys: &RequestKeys<'_>) -> Judgement {
        let content = keys.content.map(|key| self.suspicion(key));
        let mut judgement = Judgement {
            content: content.unwrap_or_default(),
            quarantined_part: self.verdicts.quarantined_of(keys.parts),
            ..Judgement::default()
        };
        if judgement.content.end_count > 0 {
            judgement.known_ends.note_content();
        }
        for (index, part) in keys.parts.iter().enumerate() {
            for phase in [RunPhase::Beginning, RunPhase::Writing] {
                let key = SuspectKey::part_in(phase, *part);
                if self.suspicion(key).end_count > 0 {
                    judgement.known_ends.note_part(phase, index);
                }
            }
        }
        judgement
    }

    /// Records the end of a worker under a request that was in a phase, as observed by this
    /// instance. `known_ends` tells for which keys earlier ends were known here when the request
    /// was sent. Returns the keys for which the end is new.
    pub fn request_ended(
        &mut self,
        now_ms: i64,
        keys: &RequestKeys<'_>,
        worker: u64,
        known_ends: KnownEnds,
        phase: RunPhase,
    ) -> Vec<SuspectKey> {
        let content = keys.content.map(|key| (key, known_ends.knew_content()));
        let parts = keys.parts.iter().enumerate();
        let parts = parts.map(|(index, part)| {
            let knew_of_others = known_ends.knew_part(phase, index);
            (SuspectKey::part_in(phase, *part), knew_of_others)
        });
        let mut new_keys = Vec::new();
        for (key, knew_of_others) in content.into_iter().chain(parts) {
            if self.add_end(now_ms, key, worker, knew_of_others) {
                new_keys.push(key);
            }
        }
        self.verdicts.settle(&self.suspects);
        new_keys
    }

    /// Records the end of a worker under one suspect, as observed by this instance.
    /// `knew_of_others` tells whether an earlier end was known here when the request was sent.
    /// Returns whether the end is new.
    pub fn ended(
        &mut self,
        now_ms: i64,
        key: SuspectKey,
        worker: u64,
        knew_of_others: bool,
    ) -> bool {
        let is_new = self.add_end(now_ms, key, worker, knew_of_others);
        self.verdicts.settle(&self.suspects);
        is_new
    }

    /// Adds the end of a worker to a suspect. Returns whether it is new.
    fn add_end(&mut self, now_ms: i64, key: SuspectKey, worker: u64, knew_of_others: bool) -> bool {
        let end = WorkerEnd {
            worker,
            at_ms: now_ms,
        };
        self.change(now_ms, key, |suspect| {
            suspect.requested_at_ms = now_ms;
            let is_added = suspect.add(end, key.is_part());
            if is_added {
                suspect.is_repeated |= knew_of_others && suspect.ends.len() > 1;
                suspect.changed_at_ms = now_ms;
            }
            is_added
        })
    }

    /// Changes the entry of a suspect, creating it if needed; the verdicts must be settled then.
    fn change<R>(
        &mut self,
        now_ms: i64,
        key: SuspectKey,
        change: impl FnOnce(&mut Suspect) -> R,
    ) -> R {
        let suspect = self.suspect_mut(now_ms, key);
        let before = Rank::of(key, suspect);
        let result = change(suspect);
        if let Some(suspect) = self.suspects.get(&key) {
            self.verdicts.note_change(before, (key, suspect));
        }
        result
    }

    /// Records a complete response under a suspect, or its release by an operator. Returns the
    /// evidence that was held against it, if there was any.
    pub fn clear(&mut self, now_ms: i64, key: SuspectKey) -> Option<Suspicion> {
        self.clear_as_of(now_ms, key, now_ms)
    }

    /// Records that a suspect was harmless at a time, in milliseconds: ends until then no longer
    /// count, and of two suspects that are equal otherwise, the other one is the more likely cause
    /// of those since. Returns the evidence that was held against it if ends no longer count, or if
    /// it is the first such proof: every request that runs at an end may prove the same.
    pub fn clear_as_of(
        &mut self,
        now_ms: i64,
        key: SuspectKey,
        as_of_ms: i64,
    ) -> Option<Suspicion> {
        let before = self.suspicion(key);
        if before.end_count == 0 {
            return None;
        }
        let is_news = self.change(now_ms, key, |suspect| {
            let end_count = suspect.ends.len();
            let is_first = suspect.cleared_at_ms.is_none();
            suspect.clear(as_of_ms);
            let is_news = is_first || suspect.ends.len() < end_count;
            if is_news {
                suspect.changed_at_ms = now_ms;
            }
            is_news
        });
        self.verdicts.settle(&self.suspects);
        is_news.then_some(before)
    }

    /// Returns whether a suspect was proved harmless or released by an operator, and nothing is
    /// held against it since.
    pub fn is_cleared(&self, key: SuspectKey) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|suspect| suspect.cleared_at_ms.is_some() && suspect.ends.is_empty())
    }

    /// Counts the quarantined requests, without parts.
    pub fn quarantined_count(&self) -> usize {
        let requests = self.suspects.iter().filter(|(key, _)| !key.is_part());
        requests.filter(|(_, suspect)| suspect.is_accused()).count()
    }

    /// Returns the quarantined parts.
    pub const fn quarantined_parts(&self) -> &BTreeSet<SuspectKey> {
        self.verdicts.quarantined_parts()
    }

    /// Counts the suspects that are remembered.
    pub fn known_count(&self) -> usize {
        self.suspects.len()
    }

    /// Counts the parts that are remembered.
    pub fn known_part_count(&self) -> usize {
        let first = SuspectKey::late_part(Fingerprint::default());
        self.suspects.range(first..).count()
    }

    /// Removes expired entries.
    pub fn forget(&mut self, now_ms: i64) {
        let expired = self
            .suspects
            .extract_if(.., |_, suspect| suspect.is_expired(now_ms));
        for (key, suspect) in expired {
            if let Some(rank) = Rank::of(key, &suspect) {
                self.verdicts.note_removal(rank);
            }
        }
        self.verdicts.settle(&self.suspects);
    }

    /// Returns the entry of a suspect, creating it if needed; at capacity, the entry with the
    /// lowest retention priority is evicted.
    fn suspect_mut(&mut self, now_ms: i64, key: SuspectKey) -> &mut Suspect {
        if self.suspects.len() >= SUSPECT_MAX_COUNT && !self.suspects.contains_key(&key) {
            self.forget(now_ms);
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.retention_priority());
            let least = least.map(|(key, _)| *key);
            if let Some(least) = least.filter(|_| self.suspects.len() >= SUSPECT_MAX_COUNT)
                && let Some(evicted) = self.suspects.remove(&least)
                && let Some(rank) = Rank::of(least, &evicted)
            {
                self.verdicts.note_removal(rank);
            }
        }
        self.suspects.entry(key).or_insert_with(|| Suspect {
            requested_at_ms: now_ms,
            ..Suspect::default()
        })
    }
}
