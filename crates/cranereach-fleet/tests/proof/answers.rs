//! Answers of the store and of peers, and what they prove to one instance.

use crate::world::CHANGE_MS;
use cranereach_fleet::proof::Proof;
use cranereach_fleet::proof::ProofAnswer;
use cranereach_fleet::proof::ProofQuery;
use cranereach_fleet::store_position::StorePosition;

/// Guards against a read of the store that counts as proof before its era has been entered, or
/// after a later one has been.
#[test]
fn an_answer_of_another_era_proves_nothing() {
    let mut proof = Proof::new(1, CHANGE_MS);
    proof.record_version(7);
    proof.read(1, 1_000);
    assert_eq!(proof.age_ms(1_000), None);
    proof.enter_era(1_000, 1);
    proof.read(0, 9_000);
    assert_eq!(proof.age_ms(9_000), None);
    proof.read(1, 9_000);
    assert_eq!(proof.age_ms(9_000), Some(0));
}

#[test]
fn an_answer_counts_only_for_the_querying_start_and_the_versions_in_force() {
    let mut proof = Proof::new(1, CHANGE_MS);
    proof.record_version(7);
    proof.evacuations_known(StorePosition::new(0, 3));
    let query = proof.question(10_000);
    let answer = |boot: u64, version: u64, age_ms: Option<u64>| ProofAnswer {
        question: ProofQuery { boot, ..query },
        version,
        era: 0,
        evacuations_position: StorePosition::new(0, 3),
        age_ms,
    };
    assert!(!proof.take(&answer(2, 7, Some(0))));
    assert!(!proof.take(&answer(1, 8, Some(0))));
    assert!(!proof.take(&answer(1, 7, None)));
    assert!(!proof.take(&answer(1, 7, Some(10_001))));
    let newer = ProofAnswer {
        evacuations_position: StorePosition::new(0, 4),
        ..answer(1, 7, Some(0))
    };
    assert!(!proof.take(&newer));
    assert_eq!(proof.age_ms(10_000), None);
    assert!(proof.take(&answer(1, 6, Some(400))));
    assert_eq!(proof.age_ms(10_000), Some(400));
    // An answer that proves an older moment changes nothing.
    assert!(!proof.take(&answer(1, 7, Some(900))));
    assert_eq!(proof.age_ms(10_000), Some(400));
}
