//! Who reads the list of workers, when, and what it passes on.

use assert_matches::assert_matches;
use proptest::prelude::*;

use cranereach_fleet::list_sync::ChangedRow;
use cranereach_fleet::list_sync::ListSync;
use cranereach_fleet::list_sync::Verdict;

const BOUND_MS: u64 = 2_000;

fn changed(key: &str, version: u64) -> ChangedRow {
    ChangedRow {
        key: key.to_owned(),
        version,
        value: Some(vec![0; 100]),
    }
}

#[test]
fn every_rank_reads_before_the_bound_and_the_first_one_first() {
    let mut list = ListSync::new(BOUND_MS);
    for rank in [0, 1, 3, 90] {
        assert_eq!(
            list.read_due_at_ms(rank),
            0,
            "an empty list is read at once"
        );
    }
    list.advance(10_000, 5, Vec::new());
    let due: Vec<u64> = [0, 1, 2, 3, 4, 90]
        .iter()
        .map(|rank| list.read_due_at_ms(*rank))
        .collect();
    assert!(due[0] > 10_000 + BOUND_MS / 4, "{due:?}");
    assert!(
        due[0] < due[1] && due[1] < due[2] && due[2] < due[3],
        "{due:?}"
    );
    assert_eq!(due[3], due[5]);
    // What is left is enough for a read with its time-out halved.
    assert!(due[5] <= 10_000 + BOUND_MS * 4 / 5, "{due:?}");
}

#[test]
fn news_from_a_peer_puts_the_own_read_off() {
    let mut list = ListSync::new(BOUND_MS);
    list.advance(1_000, 5, Vec::new());
    let before = list.read_due_at_ms(0);
    list.advance(1_500, 5, Vec::new());
    assert_eq!(list.read_due_at_ms(0), before + 500);
    // Older news takes nothing back.
    list.advance(1_200, 4, Vec::new());
    assert_eq!(list.read_due_at_ms(0), before + 500);
    assert_eq!(list.version(), 5);
    list.distrust();
    assert_eq!(list.read_due_at_ms(0), 0);
}

#[test]
fn a_part_is_judged_by_the_versions_it_joins() {
    let mut list = ListSync::new(BOUND_MS);
    assert_eq!(list.judge(0, 0), Verdict::Old);
    assert_eq!(list.judge(0, 9), Verdict::Applies);
    assert_eq!(list.judge(3, 9), Verdict::Gap);
    list.advance(0, 5, Vec::new());
    for (from_version, version, expected) in [
        (0, 4, Verdict::Old),
        (4, 5, Verdict::Applies),
        (5, 6, Verdict::Applies),
        (2, 6, Verdict::Applies),
        (6, 7, Verdict::Gap),
    ] {
        assert_eq!(
            list.judge(from_version, version),
            expected,
            "{from_version}..{version}"
        );
    }
}

#[test]
fn a_part_holds_the_last_reads_but_stays_small() {
    let mut list = ListSync::new(BOUND_MS);
    assert_matches!(list.part(0), None);
    list.advance(0, 1, vec![changed("a", 1)]);
    list.advance(10, 2, vec![changed("b", 2)]);
    let part = list.part(30).unwrap();
    assert_eq!((part.from_version, part.version, part.age_ms), (0, 2, 20));
    let keys: Vec<&str> = part.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["a", "b"]);
    let many = |count: u64| (0..count).map(|row| changed("c", row)).collect();
    list.advance(20, 3, many(200));
    let part = list.part(20).unwrap();
    assert_eq!((part.from_version, part.rows.len()), (2, 200));
    list.advance(20, 4, many(10_000));
    let part = list.part(20).unwrap();
    assert_eq!((part.from_version, part.rows.len()), (4, 0));
}

#[test]
fn rows_that_end_after_an_outage_may_only_have_lapsed() {
    let mut list = ListSync::new(BOUND_MS);
    assert_eq!(list.lapse_until_ms(0, 0), None, "the first read");
    list.advance(0, 1, Vec::new());
    assert_eq!(list.lapse_until_ms(900, 890), None, "calm");
    list.advance(890, 2, Vec::new());
    let until_ms = list.lapse_until_ms(6_000, 5_990);
    assert_matches!(until_ms, Some(until_ms) if (8_000..9_000).contains(&until_ms));
    list.advance(5_990, 3, Vec::new());
    assert_eq!(list.lapse_until_ms(7_000, 6_990), until_ms);
    list.advance(6_990, 4, Vec::new());
    assert_eq!(list.lapse_until_ms(8_500, 8_490), None);
}

proptest! {
    /// Whatever is lost, doubled or comes late: a list never claims a version
    /// whose rows it lacks.
    #[test]
    fn a_list_that_claims_a_version_has_its_rows(
        events in proptest::collection::vec((any::<bool>(), 0_usize..4, any::<bool>()), 1..60)
    ) {
        let mut reader = ListSync::new(BOUND_MS);
        let mut follower = ListSync::new(BOUND_MS);
        let mut known: Vec<u64> = Vec::new();
        let mut version = 0;
        let mut in_flight: Vec<(u64, u64, Vec<u64>)> = Vec::new();
        for (reads, delivered, is_kept) in events {
            if reads {
                version += 1;
                reader.advance(version * 100, version, vec![changed("w", version)]);
                let part = reader.part(version * 100).unwrap();
                let rows = part.rows.iter().map(|row| row.version).collect();
                in_flight.push((part.from_version, part.version, rows));
            } else if delivered < in_flight.len() {
                let (from_version, to_version, rows) = in_flight[delivered].clone();
                if follower.judge(from_version, to_version) == Verdict::Applies {
                    known.extend(rows);
                    follower.advance(to_version * 100, to_version, Vec::new());
                }
                if !is_kept {
                    in_flight.remove(delivered);
                }
            }
            for claimed in 1..=follower.version() {
                prop_assert!(known.contains(&claimed), "{claimed} of {}", follower.version());
            }
        }
    }
}
