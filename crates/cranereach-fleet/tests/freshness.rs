//! When instances of each rank read the list of workers.

use assert_matches::assert_matches;

use cranereach_fleet::freshness::Freshness;

const BOUND_MS: u64 = 2_000;

#[test]
fn every_rank_reads_before_the_bound_and_the_first_one_first() {
    let mut list = Freshness::new(BOUND_MS);
    for rank in [0, 1, 3, 90] {
        assert_eq!(
            list.read_due_at_ms(rank),
            0,
            "an empty list is read at once"
        );
    }
    list.confirm(10_000);
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
    // The time that is left is enough for a read with half of its time-out.
    assert!(due[5] <= 10_000 + BOUND_MS * 4 / 5, "{due:?}");
}

#[test]
fn news_from_a_peer_postpones_the_own_read() {
    let mut list = Freshness::new(BOUND_MS);
    list.confirm(1_000);
    let before = list.read_due_at_ms(0);
    list.confirm(1_500);
    assert_eq!(list.read_due_at_ms(0), before + 500);
    // Older news has no effect.
    list.confirm(1_200);
    assert_eq!(list.read_due_at_ms(0), before + 500);
    list.invalidate();
    assert_eq!(list.read_due_at_ms(0), 0);
}

#[test]
fn rows_missing_after_an_outage_may_only_have_lapsed() {
    let mut list = Freshness::new(BOUND_MS);
    assert_eq!(list.lapse_until_ms(0, 0), None, "the first read");
    list.confirm(0);
    assert_eq!(list.lapse_until_ms(900, 890), None, "calm");
    list.confirm(890);
    let until_ms = list.lapse_until_ms(6_000, 5_990);
    assert_matches!(until_ms, Some(until_ms) if (8_000..9_000).contains(&until_ms));
    list.confirm(5_990);
    assert_eq!(list.lapse_until_ms(7_000, 6_990), until_ms);
    list.confirm(6_990);
    assert_eq!(list.lapse_until_ms(8_500, 8_490), None);
}
