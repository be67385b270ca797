//! Lists of evacuated domains as one instance takes them.

use crate::BOUND_MS;
use crate::at;
use cranereach_fleet::evacuation::EvacuationList;
use cranereach_fleet::evacuation::Evacuations;

#[test]
fn a_list_that_is_older_or_too_long_changes_nothing() {
    let mut known = Evacuations::default();
    let requested = known.list().clone().changed(7, at(40), false);
    assert!(known.take(0, requested.clone(), None, BOUND_MS).is_some());
    assert!(
        !known.may_send(0, 7),
        "an instance without a proof stops at once"
    );
    let older = EvacuationList::whole(at(39), [].into_iter());
    assert_eq!(known.take(1, older, None, BOUND_MS), None);
    let long = EvacuationList::whole(at(41), (0..1_000).map(|domain| (domain, at(1))));
    assert_eq!(known.take(1, long, None, BOUND_MS), None);
    assert_eq!(known.list(), &requested);
    let withdrawn = requested.changed(7, at(42), true);
    let change = known.take(900, withdrawn, Some(900), BOUND_MS).unwrap();
    assert_eq!(change.ended, [7]);
    assert!(known.may_send(900, 7));
}

#[test]
fn an_evacuation_that_is_written_again_keeps_its_time() {
    let mut known = Evacuations::default();
    let requested = known.list().clone().changed(7, at(40), false);
    known.take(1_000, requested.clone(), Some(1_000), BOUND_MS);
    let again = requested.changed(7, at(44), false);
    known.take(4_000, again, Some(4_000), BOUND_MS);
    assert!(known.may_send(4_000, 7) && !known.may_send(4_600, 7));
}
