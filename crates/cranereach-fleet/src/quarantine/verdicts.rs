//! Which parts of prompts are blamed for the ends of workers.
//!
//! All parts of a request are there when its worker ends, and so are those of the requests that
//! the same worker ran. One of them is the cause, and the others often end up with as many ends:
//! a part that callers use rarely, or the first part of a route while no request is answered. So a
//! part is blamed only for ends that no stronger suspect explains. Suspects are weighed one by
//! one, in this order:
//!
//! - those with the most ends since their last complete response, where ends under requests that
//!   had written for some time count for one less: the sooner a worker ends, the likelier is the
//!   cause,
//! - parts are first blamed for ends under requests that had just begun,
//! - those without a complete response since they were first suspected,
//! - whole requests before parts: they are the narrower explanation.
//!
//! A part is blamed if [`END_MAX_COUNT`] of its ends are left when its turn comes, and its ends
//! then count for nothing against those that follow; [`WEAK_END_MAX_COUNT`] if the requests had
//! written for some time. Parts that are tied share the blame: requests are refused that have all
//! of them, and the next request that has only some tells them apart. If no request has all of
//! them, workers go on ending. From [`WEAK_END_MAX_COUNT`] ends on, requests are refused that have
//! any of them, until a probe tells them apart ([`super::probes`]).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::key::SuspectKey;
use super::suspect::END_MAX_COUNT;
use super::suspect::Suspect;
use super::suspect::WEAK_END_MAX_COUNT;
use super::suspect::WorkerEnd;
use crate::fingerprint::Fingerprint;

/// Maximum number of suspects that are weighed, the strongest ones; bounds the time that this takes
/// while thousands are accused.
const WEIGHED_MAX_COUNT: usize = 64;

/// Position of an accused suspect in the order in which they are weighed; the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    strength: Reverse<usize>,
    is_late_part: bool,
    was_cleared: bool,
    is_part: bool,
    key: SuspectKey,
}

impl Rank {
    /// Returns the rank of a suspect; `None` if its ends are not enough to blame it.
    pub(super) fn of(key: SuspectKey, suspect: &Suspect) -> Option<Self> {
        suspect.is_accused().then(|| Self {
            strength: Reverse(suspect.ends.len() - usize::from(key.is_late_part())),
            is_late_part: key.is_late_part(),
            was_cleared: suspect.cleared_at_ms.is_some(),
            is_part: key.is_part(),
            key,
        })
    }

    /// Returns how many ends no other suspect may explain for this one to be blamed.
    const fn needed_end_count(&self) -> usize {
        if self.is_late_part {
            WEAK_END_MAX_COUNT
        } else {
            END_MAX_COUNT
        }
    }

    /// Whether two parts have the same strength.
    fn is_equal_part(&self, other: &Self) -> bool {
        let strength = |rank: &Self| {
            (
                rank.strength,
                rank.is_late_part,
                rank.was_cleared,
                rank.is_part,
            )
        };
        self.is_part && strength(self) == strength(other)
    }
}

/// Parts that are blamed together; most often a single one.
#[derive(Clone, Debug)]
struct BlamedParts {
    keys: Vec<SuspectKey>,
    /// Whether requests are refused that have any of them, rather than all.
    is_any_refused: bool,
}

impl BlamedParts {
    /// Creates the entry of parts that are tied.
    fn new(tied: &[Rank]) -> Self {
        let is_any_refused = tied.iter().all(|rank| {
            let Reverse(end_count) = rank.strength;
            !rank.is_late_part && end_count >= WEAK_END_MAX_COUNT
        });
        Self {
            keys: tied.iter().map(|rank| rank.key).collect(),
            is_any_refused,
        }
    }

    /// Returns the part for which a request with the given parts is refused.
    fn refused_for(&self, parts: &[Fingerprint]) -> Option<SuspectKey> {
        let mut had = self
            .keys
            .iter()
            .filter(|key| parts.contains(&key.fingerprint));
        let first = had.next()?;
        let has_all = had.count() + 1 == self.keys.len();
        (has_all || self.is_any_refused).then_some(*first)
    }
}

/// The suspects with enough ends to be blamed, and the parts that are.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdicts {
    accused: BTreeSet<Rank>,
    /// Suspects whose ends count for nothing against the others, in order.
    explaining: Vec<Rank>,
    /// These ends.
    explained: Vec<WorkerEnd>,
    blamed: Vec<BlamedParts>,
    quarantined_parts: BTreeSet<SuspectKey>,
    /// Whether suspects changed so that they have to be weighed again.
    is_outdated: bool,
}

