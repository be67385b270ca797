//! Holders of leases as learned by gossip, from the holders themselves or through other
//! instances.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::messages::Digest;
use crate::messages::HeldLease;

/// Age up to which news of a held lease counts, in milliseconds.
pub const LEASE_NEWS_MAX_AGE_MS: u64 = 1_500;

/// The leases that are known from gossip.
#[derive(Clone, Debug, Default)]
pub struct HeardLeases {
    /// Holder of each lease by service key, and the time at which any instance last heard from
    /// that holder, in milliseconds.
    holders: HashMap<u64, (Ipv4Addr, u64)>,
    /// Time at which the holder itself announced that it no longer holds a lease, in
    /// milliseconds.
    released_at_ms: HashMap<u64, u64>,
}

impl HeardLeases {
    /// Records that the holder of a lease announced that it no longer holds it.
    pub fn note_released(&mut self, now_ms: u64, service: u64) {
        self.released_at_ms.insert(service, now_ms);
    }

    /// Merges the held leases that a digest reports: those of its sender and those that the
    /// sender has heard of.
    pub fn merge_digest(&mut self, now_ms: u64, sender: Ipv4Addr, digest: &Digest) {
        let own = digest.holds.iter().filter(|_| !digest.is_leaving);
        let own = own.map(|service| HeldLease {
            service: *service,
            holder: sender,
            age_ms: 0,
        });
        for held in own.chain(digest.held.iter().copied()) {
            let at_ms = now_ms.saturating_sub(held.age_ms);
            let known = self.holders.entry(held.service);
            let known = known.or_insert((held.holder, at_ms));
            if at_ms > known.1 {
                *known = (held.holder, at_ms);
            }
        }
    }

    /// Returns the leases that are currently known to be held.
    pub fn held(&self, now_ms: u64) -> Vec<HeldLease> {
        let known = self.holders.iter();
        let recent = known.filter(|(service, (_, at_ms))| {
            let released_ms = self.released_at_ms.get(service).copied();
            // Relayed news that is older than the holder's own release does not count.
            let is_held = released_ms.is_none_or(|released_ms| *at_ms > released_ms);
            is_held && now_ms < at_ms + LEASE_NEWS_MAX_AGE_MS
        });
        recent
            .map(|(service, (holder, at_ms))| HeldLease {
                service: *service,
                holder: *holder,
                age_ms: now_ms.saturating_sub(*at_ms),
            })
            .collect()
    }
}
