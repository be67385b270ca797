//! Workers that fail or can't be reached: when calls avoid them, and when they are tried again.

use std::net::Ipv4Addr;

use super::choose;
use super::position_at;
use super::workers::record;
use super::workers::routing_request;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::reachability::Reachability;
use cranereach_fleet::roster::Roster;

/// Number of living peers.
const ALIVE_COUNT: usize = 5;

#[test]
fn a_failing_worker_is_ejected_and_tried_again() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[]));
    roster.put(position_at(2), record("b", &[]));
    for now_ms in 0..3 {
        roster.get_mut("a").unwrap().health.failed(now_ms);
    }
    assert!(roster.get("a").unwrap().health.is_ejected(100));
    assert_eq!(
        choose(&roster, 100, &routing_request(None)).as_deref(),
        Ok("b")
    );
    assert!(!roster.get("a").unwrap().health.is_ejected(20_000));
    // If it is the only worker, it is still used.
    roster.remove(position_at(3), "b");
    assert_eq!(
        choose(&roster, 100, &routing_request(None)).as_deref(),
        Ok("a")
    );
}

#[test]
fn an_unreachable_worker_is_probed_periodically() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[("m", &[])]));
    let request = routing_request(Some(("m", None)));
    roster.get_mut("a").unwrap().health.unreachable(1_000);
    assert_eq!(
        choose(&roster, 1_010, &request),
        Err(NoWorker::Unreachable),
        "no request waits for it"
    );
    assert_eq!(roster.unreachable(1_010), [worker_key("a")]);
    assert_eq!(choose(&roster, 2_000, &request).as_deref(), Ok("a"));
    // One call probes whether it is back; others are refused until that call has ended.
    roster.get_mut("a").unwrap().began(2_000, &request, 0.0);
    assert_eq!(choose(&roster, 2_010, &request), Err(NoWorker::Unreachable));
    roster.get_mut("a").unwrap().health.reached();
    assert_eq!(choose(&roster, 2_020, &request).as_deref(), Ok("a"));
    assert!(roster.unreachable(2_020).is_empty());
    // If another worker holds the model, that one is chosen.
    roster.put(position_at(2), record("b", &[("m", &[])]));
    roster.get_mut("a").unwrap().health.unreachable(3_000);
    assert_eq!(choose(&roster, 4_500, &request).as_deref(), Ok("b"));
}

#[test]
fn reports_of_several_peers_eject_a_worker_and_are_not_forwarded() {
    let mut roster = Roster::default();
    roster.put(position_at(1), record("a", &[]));
    let is_ejected = |roster: &Roster, now_ms| roster.get("a").unwrap().health.is_ejected(now_ms);
    let mut reachability = Reachability::default();
    let mut tell = |roster: &mut Roster, now_ms, peer| {
        let key = worker_key("a");
        let peer = Ipv4Addr::new(10, 0, 0, peer);
        if reachability.take_unreachable_report(now_ms, key, peer, ALIVE_COUNT) {
            let worker = roster.by_key_mut(key).unwrap();
            worker.health.note_reported_unreachable(now_ms);
        }
    };
    tell(&mut roster, 0, 7);
    tell(&mut roster, 100, 7);
    assert!(
        !is_ejected(&roster, 100),
        "one peer may be partitioned itself"
    );
    tell(&mut roster, 5_000, 8);
    assert!(
        !is_ejected(&roster, 5_000),
        "the report of the other peer is too old"
    );
    tell(&mut roster, 5_100, 9);
    assert!(is_ejected(&roster, 5_100));
    assert!(roster.unreachable(5_100).is_empty());
    // It may still be reachable from here: the next call finds out.
    assert_eq!(
        choose(&roster, 5_110, &routing_request(None)).as_deref(),
        Ok("a")
    );
}
