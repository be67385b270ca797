//! Whom messages to peers go to: near ones often, others seldom.
//!
//! Bytes within a failure domain cost nothing; between domains, and still more between
//! regions, they do, and the link between regions is shared with requests. News enter
//! another domain through one of its instances, its gate, and spread inside it. So what
//! crosses grows with the number of domains, not of instances.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use cranereach_fleet::membership::Membership;
use cranereach_fleet::topology::Distance;
use cranereach_fleet::topology::DomainTag;
use cranereach_fleet::topology::Topology;

/// Gates that one message goes to at most, whatever domains peers name: two of each of
/// 32.
const RELAYS_MAX_COUNT: usize = 64;

/// Gates that news go to in each place: were one lost datagram to keep them from a whole
/// domain or region, only a digest that shows it to be behind would mend that.
const RELAYS_PER_TARGET_COUNT: usize = 2;

/// Where news came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// From an instance of the own failure domain: the others are told by others.
    OwnDomain,
    /// From another failure domain of the own region, whose gates were told with this
    /// one.
    OwnRegion,
    /// From another region: the own region's domains are told from here.
    OtherRegion,
    /// From the store, or made here: everybody is told from here.
    Own,
}

impl Origin {
    /// Returns the origin of what a peer at a distance told.
    pub fn at(distance: Option<Distance>) -> Self {
        match distance {
            Some(Distance::OwnDomain) => Self::OwnDomain,
            Some(Distance::OwnRegion) => Self::OwnRegion,
            Some(Distance::OtherRegion) | None => Self::OtherRegion,
        }
    }
}

/// The living peers, by distance.
#[derive(Clone, Debug, Default)]
pub struct PeersByDistance {
    /// Of the own failure domain.
    pub near: Vec<Ipv4Addr>,
    /// Of other failure domains of the own region.
    own_region: BTreeMap<DomainTag, Vec<Ipv4Addr>>,
    /// Of other regions, or of domains that the table doesn't name.
    other_regions: BTreeMap<DomainTag, Vec<Ipv4Addr>>,
}

impl PeersByDistance {
    /// Sorts the living peers by distance.
    pub fn of(members: &Membership, topology: &Topology, now_ms: u64) -> Self {
        let mut by_distance = Self::default();
        let around = topology.around(topology.own_domain());
        for (address, domain) in members.alive_with_domains(now_ms) {
            match around.distance(domain) {
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

    /// Chooses some of the own domain.
    pub fn sample_own_domain(&self, count: usize) -> Vec<Ipv4Addr> {
        self.near.iter().copied().sample(&mut rand::rng(), count)
    }

    /// Lists those of other failure domains of the own region.
    pub fn all_in_own_region(&self) -> Vec<Ipv4Addr> {
        self.own_region.values().flatten().copied().collect()
    }

    /// Lists those of other regions.
    pub fn all_in_other_regions(&self) -> Vec<Ipv4Addr> {
        self.other_regions.values().flatten().copied().collect()
    }

    /// Chooses some of other failure domains of the own region.
    pub fn sample_own_region(&self, count: usize) -> Vec<Ipv4Addr> {
        let all = self.own_region.values().flatten().copied();
        all.sample(&mut rand::rng(), count)
    }

    /// Chooses some of other regions.
    pub fn sample_other_regions(&self, count: usize) -> Vec<Ipv4Addr> {
        let all = self.other_regions.values().flatten().copied();
        all.sample(&mut rand::rng(), count)
    }

    /// Chooses some of other failure domains, those of the own region first.
    pub fn sample_other_domains(&self, count: usize) -> Vec<Ipv4Addr> {
        let mut chosen = self.sample_own_region(count);
        chosen.extend(self.sample_other_regions(count - chosen.len()));
        chosen
    }

    /// Chooses gates of the domains and regions that news of an origin have to be carried
    /// to.
    pub fn choose_relays(&self, topology: &Topology, origin: Origin) -> Vec<Ipv4Addr> {
        let mut relays = Vec::new();
        if origin >= Origin::OtherRegion {
            // News from another region came to several gates, which all do so.
            let count = if origin == Origin::Own {
                RELAYS_PER_TARGET_COUNT
            } else {
                1
            };
            relays.extend(
                self.own_region
                    .values()
                    .flat_map(|of| sample_peers(of, count)),
            );
        }
        if origin == Origin::Own {
            relays.extend(self.sample_each_region(topology));
        }
        relays.truncate(RELAYS_MAX_COUNT);
        relays
    }

    /// Chooses one of each other failure domain, wherever it is.
    pub fn sample_each_domain(&self) -> Vec<Ipv4Addr> {
        let all = self.own_region.values().chain(self.other_regions.values());
        all.flat_map(|of| sample_peers(of, 1))
            .take(RELAYS_MAX_COUNT)
            .collect()
    }

    /// Chooses a few of each other region; a domain that the table doesn't name counts
    /// as a region of its own.
    fn sample_each_region(&self, topology: &Topology) -> Vec<Ipv4Addr> {
        let mut regions: BTreeMap<(Option<&str>, DomainTag), Vec<Ipv4Addr>> = BTreeMap::new();
        for (domain, of) in &self.other_regions {
            let region = topology.region_of_tag(*domain);
            let key = region.map_or((None, *domain), |name| (Some(name), DomainTag::default()));
            regions.entry(key).or_default().extend(of);
        }
        regions
            .values()
            .flat_map(|of| sample_peers(of, RELAYS_PER_TARGET_COUNT))
            .collect()
    }
}

/// Chooses some by chance.
fn sample_peers(all: &[Ipv4Addr], count: usize) -> Vec<Ipv4Addr> {
    all.iter().copied().sample(&mut rand::rng(), count)
}
