//! Tests that the schedule depends on the seed alone.

use std::collections::HashSet;

use cranereach_platform::standin::ending::Close;
use cranereach_platform::standin::ending::CutPlace;
use cranereach_platform::standin::ending::Ending;
use cranereach_platform::standin::ending::Framing;
use cranereach_soak::schedule;
use cranereach_soak::schedule::FAULT_FREE_END_MS;
use cranereach_soak::schedule::Fault;
use cranereach_soak::schedule::Size;
use cranereach_soak::schedule::Step;

#[test]
fn equal_seeds_give_equal_schedules_and_others_differ() {
    for seed in 0..50 {
        let steps = schedule::from_seed(seed, 30_000, Size::LARGE);
        assert_eq!(steps, schedule::from_seed(seed, 30_000, Size::LARGE));
        assert_ne!(steps, schedule::from_seed(seed + 1, 30_000, Size::LARGE));
    }
}

#[test]
fn faults_are_ordered_overlap_and_leave_a_fault_free_end() {
    for seed in 0..50 {
        let steps = schedule::from_seed(seed, 60_000, Size::SMALL);
        assert!(steps.is_sorted_by_key(|step| step.at_ms));
        let last = steps.last().unwrap();
        assert!(last.at_ms < 60_000 - FAULT_FREE_END_MS);
        let together = steps
            .windows(2)
            .filter(|pair| pair[1].at_ms < pair[0].at_ms + 200);
        assert!(together.count() > 3);
    }
}

#[test]
fn every_kind_of_fault_occurs() {
    let mut faults = HashSet::new();
    for seed in 0..100 {
        let steps = schedule::from_seed(seed, 60_000, Size::SMALL);
        faults.extend(steps.iter().map(|step| format!("{:?}", step.fault)));
    }
    assert_eq!(faults.len(), 31);
}

/// First faults of a seed. If they change, the way in which faults are drawn has changed, and
/// earlier seeds no longer reproduce their runs.
const PINNED: [&str; 5] = [
    "  3033 ms  WorkerLeaves, target 4, for 1664 ms",
    "  3052 ms  Worker(Sheds), target 6, for 2168 ms",
    "  3280 ms  Worker(LosesAnswers), target 7, for 5745 ms",
    "  4109 ms  WorkerLink(Slow), target 2, for 2060 ms",
    "  4805 ms  WorkerLink(Slow), target 0, for 1624 ms",
];

#[test]
fn a_seed_keeps_its_schedule() {
    let steps = schedule::from_seed(1, 30_000, Size::SMALL);
    let lines: Vec<String> = steps.iter().map(ToString::to_string).collect();
    assert_eq!(lines[..PINNED.len()], PINNED);
    assert_eq!(lines.len(), 24);
}

/// Guards against ends of bodies and releases that change the other faults of a seed, leave out a
/// kind, or disturb the end of a run.
#[test]
fn body_ends_and_releases_change_neither_other_faults_nor_the_fault_free_end() {
    let mut endings = HashSet::new();
    let mut released_sets = HashSet::new();
    let mut silent_cut_count = 0;
    for seed in 0..50 {
        let others = schedule::from_seed(seed, 60_000, Size::SMALL);
        let mut steps = others.clone();
        schedule::add_body_ends(&mut steps, seed, 60_000, Size::SMALL);
        schedule::add_releases(&mut steps, seed, 60_000, Size::SMALL);
        assert!(steps.is_sorted_by_key(|step| step.at_ms));
        let is_silent_cut = |step: &&Step| {
            matches!(step.fault, Fault::BodyEnds(Ending { framing: Framing::Connection, cut: Some(cut) })
                if cut.place == CutPlace::InsideEvent && cut.close == Close::Orderly)
        };
        silent_cut_count += usize::from(steps.iter().any(|step| is_silent_cut(&step)));
        for step in &steps {
            match step.fault {
                Fault::BodyEnds(ending) => {
                    assert!(step.target < Size::SMALL.slot_count());
                    let cut = ending.cut.map(|cut| (cut.place, cut.close));
                    endings.insert(format!("{:?} {cut:?}", ending.framing));
                    assert!(step.at_ms + step.for_ms < 60_000 - FAULT_FREE_END_MS);
                }
                Fault::Release => {
                    released_sets.insert(step.target);
                    assert!(step.at_ms < 60_000 - FAULT_FREE_END_MS);
                }
                _ => {}
            }
        }
        steps.retain(|step| !matches!(step.fault, Fault::BodyEnds(_) | Fault::Release));
        assert_eq!(steps, others);
    }
    // Three ways to mark an end, with seven cuts and none.
    assert_eq!(endings.len(), 24);
    assert_eq!(released_sets.len(), 2);
    // Each run tests the end that nothing tells but its place.
    assert_eq!(silent_cut_count, 50);
}

#[test]
fn restores_change_neither_other_faults_nor_the_fault_free_end() {
    let mut together_count = 0;
    for seed in 0..50 {
        let others = schedule::from_seed(seed, 60_000, Size::SMALL);
        let mut steps = others.clone();
        schedule::add_restores(&mut steps, seed, 60_000);
        assert!(steps.is_sorted_by_key(|step| step.at_ms));
        let is_restore = |step: &&Step| step.fault == Fault::StoreRestored;
        let restores: Vec<&Step> = steps.iter().filter(is_restore).collect();
        assert!(restores.len() >= 3, "seed {seed}: {}", restores.len());
        let last = restores.last().unwrap();
        assert!(last.at_ms + last.for_ms < 60_000 - FAULT_FREE_END_MS);
        let is_soon = |pair: &&[&Step]| pair[1].at_ms < pair[0].at_ms + pair[0].for_ms + 2_000;
        together_count += restores.windows(2).filter(is_soon).count();
        steps.retain(|step| step.fault != Fault::StoreRestored);
        assert_eq!(steps, others);
    }
    assert!(together_count > 20, "some follow at once: {together_count}");
}

/// Guards against cuts of paths that change the other faults of a seed, leave out a kind, or disturb
/// the end of a run.
#[test]
fn path_cuts_change_neither_other_faults_nor_the_fault_free_end() {
    let mut faults = HashSet::new();
    for seed in 0..50 {
        let others = schedule::from_seed(seed, 60_000, Size::SMALL);
        let mut steps = others.clone();
        schedule::add_path_cuts(&mut steps, seed, 60_000, Size::SMALL);
        assert!(steps.is_sorted_by_key(|step| step.at_ms));
        let is_cut = |step: &&Step| matches!(step.fault, Fault::PathCut(_) | Fault::Isolation(_));
        let cuts: Vec<&Step> = steps.iter().filter(is_cut).collect();
        assert!(cuts.len() > 3);
        for cut in cuts {
            assert!(cut.at_ms + cut.for_ms < 60_000 - FAULT_FREE_END_MS);
            faults.insert(format!("{:?}", cut.fault));
        }
        steps.retain(|step| !is_cut(&step));
        assert_eq!(steps, others);
    }
    assert_eq!(faults.len(), 6);
}
