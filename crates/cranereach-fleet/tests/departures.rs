//! Departures that workers announce, and how they combine with the rows of the store.

mod workers;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::departure::DepartureNotice;
use cranereach_fleet::departure::DepartureSource;
use cranereach_fleet::departure::read;
use cranereach_fleet::key::incarnation_key;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::roster::Barred;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Returns the row of one incarnation of a worker.
fn incarnation(id: &str, started_unix_ms: u64) -> WorkerRecord {
    WorkerRecord {
        started_unix_ms,
        ..record(id, &[("m", &[])])
    }
}

fn choose(roster: &Roster, model: Option<&'static str>) -> Result<String, NoWorker> {
    let mut rng = SmallRng::seed_from_u64(1);
    let routing_request = routing_request(model.map(|model| (model, None)));
    let choice = roster.choose(1_000, &routing_request, None, &mut rng);
    choice.map(|choice| choice.id.to_string())
}

#[test]
fn each_value_has_a_meaning() {
    let parsed = |values: &[&[u8]]| read(values.iter().copied());
    assert_eq!(parsed(&[]), DepartureNotice::Nothing);
    assert_eq!(parsed(&[b"1"]), DepartureNotice::Leaves);
    assert_eq!(parsed(&[b" 1 "]), DepartureNotice::Leaves);
    assert_eq!(
        parsed(&[b"0"]),
        DepartureNotice::Nothing,
        "the worker stays"
    );
    assert_eq!(
        parsed(&[b"0", b"1"]),
        DepartureNotice::Leaves,
        "one such value is enough"
    );
    assert_eq!(parsed(&[b"1", b"true"]), DepartureNotice::Leaves);
    let unreadable: [&[u8]; 6] = [b"", b"true", b"yes", b"-1", b"1.0", b"\xff"];
    for value in unreadable {
        assert_eq!(parsed(&[value]), DepartureNotice::Unreadable, "{value:?}");
    }
    assert_eq!(parsed(&[&[b'1'; 4_000]]), DepartureNotice::Unreadable);
}

#[test]
fn an_announced_departure_holds_for_its_incarnation_whatever_rows_follow() {
    let mut roster = Roster::default();
    roster.put(at(5), incarnation("w", 100));
    assert!(roster.note_leaving_announced(1_000, "w", 100));
    assert!(
        !roster.note_leaving_announced(1_100, "w", 100),
        "already known"
    );
    let is_leaving = |roster: &Roster| roster.get("w").unwrap().is_leaving();
    roster.put(at(6), incarnation("w", 100));
    assert!(is_leaving(&roster), "a newer row");
    assert!(
        !roster.lapse(at(7), "w", 9_000),
        "the end of its row is no lapse"
    );
    roster.remove(at(7), "w");
    roster.put(at(8), incarnation("w", 100));
    assert!(is_leaving(&roster), "the row is back");
    roster.put(at(9), incarnation("w", 200));
    assert!(!is_leaving(&roster), "a new incarnation");
    roster.put(at(10), incarnation("w", 100));
    assert!(
        is_leaving(&roster),
        "the row of the previous incarnation is back"
    );
    roster.put(at(11), incarnation("w", 200));
    assert!(!is_leaving(&roster));
}

#[test]
fn a_departure_of_an_unlisted_incarnation_applies_only_to_that_one() {
    let mut roster = Roster::default();
    roster.put(at(5), incarnation("w", 100));
    assert!(
        roster.note_leaving_announced(1_000, "w", 200),
        "the row of this incarnation hasn't arrived yet"
    );
    assert!(!roster.get("w").unwrap().is_leaving());
    roster.put(at(6), incarnation("w", 200));
    assert!(roster.get("w").unwrap().is_leaving());
    assert_eq!(roster.unlisted_departure_count(), 0);
}

#[test]
fn a_peers_report_applies_to_the_incarnation_it_names() {
    let mut roster = Roster::default();
    roster.put(at(5), incarnation("w", 100));
    let news = |id: &str, started_unix_ms| DepartureNews {
        worker: worker_key(id),
        start: incarnation_key(id, started_unix_ms),
    };
    assert!(roster.note_leaving_reported(1_000, &news("w", 200)));
    assert!(!roster.get("w").unwrap().is_leaving());
    assert!(roster.note_leaving_reported(1_000, &news("w", 100)));
    assert!(!roster.note_leaving_reported(1_200, &news("w", 100)));
    let departure = roster.get("w").unwrap().departure.unwrap();
    assert_eq!(
        (departure.since_ms, departure.reporter),
        (1_000, DepartureSource::Peer)
    );
    assert_eq!(roster.departure_news("w"), Some(news("w", 100)));
    // A worker that is not listed yet.
    assert!(roster.note_leaving_reported(1_000, &news("late", 1)));
    roster.put(at(6), incarnation("late", 1));
    assert!(roster.get("late").unwrap().is_leaving());
}

#[test]
fn nothing_is_sent_to_a_worker_that_is_leaving_or_gone() {
    let mut roster = Roster::default();
    roster.put(at(5), incarnation("w", 100));
    for purpose in [Purpose::Call, Purpose::Order, Purpose::Report] {
        assert_eq!(roster.barred(900, "w", purpose, 0), None);
        assert_eq!(roster.barred(900, "other", purpose, 0), Some(Barred::Gone));
    }
    assert_eq!(choose(&roster, Some("m")), Ok("w".to_owned()));
    roster.note_leaving_announced(1_000, "w", 100);
    for purpose in [Purpose::Call, Purpose::Order, Purpose::Report] {
        assert_eq!(roster.barred(1_000, "w", purpose, 0), Some(Barred::Leaving));
    }
    assert_eq!(choose(&roster, Some("m")), Err(NoWorker::Leaving));
    assert_eq!(choose(&roster, None), Err(NoWorker::Leaving));
    roster.put(at(6), record("other", &[]));
    assert_eq!(
        choose(&roster, Some("m")),
        Err(NoWorker::NoModel),
        "another worker could load the model"
    );
}

#[test]
fn the_number_of_unlisted_departures_is_bounded() {
    let mut roster = Roster::default();
    for number in 0..10_000_u64 {
        roster.note_leaving_announced(number, &format!("w{number}"), 1);
    }
    assert!(roster.unlisted_departure_count() <= 2_048);
    assert!(
        !roster.note_leaving_announced(10_000, "w9999", 1),
        "the newest are kept"
    );
}

/// Guards against an eviction that drops every announcement: when more departures than are kept
/// were announced within one millisecond, all of them were forgotten, even the newest.
#[test]
fn departures_announced_at_once_are_not_all_evicted() {
    let mut roster = Roster::default();
    for number in 0..2_100_u64 {
        roster.note_leaving_announced(5, &format!("w{number}"), 1);
    }
    assert_eq!(roster.unlisted_departure_count(), 2_048);
}
