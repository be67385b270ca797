//! State that an instance derives from the messages of its peers, and the recipients that it
//! selects.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use assert_matches::assert_matches;

use cranereach_fleet::key::worker_key;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::membership::MEMBER_MAX_COUNT;
use cranereach_fleet::membership::MemberUpdate;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::DomainTag;
use cranereach_fleet::topology::Topology;
use cranereach_gateway::heard_leases::LEASE_NEWS_MAX_AGE_MS;
use cranereach_gateway::messages::DemandMessage;
use cranereach_gateway::messages::DemandPart;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::messages::HeldLease;
use cranereach_gateway::messages::StoreFailure;
use cranereach_gateway::messages::UNPACKED_MAX_BYTES;
use cranereach_gateway::messages::pack_rows;
use cranereach_gateway::messages::unpack_rows;
use cranereach_gateway::peers::FAN_OUT_COUNT;
use cranereach_gateway::peers::Peers;
use cranereach_gateway::recipients::Origin;

/// Key of a service.
const SERVICE: u64 = 7;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn digest(count: u64) -> Digest {
    Digest {
        boot: 1,
        count,
        ..Digest::default()
    }
}

fn holder_digest(count: u64) -> Digest {
    Digest {
        holds: vec![SERVICE],
        ..digest(count)
    }
}

fn held_lease(age_ms: u64) -> HeldLease {
    HeldLease {
        service: SERVICE,
        holder: ip(9),
        age_ms,
    }
}

fn lease_digest(count: u64, age_ms: u64) -> Digest {
    Digest {
        held: vec![held_lease(age_ms)],
        ..digest(count)
    }
}

#[test]
fn a_lease_holder_known_only_through_relays_expires() {
    let mut peers = Peers::new(ip(1), "z1", &[]);
    assert!(!peers.knows_holder(0, SERVICE));
    peers.apply_digest(1_000, ip(2), &lease_digest(1, 400));
    assert!(peers.knows_holder(1_000, SERVICE));
    assert_eq!(peers.held(1_100), [held_lease(500)]);
    // Its demand is sent to that holder, although it has received no message from it.
    assert_eq!(peers.holders(1_100), [ip(9)]);
    // Relaying the same news again does not make it more recent.
    peers.apply_digest(1_800, ip(3), &lease_digest(1, 1_200));
    let end_ms = 600 + LEASE_NEWS_MAX_AGE_MS;
    assert!(peers.knows_holder(end_ms - 1, SERVICE));
    assert!(!peers.knows_holder(end_ms, SERVICE));
}

#[test]
fn a_released_lease_takes_effect_at_once() {
    for release in [
        digest(2),
        Digest {
            is_leaving: true,
            ..holder_digest(2)
        },
    ] {
        let mut peers = Peers::new(ip(1), "z1", &[]);
        peers.apply_digest(1_000, ip(2), &holder_digest(1));
        assert!(peers.knows_holder(1_100, SERVICE));
        peers.apply_digest(1_200, ip(2), &release);
        assert!(!peers.knows_holder(1_200, SERVICE));
        // News that others received before the release no longer counts.
        peers.apply_digest(1_300, ip(3), &lease_digest(1, 300));
        assert!(!peers.knows_holder(1_300, SERVICE));
        peers.apply_digest(1_400, ip(3), &holder_digest(2));
        assert!(peers.knows_holder(1_400, SERVICE), "a successor");
    }
}

#[test]
fn instances_agree_on_their_ranks() {
    let addresses: Vec<Ipv4Addr> = (1..=9).map(ip).collect();
    let mut ranks: Vec<u64> = addresses
        .iter()
        .map(|own| {
            let mut peers = Peers::new(*own, "z1", &[]);
            for peer in &addresses {
                peers.apply_digest(0, *peer, &digest(1));
            }
            peers.rank(0, "purpose")
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..9).collect::<Vec<u64>>());
}

/// Returns the peers of an instance in a fleet of `count` instances, a third of which belong to
/// its failure domain.
fn peers_of_fleet(count: u32) -> Peers {
    let table = ["z1", "z2"].map(|domain| (domain.to_owned(), "r1".to_owned()));
    let topology = Topology::new("z1", "r1", &BTreeMap::from(table)).unwrap();
    let mut peers = Peers::new(ip(1), "z1", &[]).with_topology(&topology);
    for peer in 2..=count {
        let heard = Digest {
            domain: worker_key(if peer % 3 == 0 { "z1" } else { "z2" }),
            ..digest(1)
        };
        assert!(peers.apply_digest(0, address(peer), &heard));
    }
    peers
}

fn address(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + number)
}

