//! Departures and ends of workers that a store restored from a copy must not undo.

mod workers;

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::key::incarnation_key;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::roster::Barred;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

/// Time at which the store is restored and its second era begins, in milliseconds.
const RESTORED_MS: u64 = 10_000;

/// Time after the restore from which a row of the copy that still exists is trusted, in
/// milliseconds.
const TRUSTED_AFTER_MS: u64 = 6_000;

/// Returns a position before the restore.
fn before(version: u64) -> StorePosition {
    StorePosition::new(1, version)
}

/// Returns a position after the restore.
fn after(version: u64) -> StorePosition {
    StorePosition::new(2, version)
}

fn row(started_unix_ms: u64, is_leaving: bool) -> WorkerRecord {
    WorkerRecord {
        started_unix_ms,
        is_leaving,
        ..record("w", &[])
    }
}

/// Returns why nothing may be sent to the worker, and checks that the choice of a worker and the
/// check before a send agree.
fn barred(roster: &Roster) -> Option<Barred> {
    let barred = roster.barred(RESTORED_MS, "w", Purpose::Call, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = roster.choose(RESTORED_MS, &routing_request(None), None, &mut rng);
    assert_eq!(choice.is_ok(), barred.is_none(), "{barred:?}");
    barred
}

/// Returns a roster whose only worker is gone when the second era begins.
fn roster_of_gone_worker() -> Roster {
    let mut roster = Roster::default();
    roster.put(before(40), row(100, false));
    roster.remove(before(75), "w");
    roster.enter_era(RESTORED_MS, 2);
    roster
}

/// Guards against a row of the copy that cancels a departure. A later incarnation isn't affected by
/// that departure.
#[test]
fn a_departure_in_a_row_survives_a_restore() {
    let mut roster = Roster::default();
    roster.put(before(40), row(100, false));
    roster.put(before(75), row(100, true));
    let announced = roster.enter_era(RESTORED_MS, 2);
    let news = DepartureNews {
        worker: worker_key("w"),
        start: incarnation_key("w", 100),
    };
    assert_eq!(announced, [news], "peers that never had that row are told");
    assert_eq!(roster.enter_era(RESTORED_MS, 2), [], "once");
    roster.put(after(40), row(100, false));
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    roster.put(after(60), row(200, false));
    assert_eq!(barred(&roster), None);
}

/// Guards against a row of the copy that brings back an incarnation that is gone and has shown no
/// sign of life since.
#[test]
fn an_incarnation_that_is_gone_stays_gone_until_it_shows_a_sign_of_life() {
    let mut roster = roster_of_gone_worker();
    roster.put(after(40), row(100, false));
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    assert_eq!(
        roster.departure_news("w"),
        None,
        "nobody announced a departure"
    );
    roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS - 1);
    assert_eq!(barred(&roster), Some(Barred::Leaving));

    let mut rewritten = roster.clone();
    rewritten.put(after(60), row(100, false));
    assert_eq!(
        barred(&rewritten),
        Some(Barred::Leaving),
        "this may be the row of the copy"
    );
    let other = WorkerRecord {
        slot_count: 3,
        ..row(100, false)
    };
    rewritten.put(after(61), other);
    assert_eq!(
        barred(&rewritten),
        None,
        "the row was written after the restore"
    );

    let mut restored_again = roster.clone();
    restored_again.enter_era(RESTORED_MS, 3);
    restored_again.put(StorePosition::new(3, 40), row(100, false));
    assert_eq!(
        barred(&restored_again),
        Some(Barred::Leaving),
        "the row of another copy"
    );

    let mut interrupted = roster.clone();
    interrupted.distrust_restored_rows(RESTORED_MS + 3_000);
    interrupted.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(
        barred(&interrupted),
        Some(Barred::Leaving),
        "the store was unreachable"
    );

    roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(
        barred(&roster),
        None,
        "rows of silent workers have ended by now"
    );
}

/// Guards against the exclusion of a new incarnation because an earlier one is gone.
#[test]
fn a_new_incarnation_of_a_gone_worker_serves_at_once() {
    let mut roster = roster_of_gone_worker();
    roster.put(after(40), row(200, false));
    assert_eq!(barred(&roster), None);
}