impl Verdicts {
    /// Whether a part is quarantined.
    pub(super) fn is_quarantined(&self, part: &SuspectKey) -> bool {
        self.quarantined_parts.contains(part)
    }

    /// Returns the first part for which a request is quarantined, given the fingerprints of its
    /// parts.
    pub(super) fn quarantined_of(&self, parts: &[Fingerprint]) -> Option<SuspectKey> {
        self.blamed
            .iter()
            .find_map(|blamed| blamed.refused_for(parts))
    }

    /// Whether requests are refused for a part although another one may be to blame, which they
    /// need not have.
    pub(super) fn is_refused_by_tie(&self, part: &SuspectKey) -> bool {
        let mut blamed = self.blamed.iter();
        blamed.any(|blamed| {
            blamed.is_any_refused && blamed.keys.len() > 1 && blamed.keys.contains(part)
        })
    }

    /// Returns the quarantined parts.
    pub(super) const fn quarantined_parts(&self) -> &BTreeSet<SuspectKey> {
        &self.quarantined_parts
    }

    /// Notes that a suspect changed, given its rank before; [`Verdicts::settle`] must follow.
    pub(super) fn note_change(
        &mut self,
        before: Option<Rank>,
        (key, suspect): (SuspectKey, &Suspect),
    ) {
        let after = Rank::of(key, suspect);
        if let Some(rank) = before {
            self.accused.remove(&rank);
        }
        self.accused.extend(after);
        self.is_outdated |= before.is_some_and(|rank| self.explaining.contains(&rank))
            || after.is_some_and(|rank| self.may_be_blamed(&rank, suspect));
    }

    /// Notes that a suspect is no longer known; [`Verdicts::settle`] must follow.
    pub(super) fn note_removal(&mut self, rank: Rank) {
        self.accused.remove(&rank);
        self.is_outdated |= self.explaining.contains(&rank);
    }

    /// Whether weighing the suspects again may blame this one, or change what it explains.
    fn may_be_blamed(&self, rank: &Rank, suspect: &Suspect) -> bool {
        let is_weaker = |last: &Rank| last.strength < rank.strength;
        !self.explaining.last().is_some_and(is_weaker)
            || self.unexplained_ends(suspect).count() >= rank.needed_end_count()
    }

    /// Returns the ends of a suspect that no stronger one explains.
    fn unexplained_ends<'a>(&'a self, suspect: &'a Suspect) -> impl Iterator<Item = &'a WorkerEnd> {
        let is_explained = |end: &&WorkerEnd| self.explained.iter().any(|known| known.is_same(end));
        suspect.ends.iter().filter(move |end| !is_explained(end))
    }

    /// Decides which parts are blamed, unless nothing changed that matters for it.
    pub(super) fn settle(&mut self, suspects: &BTreeMap<SuspectKey, Suspect>) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        self.explaining.clear();
        self.explained.clear();
        self.blamed.clear();
        let accused: Vec<Rank> = self
            .accused
            .iter()
            .take(WEIGHED_MAX_COUNT)
            .copied()
            .collect();
        for (index, rank) in accused.iter().enumerate() {
            let Some(suspect) = suspects.get(&rank.key) else {
                continue;
            };
            let unexplained: Vec<WorkerEnd> = self.unexplained_ends(suspect).copied().collect();
            if unexplained.len() < rank.needed_end_count() {
                continue;
            }
            self.explained.extend(unexplained);
            let following = accused[index..].iter();
            let tied = following.filter(|other| {
                let is_same = rank.key == other.key;
                let other_suspect = suspects.get(&other.key);
                is_same
                    || rank.is_equal_part(other)
                        && other_suspect.is_some_and(|other| share_cause(suspect, other))
            });
            let tied: Vec<Rank> = tied.copied().collect();
            if rank.is_part {
                self.blamed.push(BlamedParts::new(&tied));
            }
            self.explaining.extend(tied);
        }
        let keys = self.blamed.iter().flat_map(|blamed| &blamed.keys);
        self.quarantined_parts = keys.copied().collect();
    }
}

/// Whether two suspects have so many ends in common that either may be the cause of them.
fn share_cause(left: &Suspect, right: &Suspect) -> bool {
    let is_shared = |end: &&WorkerEnd| right.ends.iter().any(|known| known.is_same(end));
    left.ends.iter().filter(is_shared).count() >= END_MAX_COUNT
}
