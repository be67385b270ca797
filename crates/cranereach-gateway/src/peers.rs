//! What is known of the other instances.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use crate::messages::Digest;
use crate::messages::HeldLease;
use cranereach_fleet::roster::worker_key;
use cranereach_fleet::tenure::EndedTerm;

/// Time after which a silent peer no longer counts as heard, in milliseconds.
pub const HEARD_WITHIN_MS: u64 = 1_500;

/// Time for which a silent peer is still sent digests, in milliseconds.
const SENT_WITHIN_MS: u64 = 15_000;

/// Peers of other failure domains that one round of digests goes to at most.
const FAN_OUT_COUNT: usize = 8;

/// Peers of the own failure domain that one round of digests goes to at most.
///
/// More than of the others: bytes within a domain are cheap, and loads that are
/// known in full spread requests better.
const OWN_DOMAIN_FAN_OUT_COUNT: usize = 40;

/// Known peers whose demand a holder hears within one round: with more of them,
/// each tells it in one round of several.
const DEMAND_A_ROUND_COUNT: usize = 32;

/// Peers that are remembered at most.
const PEER_MAX_COUNT: usize = 96;

/// Peers that changes of the list are passed on to.
const PASSED_ON_COUNT: usize = 2;

/// Known peers from which on whoever is told of changes passes them on.
const LARGE_FROM_COUNT: usize = PEER_MAX_COUNT / 2;

/// Addresses that one digest introduces at most.
const INTRODUCED_COUNT: usize = 8;

/// One peer.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When it was heard last, in milliseconds; none if never.
    pub heard_at_ms: Option<u64>,
    /// When it became known, in milliseconds.
    pub known_at_ms: u64,
    /// Its last digest.
    pub last: Digest,
}

/// All peers.
#[derive(Clone, Debug)]
pub struct Peers {
    own_ip: Ipv4Addr,
    own_domain: u64,
    seeds: Vec<Ipv4Addr>,
    known: HashMap<Ipv4Addr, Peer>,
    heard_count: usize,
    /// Who holds each lease, and when it was heard last, by anybody, in milliseconds.
    holders: HashMap<u64, (Ipv4Addr, u64)>,
    /// When a holder itself was heard to hold a lease no more, in milliseconds.
    released_at_ms: HashMap<u64, u64>,
}

impl Peers {
    /// Makes the list from the seeds.
    pub fn new(own_ip: Ipv4Addr, own_domain: &str, seeds: Vec<Ipv4Addr>) -> Self {
        let seeds: Vec<Ipv4Addr> = seeds.into_iter().filter(|seed| *seed != own_ip).collect();
        let known = seeds.iter().map(|seed| (*seed, Peer::default())).collect();
        Self {
            own_ip,
            own_domain: worker_key(own_domain),
            seeds,
            known,
            heard_count: 0,
            holders: HashMap::new(),
            released_at_ms: HashMap::new(),
        }
    }

    /// Returns the key of this instance's failure domain.
    pub fn own_domain(&self) -> u64 {
        self.own_domain
    }

    /// Returns this instance's address.
    pub fn own_ip(&self) -> Ipv4Addr {
        self.own_ip
    }

    /// Counts the instances heard lately, this one included.
    pub fn instance_count(&self) -> usize {
        self.heard_count + 1
    }

    /// Counts the instances known of, this one included and those that fell
    /// silent lately: in a large fleet not all are heard within a short time.
    pub fn known_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Takes a digest; false if it is an old one.
    pub fn heard(&mut self, now_ms: u64, sender: Ipv4Addr, digest: &Digest) -> bool {
        if sender == self.own_ip {
            return false;
        }
        self.introduce(now_ms, sender);
        for address in &digest.introduced {
            self.introduce(now_ms, *address);
        }
        let Some(peer) = self.known.get_mut(&sender) else {
            return false;
        };
        let is_old = peer.last.boot == digest.boot && peer.last.count >= digest.count;
        if peer.heard_at_ms.is_some() && is_old {
            return false;
        }
        let released = peer.last.holds.iter();
        let released: Vec<u64> = released
            .filter(|service| digest.is_leaving || !digest.holds.contains(service))
            .copied()
            .collect();
        peer.heard_at_ms = Some(now_ms);
        peer.last = digest.clone();
        for service in released {
            self.released_at_ms.insert(service, now_ms);
        }
        self.note_held(now_ms, sender, digest);
        self.heard_count = self.heard_peers(now_ms).count();
        true
    }

