//! What instances tell each other of withdrawing because of overload.

use std::net::Ipv4Addr;

use cranereach_fleet::key::worker_key;
use cranereach_fleet::reachability::ReachReport;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::messages::Message;
use cranereach_gateway::messages::decode;
use cranereach_gateway::messages::encode;
use cranereach_gateway::peers::Peers;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

/// Returns the digest of a peer of a failure domain that has withdrawn or not.
fn withdrawal_digest(count: u64, domain: &str, is_withdrawn: bool) -> Digest {
    Digest {
        domain: worker_key(domain),
        is_withdrawn,
        boot: 1,
        count,
        ..Digest::default()
    }
}

/// Returns the share of the peers that have withdrawn, in percent.
fn withdrawn_percent(peers: &Peers, now_ms: u64) -> u32 {
    (peers.withdrawn_share(now_ms) * 100.0) as u32
}

/// Guards against instances of a failure domain that withdraw one after another, since they don't
/// hear of each other, and against one that stays for the sake of peers elsewhere.
#[test]
fn the_share_of_withdrawn_peers_is_that_of_the_own_failure_domain() {
    let mut peers = Peers::new(ip(1), "z1", &[]);
    assert_eq!(withdrawn_percent(&peers, 0), 0, "nobody is known");
    peers.apply_digest(1_000, ip(9), &withdrawal_digest(1, "z2", true));
    assert_eq!(withdrawn_percent(&peers, 1_000), 100, "nobody is near");
    for last in 2..6 {
        peers.apply_digest(1_000, ip(last), &withdrawal_digest(1, "z1", last == 2));
    }
    assert_eq!(withdrawn_percent(&peers, 1_000), 25);
    peers.apply_digest(1_100, ip(2), &withdrawal_digest(2, "z1", false));
    assert_eq!(withdrawn_percent(&peers, 1_100), 0, "it is back");
    peers.apply_digest(1_200, ip(2), &withdrawal_digest(3, "z1", true));
    assert_eq!(
        withdrawn_percent(&peers, 9_000),
        0,
        "nobody was heard of lately"
    );
}

/// Guards against a release that can't read the digests of the one before or after it.
#[test]
fn a_digest_tells_that_its_sender_has_withdrawn_in_a_way_that_earlier_releases_ignore() {
    let reach = ReachReport {
        reached_percent: 90,
    };
    let withdrawn = Digest {
        reach: Some(reach),
        is_withdrawn: true,
        boot: 1,
        count: 1,
        ..Digest::default()
    };
    let message = Message::Digest(Box::new(withdrawn.clone()));
    let encoded = encode(message.clone());
    assert_eq!(decode(&encoded), Some(message));
    // An earlier release reads the report of its reach from what follows the digest.
    let ready = Digest {
        is_withdrawn: false,
        ..withdrawn
    };
    let ready = Message::Digest(Box::new(ready));
    let (_head, followed_by) = encoded.split_at(encoded.len() - 2);
    assert_eq!(
        postcard::from_bytes::<ReachReport>(followed_by).ok(),
        Some(reach)
    );
    // What an earlier release sends ends with that report.
    assert_eq!(decode(&encoded[..encoded.len() - 1]), Some(ready));
}
