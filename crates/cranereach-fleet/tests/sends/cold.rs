//! A cold worker: the total number of requests that it gets within any second.

use proptest::prelude::*;

use crate::fleet::RATE_PER_S;
use crate::fleet::WORKER;
use crate::fleet::World;
use crate::fleet::address;
use crate::fleet::event;
use crate::fleet::event::Event;
use crate::fleet::rule;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::send_grants::Ownership;
use cranereach_fleet::send_grants::SendAnswer;
use cranereach_fleet::send_grants::SendGrants;
use cranereach_fleet::topology::DomainTag;

/// Number of requests that are tolerated within any second: 1.5 times the rate, and 5 more.
const TOLERATED_COUNT: usize = 18;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn requests_to_a_cold_worker_stay_within_the_tolerance(
        seed in any::<u64>(),
        count in prop_oneof![Just(3_usize), Just(12), Just(73)],
        delay_max_ms in 1_u64..60,
        loss_ratio in 0.0..0.3,
        events in prop::collection::vec((100_u64..4_000, event::any()), 1..10),
    ) {
        let mut world = World::start(count, delay_max_ms, loss_ratio, seed);
        world.demand(200.0, 4_000);
        for (pause_ms, event) in events {
            world.apply_event(event);
            world.demand(200.0, pause_ms);
        }
        world.demand(200.0, 5_000);
        let max_count = world.max_count(1_000);
        prop_assert!(max_count <= TOLERATED_COUNT, "{max_count}");
    }
}

#[test]
fn a_cold_worker_is_used_and_not_overrun_at_any_size() {
    for (count, seed) in [(3, 1), (73, 2), (300, 3)] {
        let mut world = World::start(count, 3, 0.02, seed);
        world.demand(0.0, 6_000);
        world.demand(60.0, 10_000);
        let used_share = world.arrivals.len() as f64 / 10.0 / RATE_PER_S;
        assert!(
            used_share > 0.8,
            "{count}: {used_share} of the rate that it sustains"
        );
        for _takeover in 0..3 {
            world.apply_event(Event::Kill(2_000));
            world.demand(60.0, 5_000);
            world.apply_event(Event::Freeze(4_000));
            world.demand(60.0, 8_000);
        }
        let max_count = world.max_count(1_000);
        assert!(max_count <= TOLERATED_COUNT, "{count}: {max_count}");
    }
}

#[test]
fn an_instance_that_is_cut_off_grants_nothing() {
    let seeds = [address(0), address(1), address(2)];
    let mut isolated = Membership::new(address(0), DomainTag::default(), &seeds);
    isolated.refresh(1_000);
    let ownership = Ownership::of(&isolated, 60_000, WORKER, 60_000);
    let share = 1.0 / 3.0;
    let for_ms = 59_000;
    assert_eq!(ownership, Ownership::Minority { share, for_ms });
    let answer = SendGrants::default().ask(60_000, WORKER, &[rule()], 0, ownership);
    assert!(matches!(answer, SendAnswer::After(_)));
}

#[test]
fn more_urgent_requests_that_were_refused_go_first() {
    let mut owner = SendGrants::default();
    let mut ask = |now_ms, rank| owner.ask(now_ms, WORKER, &[rule()], rank, Ownership::Settled);
    let sent = (0..20).filter(|offset_ms| ask(1_000 + offset_ms, 2) == SendAnswer::Send);
    assert_eq!(sent.count(), rule().count());
    for _refused in 0..20 {
        assert_ne!(ask(1_500, 0), SendAnswer::Send);
    }
    // The window has passed: half of the next one is reserved for the urgent requests.
    let sent = (0..20).filter(|offset_ms| ask(2_200 + offset_ms, 2) == SendAnswer::Send);
    assert!(sent.count() <= rule().count().div_ceil(2));
    assert_eq!(ask(2_300, 0), SendAnswer::Send);
}

#[test]
fn urgent_requests_go_first_also_after_many_others_were_refused() {
    let mut owner = SendGrants::default();
    let mut ask = |now_ms, rank| owner.ask(now_ms, WORKER, &[rule()], rank, Ownership::Settled);
    for offset_ms in 0..500 {
        ask(1_000 + offset_ms, 2);
    }
    for _refused in 0..20 {
        assert_ne!(ask(1_500, 0), SendAnswer::Send);
    }
    // The window has passed: half of the next one is reserved for the urgent requests.
    let sent = (0..20).filter(|offset_ms| ask(2_200 + offset_ms, 2) == SendAnswer::Send);
    assert!(sent.count() <= rule().count().div_ceil(2));
}

/// Guards against instances that resume after a suspension and still take themselves for settled
/// owners. Three owners, two of which had been suspended, granted 19 requests within one second.
#[test]
fn suspended_owners_count_as_new_when_they_resume() {
    let mut world = World::start(12, 28, 0.23, 7);
    world.demand(200.0, 4_000);
    for (event, pause_ms) in [
        (Event::Partition(12_501), 2_166),
        (Event::KillShare(0.555), 2_686),
        (Event::Kill(271), 321),
        (Event::Freeze(6_601), 1_796),
        (Event::Freeze(4_416), 806),
    ] {
        world.apply_event(event);
        world.demand(200.0, pause_ms);
    }
    world.demand(200.0, 5_000);
    let max_count = world.max_count(1_000);
    assert!(max_count <= TOLERATED_COUNT, "{max_count}");
}

/// Guards against several owners after nearly all instances start at the same time and each hears
/// only some of the others at first. Several took themselves for the owner, and granted 21 requests
/// within one second.
#[test]
fn new_instances_grant_nothing_until_they_hear_the_others() {
    let mut world = World::start(73, 7, 0.0, 2_424_007_614_795_423_581);
    world.demand(200.0, 4_000);
    world.apply_event(Event::KillShare(0.956_461_985_834_992_4));
    world.demand(200.0, 5_100);
    let max_count = world.max_count(1_000);
    assert!(max_count <= TOLERATED_COUNT, "{max_count}");
}
