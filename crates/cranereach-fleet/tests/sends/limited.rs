//! A worker that names a rate limit: the total number of requests that it gets within any four
//! seconds, and the share of the limit that is used.

use proptest::prelude::*;

use crate::fleet::Mutant;
use crate::fleet::Regime;
use crate::fleet::World;
use crate::fleet::event;

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Factor by which a window may exceed what the limit allows.
const EXCESS_RATIO: f64 = 1.5;

/// Number of requests that are tolerated in addition.
const ALLOWANCE_COUNT: f64 = 5.0;

/// Time after the worker first names its limit from which on windows are checked, in milliseconds.
const CHECKED_AFTER_MS: u64 = 3_000;

/// Time at which the worker begins to name its limit, in milliseconds.
const NAMED_AT_MS: u64 = 108_000;

/// Time until a changed limit takes effect, in milliseconds: the worker's answer has to arrive, and
/// the next request to be sent after it.
const CHANGE_DELAY_MS: u64 = 700;

/// Minimum share of the named rate that a worker gets while there is demand.
const MIN_USED_SHARE: f64 = 0.7;

/// Returns the regime of a worker that names a constant rate.
fn one_rate(rate_per_s: f64) -> Regime {
    Regime::NamesLimit(Box::new(move |at_ms| {
        (at_ms >= NAMED_AT_MS).then_some(rate_per_s)
    }))
}

/// Describes the first window that exceeds what is tolerated, if any, counting only arrivals for
/// which the limit is checked. `rate_at` returns the rate that the worker names at a time.
fn excess(world: &World, rate_at: impl Fn(u64) -> f64) -> Option<String> {
    let arrived_ms = world.arrived_ms(true);
    let highest = |at_ms: u64| {
        let times = (at_ms.saturating_sub(CHANGE_DELAY_MS)..=at_ms).step_by(50);
        times.map(&rate_at).fold(0.0, f64::max)
    };
    let mut first = 0;
    for (index, end_ms) in arrived_ms.iter().enumerate() {
        while arrived_ms[first] + WINDOW_MS <= *end_ms {
            first += 1;
        }
        if *end_ms < NAMED_AT_MS + CHECKED_AFTER_MS {
            continue;
        }
        let times = (end_ms - WINDOW_MS..*end_ms).step_by(100);
        let allowed: f64 = times.map(|at_ms| highest(at_ms) * 0.1).sum();
        let tolerated = EXCESS_RATIO * allowed + ALLOWANCE_COUNT;
        let count = index + 1 - first;
        if count as f64 > tolerated {
            return Some(format!("{count} at {end_ms}, {tolerated:.1} tolerated"));
        }
    }
    None
}

/// Starts a fleet, and simulates callers before and while the worker names its limit.
fn simulate(mut world: World, per_s: f64, for_ms: u64) -> World {
    world.demand(0.0, NAMED_AT_MS - 2_000 - world.now_ms());
    world.demand(per_s, 2_000 + for_ms);
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn requests_stay_within_the_tolerance_under_failures(
        seed in any::<u64>(),
        count in prop_oneof![Just(3_usize), Just(9), Just(40)],
        rate_per_s in prop_oneof![Just(0.3), Just(1.0), Just(1.2), Just(10.0), Just(60.0)],
        delay_max_ms in 1_u64..60,
        loss_ratio in 0.0..0.3,
        events in prop::collection::vec((100_u64..4_000, event::any()), 1..10),
    ) {
        let per_s = (rate_per_s * 3.0_f64).max(40.0);
        let world = World::with(one_rate(rate_per_s), count, (delay_max_ms, loss_ratio), seed);
        let mut world = simulate(world, per_s, 3_000);
        for (pause_ms, event) in events {
            world.apply_event(event);
            world.demand(per_s, pause_ms);
        }
        world.demand(per_s, 5_000);
        prop_assert_eq!(excess(&world, |_| rate_per_s), None);
    }

    #[test]
    fn requests_stay_within_the_tolerance_while_the_limit_changes(
        seed in any::<u64>(),
        rates in prop::collection::vec(
            prop_oneof![Just(0.3), Just(1.0), Just(1.2), Just(4.0), Just(10.0)], 6,
        ),
        step_ms in 300_u64..4_000,
        delay_max_ms in 1_u64..30,
        loss_ratio in 0.0..0.1,
    ) {
        let rate_at = move |at_ms: u64| {
            let index = at_ms.saturating_sub(NAMED_AT_MS) / step_ms;
            rates[index as usize % rates.len()]
        };
        let named_rate_at = rate_at.clone();
        let names = move |at_ms: u64| (at_ms >= NAMED_AT_MS).then(|| named_rate_at(at_ms));
        let regime = Regime::NamesLimit(Box::new(names));
        let world = World::with(regime, 9, (delay_max_ms, loss_ratio), seed);
        let world = simulate(world, 60.0, 14_000);
        prop_assert_eq!(excess(&world, rate_at), None);
    }
}