/// Guards against forgetting a worker's own announcement once rows of the copy are trusted again.
#[test]
fn a_workers_own_announcement_outlasts_the_distrust_of_restored_rows() {
    for is_listed_before in [true, false] {
        let mut roster = roster_of_gone_worker();
        if is_listed_before {
            roster.put(after(40), row(100, false));
        }
        assert!(
            roster.note_leaving_announced(RESTORED_MS, "w", 100),
            "the announcement is new"
        );
        roster.put(after(40), row(100, false));
        roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
        roster.put(after(60), row(100, false));
        assert_eq!(barred(&roster), Some(Barred::Leaving));
    }
}

/// Guards against dropping a worker that is missing from the copy before it can write its row
/// again.
#[test]
fn a_worker_missing_from_the_copy_is_back_with_its_next_row() {
    let mut roster = Roster::default();
    roster.put(before(75), row(100, false));
    roster.enter_era(RESTORED_MS, 2);
    assert!(roster.lapse(after(57), "w", RESTORED_MS + 2_300));
    assert_eq!(barred(&roster), None);
    roster.put(after(58), row(100, false));
    assert_eq!(roster.lapsed(RESTORED_MS + 2_300), []);
    roster.lapse(after(59), "w", RESTORED_MS + 2_300);
    let lapsed = roster.lapsed(RESTORED_MS + 2_300);
    assert_eq!(lapsed, [(after(59), Arc::from("w"))]);
}

/// Guards against a row of the copy that brings back the incarnation before the serving one.
#[test]
fn a_superseded_incarnation_stays_excluded() {
    let mut roster = Roster::default();
    roster.put(before(40), row(100, false));
    roster.put(before(75), row(200, false));
    roster.enter_era(RESTORED_MS, 2);
    roster.put(after(40), row(100, false));
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    roster.put(after(60), row(200, false));
    assert_eq!(barred(&roster), None);
    // An incarnation that came back after the other one is not superseded.
    let mut returned = Roster::default();
    returned.put(before(40), row(100, false));
    returned.put(before(75), row(200, false));
    returned.put(before(76), row(100, false));
    returned.enter_era(RESTORED_MS, 2);
    returned.put(after(76), row(100, false));
    assert_eq!(barred(&returned), None);
}

/// Guards against trusting an incarnation that announced its departure and is gone, only because
/// the copy lists it for a while.
#[test]
fn an_incarnation_that_left_and_is_gone_stays_excluded() {
    let mut roster = Roster::default();
    roster.put(before(40), row(100, false));
    roster.put(before(70), row(100, true));
    roster.remove(before(75), "w");
    roster.enter_era(RESTORED_MS, 2);
    roster.put(after(40), row(100, false));
    roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    // Gone and followed by another incarnation: the earlier one stays excluded as well.
    let mut followed = roster_of_gone_worker();
    followed.put(after(80), row(200, false));
    followed.remove(after(81), "w");
    followed.put(after(82), row(300, false));
    followed.enter_era(RESTORED_MS, 3);
    followed.put(StorePosition::new(3, 80), row(200, false));
    followed.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(barred(&followed), Some(Barred::Leaving));
}

/// Guards against a copy that brings back a worker whose end became known after the new era was
/// announced and before its list was read.
#[test]
fn a_worker_that_lapses_before_the_list_of_a_new_era_is_excluded_too() {
    let mut roster = Roster::default();
    roster.put(before(40), row(100, false));
    roster.lapse(before(75), "w", RESTORED_MS);
    roster.enter_era(RESTORED_MS, 2);
    for (position, id) in roster.lapsed(RESTORED_MS) {
        roster.remove(position, &id);
    }
    roster.put(after(40), row(100, false));
    assert_eq!(barred(&roster), Some(Barred::Leaving));
    roster.trust_restored_rows(RESTORED_MS + TRUSTED_AFTER_MS);
    assert_eq!(barred(&roster), None);
}
