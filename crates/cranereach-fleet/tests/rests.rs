//! Backoff, called its rest, that a worker requests from an instance.

mod workers;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::rest::REST_MAX_MS;
use cranereach_fleet::rest::Rest;
use cranereach_fleet::rest::RestRequest;
use cranereach_fleet::rest::TRIAL_INTERVAL_MS;
use cranereach_fleet::rest::read;
use cranereach_fleet::roster::Barred;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version of a store that has never been restored from a backup.
fn position_at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

#[test]
fn each_value_has_a_meaning() {
    let parsed = |values: &[&[u8]]| read(values.iter().copied());
    assert_eq!(parsed(&[]), RestRequest::Nothing);
    assert_eq!(parsed(&[b"3"]), RestRequest::For(3_000));
    assert_eq!(parsed(&[b" 0.25 "]), RestRequest::For(250));
    assert_eq!(parsed(&[b"0.0001"]), RestRequest::For(1), "rounded up");
    assert_eq!(parsed(&[b"0"]), RestRequest::Nothing);
    assert_eq!(parsed(&[b"-0"]), RestRequest::Nothing);
    assert_eq!(
        parsed(&[b"1", b"2"]),
        RestRequest::For(2_000),
        "the longest counts"
    );
    assert_eq!(parsed(&[b"soon", b"2"]), RestRequest::For(2_000));
    for far in [&b"1e300"[..], b"3601", b"99999999999999999999"] {
        assert_eq!(parsed(&[far]), RestRequest::For(REST_MAX_MS), "{far:?}");
    }
    let unreadable: [&[u8]; 8] = [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"3 s",
        b"1,5",
        b"Fri, 31 Dec 2027 23:59:59 GMT",
        b"\xff",
    ];
    for value in unreadable {
        assert_eq!(parsed(&[value]), RestRequest::Unreadable, "{value:?}");
    }
    assert_eq!(parsed(&[&[b'1'; 4_000]]), RestRequest::Unreadable);
}

#[test]
fn the_latest_end_of_a_rest_applies() {
    let mut rest = Rest::default();
    assert!(rest.requested(1_000, 3_000));
    assert!(!rest.requested(2_000, 500), "a shorter one doesn't shorten");
    assert!(rest.is_resting(3_999));
    assert!(rest.requested(3_500, 2_000), "a later end");
    assert_eq!(rest.span_ms(5_499), Some((1_000, 5_500)));
    assert_eq!(rest.span_ms(5_500), None);
}

#[test]
fn an_answer_to_a_request_before_the_end_ends_no_rest() {
    let mut rest = Rest::default();
    rest.requested(1_000, 3_000);
    assert!(!rest.accepted(900));
    assert!(!rest.accepted(3_999));
    assert!(!rest.may_send(3_999, 0) && rest.is_resting(3_999));
    rest.sent(4_000);
    assert!(rest.accepted(4_000));
    assert!(!rest.accepted(4_000), "the rest had already ended");
    assert_eq!(rest.may_send_from_ms(2), 0);
}

#[test]
fn after_a_rest_a_single_urgent_request_is_tried_first() {
    let mut rest = Rest::default();
    rest.requested(1_000, 3_000);
    assert!(rest.may_send(4_000, 0));
    assert!(!rest.may_send(4_000, 1) && !rest.may_send(4_000, 2));
    assert!(rest.may_send(4_060, 1) && rest.may_send(4_060, 2));
    rest.sent(4_060);
    assert!(!rest.may_send(4_061, 0));
    assert!(rest.may_send(4_060 + TRIAL_INTERVAL_MS, 0), "no answer yet");
    // The worker requests a rest once more.
    rest.requested(4_070, 1_000);
    assert!(!rest.may_send(5_069, 0) && rest.may_send(5_070, 0));
}

fn choose(
    roster: &Roster,
    now_ms: u64,
    routing_request: &RoutingRequest<'_>,
) -> Result<String, NoWorker> {
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = roster.choose(now_ms, routing_request, None, &mut rng);
    choice.map(|choice| choice.id.to_string())
}

#[test]
fn resting_workers_are_avoided_and_the_first_end_is_reported() {
    let mut roster = Roster::default();
    for id in ["a", "b"] {
        roster.put(position_at(5), record(id, &[("m", &[])]));
    }
    roster.put(position_at(5), record("c", &[]));
    let routing_request = routing_request(Some(("m", None)));
    roster.get_mut("a").unwrap().rest.requested(1_000, 3_000);
    assert_eq!(choose(&roster, 1_000, &routing_request).as_deref(), Ok("b"));
    roster.get_mut("b").unwrap().rest.requested(1_000, 2_000);
    assert_eq!(
        choose(&roster, 1_000, &routing_request),
        Err(NoWorker::Resting)
    );
    let free = roster.next_ask_and_free_ms(1_000, &routing_request);
    assert_eq!(free.map(|(_, at_ms)| at_ms), Some(3_000 + 25), "by rank");
    // A worker that is leaving doesn't count.
    roster.note_leaving_announced(1_500, "b", 0);
    let free = roster.next_ask_and_free_ms(1_500, &routing_request);
    assert_eq!(free.map(|(_, at_ms)| at_ms), Some(4_000 + 25));
    let barred = |now_ms, purpose| roster.barred(now_ms, "a", purpose, 1);
    for purpose in [Purpose::Call, Purpose::Order, Purpose::Report] {
        assert_eq!(barred(3_999, purpose), Some(Barred::Resting));
    }
    assert_eq!(barred(4_000, Purpose::Order), None);
    assert_eq!(barred(4_000, Purpose::Call), Some(Barred::Resting));
    assert_eq!(barred(4_025, Purpose::Call), None);
}

#[test]
fn a_restarted_worker_is_not_resting() {
    let mut roster = Roster::default();
    roster.put(position_at(5), record("a", &[]));
    roster.get_mut("a").unwrap().rest.requested(1_000, 60_000);
    roster.put(position_at(6), record("a", &[]));
    assert!(roster.is_resting(2_000, "a"), "a newer row changes nothing");
    let mut next = record("a", &[]);
    next.started_unix_ms = 9;
    roster.put(position_at(7), next);
    assert!(!roster.is_resting(2_000, "a"));
}
