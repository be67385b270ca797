//! What instances tell each other of requests under which workers ended.

use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use super::KEPT_END_COUNT;
use super::Quarantine;
use super::RequestMark;
use super::Suspect;
use super::WorkerEnd;
use crate::fingerprint::Fingerprint;

/// Requests that one digest tells of at most: 1.5 KB, whatever is known.
pub const TOLD_MAX_COUNT: usize = 16;

/// Those of them at most that have changed lately, so that the others are heard by
/// whoever has just started.
const FRESH_MAX_COUNT: usize = 12;

/// Time for which a change is told first, in milliseconds: until it has reached all
/// instances, some ten rounds.
const FRESH_FOR_MS: i64 = 2_500;

/// Ends from which on a request is told of for as long as it is known: one alone is
/// mostly bad luck, and there are many of them when a worker ends.
const LASTING_END_COUNT: usize = 2;

/// End of a worker, as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEnd {
    /// Key of the worker.
    pub worker: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// What is told of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// What is asked for.
    pub fingerprint: Fingerprint,
    /// Size of the body, in bytes.
    pub body_bytes: u32,
    /// Ends of workers under it.
    pub ends: Vec<ToldEnd>,
    /// Whether one of them came under a try whose sender knew of an earlier one.
    pub is_repeated: bool,
    /// Time since the last whole answer, in milliseconds.
    pub cleared_age_ms: Option<u32>,
    /// Time since it was last asked for, in milliseconds.
    pub asked_age_ms: u32,
}

/// What news of a request have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing.
    None,
    /// Something that can wait for the next digest.
    Little,
    /// Whether or where it may be sent: others are to hear of it at once.
    Suspicion,
}

impl SuspectNews {
    /// Returns what the request is known by.
    pub fn mark(&self) -> RequestMark {
        RequestMark {
            body_bytes: self.body_bytes,
            fingerprint: self.fingerprint,
        }
    }

    /// Writes what is known.
    fn of(now_ms: i64, mark: RequestMark, suspect: &Suspect) -> Self {
        let age_ms =
            |at_ms: i64| u32::try_from(now_ms.saturating_sub(at_ms).max(0)).unwrap_or(u32::MAX);
        let ends = suspect.ends.iter().map(|end| ToldEnd {
            worker: end.worker,
            age_ms: age_ms(end.at_ms),
        });
        Self {
            fingerprint: mark.fingerprint,
            body_bytes: mark.body_bytes,
            ends: ends.collect(),
            is_repeated: suspect.is_repeated,
            cleared_age_ms: suspect.cleared_at_ms.map(age_ms),
            asked_age_ms: age_ms(suspect.asked_at_ms),
        }
    }
}

impl Suspect {
    /// Joins what another instance tells.
    fn join(&mut self, now_ms: i64, news: &SuspectNews) -> bool {
        let at_ms = |age_ms: u32| now_ms - i64::from(age_ms);
        let cleared_at_ms = news.cleared_age_ms.map(at_ms);
        // What is told on comes a little later each time: only if it clears something
        // is it news.
        let is_news = |at_ms: &i64| {
            self.cleared_at_ms.is_none() || self.ends.iter().any(|end| end.at_ms <= *at_ms)
        };
        let mut has_changed = cleared_at_ms
            .filter(is_news)
            .is_some_and(|at_ms| self.clear(at_ms));
        for end in news.ends.iter().take(KEPT_END_COUNT) {
            has_changed |= self.add(WorkerEnd {
                worker: end.worker,
                at_ms: at_ms(end.age_ms),
            });
        }
        let is_held = |told: &ToldEnd| self.ends.iter().any(|end| end.worker == told.worker);
        if news.is_repeated && !self.is_repeated && news.ends.iter().any(is_held) {
            self.is_repeated = true;
            has_changed = true;
        }
        self.asked_at_ms = self.asked_at_ms.max(at_ms(news.asked_age_ms));
        has_changed
    }
}

impl Quarantine {
    /// Takes what another instance tells of a request.
    pub fn take(&mut self, now_ms: i64, news: &SuspectNews) -> Change {
        let mark = news.mark();
        let before = self.suspicion(mark);
        let is_known = self.suspects.contains_key(&mark);
        if !is_known && news.ends.is_empty() && news.cleared_age_ms.is_none() {
            return Change::None;
        }
        let suspect = self.suspect(now_ms, mark);
        if !suspect.join(now_ms, news) && is_known {
            return Change::None;
        }
        suspect.changed_at_ms = now_ms;
        let after = suspect.suspicion();
        let most_count = before.end_count.max(after.end_count);
        if before != after && most_count >= LASTING_END_COUNT {
            Change::Suspicion
        } else {
            Change::Little
        }
    }

    /// Returns what is known of a request; none if nothing is.
    pub fn news_of(&self, now_ms: i64, mark: RequestMark) -> Option<SuspectNews> {
        let suspect = self.suspects.get(&mark)?;
        Some(SuspectNews::of(now_ms, mark, suspect))
    }

    /// Returns what is to be kept of quarantined requests where some are kept already: those
    /// asked for last first, then what is kept and was not cleared.
    pub fn lasting(&self, now_ms: i64, kept: &[SuspectNews], max_count: usize) -> Vec<SuspectNews> {
        let suspects = self.suspects.iter();
        let quarantined = suspects.filter(|(_, suspect)| suspect.suspicion().is_quarantined);
        let mut quarantined: Vec<_> = quarantined.collect();
        quarantined.sort_unstable_by_key(|(_, suspect)| -suspect.asked_at_ms);
        let own = quarantined.into_iter();
        let own = own.map(|(mark, suspect)| SuspectNews::of(now_ms, *mark, suspect));
        let others = kept.iter().filter(|of| {
            let mark = of.mark();
            !self.is_cleared(mark) && !self.suspicion(mark).is_quarantined
        });
        own.chain(others.cloned()).take(max_count).collect()
    }

    /// Chooses what the next digest tells: what has changed lately, then what lasts, by
    /// chance, then single ends, the newest first.
    pub fn news<R: Rng>(&self, now_ms: i64, rng: &mut R) -> Vec<SuspectNews> {
        let mut fresh = Vec::new();
        let mut lasting = Vec::new();
        let mut single = Vec::new();
        for (mark, suspect) in &self.suspects {
            let is_fresh = now_ms < suspect.changed_at_ms + FRESH_FOR_MS;
            let of = (suspect.changed_at_ms, mark, suspect);
            if is_fresh && suspect.most_end_count >= LASTING_END_COUNT {
                fresh.push(of);
            } else if suspect.ends.len() >= LASTING_END_COUNT {
                lasting.push(of);
            } else if is_fresh {
                single.push(of);
            }
        }
        fresh.sort_unstable_by_key(|(changed_at_ms, ..)| -changed_at_ms);
        single.sort_unstable_by_key(|(changed_at_ms, ..)| -changed_at_ms);
        lasting.extend(fresh.drain(fresh.len().min(FRESH_MAX_COUNT)..));
        lasting.shuffle(rng);
        let told = fresh.into_iter().chain(lasting).chain(single);
        let told = told.take(TOLD_MAX_COUNT);
        told.map(|(_, mark, suspect)| SuspectNews::of(now_ms, *mark, suspect))
            .collect()
    }
}
