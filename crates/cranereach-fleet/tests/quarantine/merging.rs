//! Merging of worker ends that an instance observes and of updates from others, in any order.

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::calls::request_key;
use cranereach_fleet::quarantine::Change;
use cranereach_fleet::quarantine::END_MAX_COUNT;
use cranereach_fleet::quarantine::GOSSIPED_MAX_COUNT;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::quarantine::SUSPECT_MAX_COUNT;
use cranereach_fleet::quarantine::SuspectUpdate;
use cranereach_fleet::quarantine::Suspicion;

const QUARANTINED: Suspicion = Suspicion {
    end_count: END_MAX_COUNT,
    is_quarantined: true,
};

/// Returns the state of an instance that observed the ends of these workers, one second apart.
fn after_ends(workers: impl IntoIterator<Item = u64>) -> Quarantine {
    let mut instance = Quarantine::default();
    for (index, worker) in (0_i64..).zip(workers) {
        let knew_of_others = instance.suspicion(request_key(1)).end_count > 0;
        instance.ended(
            1_000 + index * 1_000,
            request_key(1),
            worker,
            knew_of_others,
        );
    }
    instance
}

fn update_from(instance: &Quarantine, now_ms: i64) -> SuspectUpdate {
    instance.update_for(now_ms, request_key(1)).unwrap()
}

#[test]
fn ends_observed_by_three_instances_add_up() {
    let mut counting = Quarantine::default();
    for worker in 1..=2 {
        counting.apply_update(9_000, &update_from(&after_ends([worker]), 9_000));
        assert!(!counting.suspicion(request_key(1)).is_quarantined);
    }
    // The third end came under an attempt whose sender knew of the others.
    let mut third = Quarantine::default();
    third.apply_update(9_000, &update_from(&counting, 9_000));
    third.ended(9_500, request_key(1), 3, true);
    assert_eq!(third.suspicion(request_key(1)), QUARANTINED);
    assert_eq!(
        counting.apply_update(9_600, &update_from(&third, 9_600)),
        Change::Suspicion
    );
    assert_eq!(counting.suspicion(request_key(1)), QUARANTINED);
}

#[test]
fn one_end_reported_many_times_counts_once() {
    let mut instance = after_ends([7]);
    let update = update_from(&instance, 1_000);
    // Also if the update comes from an instance that was suspended in between.
    for now_ms in [1_000, 1_010, 3_000, 9_000] {
        assert_eq!(instance.apply_update(now_ms, &update), Change::None);
    }
    assert_eq!(instance.suspicion(request_key(1)).end_count, 1);
}

#[test]
fn many_workers_lost_at_once_quarantine_nothing() {
    let mut instance = Quarantine::default();
    for worker in 0..20 {
        instance.ended(1_000, request_key(1), worker, false);
    }
    assert!(!instance.suspicion(request_key(1)).is_quarantined);
    // The next attempt shows whether the request caused the ends.
    instance.clear(2_000, request_key(1));
    assert_eq!(instance.suspicion(request_key(1)), Suspicion::default());
}

#[test]
fn a_repeated_end_after_many_simultaneous_ends_quarantines() {
    let mut instance = Quarantine::default();
    for worker in 0..20 {
        instance.ended(1_000, request_key(1), worker, false);
    }
    instance.ended(2_000, request_key(1), 20, true);
    assert!(instance.suspicion(request_key(1)).is_quarantined);
    // Also at an instance that knows of other ends of the same moment.
    let mut other = Quarantine::default();
    for worker in 10..20 {
        other.ended(1_000, request_key(1), worker, false);
    }
    assert_eq!(
        other.apply_update(2_100, &update_from(&instance, 2_100)),
        Change::Suspicion
    );
    assert!(other.suspicion(request_key(1)).is_quarantined);
}

#[test]
fn instances_that_observed_different_simultaneous_ends_converge() {
    let mut instances = [0_u64, 4].map(|first| {
        let mut instance = Quarantine::default();
        for worker in first..first + 4 {
            instance.ended(1_000 + worker as i64, request_key(1), worker, false);
        }
        instance
    });
    for round in 0..20_usize {
        let now_ms = 1_100 + round as i64 * 50;
        let update = update_from(&instances[round % 2], now_ms);
        // Delivered late, so that the ends it reports look more recent.
        let change = instances[(round + 1) % 2].apply_update(now_ms + 40, &update);
        assert_eq!(change, Change::None, "round {round}");
    }
}

