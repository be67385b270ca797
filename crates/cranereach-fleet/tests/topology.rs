//! Failure domains and regions as the settings list them, and the regions in which requests may be
//! served.

use std::collections::BTreeMap;

use assert_matches::assert_matches;

use cranereach_fleet::key::worker_key;
use cranereach_fleet::regions::AllowedRegions;
use cranereach_fleet::topology::Distance;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::topology::TopologyError;

fn listed(domains: &[(&str, &str)]) -> BTreeMap<String, String> {
    let owned = domains
        .iter()
        .map(|(domain, region)| ((*domain).to_owned(), (*region).to_owned()));
    owned.collect()
}

#[test]
fn an_unlisted_domain_is_remote_and_the_own_domain_need_not_be_listed() {
    let topology = Topology::new("a", "north", &listed(&[("b", "north"), ("c", "south")])).unwrap();
    assert_eq!(topology.distance("a"), Distance::OwnDomain);
    assert_eq!(topology.distance("b"), Distance::OwnRegion);
    assert_eq!(topology.distance("c"), Distance::OtherRegion);
    assert_eq!(topology.distance("nobody knows"), Distance::OtherRegion);
    let by_key = topology.domain_by_key(worker_key("c"));
    assert_eq!(by_key.map(AsRef::as_ref), Some("c"));
    assert_eq!(topology.domains().count(), 3);
}

#[test]
fn a_contradictory_domain_table_is_rejected() {
    let elsewhere = Topology::new("a", "north", &listed(&[("a", "south")]));
    assert_matches!(elsewhere, Err(TopologyError::OtherRegion { listed, .. }) if listed == "south");
    let nameless = Topology::new("a", "north", &listed(&[("b", "")]));
    assert_matches!(nameless, Err(TopologyError::NoName { domain, .. }) if domain == "b");
}

#[test]
fn a_route_and_an_account_that_share_no_region_allow_none() {
    let north = AllowedRegions::only(["north"]);
    let south = AllowedRegions::only(["south", "south"]);
    let neither = north.common(&south);
    assert!(!neither.allows(Some("north")) && !neither.allows(Some("south")));
    assert_eq!(north.common(&AllowedRegions::Any), north);
    assert_eq!(AllowedRegions::Any.common(&south), south);
}