#[test]
fn a_limited_worker_is_used_and_not_overrun_at_any_size_and_rate() {
    let all = [0.3, 1.0, 1.2, 10.0, 200.0];
    for (count, seed, rates) in [
        (3, 1, &all[..]),
        (9, 2, &all),
        (100, 3, &all),
        (1_000, 4, &all[2..3]),
    ] {
        for rate_per_s in rates.iter().copied() {
            let per_s = (rate_per_s * 3.0_f64).max(80.0);
            let world = World::with(one_rate(rate_per_s), count, (3, 0.02), seed);
            // At a low rate, single requests would weigh too much in a shorter time.
            let for_ms = ((24.0 / rate_per_s) as u64 * 1_000).max(20_000);
            let world = simulate(world, per_s, for_ms);
            assert_eq!(
                excess(&world, |_| rate_per_s),
                None,
                "{count}, {rate_per_s}"
            );
            let from_ms = NAMED_AT_MS + 2_000;
            let arrived_ms = world.arrived_ms(false);
            let got_count = arrived_ms.iter().filter(|at_ms| **at_ms >= from_ms).count();
            let allowed_count = rate_per_s * (for_ms - 2_000) as f64 / 1_000.0;
            let share = got_count as f64 / allowed_count;
            println!(
                "{count} instances, {rate_per_s}/s: {share:.2} of the limit, {} grant requests",
                world.asked_count
            );
            assert!(
                share > MIN_USED_SHARE,
                "{count}, {rate_per_s}: {share} of the limit"
            );
        }
    }
}

#[test]
fn urgent_requests_get_a_larger_share_of_the_limit() {
    for (count, rate_per_s) in [(3, 1.2), (9, 1.2), (9, 10.0), (100, 10.0)] {
        let world = World::with(one_rate(rate_per_s), count, (3, 0.02), 8);
        let world = simulate(world, rate_per_s * 9.0, 60_000);
        let counts = world.granted_counts;
        println!("{count} instances, {rate_per_s}/s: {counts:?} by rank");
        let all: usize = counts.iter().sum();
        assert!(counts[0] * 2 > all, "{counts:?}");
        assert!(counts[2] > 0, "{counts:?}");
    }
}

#[test]
fn a_steady_loss_of_instances_does_not_starve_a_limited_worker() {
    let mut world = World::with(one_rate(1.2), 100, (3, 0.02), 5);
    world.demand(0.0, NAMED_AT_MS - world.now_ms());
    for _loss in 0..20 {
        world.apply_event(event::Event::KillAnother(1_500));
        world.demand(60.0, 1_000);
    }
    assert_eq!(excess(&world, |_| 1.2), None);
    let share = world.arrivals.len() as f64 / (20.0 * 1.2);
    assert!(share > MIN_USED_SHARE, "{share} of the limit");
}

#[test]
fn requests_are_unlimited_after_a_limit_ends() {
    let ends_at_ms = NAMED_AT_MS + 6_000;
    let names = move |at_ms: u64| (NAMED_AT_MS..ends_at_ms).contains(&at_ms).then_some(1.2);
    let world = World::with(Regime::NamesLimit(Box::new(names)), 9, (3, 0.0), 6);
    let world = simulate(world, 60.0, 12_000);
    let arrived_ms = world.arrived_ms(false);
    let from_ms = ends_at_ms + 4_000;
    let got_count = arrived_ms.iter().filter(|at_ms| **at_ms >= from_ms).count();
    assert!(got_count > 100, "{got_count} in two seconds");
}

#[test]
fn each_send_grant_mutant_is_found() {
    for mutant in [
        Mutant::PerInstanceGrants,
        Mutant::ForgetsGrants,
        Mutant::IgnoresLimit,
    ] {
        let world = World::with(one_rate(1.2), 9, (3, 0.02), 7).mutated(mutant);
        let world = simulate(world, 60.0, 12_000);
        assert_ne!(excess(&world, |_| 1.2), None, "{mutant:?}");
    }
}
