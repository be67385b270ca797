//! The list of workers: the deltas that instances send each other, and the lists they apply to.

mod sequences;

use assert_matches::assert_matches;

use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::ListPart;
use cranereach_fleet::listing::Listing;
use cranereach_fleet::listing::Span;
use cranereach_fleet::listing::Verdict;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

fn changed(key: &str, version: u64) -> ChangedRow {
    ChangedRow {
        key: key.to_owned(),
        position: at(version),
        value: Some(vec![0; 100]),
    }
}

fn ended(key: &str, version: u64) -> ChangedRow {
    ChangedRow {
        value: None,
        ..changed(key, version)
    }
}

/// Offers a delta to a list, which takes it if it applies.
fn offer(part: &ListPart<'_>, listing: &mut Listing) -> Verdict {
    let verdict = listing.judge(part.from, part.position, part.span);
    if verdict == Verdict::Applies {
        let rows = part.rows.iter().copied().cloned().collect();
        listing.take(part.position, part.span, rows);
    }
    verdict
}

fn keys(listing: &Listing) -> Vec<&str> {
    let mut keys: Vec<&str> = listing.rows().map(|(key, ..)| key).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn the_first_read_of_a_new_instance_hides_no_ended_row_from_its_peers() {
    let mut old = Listing::default();
    old.take_whole(at(5), vec![changed("stays", 1), changed("ends", 2)]);
    let mut new = Listing::default();
    // The row ended at version 7; the new instance never had it.
    new.take_whole(at(9), vec![changed("stays", 1)]);
    assert_eq!(offer(&new.part().unwrap(), &mut old), Verdict::Gap);
    assert_eq!(old.position(), at(5), "it still needs the changes after 5");
    old.take(at(9), Span::Changes, vec![ended("ends", 7)]);
    assert_eq!(keys(&old), ["stays"]);
}

#[test]
fn a_difference_of_whole_lists_applies_only_at_its_first_version() {
    let start = vec![changed("a", 1)];
    let (mut reader, mut same, mut ahead) = <(Listing, Listing, Listing)>::default();
    for listing in [&mut reader, &mut same, &mut ahead] {
        listing.take_whole(at(5), start.clone());
    }
    // A row added at 6 and removed at 7 is on neither of the reader's lists.
    ahead.take(at(6), Span::Changes, vec![changed("short", 6)]);
    reader.take_whole(at(8), Vec::new());
    assert_eq!(offer(&reader.part().unwrap(), &mut ahead), Verdict::Gap);
    assert_eq!(offer(&reader.part().unwrap(), &mut same), Verdict::Applies);
    assert!(keys(&same).is_empty());
    // Changes read later are sent without the difference that was computed from whole lists.
    reader.take(at(9), Span::Changes, vec![changed("b", 9)]);
    let part = reader.part().unwrap();
    assert_eq!((part.from, part.span), (at(8), Span::Changes));
    // An instance that received a difference passes it on as one.
    assert_eq!(same.part().unwrap().span, Span::Difference);
}

#[test]
fn ends_of_unknown_rows_are_sent_as_well() {
    let mut reader = Listing::default();
    reader.take_whole(at(5), Vec::new());
    let mut ahead = reader.clone();
    ahead.take(at(6), Span::Changes, vec![changed("short", 6)]);
    reader.take(at(8), Span::Changes, vec![ended("short", 7)]);
    assert_eq!(offer(&reader.part().unwrap(), &mut ahead), Verdict::Applies);
    assert!(keys(&ahead).is_empty());
}

#[test]
fn an_older_list_changes_no_newer_row() {
    let mut listing = Listing::default();
    listing.take_whole(at(5), vec![changed("old", 3), changed("new", 6)]);
    assert_eq!(listing.take_whole(at(4), Vec::new()), []);
    let ends = listing.take_whole(at(5), Vec::new());
    assert_eq!(
        ends,
        [ended("old", 5)],
        "the row on a later page is newer than the list"
    );
    assert_eq!(keys(&listing), ["new"]);
    assert_eq!(
        listing.take(at(6), Span::Changes, vec![changed("new", 4)]),
        []
    );
    assert_eq!(
        listing.take(at(6), Span::Changes, vec![ended("new", 6)]),
        []
    );
    assert_eq!(keys(&listing), ["new"]);
}

#[test]
fn a_delta_is_judged_by_its_first_and_last_versions() {
    let mut list = Listing::default();
    assert_eq!(list.judge(at(0), at(0), Span::Changes), Verdict::Old);
    assert_eq!(list.judge(at(0), at(9), Span::Changes), Verdict::Applies);
    assert_eq!(list.judge(at(3), at(9), Span::Changes), Verdict::Gap);
    list.take_whole(at(5), Vec::new());
    for (from_version, version, span, expected) in [
        (0, 4, Span::Changes, Verdict::Old),
        (4, 5, Span::Changes, Verdict::Applies),
        (5, 6, Span::Changes, Verdict::Applies),
        (2, 6, Span::Changes, Verdict::Applies),
        (6, 7, Span::Changes, Verdict::Gap),
        (2, 5, Span::Difference, Verdict::Applies),
        (5, 6, Span::Difference, Verdict::Applies),
        (2, 6, Span::Difference, Verdict::Gap),
        (0, 6, Span::Difference, Verdict::Gap),
        (0, 4, Span::Difference, Verdict::Old),
    ] {
        assert_eq!(
            list.judge(at(from_version), at(version), span),
            expected,
            "{from_version}..{version} {span:?}"
        );
    }
}

#[test]
fn a_delta_holds_the_last_reads_but_stays_small() {
    let mut list = Listing::default();
    assert_matches!(list.part(), None);
    list.take(at(1), Span::Changes, vec![changed("a", 1)]);
    list.take(at(2), Span::Changes, vec![changed("b", 2)]);
    let part = list.part().unwrap();
    assert_eq!((part.from, part.position), (at(0), at(2)));
    let sent_keys: Vec<&str> = part.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(sent_keys, ["a", "b"]);
    let many = |count: u64, version: u64| {
        let rows = (0..count).map(|row| changed(&format!("{version}-{row}"), version));
        rows.collect()
    };
    list.take(at(3), Span::Changes, many(200, 3));
    let part = list.part().unwrap();
    assert_eq!((part.from, part.rows.len()), (at(2), 200));
    list.take(at(4), Span::Changes, many(10_000, 4));
    let part = list.part().unwrap();
    assert_eq!((part.from, part.rows.len()), (at(4), 0));
}

#[test]
fn an_instance_far_behind_gets_all_missed_changes_or_none() {
    let mut list = Listing::default();
    list.take_whole(at(5), vec![changed("stays", 1), changed("ends", 2)]);
    let behind = list.clone();
    for version in 6..40 {
        let row = changed(&format!("new-{version}"), version);
        list.take(at(version), Span::Changes, vec![row]);
    }
    list.take(at(40), Span::Changes, vec![ended("ends", 40)]);
    assert_eq!(
        behind.judge(list.part().unwrap().from, at(40), Span::Changes),
        Verdict::Gap
    );
    let rows = list.since(at(5)).unwrap();
    assert_eq!(rows.len(), 35, "more than a delta of the last reads holds");
    assert_eq!(rows.last(), Some(&ended("ends", 40)));
    assert_eq!(list.span_since(at(5)), Span::Changes);
    assert_eq!(
        list.since(at(4)),
        None,
        "rows that ended before the first list are unknown"
    );
    list.take_whole(at(50), Vec::new());
    assert_eq!(list.span_since(at(5)), Span::Difference);
    assert_eq!(
        list.since(at(45)),
        None,
        "a row may have been added and removed unseen"
    );
    assert!(list.since(at(40)).is_some());
}

#[test]
fn an_instance_that_fetches_a_list_adopts_its_history() {
    let mut source = Listing::default();
    source.take_whole(at(5), vec![changed("a", 1), changed("b", 2)]);
    source.take(at(9), Span::Changes, vec![ended("b", 7)]);
    let mut fetcher = Listing::default();
    fetcher.take_whole(at(9), vec![changed("a", 1)]);
    assert_eq!(
        fetcher.since(at(6)),
        None,
        "it has no history of ended rows"
    );
    fetcher.adopt_history(at(8), source.history().clone());
    assert_eq!(fetcher.since(at(6)), None, "history of another version");
    fetcher.adopt_history(at(9), source.history().clone());
    assert_eq!(fetcher.since(at(6)), Some(vec![ended("b", 7)]));
}

#[test]
fn the_history_of_ended_rows_is_bounded() {
    let mut list = Listing::default();
    list.take_whole(at(1), Vec::new());
    for version in 2..5_000 {
        let key = format!("w{version}");
        list.take(at(version), Span::Changes, vec![ended(&key, version)]);
    }
    assert_eq!(list.since(at(2)), None);
    assert_eq!(list.since(at(4_900)).map(|rows| rows.len()), Some(99));
}
