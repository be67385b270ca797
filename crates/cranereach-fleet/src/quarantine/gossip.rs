//! Gossip between instances about requests under which workers ended.

use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use super::END_MAX_COUNT;
use super::KEPT_END_COUNT;
use super::Quarantine;
use super::Suspect;
use super::SuspectKey;
use super::WorkerEnd;
use crate::fingerprint::Fingerprint;

/// Maximum number of suspects in one digest: 1.5 KB, however many are known.
pub const GOSSIPED_MAX_COUNT: usize = 16;

/// Maximum number of them that are chosen because they changed recently, so that instances that
/// have just started hear of the others too.
const RECENT_MAX_COUNT: usize = 12;

/// Time for which a change is sent first, in milliseconds: until it has reached all instances, some
/// ten gossip rounds.
const RECENT_FOR_MS: i64 = 2_500;

/// Ends from which on a request is gossiped for as long as it is known: a single end is mostly a
/// coincidence, and there are many of them when a worker ends.
const PERSISTENT_END_COUNT: usize = 2;

/// Minimum time by which a complete response that another instance knows of must be later than the
/// one known here to replace it, in milliseconds: more than a few gossip hops add.
const CLEARED_LATER_BY_MS: i64 = 500;

/// An end of a worker, as gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipedEnd {
    /// Key of the worker's incarnation.
    pub worker: u64,
    /// Time since the end, in milliseconds.
    pub age_ms: u32,
}

/// What is gossiped about one suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Fingerprint of the content, or of the part of prompts.
    pub fingerprint: Fingerprint,
    /// Size of the body in bytes; [`u32::MAX`] for a part of prompts.
    pub body_bytes: u32,
    /// Newest ends of workers that ran it.
    pub ends: Vec<GossipedEnd>,
    /// Whether one of the ends came under an attempt whose sender knew of an earlier one.
    pub is_repeated: bool,
    /// Time since the last complete response, in milliseconds.
    pub cleared_age_ms: Option<u32>,
    /// Time since the request was last received, in milliseconds.
    pub asked_age_ms: u32,
}

/// Effect of an update from another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing changed.
    None,
    /// A change that can wait for the next digest.
    Minor,
    /// A change of whether or where the request may be sent: other instances must hear of it at
    /// once.
    Suspicion,
}

impl SuspectUpdate {
    /// Returns the key of the suspect.
    pub const fn key(&self) -> SuspectKey {
        SuspectKey::from_update(self.body_bytes, self.fingerprint)
    }

    /// Creates the update that describes a local entry.
    fn from_suspect(now_ms: i64, key: SuspectKey, suspect: &Suspect) -> Self {
        let age_ms =
            |at_ms: i64| u32::try_from(now_ms.saturating_sub(at_ms).max(0)).unwrap_or(u32::MAX);
        let ends = suspect.ends.iter().map(|end| GossipedEnd {
            worker: end.worker,
            age_ms: age_ms(end.at_ms),
        });
        let mut ends: Vec<GossipedEnd> = ends.collect();
        ends.sort_by_key(|end| end.age_ms);
        ends.truncate(KEPT_END_COUNT);
        Self {
            fingerprint: key.fingerprint,
            body_bytes: key.body_bytes(),
            ends,
            is_repeated: suspect.is_repeated,
            cleared_age_ms: suspect.cleared_at_ms.map(age_ms),
            asked_age_ms: age_ms(suspect.requested_at_ms),
        }
    }
}

impl Suspect {
    /// Merges an update from another instance. Returns whether anything changed.
    fn merge(&mut self, now_ms: i64, update: &SuspectUpdate) -> bool {
        let is_part = update.key().is_part();
        let at_ms = |age_ms: u32| now_ms - i64::from(age_ms);
        let mut has_changed = update
            .cleared_age_ms
            .is_some_and(|age_ms| self.merge_clear(at_ms(age_ms)));
        for end in update.ends.iter().take(KEPT_END_COUNT) {
            let end = WorkerEnd {
                worker: end.worker,
                at_ms: at_ms(end.age_ms),
            };
            has_changed |= self.add(end, is_part);
        }
        let is_known =
            |reported: &GossipedEnd| self.ends.iter().any(|end| end.worker == reported.worker);
        if update.is_repeated && !self.is_repeated && update.ends.iter().any(is_known) {
            self.is_repeated = true;
            has_changed = true;
        }
        self.requested_at_ms = self.requested_at_ms.max(at_ms(update.asked_age_ms));
        has_changed
    }

