//! Locations of instances and workers: failure domains and their regions.
//!
//! The table of failure domains comes from the settings and is the same on every instance.
//! A worker's row and an instance's digests name its failure domain; the table gives the
//! region.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::key::worker_key;

/// How far something is from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Distance {
    /// In the same failure domain: traffic is free.
    OwnDomain,
    /// In another failure domain of the same region.
    OwnRegion,
    /// In another region, behind a link shared by all traffic, or in a failure domain that
    /// the table doesn't list.
    OtherRegion,
}

impl Distance {
    /// All distances, the nearest first.
    pub const ALL: [Self; 3] = [Self::OwnDomain, Self::OwnRegion, Self::OtherRegion];

    /// Returns the name used in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OwnDomain => "own_domain",
            Self::OwnRegion => "own_region",
            Self::OtherRegion => "other_region",
        }
    }
}

/// Short hash of a failure domain's name, for messages that list many. Domains whose hashes
/// collide count as one, which affects nothing but distances.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DomainTag(u16);

impl DomainTag {
    /// Returns the tag of a failure domain's name.
    ///
    /// ```
    /// use cranereach_fleet::key::worker_key;
    /// use cranereach_fleet::topology::DomainTag;
    ///
    /// assert_eq!(DomainTag::of("a"), DomainTag::from_key(worker_key("a")));
    /// assert!(DomainTag::of("a").is_known());
    /// assert!(!DomainTag::default().is_known());
    /// ```
    pub fn of(domain: &str) -> Self {
        Self::from_key(worker_key(domain))
    }

    /// Returns the tag for the 64-bit key that digests carry.
    pub fn from_key(key: u64) -> Self {
        Self((key as u16).max(1))
    }

    /// Whether the tag denotes a failure domain.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }
}

/// Distances as seen from one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proximity<'a> {
    domain: DomainTag,
    /// Failure domains of the same region; empty if the table doesn't list the domain.
    region: &'a [DomainTag],
}

impl Proximity<'_> {
    /// Returns the distance of another failure domain from this one.
    pub fn distance(&self, other: DomainTag) -> Distance {
        if other == self.domain && other.is_known() {
            Distance::OwnDomain
        } else if self.region.contains(&other) {
            Distance::OwnRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Why a table of failure domains is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TopologyError {
    /// The name of a failure domain or region is empty.
    #[error("failure domain {domain:?} of region {region:?}: a name is empty")]
    NoName {
        /// Failure domain.
        domain: String,
        /// Region.
        region: String,
    },
    /// The instance's own failure domain is listed under a different region than its own.
    #[error(
        "failure domain {domain:?} is listed in region {listed:?}, not in the own region {own:?}"
    )]
    OtherRegion {
        /// Own failure domain.
        domain: String,
        /// Region that the table gives for it.
        listed: String,
        /// Own region.
        own: String,
    },
}

/// Failure domains with their regions, and the location of this instance.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use cranereach_fleet::topology::Distance;
/// use cranereach_fleet::topology::Topology;
///
/// let listed = [("a", "north"), ("b", "north"), ("c", "south")];
/// let listed = listed.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
/// let topology = Topology::new("a", "north", &BTreeMap::from(listed)).unwrap();
/// assert_eq!(topology.distance("a"), Distance::OwnDomain);
/// assert_eq!(topology.distance("b"), Distance::OwnRegion);
/// assert_eq!(topology.distance("c"), Distance::OtherRegion);
/// assert_eq!(topology.region_of("nowhere"), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    own_domain: Arc<str>,
    own_region: Arc<str>,
    region_by_domain: BTreeMap<Arc<str>, Arc<str>>,
    domain_by_key: HashMap<u64, Arc<str>>,
    tags_by_region: BTreeMap<Arc<str>, Vec<DomainTag>>,
}

