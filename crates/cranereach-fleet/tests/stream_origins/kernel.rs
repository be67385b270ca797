//! The rules of the kernel, one by one.

use std::net::Ipv4Addr;

use cranereach_fleet::freshness::OUTAGE_RECOVERY_MS;
use cranereach_fleet::stream_origins::Decision;
use cranereach_fleet::stream_origins::HELD_NOTE_MAX_COUNT;
use cranereach_fleet::stream_origins::OWN_NOTE_MAX_COUNT;
use cranereach_fleet::stream_origins::Origin;
use cranereach_fleet::stream_origins::OriginAnswer;
use cranereach_fleet::stream_origins::OriginNote;
use cranereach_fleet::stream_origins::StoreMoment;
use cranereach_fleet::stream_origins::StreamOrigins;
use cranereach_fleet::stream_origins::TOLD_MAX_COUNT;
use cranereach_fleet::stream_origins::VersionHistory;
use cranereach_fleet::stream_origins::VersionStatement;
use cranereach_fleet::stream_origins::VersionView;
use cranereach_fleet::stream_origins::all_started;
use cranereach_fleet::stream_origins::holders;
use cranereach_fleet::stream_origins::stream_key;
use cranereach_fleet::topology::DomainTag;

const SERVICE: u64 = 7;
const LIFE_MS: u64 = 20_000;

fn origin(version: u64) -> Origin {
    Origin {
        service: SERVICE,
        version,
    }
}

/// Returns an instance that has seen these versions since time zero.
fn watching(versions: &[u64]) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.observe(0, SERVICE, LIFE_MS, true, versions);
    origins
}

fn note(key: u64, version: u64) -> OriginNote {
    OriginNote {
        key,
        origin: origin(version),
        expires_in_ms: 20_000,
    }
}

/// Guards against a version that is forgotten while streams that began at it may come back.
#[test]
fn a_version_counts_as_long_as_its_streams_last() {
    let mut origins = watching(&[1, 2]);
    for at_ms in (1_000..LIFE_MS + 1_000).step_by(1_000) {
        assert_eq!(origins.decide(at_ms - 1, SERVICE, 5, true), Decision::Ask);
        origins.observe(at_ms, SERVICE, LIFE_MS, true, &[2]);
    }
    let later_ms = LIFE_MS + 1_000;
    assert_eq!(origins.view(later_ms, SERVICE), VersionView::Only(2));
    let decision = origins.decide(later_ms, SERVICE, 5, true);
    assert_eq!(decision, Decision::GoOn(origin(2)));
}

/// Guards against a version counting as settled too early, or anew each time that it is seen.
#[test]
fn a_version_is_settled_some_time_after_it_was_first_seen() {
    let mut origins = watching(&[1]);
    for at_ms in (250..=2_000).step_by(250) {
        origins.observe(at_ms, SERVICE, LIFE_MS, true, &[1, 2]);
    }
    assert_eq!(origins.settled_versions(999, SERVICE, 1_000), []);
    assert_eq!(origins.settled_versions(1_000, SERVICE, 1_000), [1]);
    assert_eq!(origins.settled_versions(1_249, SERVICE, 1_000), [1]);
    assert_eq!(origins.settled_versions(1_250, SERVICE, 1_000), [1, 2]);
    assert_eq!(origins.settled_versions(1_250, SERVICE + 1, 1_000), []);
}

/// Guards against a list that missed changes counting as watched.
#[test]
fn a_list_that_was_not_current_starts_the_watch_anew() {
    let mut origins = watching(&[1]);
    origins.observe(LIFE_MS, SERVICE, LIFE_MS, true, &[1]);
    assert_eq!(origins.view(LIFE_MS, SERVICE), VersionView::Only(1));
    origins.observe(LIFE_MS + 1, SERVICE, LIFE_MS, false, &[1]);
    assert_eq!(origins.view(LIFE_MS + 1, SERVICE), VersionView::Uncertain);
    origins.observe(LIFE_MS + 2, SERVICE, LIFE_MS, true, &[1]);
    assert_eq!(origins.view(LIFE_MS + 2, SERVICE), VersionView::Started(1));
}