#[test]
fn a_complete_response_clears_the_suspicion_everywhere() {
    let mut instance = after_ends([1, 2, 3]);
    let mut other = Quarantine::default();
    other.apply_update(5_000, &update_from(&instance, 5_000));
    assert_eq!(other.suspicion(request_key(1)), QUARANTINED);
    instance.clear(6_000, request_key(1));
    assert_eq!(
        other.apply_update(6_100, &update_from(&instance, 6_100)),
        Change::Suspicion
    );
    assert_eq!(other.suspicion(request_key(1)), Suspicion::default());
    // An instance that was partitioned in between doesn't bring the suspicion back.
    let stale = update_from(&after_ends([1, 2, 3]), 5_000);
    other.apply_update(5_500, &stale);
    assert_eq!(other.suspicion(request_key(1)), Suspicion::default());
}

#[test]
fn entries_with_the_least_evidence_are_evicted_first() {
    let mut instance = after_ends([1, 2, 3]);
    for number in 0..3 * SUSPECT_MAX_COUNT as u64 {
        instance.ended(
            10_000 + number as i64,
            request_key(number + 2),
            number,
            false,
        );
    }
    assert_eq!(instance.known_count(), SUSPECT_MAX_COUNT);
    assert_eq!(instance.suspicion(request_key(1)), QUARANTINED);
    let newest = request_key(3 * SUSPECT_MAX_COUNT as u64 + 1);
    assert_eq!(instance.suspicion(newest).end_count, 1);
    let updates = instance.select_for_digest(23_000, &mut StdRng::seed_from_u64(1));
    assert_eq!(updates.len(), GOSSIPED_MAX_COUNT);
    assert_eq!(
        updates[0].fingerprint,
        request_key(1).fingerprint,
        "the quarantined request is gossiped first"
    );
}

#[test]
fn a_suspicion_expires_and_a_quarantine_lasts_while_requested() {
    let minutes = |count: i64| count * 60_000;
    let mut instance = after_ends([1, 2]);
    instance.forget(minutes(9));
    assert_eq!(instance.suspicion(request_key(1)).end_count, 2);
    instance.forget(minutes(11));
    assert_eq!(instance.known_count(), 0);
    let mut instance = after_ends([1, 2, 3]);
    for hour in 1..5 {
        instance.refused(minutes(hour * 50), request_key(1));
        instance.forget(minutes(hour * 50 + 49));
        assert_eq!(instance.suspicion(request_key(1)), QUARANTINED);
    }
    instance.forget(minutes(4 * 50 + 61));
    assert_eq!(instance.known_count(), 0);
}

#[test]
fn storage_drops_only_cleared_requests() {
    let quarantined = after_ends([1, 2, 3]);
    let stored = [update_from(&quarantined, 5_000)];
    let stored_count =
        |instance: &Quarantine| instance.select_for_storage(9_000, &stored, 64).len();
    // Neither an instance that doesn't know of it nor one that knows of fewer ends removes it.
    assert_eq!(stored_count(&Quarantine::default()), 1);
    assert_eq!(stored_count(&after_ends([4])), 1);
    assert_eq!(stored_count(&quarantined), 1);
    let mut cleared = after_ends([1, 2, 3]);
    cleared.clear(8_000, request_key(1));
    assert_eq!(stored_count(&cleared), 0);
}

#[test]
fn requests_of_other_sizes_need_no_fingerprint() {
    let instance = after_ends([1]);
    assert!(instance.may_know(8));
    assert!(!instance.may_know(7) && !instance.may_know(9));
}

/// Generates updates about one request, as several instances may send them.
fn any_updates() -> impl Strategy<Value = Vec<(u64, u32, bool)>> {
    let one = (0_u64..5, 0_u32..50_000, any::<bool>());
    proptest::collection::vec(one, 1..8)
}

proptest! {
    #[test]
    fn the_order_of_updates_makes_no_difference(
        updates in any_updates(),
        order in Just((0..8).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let make_update = |(worker, age_ms, is_repeated): (u64, u32, bool)| {
            let mut altered = update_from(&after_ends([worker]), 1_000);
            altered.ends[0].age_ms = age_ms;
            altered.is_repeated = is_repeated;
            altered
        };
        // One end per worker: here, several ends of one worker would count as the same one.
        let mut worker_seen = std::collections::HashSet::new();
        let updates: Vec<SuspectUpdate> = updates
            .into_iter()
            .filter(|(worker, ..)| worker_seen.insert(*worker))
            .map(make_update)
            .collect();
        let updates: Vec<SuspectUpdate> = updates.into_iter().take(END_MAX_COUNT).collect();
        let mut forward = Quarantine::default();
        let mut shuffled = Quarantine::default();
        for update in &updates {
            forward.apply_update(60_000, update);
        }
        for index in order {
            if let Some(update) = updates.get(index) {
                shuffled.apply_update(60_000, update);
                shuffled.apply_update(60_000, update);
            }
        }
        assert_eq!(forward.suspicion(request_key(1)), shuffled.suspicion(request_key(1)));
    }
}