#[test]
fn what_one_instance_sends_does_not_grow_with_the_fleet() {
    for count in [20, 300, 3_300] {
        let mut peers = peers_of_fleet(count);
        assert_eq!(peers.members().known_count(), count as usize);
        let mut change_recipients = peers.list_recipients(10, Origin::Own);
        change_recipients.sort_unstable();
        change_recipients.dedup();
        assert_eq!(change_recipients.len(), 5);
        let other_domain = change_recipients
            .iter()
            .filter(|peer| u32::from(**peer) % 3 != u32::from(ip(0)) % 3);
        assert_eq!(other_domain.count(), 2);
        // An instance that receives a change from its own domain relays it only within the domain.
        let relay_recipients = peers.list_recipients(10, Origin::OwnDomain);
        assert_eq!(relay_recipients.len(), 3);
        let is_own_domain = |peer: &&Ipv4Addr| u32::from(**peer) % 3 == u32::from(ip(0)) % 3;
        let mut other_domain_count = 0;
        for round in 1..=8 {
            let recipients = peers.recipients(10, round % 4 == 0, &[]);
            assert!(recipients.len() <= FAN_OUT_COUNT);
            assert_eq!(recipients.iter().filter(is_own_domain).count(), 4);
            other_domain_count += recipients.len() - 4;
        }
        // One digest a second goes to another domain; without updates, no other round does.
        assert_eq!(other_domain_count, 2);
        assert!(peers.member_updates(10).len() <= 48);
        // The rate of demand messages at a holder is bounded for any number of senders.
        let every_ms = peers.demand_every_ms(250);
        let heard_per_s = f64::from(count) * 1_000.0 / every_ms as f64;
        assert!(heard_per_s <= 256.0, "{heard_per_s}");
    }
}

#[test]
fn a_lease_holder_sends_to_candidates_every_round_and_answers_waits_once() {
    let mut peers = peers_of_fleet(300);
    let candidates = peers.members().first(10, SERVICE, 3);
    let recipients = peers.recipients(10, false, &[SERVICE]);
    assert!(candidates.iter().all(|peer| recipients.contains(peer)));
    assert!(recipients.len() <= FAN_OUT_COUNT + 3);
    let waiting_demand = |count: u64| DemandMessage {
        waits_for: vec![(SERVICE, (3, 1)), (SERVICE, (4, 1))],
        ..demand_message(count, 5.0)
    };
    assert!(peers.apply_demand(0, address(77), &waiting_demand(1)));
    let placed = [(8, (3, 1)), (9, (3, 1)), (9, (5, 1))];
    assert!(
        peers
            .take_satisfied_waits(10, SERVICE + 1, &placed)
            .is_empty()
    );
    let satisfied = peers.take_satisfied_waits(10, SERVICE, &placed);
    assert_eq!(satisfied[&address(77)], placed[..2]);
    assert!(
        peers.take_satisfied_waits(10, SERVICE, &placed).is_empty(),
        "answered once"
    );
    let other = [(8, (4, 1))];
    assert!(
        peers
            .take_satisfied_waits(5_000, SERVICE, &other)
            .is_empty(),
        "the wait has expired"
    );
}

fn demand_message(count: u64, work_ms_per_s: f32) -> DemandMessage {
    DemandMessage {
        boot: 1,
        count,
        lacks: Vec::new(),
        waits_for: Vec::new(),
        parts: vec![DemandPart {
            service: SERVICE,
            model: (3, 0),
            work_ms_per_s,
        }],
    }
}

#[test]
fn the_demand_of_every_instance_counts_until_it_expires() {
    let mut peers = peers_of_fleet(300);
    for peer in 2..=300 {
        assert!(peers.apply_demand(100, address(peer), &demand_message(2, 1.0)));
        assert!(
            !peers.apply_demand(100, address(peer), &demand_message(1, 9.0)),
            "old"
        );
    }
    let sum = |peers: &Peers, now_ms: u64| -> f32 {
        peers
            .demand(now_ms, 250)
            .map(|part| part.work_ms_per_s)
            .sum()
    };
    assert!((sum(&peers, 200) - 299.0).abs() < 0.01);
    assert!(
        !peers.apply_demand(100, address(9_000), &demand_message(2, 1.0)),
        "an unknown sender"
    );
    assert!(sum(&peers, 60_000).abs() < 0.01);
}