/// Guards against a stream of a new version that is not noted because the list is late.
#[test]
fn a_stream_of_an_unlisted_version_makes_the_service_mixed() {
    let mut origins = watching(&[1]);
    let now_ms = LIFE_MS + 10;
    origins.observe(LIFE_MS, SERVICE, LIFE_MS, true, &[1]);
    let peer = (Ipv4Addr::new(10, 0, 0, 2), DomainTag::of("a"));
    origins.stream_began(now_ms, 5, origin(1), LIFE_MS);
    let due = origins.take_due(now_ms, |key| holders(key, [peer].into_iter()));
    assert!(due.is_empty());
    origins.stream_began(now_ms, 6, origin(2), LIFE_MS);
    assert_eq!(origins.view(now_ms, SERVICE), VersionView::Uncertain);
    let due = origins.take_due(now_ms, |key| holders(key, [peer].into_iter()));
    let mut keys: Vec<u64> = due[&peer.0].iter().map(|note| note.key).collect();
    keys.sort_unstable();
    assert_eq!(keys, [5, 6]);
}

/// Guards against notes that are told again and again to the same holders.
#[test]
fn a_note_is_told_once_until_its_holders_change() {
    let mut origins = watching(&[1, 2]);
    origins.stream_began(10, 5, origin(1), LIFE_MS);
    let first = (Ipv4Addr::new(10, 0, 0, 2), DomainTag::of("a"));
    let second = (Ipv4Addr::new(10, 0, 0, 3), DomainTag::of("b"));
    let due = origins.take_due(10, |key| holders(key, [first].into_iter()));
    assert_eq!(due.len(), 1);
    origins.recheck(20);
    let due = origins.take_due(20, |key| holders(key, [first].into_iter()));
    assert!(due.is_empty());
    origins.recheck(30);
    let due = origins.take_due(30, |key| holders(key, [first, second].into_iter()));
    assert_eq!(due.keys().collect::<Vec<_>>(), [&second.0]);
}

/// Guards against the note of a stream that has just begun waiting behind all that are checked
/// again.
#[test]
fn a_new_note_is_told_before_those_that_are_checked_again() {
    let mut origins = watching(&[1, 2]);
    let count = 2 * TOLD_MAX_COUNT as u64;
    for key in 1..=count {
        origins.stream_began(10, key, origin(1), LIFE_MS);
    }
    origins.recheck(10);
    origins.stream_began(20, count + 1, origin(2), LIFE_MS);
    let peer = (Ipv4Addr::new(10, 0, 0, 2), DomainTag::of("a"));
    let due = origins.take_due(20, |key| holders(key, [peer].into_iter()));
    assert_eq!(due[&peer.0].len(), TOLD_MAX_COUNT);
    assert_eq!(due[&peer.0][0].key, count + 1);
}

/// Guards against two streams with one key, one of which would continue at the other's version.
#[test]
fn notes_that_contradict_each_other_refuse_the_stream() {
    let mut origins = watching(&[1, 2]);
    origins.told(10, &note(5, 1));
    assert_eq!(
        origins.decide(10, SERVICE, 5, true),
        Decision::GoOn(origin(1))
    );
    origins.told(20, &note(5, 2));
    assert_eq!(origins.decide(20, SERVICE, 5, true), Decision::Refuse);
    assert_eq!(origins.answer(20, SERVICE, 5), OriginAnswer::Unknown);
    let answers = [
        OriginAnswer::Known(origin(1)),
        OriginAnswer::Known(origin(2)),
    ];
    let decision = origins.decide_by_answers(20, SERVICE, &answers, true);
    assert_eq!(decision, Decision::Refuse);
}

/// Guards against notes without end, whatever the deadline in a message says.
#[test]
fn notes_expire_and_are_limited_in_number() {
    let mut origins = watching(&[1, 2]);
    for key in 1..=HELD_NOTE_MAX_COUNT as u64 + 10 {
        origins.told(10, &note(key, 1));
        origins.stream_began(10, key, origin(1), LIFE_MS);
    }
    let counts = origins.note_counts();
    assert_eq!(counts, (OWN_NOTE_MAX_COUNT, HELD_NOTE_MAX_COUNT));
    let mut origins = watching(&[1, 2]);
    origins.told(10, &note(5, 1));
    origins.stream_began(10, 6, origin(1), LIFE_MS);
    let later_ms = 10 + LIFE_MS;
    assert_eq!(
        origins.decide(later_ms - 1, SERVICE, 5, true),
        Decision::GoOn(origin(1))
    );
    assert_eq!(origins.decide(later_ms, SERVICE, 5, true), Decision::Ask);
    assert_eq!(origins.decide(later_ms, SERVICE, 6, true), Decision::Ask);
}