impl Topology {
    /// Creates the table from failure domains and their regions; the instance's own failure
    /// domain is added if it isn't listed.
    pub fn new(
        own_domain: &str,
        own_region: &str,
        listed: &BTreeMap<String, String>,
    ) -> Result<Self, TopologyError> {
        for (domain, region) in listed {
            if domain.is_empty() || region.is_empty() {
                return Err(TopologyError::NoName {
                    domain: domain.clone(),
                    region: region.clone(),
                });
            }
        }
        if let Some(region) = listed
            .get(own_domain)
            .filter(|region| *region != own_region)
        {
            return Err(TopologyError::OtherRegion {
                domain: own_domain.to_owned(),
                listed: region.clone(),
                own: own_region.to_owned(),
            });
        }
        let listed = listed
            .iter()
            .map(|(domain, region)| (domain.as_str(), region.as_str()));
        let all = listed.chain([(own_domain, own_region)]);
        let region_by_domain: BTreeMap<Arc<str>, Arc<str>> = all
            .map(|(domain, region)| (Arc::from(domain), Arc::from(region)))
            .collect();
        let domain_by_key = region_by_domain
            .keys()
            .map(|domain| (worker_key(domain), Arc::clone(domain)));
        let domain_by_key = domain_by_key.collect();
        let mut tags_by_region: BTreeMap<Arc<str>, Vec<DomainTag>> = BTreeMap::new();
        for (domain, region) in &region_by_domain {
            let tags = tags_by_region.entry(Arc::clone(region)).or_default();
            tags.push(DomainTag::of(domain));
        }
        Ok(Self {
            own_domain: Arc::from(own_domain),
            own_region: Arc::from(own_region),
            domain_by_key,
            tags_by_region,
            region_by_domain,
        })
    }

    /// Creates a table that lists only the instance's own failure domain.
    pub fn of_domain(own_domain: &str) -> Self {
        let own_domain: Arc<str> = Arc::from(own_domain);
        Self {
            tags_by_region: BTreeMap::from([(Arc::from(""), vec![DomainTag::of(&own_domain)])]),
            region_by_domain: BTreeMap::from([(Arc::clone(&own_domain), Arc::from(""))]),
            domain_by_key: HashMap::from([(worker_key(&own_domain), Arc::clone(&own_domain))]),
            own_domain,
            own_region: Arc::from(""),
        }
    }

    /// Returns this instance's failure domain.
    pub fn own_domain(&self) -> &Arc<str> {
        &self.own_domain
    }

    /// Returns this instance's region.
    pub fn own_region(&self) -> &Arc<str> {
        &self.own_region
    }

    /// Returns the region of a failure domain; none if the table doesn't list it.
    pub fn region_of(&self, domain: &str) -> Option<&Arc<str>> {
        self.region_by_domain.get(domain)
    }

    /// Returns the failure domain for the 64-bit key that digests carry.
    pub fn domain_by_key(&self, key: u64) -> Option<&Arc<str>> {
        self.domain_by_key.get(&key)
    }

    /// Returns the region of the failure domain with a tag; none if the table doesn't list
    /// it.
    pub fn region_of_tag(&self, domain: DomainTag) -> Option<&str> {
        let mut regions = self.tags_by_region.iter();
        let found = regions.find(|(_, tags)| tags.contains(&domain));
        found.map(|(region, _)| region.as_ref())
    }

    /// Returns the distance of the failure domain with a tag; [`Distance::OtherRegion`] if
    /// the table doesn't list it.
    pub fn distance_to(&self, domain: DomainTag) -> Distance {
        self.proximity_of(&self.own_domain).distance(domain)
    }

    /// Returns the distances as seen from a failure domain.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    ///
    /// use cranereach_fleet::topology::Distance;
    /// use cranereach_fleet::topology::DomainTag;
    /// use cranereach_fleet::topology::Topology;
    ///
    /// let listed = [("a", "north"), ("b", "south"), ("c", "south")];
    /// let listed = listed.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    /// let topology = Topology::new("a", "north", &BTreeMap::from(listed)).unwrap();
    /// let proximity = topology.proximity_of("b");
    /// assert_eq!(proximity.distance(DomainTag::of("b")), Distance::OwnDomain);
    /// assert_eq!(proximity.distance(DomainTag::of("c")), Distance::OwnRegion);
    /// assert_eq!(proximity.distance(DomainTag::of("a")), Distance::OtherRegion);
    /// ```
    pub fn proximity_of(&self, domain: &str) -> Proximity<'_> {
        let region = self.region_of(domain);
        let tags = region.and_then(|region| self.tags_by_region.get(region));
        Proximity {
            domain: DomainTag::of(domain),
            region: tags.map_or(&[], Vec::as_slice),
        }
    }

    /// Lists the failure domains with their regions, sorted by name.
    pub fn domains(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.region_by_domain.iter()
    }

    /// Returns the distance of a failure domain; [`Distance::OtherRegion`] if the table
    /// doesn't list it.
    pub fn distance(&self, domain: &str) -> Distance {
        if domain == self.own_domain.as_ref() {
            return Distance::OwnDomain;
        }
        match self.region_of(domain) {
            Some(region) if *region == self.own_region => Distance::OwnRegion,
            Some(_) | None => Distance::OtherRegion,
        }
    }
}
