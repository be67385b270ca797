//! What an instance takes from its peers' messages.

use std::net::Ipv4Addr;

use assert_matches::assert_matches;

use cranereach_fleet::listing::ChangedRow;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::messages::HeldLease;
use cranereach_gateway::messages::pack_rows;
use cranereach_gateway::messages::unpack_rows;
use cranereach_gateway::peers::HEARD_WITHIN_MS;
use cranereach_gateway::peers::Peers;

/// A service's key.
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

fn holder(count: u64) -> Digest {
    Digest {
        holds: vec![SERVICE],
        ..digest(count)
    }
}

fn held(age_ms: u64) -> HeldLease {
    HeldLease {
        service: SERVICE,
        holder: ip(9),
        age_ms,
    }
}

fn told(count: u64, age_ms: u64) -> Digest {
    Digest {
        held: vec![held(age_ms)],
        ..digest(count)
    }
}

#[test]
fn a_holder_that_only_others_hear_counts_until_its_word_is_old() {
    let mut peers = Peers::new(ip(1), "z1", vec![]);
    assert!(!peers.hears_holder(0, SERVICE));
    peers.heard(1_000, ip(2), &told(1, 400));
    assert!(peers.hears_holder(1_000, SERVICE));
    assert_eq!(peers.held(1_100), [held(500)]);
    // What it asks for goes to that holder, whom it never heard.
    assert_eq!(peers.recipients(1_100, true).0, [ip(9)]);
    // Telling it again makes it no younger.
    peers.heard(1_800, ip(3), &told(1, 1_200));
    let end_ms = 600 + HEARD_WITHIN_MS;
    assert!(peers.hears_holder(end_ms - 1, SERVICE));
    assert!(!peers.hears_holder(end_ms, SERVICE));
}

#[test]
fn a_holder_that_gives_up_is_believed_at_once() {
    for given_up in [
        digest(2),
        Digest {
            is_leaving: true,
            ..holder(2)
        },
    ] {
        let mut peers = Peers::new(ip(1), "z1", vec![]);
        peers.heard(1_000, ip(2), &holder(1));
        assert!(peers.hears_holder(1_100, SERVICE));
        peers.heard(1_200, ip(2), &given_up);
        assert!(!peers.hears_holder(1_200, SERVICE));
        // What others heard before that counts no more.
        peers.heard(1_300, ip(3), &told(1, 300));
        assert!(!peers.hears_holder(1_300, SERVICE));
        peers.heard(1_400, ip(3), &holder(2));
        assert!(peers.hears_holder(1_400, SERVICE), "a successor");
    }
}

#[test]
fn instances_agree_on_their_ranks() {
    let addresses: Vec<Ipv4Addr> = (1..=9).map(ip).collect();
    let mut ranks: Vec<u64> = addresses
        .iter()
        .map(|own| {
            let mut peers = Peers::new(*own, "z1", vec![]);
            for peer in &addresses {
                peers.heard(0, *peer, &digest(1));
            }
            peers.rank(0, "purpose")
        })
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..9).collect::<Vec<u64>>());
}

#[test]
fn whoever_reads_tells_all_and_whoever_passes_on_a_few() {
    let mut peers = Peers::new(ip(1), "z1", vec![]);
    for peer in 2..=60 {
        peers.heard(0, ip(peer), &digest(1));
    }
    assert!(peers.is_large());
    // Shares of a common bound are by all that are known, heard lately or not.
    assert_eq!(peers.known_count(), 60);
    assert_eq!(peers.heard_peers(HEARD_WITHIN_MS).count(), 0);
    assert_eq!(peers.known_count(), 60);
    assert_eq!(peers.list_recipients(true).len(), 59);
    let few = peers.list_recipients(false).len();
    assert!((1..=4).contains(&few), "{few}");
}

#[test]
fn digests_go_to_the_own_domain_first_and_to_a_bounded_number() {
    let mut peers = Peers::new(ip(1), "z1", vec![]);
    let own_domain = peers.own_domain();
    for peer in 2..=90 {
        let is_near = peer % 3 == 0;
        let heard = Digest {
            domain: if is_near { own_domain } else { 1 },
            ..digest(1)
        };
        peers.heard(0, ip(peer), &heard);
    }
    let (holders, others) = peers.recipients(10, false);
    assert!(holders.is_empty());
    let near_count = others.iter().filter(|peer| peer.octets()[3] % 3 == 0);
    assert_eq!(near_count.count(), 30, "all of the own domain");
    assert!(others.len() > 30 && others.len() <= 48, "{}", others.len());
}

#[test]
fn rows_survive_packing_and_nonsense_is_refused() {
    let changed = |key: &str, value: Option<Vec<u8>>| ChangedRow {
        key: key.to_owned(),
        version: 7,
        value,
    };
    let mut rows: Vec<ChangedRow> = (0..200)
        .map(|row| changed(&format!("w-{row}"), Some(vec![b'x'; 500])))
        .collect();
    rows.push(changed("gone", None));
    let borrowed: Vec<&ChangedRow> = rows.iter().collect();
    let packed = pack_rows(&borrowed);
    assert!(packed.len() < 8_000, "{}", packed.len());
    assert_eq!(unpack_rows(&packed), Some(rows));
    assert_matches!(unpack_rows(b"nonsense"), None);
    assert_matches!(unpack_rows(&packed[..packed.len() / 2]), None);
    let endless = changed("w", Some(vec![0; 2_000_000]));
    assert_matches!(unpack_rows(&pack_rows(&[&endless])), None);
}
