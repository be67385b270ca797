//! Recipients of messages to peers by distance: near ones often, far ones rarely.
//!
//! Traffic within a failure domain is free; between domains, and even more between regions, it
//! costs, and the link between regions is shared with requests. So news enters another domain
//! through a few of its instances, the relays, and spreads inside the domain from there.
//! Traffic across domains thus grows with the number of domains, not of instances.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use cranereach_fleet::membership::Membership;
use cranereach_fleet::topology::Distance;
use cranereach_fleet::topology::DomainTag;
use cranereach_fleet::topology::Topology;

/// Maximum number of relays that one message goes to, whatever failure domains peers claim:
/// two in each of 32.
const RELAYS_MAX_COUNT: usize = 64;

/// Relays per failure domain or region. With one, a single lost datagram would leave the
/// domain or region without the news until a digest shows that it is behind.
const RELAYS_PER_TARGET_COUNT: usize = 2;

/// Where news came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// An instance of this failure domain: others pass the news on to other domains.
    OwnDomain,
    /// Another failure domain of this region, which sent it to the region's other domains, too.
    OwnRegion,
    /// Another region: this instance passes the news on to the domains of its own region.
    OtherRegion,
    /// The store or this instance itself, which passes the news on everywhere.
    Own,
}

impl Origin {
    /// Returns the origin of news from a peer at a distance.
    pub fn at(distance: Option<Distance>) -> Self {
        match distance {
            Some(Distance::OwnDomain) => Self::OwnDomain,
            Some(Distance::OwnRegion) => Self::OwnRegion,
            Some(Distance::OtherRegion) | None => Self::OtherRegion,
        }
    }
}

/// Living peers by distance.
#[derive(Clone, Debug, Default)]
pub struct PeersByDistance {
    /// Peers of this failure domain.
    pub near: Vec<Ipv4Addr>,
    /// Peers of other failure domains of this region.
    own_region: BTreeMap<DomainTag, Vec<Ipv4Addr>>,
    /// Peers of other regions, or of failure domains missing from the topology.
    other_regions: BTreeMap<DomainTag, Vec<Ipv4Addr>>,
}

impl PeersByDistance {
    /// Groups the living peers by distance.
    pub fn of(members: &Membership, topology: &Topology, now_ms: u64) -> Self {
        let mut by_distance = Self::default();
        let proximity = topology.proximity_of(topology.own_domain());
        for (address, domain) in members.alive_with_domains(now_ms) {
            match proximity.distance(domain) {
                Distance::OwnDomain => by_distance.near.push(address),
                Distance::OwnRegion => by_distance
                    .own_region
                    .entry(domain)
                    .or_default()
                    .push(address),
                Distance::OtherRegion => by_distance
                    .other_regions
                    .entry(domain)
                    .or_default()
                    .push(address),
            }
        }
        by_distance
    }

    /// Samples peers of this failure domain.
    pub fn sample_own_domain(&self, count: usize) -> Vec<Ipv4Addr> {
        self.near.iter().copied().sample(&mut rand::rng(), count)
    }

    /// Lists the peers of other failure domains of this region.
    pub fn all_in_own_region(&self) -> Vec<Ipv4Addr> {
        self.own_region.values().flatten().copied().collect()
    }

    /// Lists the peers of other regions.
    pub fn all_in_other_regions(&self) -> Vec<Ipv4Addr> {
        self.other_regions.values().flatten().copied().collect()
    }

    /// Samples peers of other failure domains of this region.
    pub fn sample_own_region(&self, count: usize) -> Vec<Ipv4Addr> {
        let all = self.own_region.values().flatten().copied();
        all.sample(&mut rand::rng(), count)
    }

    /// Samples peers of other regions.
    pub fn sample_other_regions(&self, count: usize) -> Vec<Ipv4Addr> {
        let all = self.other_regions.values().flatten().copied();
        all.sample(&mut rand::rng(), count)
    }

    /// Samples peers of other failure domains, preferring this region.
    pub fn sample_other_domains(&self, count: usize) -> Vec<Ipv4Addr> {
        let mut chosen = self.sample_own_region(count);
        chosen.extend(self.sample_other_regions(count - chosen.len()));
        chosen
    }

    /// Selects relays in the failure domains and regions that news from `origin` has to be
    /// passed on to.
    pub fn choose_relays(&self, topology: &Topology, origin: Origin) -> Vec<Ipv4Addr> {
        let mut relays = Vec::new();
        if origin >= Origin::OtherRegion {
            // News from another region reached several relays here, and each passes it on.
            let count = if origin == Origin::Own {
                RELAYS_PER_TARGET_COUNT
            } else {
                1
            };
            relays.extend(
                self.own_region
                    .values()
                    .flat_map(|peers| sample_peers(peers, count)),
            );
        }
        if origin == Origin::Own {
            relays.extend(self.sample_each_region(topology));
        }
        relays.truncate(RELAYS_MAX_COUNT);
        relays
    }

    /// Samples one peer of each other failure domain, in any region.
    pub fn sample_each_domain(&self) -> Vec<Ipv4Addr> {
        let all = self.own_region.values().chain(self.other_regions.values());
        all.flat_map(|peers| sample_peers(peers, 1))
            .take(RELAYS_MAX_COUNT)
            .collect()
    }

    /// Samples a few peers of each other region; a failure domain missing from the topology
    /// counts as its own region.
    fn sample_each_region(&self, topology: &Topology) -> Vec<Ipv4Addr> {
        let mut regions: BTreeMap<(Option<&str>, DomainTag), Vec<Ipv4Addr>> = BTreeMap::new();
        for (domain, peers) in &self.other_regions {
            let region = topology.region_of_tag(*domain);
            let key = region.map_or((None, *domain), |name| (Some(name), DomainTag::default()));
            regions.entry(key).or_default().extend(peers);
        }
        regions
            .values()
            .flat_map(|peers| sample_peers(peers, RELAYS_PER_TARGET_COUNT))
            .collect()
    }
}

/// Samples peers at random.
fn sample_peers(all: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    all.iter().copied().sample(&mut rand::rng(), count)
}