    /// Lists the peers heard lately that aren't stopping.
    pub fn heard_peers(&self, now_ms: u64) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        self.known.iter().filter(move |(_, peer)| {
            let is_heard = peer
                .heard_at_ms
                .is_some_and(|at_ms| now_ms < at_ms + HEARD_WITHIN_MS);
            is_heard && !peer.last.is_leaving
        })
    }

    /// Notes which leases are held.
    fn note_held(&mut self, now_ms: u64, sender: Ipv4Addr, digest: &Digest) {
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

    /// Lists the leases that are heard to be held.
    pub fn held(&self, now_ms: u64) -> Vec<HeldLease> {
        let known = self.holders.iter();
        let recent = known.filter(|(service, (_, at_ms))| {
            let released_ms = self.released_at_ms.get(service).copied();
            // What others told was heard before the holder said otherwise.
            let is_held = released_ms.is_none_or(|released_ms| *at_ms > released_ms);
            is_held && now_ms < at_ms + HEARD_WITHIN_MS
        });
        recent
            .map(|(service, (holder, at_ms))| HeldLease {
                service: *service,
                holder: *holder,
                age_ms: now_ms.saturating_sub(*at_ms),
            })
            .collect()
    }

    /// Whether some peer is heard to hold a lease, directly or through others.
    pub fn hears_holder(&self, now_ms: u64, service: u64) -> bool {
        let held = self.held(now_ms);
        held.iter().any(|held| held.service == service)
    }

    /// Lists the terms of a service's lease that peers say are over.
    pub fn ended_terms(&self, now_ms: u64, service: u64) -> Vec<EndedTerm> {
        let heard = self.heard_peers(now_ms).filter_map(|(_, peer)| {
            let heard_at_ms = peer.heard_at_ms?;
            Some((heard_at_ms, &peer.last.ended))
        });
        let ended = heard.flat_map(|(heard_at_ms, ended)| {
            let of_service = ended.iter().filter(|ended| ended.service == service);
            of_service.map(move |ended| EndedTerm {
                version: ended.version,
                at_ms: heard_at_ms.saturating_sub(ended.age_ms),
            })
        });
        ended.collect()
    }

    /// Counts the instances heard lately that come before this one in an order
    /// of their own for each purpose.
    pub fn rank(&self, now_ms: u64, purpose: &str) -> u64 {
        let weight = |ip: Ipv4Addr| worker_key(&format!("{purpose}/{ip}"));
        let own = weight(self.own_ip);
        let before = self
            .heard_peers(now_ms)
            .filter(|(ip, _)| weight(**ip) > own);
        before.count() as u64
    }

    /// Whether there may be more instances than one of them knows.
    pub fn is_large(&self) -> bool {
        self.known.len() >= LARGE_FROM_COUNT
    }

    /// Chooses whom changes of the list of workers go to.
    ///
    /// Whoever has read them tells all known peers; whoever passes them on tells
    /// a few, for those whom the reader doesn't know.
    pub fn list_recipients(&self, has_read: bool) -> Vec<Ipv4Addr> {
        let known = self.known.keys().copied();
        if has_read {
            known.collect()
        } else {
            known.sample(&mut rand::rng(), PASSED_ON_COUNT)
        }
    }

    /// Returns in which rounds demand is told, one in so many: a holder hears it
    /// from every instance.
    pub fn demand_every(&self) -> u64 {
        (self.known.len() / DEMAND_A_ROUND_COUNT).max(1) as u64
    }

    /// Chooses whom the next digest goes to: holders of leases, and some others.
    pub fn recipients(
        &mut self,
        now_ms: u64,
        is_slow_round: bool,
    ) -> (Vec<Ipv4Addr>, Vec<Ipv4Addr>) {
        let seeds = self.seeds.clone();
        self.known.retain(|address, peer| {
            let at_ms = peer.heard_at_ms.unwrap_or(peer.known_at_ms);
            now_ms < at_ms + SENT_WITHIN_MS || seeds.contains(address)
        });
        self.heard_count = self.heard_peers(now_ms).count();
        // Silent ones are tried less often.
        let is_due = |peer: &Peer| {
            let is_heard = peer
                .heard_at_ms
                .is_some_and(|at_ms| now_ms < at_ms + HEARD_WITHIN_MS);
            is_heard || is_slow_round
        };
        let mut holders: Vec<Ipv4Addr> = self.held(now_ms).iter().map(|held| held.holder).collect();
        holders.retain(|holder| *holder != self.own_ip);
        holders.sort_unstable();
        holders.dedup();
        let (near, far): (Vec<_>, Vec<_>) = self
            .known
            .iter()
            .filter(|(address, peer)| is_due(peer) && !holders.contains(address))
            .partition(|(_, peer)| peer.last.domain == self.own_domain);
        let mut rng = rand::rng();
        let address_of = |(address, _): (&Ipv4Addr, &Peer)| *address;
        let near = near.into_iter().map(address_of);
        let mut others = near.sample(&mut rng, OWN_DOMAIN_FAN_OUT_COUNT);
        let far = far.into_iter().map(address_of);
        others.extend(far.sample(&mut rng, FAN_OUT_COUNT));
        (holders, others)
    }

    /// Chooses addresses to introduce.
    pub fn introduced(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let heard = self.heard_peers(now_ms).map(|(address, _)| *address);
        heard.sample(&mut rand::rng(), INTRODUCED_COUNT)
    }

    /// Remembers an address.
    fn introduce(&mut self, now_ms: u64, address: Ipv4Addr) {
        if address == self.own_ip || self.known.len() >= PEER_MAX_COUNT {
            return;
        }
        self.known.entry(address).or_insert_with(|| Peer {
            known_at_ms: now_ms,
            ..Peer::default()
        });
    }
}