/// Guards against a list that is behind hiding the version at which a stream began elsewhere.
#[test]
fn a_list_that_is_not_fresh_is_not_enough() {
    let mut origins = watching(&[1]);
    origins.observe(LIFE_MS, SERVICE, LIFE_MS, true, &[1]);
    let now_ms = LIFE_MS + 1;
    let decision = origins.decide(now_ms, SERVICE, 5, false);
    assert_eq!(decision, Decision::Ask);
    let mut decide =
        |answers: &[OriginAnswer]| origins.decide_by_answers(now_ms, SERVICE, answers, true);
    assert_eq!(decide(&[OriginAnswer::Only(1)]), Decision::GoOn(origin(1)));
    assert_eq!(
        decide(&[OriginAnswer::Known(origin(2))]),
        Decision::GoOn(origin(2))
    );
    let mixed = [OriginAnswer::Only(1), OriginAnswer::Unknown];
    assert_eq!(decide(&mixed), Decision::Refuse);
    assert_eq!(decide(&[]), Decision::Refuse);
}

/// Guards against guesses: each combination of what is seen here and what holders answer.
#[test]
fn an_unknown_origin_is_inferred_only_from_a_single_version() {
    let decide = |versions: &[u64], answers: &[OriginAnswer], has_peers: bool| {
        watching(versions).decide_by_answers(10, SERVICE, answers, has_peers)
    };
    let go_on = Decision::GoOn(origin(1));
    assert_eq!(decide(&[1], &[OriginAnswer::Only(1)], true), go_on);
    let one_of_both = [OriginAnswer::Started(1), OriginAnswer::Only(1)];
    assert_eq!(decide(&[1], &one_of_both, true), go_on);
    let started = [OriginAnswer::Started(1)];
    assert_eq!(decide(&[1], &started, true), Decision::Refuse);
    assert_eq!(decide(&[1], &[], false), go_on);
    assert_eq!(decide(&[1], &[], true), Decision::Refuse);
    for answer in [
        OriginAnswer::Only(2),
        OriginAnswer::Started(2),
        OriginAnswer::Unknown,
    ] {
        assert_eq!(decide(&[1], &[answer], true), Decision::Refuse);
        assert_eq!(
            decide(&[1], &[OriginAnswer::Only(1), answer], true),
            Decision::Refuse
        );
    }
    assert_eq!(
        decide(&[1, 2], &[OriginAnswer::Only(1)], true),
        Decision::Refuse
    );
    let known = [OriginAnswer::Unknown, OriginAnswer::Known(origin(1))];
    assert_eq!(decide(&[1, 2], &known, true), go_on);
}

/// Guards against questions for a stream whose request names no origin.
#[test]
fn a_stream_without_a_named_origin_is_refused_in_a_mixed_service() {
    let refused = watching(&[1, 2]).decide(10, SERVICE, 0, true);
    assert_eq!(refused, Decision::Refuse);
    let refused = watching(&[]).decide(10, SERVICE, 0, true);
    assert_eq!(refused, Decision::Refuse);
    let decision = watching(&[1]).decide(10, SERVICE, 0, true);
    assert_eq!(decision, Decision::GoOn(origin(1)));
}

/// Guards against keys that equal those of another account or route.
#[test]
fn keys_bind_route_account_and_request() {
    let key = stream_key("/a", Some("b"), "id");
    for other in [
        stream_key("/c", Some("b"), "id"),
        stream_key("/a", Some("c"), "id"),
        stream_key("/a", None, "id"),
        stream_key("/ab", Some(""), "id"),
        stream_key("/a", Some("b"), "id2"),
    ] {
        assert_ne!(key, other);
    }
}

/// Guards against a shorter timeout making an instance forget a version whose streams began under
/// the longer one and still run.
#[test]
fn a_shorter_timeout_does_not_shorten_the_life_of_streams_that_run() {
    let mut origins = StreamOrigins::default();
    for now_ms in (0..=70_000).step_by(250) {
        origins.observe(now_ms, SERVICE, 60_000, true, &[1]);
    }
    // At another instance, a stream begins at version 1 now, and lasts for up to 60 s. Then the
    // configuration lowers the timeout, and version 2 replaces version 1.
    for now_ms in (70_250..72_000).step_by(250) {
        origins.observe(now_ms, SERVICE, 5_000, true, &[1]);
    }
    for now_ms in (72_000..=80_000).step_by(250) {
        origins.observe(now_ms, SERVICE, 5_000, true, &[2]);
    }
    let decision = origins.decide(80_000, SERVICE, 99, true);
    assert_eq!(decision, Decision::Ask);
}