    /// Merges the time of a complete response that another instance knows of. Returns whether that
    /// is news for others. Each gossip hop makes the time a little later, so it is news only if it
    /// clears something, and moves what is known only if it is clearly later.
    fn merge_clear(&mut self, at_ms: i64) -> bool {
        let clears_something =
            self.cleared_at_ms.is_none() || self.ends.iter().any(|end| end.at_ms <= at_ms);
        if clears_something {
            return self.clear(at_ms);
        }
        let is_later = self
            .cleared_at_ms
            .is_some_and(|known_ms| at_ms >= known_ms + CLEARED_LATER_BY_MS);
        if is_later {
            self.cleared_at_ms = Some(at_ms);
        }
        false
    }
}

impl Quarantine {
    /// Applies an update from another instance.
    pub fn apply_update(&mut self, now_ms: i64, update: &SuspectUpdate) -> Change {
        let key = update.key();
        let before = self.suspicion(key);
        let is_known = self.suspects.contains_key(&key);
        if !is_known && update.ends.is_empty() && update.cleared_age_ms.is_none() {
            return Change::None;
        }
        let has_changed = self.change(now_ms, key, |suspect| {
            let has_changed = suspect.merge(now_ms, update) || !is_known;
            if has_changed {
                suspect.changed_at_ms = now_ms;
            }
            has_changed
        });
        self.verdicts.settle(&self.suspects);
        if !has_changed {
            return Change::None;
        }
        let after = self.suspicion(key);
        let max_end_count = before.end_count.max(after.end_count);
        if before != after && max_end_count >= PERSISTENT_END_COUNT {
            Change::Suspicion
        } else {
            Change::Minor
        }
    }

    /// Returns what is known about a suspect, if anything.
    pub fn update_for(&self, now_ms: i64, key: SuspectKey) -> Option<SuspectUpdate> {
        let suspect = self.suspects.get(&key)?;
        Some(SuspectUpdate::from_suspect(now_ms, key, suspect))
    }

    /// Returns the quarantined suspects to store, given those already stored: first the ones known
    /// here, most recently requested first, then stored ones that have not been cleared.
    pub fn select_for_storage(
        &self,
        now_ms: i64,
        kept: &[SuspectUpdate],
        max_count: usize,
    ) -> Vec<SuspectUpdate> {
        let suspects = self.suspects.iter();
        let quarantined = suspects.filter(|(key, _)| self.suspicion(**key).is_quarantined);
        let mut quarantined: Vec<_> = quarantined.collect();
        quarantined.sort_unstable_by_key(|(_, suspect)| -suspect.requested_at_ms);
        let own = quarantined.into_iter();
        let own = own.map(|(key, suspect)| SuspectUpdate::from_suspect(now_ms, *key, suspect));
        let others = kept.iter().filter(|entry| {
            let key = entry.key();
            !self.is_cleared(key) && !self.suspicion(key).is_quarantined
        });
        own.chain(others.cloned()).take(max_count).collect()
    }

    /// Chooses the content of the next digest: recent changes first, then persistent entries
    /// and surplus recent ones in random order, then single ends, newest first. Among the first two,
    /// suspects that are or were accused precede the others.
    pub fn select_for_digest<R: Rng>(&self, now_ms: i64, rng: &mut R) -> Vec<SuspectUpdate> {
        let mut recent = Vec::new();
        let mut persistent = Vec::new();
        let mut single = Vec::new();
        for (key, suspect) in &self.suspects {
            let is_recent = now_ms < suspect.changed_at_ms + RECENT_FOR_MS;
            let entry = (key, suspect);
            if is_recent && suspect.max_end_count >= PERSISTENT_END_COUNT {
                recent.push(entry);
            } else if suspect.ends.len() >= PERSISTENT_END_COUNT {
                persistent.push(entry);
            } else if is_recent {
                single.push(entry);
            }
        }
        recent.sort_unstable_by_key(|(_, suspect)| {
            (
                suspect.max_end_count < END_MAX_COUNT,
                -suspect.changed_at_ms,
            )
        });
        single.sort_unstable_by_key(|(_, suspect)| -suspect.changed_at_ms);
        persistent.extend(recent.drain(recent.len().min(RECENT_MAX_COUNT)..));
        persistent.shuffle(rng);
        persistent.sort_by_key(|(_, suspect)| !suspect.is_accused());
        let selected = recent.into_iter().chain(persistent).chain(single);
        let selected = selected.take(GOSSIPED_MAX_COUNT);
        selected
            .map(|(key, suspect)| SuspectUpdate::from_suspect(now_ms, *key, suspect))
            .collect()
    }
}
