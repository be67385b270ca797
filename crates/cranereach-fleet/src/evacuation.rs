//! Failure domains that operators ask to be evacuated, as one instance knows them.
//!
//! What is asked is one small list, true as of one position of the store. Whoever reads
//! the store makes it, peers hand it on whole, and the newer one wins, so that lost,
//! doubled and overtaken messages do no harm. [`crate::proof`] says up to when a list
//! is known to have been the newest.
//!
//! An instance goes on sending to a domain for a part of the bound, counted from the
//! last moment at which it is proven that nobody had asked yet: meanwhile the plan
//! loads elsewhere what only that domain holds. Who can prove nothing stops at once.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::store_position::StorePosition;

/// Share of the bound for which requests are still sent to a domain. The rest covers
/// their way to the worker, and a process that stands still between check and send.
const SEND_SHARE: f64 = 0.7;

/// Domains that a peer's list may name at most.
pub const DOMAIN_MAX_COUNT: usize = 256;

/// The failure domains that are to be evacuated, as of a position of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Position of the store at which the list was so; none before the first read.
    pub position: StorePosition,
    /// Keys of the domains, in rising order, with the position that each row has.
    pub domains: Vec<(u64, StorePosition)>,
}

impl EvacuationList {
    /// Makes the list of a table that was read whole as of a position.
    pub fn whole(
        position: StorePosition,
        rows: impl Iterator<Item = (u64, StorePosition)>,
    ) -> Self {
        let mut domains: Vec<(u64, StorePosition)> = rows.collect();
        domains.sort_unstable();
        domains.dedup_by_key(|(domain, _)| *domain);
        Self { position, domains }
    }

    /// Returns the list after a row of a domain was written, or dropped, at a position;
    /// what is older than the list changes nothing.
    ///
    /// ```
    /// use cranereach_fleet::evacuation::EvacuationList;
    /// use cranereach_fleet::store_position::StorePosition;
    ///
    /// let at = |version| StorePosition::new(1, version);
    /// let asked = EvacuationList::default().changed(7, at(40), false);
    /// assert_eq!(asked.domains, [(7, at(40))]);
    /// assert_eq!(asked.clone().changed(7, at(39), true), asked);
    /// assert!(asked.changed(7, at(41), true).domains.is_empty());
    /// ```
    #[must_use]
    pub fn changed(mut self, domain: u64, position: StorePosition, is_gone: bool) -> Self {
        if position <= self.position {
            return self;
        }
        self.position = position;
        let found = self.domains.binary_search_by_key(&domain, |(key, _)| *key);
        match (found, is_gone) {
            (Ok(index), true) => {
                self.domains.remove(index);
            }
            (Ok(index), false) => self.domains[index].1 = position,
            (Err(index), false) => self.domains.insert(index, (domain, position)),
            (Err(_), true) => {}
        }
        self
    }

    /// Whether a domain is on the list.
    fn contains(&self, domain: u64) -> bool {
        let found = self.domains.binary_search_by_key(&domain, |(key, _)| *key);
        found.is_ok()
    }
}

/// What a newer list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Domains that are to be evacuated now.
    pub begun: Vec<u64>,
    /// Domains whose evacuation was withdrawn.
    pub ended: Vec<u64>,
}

/// The evacuations that one instance knows.
///
/// ```
/// use cranereach_fleet::evacuation::Evacuations;
/// use cranereach_fleet::store_position::StorePosition;
///
/// let mut known = Evacuations::default();
/// let list = known.list().clone().changed(7, StorePosition::new(1, 40), false);
/// // At 9,800 nobody had asked yet; the bound is 5,000.
/// known.take(10_000, list, Some(9_800), 5_000);
/// assert!(known.is_asked(7) && known.may_send(13_000, 7));
/// assert!(!known.may_send(13_300, 7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    list: EvacuationList,
    /// From when nothing is sent to each domain on the list, in milliseconds.
    stop_at_ms: HashMap<u64, u64>,
}

impl Evacuations {
    /// Takes a list; none if it isn't newer than the known one, or names too many.
    ///
    /// `known_at_ms` is the last moment at which the list so far is proven to have been
    /// the newest, `bound_ms` the time from a demand to the last request.
    pub fn take(
        &mut self,
        now_ms: u64,
        list: EvacuationList,
        known_at_ms: Option<u64>,
        bound_ms: u64,
    ) -> Option<Change> {
        if list.position <= self.list.position || list.domains.len() > DOMAIN_MAX_COUNT {
            return None;
        }
        let mut change = Change::default();
        let send_for_ms = (bound_ms as f64 * SEND_SHARE) as u64;
        let stop_at_ms = known_at_ms.map_or(now_ms, |known_ms| known_ms + send_for_ms);
        for (domain, _) in &list.domains {
            // One that was withdrawn and asked for again in between keeps its time.
            if !self.list.contains(*domain) {
                self.stop_at_ms.insert(*domain, stop_at_ms);
                change.begun.push(*domain);
            }
        }
        for (domain, _) in &self.list.domains {
            if !list.contains(*domain) {
                self.stop_at_ms.remove(domain);
                change.ended.push(*domain);
            }
        }
        self.list = list;
        Some(change)
    }

    /// Returns the list, to be told to peers.
    pub fn list(&self) -> &EvacuationList {
        &self.list
    }

    /// Whether a domain is to be evacuated.
    pub fn is_asked(&self, domain: u64) -> bool {
        self.list.contains(domain)
    }

    /// Whether a request may be sent to a worker of a domain now.
    pub fn may_send(&self, now_ms: u64, domain: u64) -> bool {
        let stop_at_ms = self.stop_at_ms.get(&domain);
        stop_at_ms.is_none_or(|at_ms| now_ms < *at_ms)
    }
}