#[test]
fn the_store_counts_as_lost_after_recent_failures_at_several_instances() {
    let mut peers = peers_of_fleet(20);
    let failures_digest = |count: u64, failed: &[(u32, u64)]| Digest {
        store_failed: failed
            .iter()
            .map(|(number, age_ms)| StoreFailure {
                address: address(*number),
                age_ms: *age_ms,
            })
            .collect(),
        ..digest(count)
    };
    peers.store_failed(10_000);
    assert!(!peers.is_store_lost(10_000), "only its own failure");
    peers.apply_digest(10_000, address(2), &failures_digest(2, &[(3, 100)]));
    assert!(
        !peers.is_store_lost(10_000),
        "a single other instance may be cut off itself"
    );
    peers.apply_digest(10_100, address(4), &failures_digest(2, &[(3, 500), (5, 0)]));
    assert!(peers.is_store_lost(10_100));
    // A relayed failure keeps its time: the first one happened at 9,900.
    assert!(!peers.is_store_lost(11_400));
    let many: Vec<(u32, u64)> = (100..200).map(|number| (number, 0)).collect();
    peers.apply_digest(12_000, address(6), &failures_digest(2, &many));
    assert!(peers.store_failures(12_000).len() <= 6);
}

#[test]
fn oversized_digests_leave_bounded_state() {
    let mut peers = Peers::new(ip(1), "z1", &[]);
    for sender in 0..3 {
        let introduced_members = (0..10_000).map(|number| MemberUpdate {
            address: address(100_000 + sender * 10_000 + number),
            domain: DomainTag::default(),
            age_ms: if number % 2 == 0 { 0 } else { u32::MAX },
            is_leaving: false,
        });
        let oversized = Digest {
            members: introduced_members.collect(),
            held: vec![held_lease(u64::MAX); 1_000],
            list_age_ms: u64::MAX,
            ..digest(u64::MAX - 1)
        };
        assert!(peers.apply_digest(5_000, address(2 + sender), &oversized));
        assert!(
            !peers.apply_digest(5_000, address(2 + sender), &oversized),
            "received twice"
        );
    }
    // The members accepted from each sender, and the senders themselves.
    assert!(peers.members().known_count() <= 3 * 48 + 4);
    assert!(!peers.knows_holder(5_000, SERVICE));
    for sender in 0..20_000 {
        peers.apply_digest(6_000, address(200_000 + sender), &digest(1));
    }
    assert!(peers.members().known_count() <= MEMBER_MAX_COUNT + 1);
}

#[test]
fn packed_rows_round_trip_and_malformed_input_is_rejected() {
    let changed = |key: &str, value: Option<Vec<u8>>| ChangedRow {
        key: key.to_owned(),
        position: StorePosition::new(0, 7),
        value,
    };
    let mut rows: Vec<ChangedRow> = (0..200)
        .map(|row| changed(&format!("w-{row}"), Some(vec![b'x'; 500])))
        .collect();
    rows.push(changed("gone", None));
    let borrowed: Vec<&ChangedRow> = rows.iter().collect();
    let packed = pack_rows(&borrowed);
    assert!(packed.len() < 8_000, "{}", packed.len());
    assert_eq!(unpack_rows(&packed, UNPACKED_MAX_BYTES), Some(rows));
    assert_matches!(unpack_rows(b"nonsense", UNPACKED_MAX_BYTES), None);
    assert_matches!(
        unpack_rows(&packed[..packed.len() / 2], UNPACKED_MAX_BYTES),
        None
    );
    let oversized = changed("w", Some(vec![0; 2_000_000]));
    assert_matches!(
        unpack_rows(&pack_rows(&[&oversized]), UNPACKED_MAX_BYTES),
        None
    );
}

#[test]
fn one_instance_per_domain_fetches_from_another_domain_and_the_rest_from_it() {
    let mut peers = peers_of_fleet(60);
    let far = address(4);
    let near = address(6);
    let version_digest = |count: u64, domain: &str, version: u64| Digest {
        domain: worker_key(domain),
        configuration_version: version,
        ..digest(count)
    };
    assert!(peers.apply_digest(10, far, &version_digest(2, "z2", 9)));
    assert_eq!(peers.configuration_source(10, 9, far), far);
    // A peer of its own domain with an older version is not a source.
    assert!(peers.apply_digest(10, near, &version_digest(2, "z1", 8)));
    assert_eq!(peers.configuration_source(10, 9, far), far);
    assert!(peers.apply_digest(20, near, &version_digest(3, "z1", 9)));
    assert_eq!(peers.configuration_source(20, 9, far), near);
    // Exactly one instance of the domain is the first, in an order that all compute alike.
    let table = ["z1", "z2"].map(|domain| (domain.to_owned(), "r1".to_owned()));
    let topology = Topology::new("z1", "r1", &BTreeMap::from(table)).unwrap();
    let own = (1..=60).filter(|number| *number == 1 || number % 3 == 0);
    let first = own.filter(|own| {
        let mut peers = Peers::new(address(*own), "z1", &[]).with_topology(&topology);
        for peer in 1..=60 {
            let is_near = peer == 1 || peer % 3 == 0;
            let domain = if is_near { "z1" } else { "z2" };
            peers.apply_digest(0, address(peer), &version_digest(1, domain, 1));
        }
        peers.is_first_in_domain(10, "bodies")
    });
    assert_eq!(first.count(), 1);
}