/// Guards against streams of two versions after all instances were killed during an outage of the
/// store: a worker that started again with another version is listed only some time after the
/// outage, and what is kept in the store doesn't tell of it.
#[test]
fn a_history_counts_once_workers_are_listed_again() {
    let moment = |at_ms| StoreMoment {
        era: 0,
        at_ms,
        own_ms: 0,
    };
    let started = [(SERVICE, VersionStatement::Started(1))];
    let history = VersionHistory::default().updated(moment(0), &started);
    let history = history.unwrap();
    let mut origins = StreamOrigins::default();
    let read = (moment(100_000), &history);
    origins.observe(1_000, SERVICE, LIFE_MS, true, &[1]);
    assert!(!origins.confirm_by_history(1_000, SERVICE, read));
    assert_eq!(origins.services_for_history(1_000), []);
    let mut late = origins.clone();
    let listed_again_ms = 1_000 + OUTAGE_RECOVERY_MS;
    // The worker is listed with its other version by then.
    late.observe(listed_again_ms, SERVICE, LIFE_MS, true, &[1, 2]);
    assert!(!late.confirm_by_history(listed_again_ms, SERVICE, read));
    origins.observe(listed_again_ms, SERVICE, LIFE_MS, true, &[1]);
    assert_eq!(origins.services_for_history(listed_again_ms), [SERVICE]);
    assert!(origins.confirm_by_history(listed_again_ms, SERVICE, read));
    assert_eq!(origins.view(listed_again_ms, SERVICE), VersionView::Only(1));
    assert_eq!(origins.services_for_history(listed_again_ms), []);
}

/// Guards against a history that proves the version of a service which nobody has watched meanwhile.
#[test]
fn services_that_are_not_watched_leave_the_history() {
    let moment = |at_ms| StoreMoment {
        era: 0,
        at_ms,
        own_ms: 0,
    };
    let stated = [SERVICE, SERVICE + 1].map(|service| (service, VersionStatement::Started(1)));
    let mut history = VersionHistory::default()
        .updated(moment(0), &stated)
        .unwrap();
    let origins = watching(&[1]);
    history.retain_services(|service| origins.is_watched(service));
    let proven = |service| history.proven_version(moment(LIFE_MS), service, LIFE_MS);
    assert_eq!([proven(SERVICE), proven(SERVICE + 1)], [Some(1), None]);
}

/// Guards against a history that counts after an outage of the store, in which workers may have run
/// versions that no row ever named.
#[test]
fn a_history_proves_nothing_across_a_gap() {
    let moment = |at_ms, own_ms| StoreMoment {
        era: 0,
        at_ms,
        own_ms,
    };
    let started = [(SERVICE, VersionStatement::Started(1))];
    let history = VersionHistory::default().updated(moment(0, 0), &started);
    let history = history.unwrap();
    let mut origins = watching(&[1]);
    origins.observe(1_000, SERVICE, LIFE_MS, false, &[1]);
    origins.observe(9_000, SERVICE, LIFE_MS, true, &[1]);
    let later_ms = 9_000 + OUTAGE_RECOVERY_MS;
    origins.observe(later_ms, SERVICE, LIFE_MS, true, &[1]);
    assert_eq!(origins.services_for_history(later_ms), []);
    let read = (moment(100_000, later_ms), &history);
    assert!(!origins.confirm_by_history(later_ms, SERVICE, read));
    // One that has just started, and asks this one, learns that it must not read it either.
    let answer = origins.answer(later_ms, SERVICE, 0);
    assert_eq!(answer, OriginAnswer::Unknown);
    assert!(!all_started(1, &[answer]));
    // Nor does an instance without peers go by its own list.
    let decision = origins.decide_by_answers(later_ms, SERVICE, &[], false);
    assert_eq!(decision, Decision::Refuse);
    // What is kept says from now on that the time began anew with the list.
    let statements = origins.statements(later_ms);
    let updated = history.updated(moment(100_000, later_ms), &statements);
    let updated = updated.unwrap();
    let began_ms = 100_000 - OUTAGE_RECOVERY_MS;
    let proven_at = |at_ms| updated.proven_version(moment(at_ms, 0), SERVICE, LIFE_MS);
    assert_eq!(proven_at(began_ms + LIFE_MS - 1), None);
    assert_eq!(proven_at(began_ms + LIFE_MS), Some(1));
    assert_eq!(
        updated.updated(moment(100_000, later_ms), &statements),
        None
    );
}
