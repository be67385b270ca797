//! Failure domains that operators want evacuated, as known to one instance.
//!
//! The requests form one small list that is valid as of one position of the store.
//! Instances that read the store build it, peers pass it on as a whole, and the newer list
//! replaces the older one, so lost, duplicated and reordered messages do no harm.
//! [`crate::proof`] tells up to when a list is known to have been the newest.
//!
//! After a domain appears on the list, an instance may keep sending to it for part of the
//! time bound, counted from the last moment at which the domain is proven not to have been
//! on the list. During that time the placement plan loads elsewhere the models that only
//! that domain holds. An instance that can prove nothing stops at once.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::store_position::StorePosition;

/// Share of the time bound during which requests are still sent to a domain. The rest
/// covers the transit to the worker, and a process that stalls between the check and the
/// send.
const SEND_SHARE: f64 = 0.7;

/// Maximum number of domains in a peer's list.
pub const DOMAIN_MAX_COUNT: usize = 256;

/// The failure domains to be evacuated, as of a position of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Store position as of which the list is valid; the default before the first read.
    pub position: StorePosition,
    /// Keys of the domains in ascending order, each with the position of its row.
    pub domains: Vec<(u64, StorePosition)>,
}

impl EvacuationList {
    /// Builds the list from a complete read of the table at a position.
    pub fn whole(
        position: StorePosition,
        rows: impl Iterator<Item = (u64, StorePosition)>,
    ) -> Self {
        let mut domains: Vec<(u64, StorePosition)> = rows.collect();
        domains.sort_unstable();
        domains.dedup_by_key(|(domain, _)| *domain);
        Self { position, domains }
    }

    /// Returns the list after the row of a domain was written or deleted at a position; a
    /// change that isn't newer than the list is ignored.
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

/// Differences between a newer list and the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Domains whose evacuation was requested.
    pub requested: Vec<u64>,
    /// Domains whose evacuation was withdrawn.
    pub ended: Vec<u64>,
}

/// The evacuations known to one instance.
///
/// ```
/// use cranereach_fleet::evacuation::Evacuations;
/// use cranereach_fleet::store_position::StorePosition;
///
/// let mut known = Evacuations::default();
/// let list = known.list().clone().changed(7, StorePosition::new(1, 40), false);
/// // At 9,800 the domain was proven not to be on the list; the bound is 5,000.
/// known.take(10_000, list, Some(9_800), 5_000);
/// assert!(known.is_listed(7) && known.may_send(13_000, 7));
/// assert!(!known.may_send(13_300, 7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    list: EvacuationList,
    /// Time from which nothing is sent to each domain on the list, in milliseconds.
    stop_at_ms: HashMap<u64, u64>,
}

impl Evacuations {
    /// Adopts a list and returns the changes; none if it isn't newer than the current one
    /// or names too many domains.
    ///
    /// `known_at_ms` is the last moment at which the current list is proven to have been
    /// the newest; `bound_ms` is the maximum time from an operator's request to the last
    /// request sent to the domain.
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
            // A domain that was withdrawn and requested again in between keeps its stop
            // time.
            if !self.list.contains(*domain) {
                self.stop_at_ms.insert(*domain, stop_at_ms);
                change.requested.push(*domain);
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

    /// Returns the current list, for sending to peers.
    pub fn list(&self) -> &EvacuationList {
        &self.list
    }

    /// Whether a domain is on the current list.
    pub fn is_listed(&self, domain: u64) -> bool {
        self.list.contains(domain)
    }

    /// Whether a request may still be sent to a worker of a domain.
    pub fn may_send(&self, now_ms: u64, domain: u64) -> bool {
        let stop_at_ms = self.stop_at_ms.get(&domain);
        stop_at_ms.is_none_or(|at_ms| now_ms < *at_ms)
    }
}
