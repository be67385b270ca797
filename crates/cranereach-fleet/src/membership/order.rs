//! Rendezvous hashing (highest random weight): an order of the members for each purpose or
//! key on which all instances that know the same members agree without communication.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Membership;
use crate::topology::DomainTag;
use crate::topology::Proximity;

/// Returns the weight by which members are ordered for a purpose, the same on all
/// instances.
pub(super) fn weight(purpose: u64, address: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&address.octets(), purpose)
}

impl Membership {
    /// Counts the seeds in the settings whose address is lower than this instance's; none
    /// if there are seeds and this instance isn't one of them.
    pub fn seed_rank(&self) -> Option<u64> {
        let before = self.seeds.iter().filter(|seed| **seed < self.own);
        let is_seed = self.is_seed || self.seeds.is_empty();
        is_seed.then(|| before.count() as u64)
    }

    /// Counts the live members that come before this instance in the order for a purpose.
    pub fn rank(&self, now_ms: u64, purpose: u64) -> u64 {
        let own = weight(purpose, self.own);
        let before = self
            .alive(now_ms)
            .filter(|address| weight(purpose, *address) > own);
        before.count() as u64
    }

    /// Counts the live members of a failure domain that come before this instance in the
    /// order for a purpose.
    pub fn rank_in(&self, now_ms: u64, purpose: u64, domain: DomainTag) -> u64 {
        let own = weight(purpose, self.own);
        let before = self
            .alive_members(now_ms)
            .filter(|(address, member)| member.domain == domain && weight(purpose, *address) > own);
        before.count() as u64
    }

    /// Returns since when this instance may have been the first in the order for a purpose,
    /// in milliseconds: the last time at which a member that precedes it may have been
    /// alive, or this instance heard only a minority or had stalled. Meaningful only while
    /// it is the first.
    pub fn first_since_ms(&self, now_ms: u64, purpose: u64) -> u64 {
        if self.has_stalled(now_ms) {
            return now_ms;
        }
        let own = weight(purpose, self.own);
        let within_ms = self.liveness_timeout_ms();
        let gone_at_ms = self.known.iter().filter_map(|(address, member)| {
            let last_seen_ms = member.last_seen_ms?;
            let at_ms = if member.is_leaving {
                last_seen_ms
            } else {
                last_seen_ms + within_ms
            };
            (weight(purpose, *address) > own).then_some(at_ms.min(now_ms))
        });
        gone_at_ms.max().unwrap_or(0).max(self.last_isolated_ms)
    }

    /// Returns the instance that is first in the order for a purpose; none if it is this
    /// one.
    pub fn first_other(&self, now_ms: u64, purpose: u64) -> Option<Ipv4Addr> {
        let others = self.alive(now_ms);
        let others = others.map(|address| (weight(purpose, address), address));
        let (first, address) = others.max()?;
        ((first, address) > (weight(purpose, self.own), self.own)).then_some(address)
    }

    /// Lists up to `count` other live members, in the order for a purpose.
    pub fn first(&self, now_ms: u64, purpose: u64, count: usize) -> Vec<Ipv4Addr> {
        let mut weighted: Vec<(u64, Ipv4Addr)> = self
            .alive(now_ms)
            .map(|address| (weight(purpose, address), address))
            .collect();
        weighted.sort_unstable_by(|left, right| right.cmp(left));
        weighted.truncate(count);
        weighted.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the owner of a key: the first instance in the key's order, without those
    /// that recently failed to answer.
    pub fn owner(&self, now_ms: u64, key: u64) -> Ipv4Addr {
        self.first_by(now_ms, |_domain, address| weight(key, address))
    }

    /// Returns the owner of a key that belongs to a failure domain: the first in the key's
    /// order among the instances of that domain, else of its region, else of the whole
    /// fleet.
    pub fn owner_near(&self, now_ms: u64, key: u64, proximity: &Proximity<'_>) -> Ipv4Addr {
        self.first_by(now_ms, |domain, address| {
            (Reverse(proximity.distance(domain)), weight(key, address))
        })
    }

    /// Returns the instance with the highest order value, without those that recently
    /// failed to answer.
    fn first_by<K: Ord>(&self, now_ms: u64, order: impl Fn(DomainTag, Ipv4Addr) -> K) -> Ipv4Addr {
        let others = self
            .alive_members(now_ms)
            .filter(|(_, member)| now_ms >= member.skipped_until_ms)
            .map(|(address, member)| (order(member.domain, address), address));
        let own = (order(self.own_domain, self.own), self.own);
        others.max().map_or(self.own, |first| first.max(own).1)
    }

    /// Whether this instance is the first in a key's order among all live members,
    /// including those that recently failed to answer it.
    pub fn is_own(&self, now_ms: u64, key: u64) -> bool {
        let own = (weight(key, self.own), self.own);
        self.alive(now_ms)
            .all(|address| (weight(key, address), address) < own)
    }

    /// Returns the seed that owns a key, for an instance that doesn't know the other
    /// members yet; none if there are no seeds or none of them answered recently.
    pub fn seed_owner(&self, now_ms: u64, key: u64) -> Option<Ipv4Addr> {
        let answers = |seed: &&Ipv4Addr| {
            let member = self.known.get(*seed);
            member.is_some_and(|member| now_ms >= member.skipped_until_ms)
        };
        let others = self.seeds.iter().filter(answers).copied();
        let own = self.is_seed.then_some(self.own);
        others
            .chain(own)
            .max_by_key(|address| weight(key, *address))
    }
}
