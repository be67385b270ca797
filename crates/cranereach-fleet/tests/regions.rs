//! Requests that may be served only in some regions.

mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::regions::AllowedRegions;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::worker::WorkerRecord;

/// Returns the position of a version of a store that has never been restored from a backup.
fn position_at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

#[test]
fn a_request_bound_to_a_region_never_goes_elsewhere() {
    let domains = [("z", "north"), ("y", "south")];
    let domains = domains.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    let topology = Topology::new("z", "north", &BTreeMap::from(domains)).unwrap();
    let south = AllowedRegions::only(["south"]);
    let bound = RoutingRequest {
        topology: &topology,
        regions: &south,
        ..routing_request(None)
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut roster = Roster::default();
    roster.put(position_at(1), record("near", &[]));
    let refused = roster.choose(0, &bound, None, &mut rng);
    assert_eq!(refused, Err(NoWorker::NotAllowed));
    for (id, domain) in [("far", "y"), ("unlisted", "nowhere")] {
        roster.put(
            position_at(1),
            WorkerRecord {
                failure_domain: Arc::from(domain),
                ..record(id, &[])
            },
        );
    }
    for _draw in 0..50 {
        let chosen = roster.choose(0, &bound, None, &mut rng).unwrap();
        assert_eq!(chosen.id.as_ref(), "far");
    }
    roster.leaves(position_at(2), worker_key("far"));
    let refused = roster.choose(0, &bound, None, &mut rng);
    assert_eq!(refused, Err(NoWorker::NotAllowed));
}
