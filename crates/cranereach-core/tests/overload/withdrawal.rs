//! When an instance withdraws and returns.

use proptest::prelude::*;

use cranereach_core::overload::load::SAMPLE_INTERVAL_MS;
use cranereach_core::overload::withdrawal::Observation;
use cranereach_core::overload::withdrawal::Withdrawal;

/// Time until the platform has asked twice, in milliseconds.
const NOTICED_AFTER_MS: u64 = 2_000;

/// An instance without overload at a time.
fn calm(now_ms: u64) -> Observation {
    Observation {
        now_ms,
        has_turned_away: false,
        pressure: 0.2,
        withdrawn_peer_share: 0.0,
        chance: 0.5,
    }
}

/// An instance that turns connections away at a time.
fn overloaded(now_ms: u64) -> Observation {
    Observation {
        has_turned_away: true,
        pressure: 1.5,
        ..calm(now_ms)
    }
}

/// Updates the state from one time until another, both in milliseconds.
fn run(
    withdrawal: &mut Withdrawal,
    from_ms: u64,
    until_ms: u64,
    observe: impl Fn(u64) -> Observation,
) {
    let mut now_ms = from_ms;
    while now_ms < until_ms {
        withdrawal.update(observe(now_ms));
        now_ms += SAMPLE_INTERVAL_MS;
    }
}

/// Returns when the instance is ready, in milliseconds, if it is calm from a time on.
fn ready_from_ms(withdrawal: &mut Withdrawal, mut now_ms: u64) -> u64 {
    while withdrawal.is_withdrawn() {
        withdrawal.update(calm(now_ms));
        now_ms += SAMPLE_INTERVAL_MS;
    }
    now_ms
}

#[test]
fn a_moment_of_overload_is_no_reason_to_withdraw() {
    let mut withdrawal = Withdrawal::default();
    withdrawal.update(overloaded(1_000));
    run(&mut withdrawal, 1_100, 3_000, calm);
    assert!(!withdrawal.is_withdrawn());
}

/// Guards against an instance that says it isn't ready, but is back before the platform notices.
#[test]
fn a_withdrawal_lasts_until_the_platform_has_noticed() {
    let mut withdrawal = Withdrawal::default();
    run(&mut withdrawal, 1_000, 1_500, overloaded);
    assert!(withdrawal.is_withdrawn());
    assert!(ready_from_ms(&mut withdrawal, 1_500) > 1_300 + NOTICED_AFTER_MS);
}

/// Guards against instances that leave one after another until none is left.
#[test]
fn an_instance_stays_while_its_peers_have_withdrawn() {
    let mut withdrawal = Withdrawal::default();
    run(&mut withdrawal, 1_000, 9_000, |now_ms| Observation {
        withdrawn_peer_share: 0.4,
        ..overloaded(now_ms)
    });
    assert!(!withdrawal.is_withdrawn());
}

/// Guards against an instance that comes and goes each few seconds.
#[test]
fn a_withdrawal_soon_after_the_last_one_lasts_longer() {
    let mut withdrawal = Withdrawal::default();
    run(&mut withdrawal, 1_000, 1_500, overloaded);
    let first_end_ms = ready_from_ms(&mut withdrawal, 1_500);
    let again_ms = first_end_ms + 1_000;
    run(&mut withdrawal, again_ms, again_ms + 500, overloaded);
    assert!(withdrawal.is_withdrawn());
    let second_end_ms = ready_from_ms(&mut withdrawal, again_ms + 500);
    assert!(second_end_ms - again_ms > (first_end_ms - 1_000) * 3 / 2);
}

proptest! {
    /// Guards against an instance that never returns.
    #[test]
    fn an_instance_returns_whatever_came_before(
        steps in proptest::collection::vec((any::<bool>(), 0.0..4.0_f64, 0.0..1.0_f64), 0..200),
    ) {
        let mut withdrawal = Withdrawal::default();
        let mut now_ms = 0;
        for (has_turned_away, pressure, chance) in steps {
            now_ms += SAMPLE_INTERVAL_MS;
            withdrawal.update(Observation {
                has_turned_away,
                pressure,
                chance,
                ..calm(now_ms)
            });
        }
        prop_assert!(ready_from_ms(&mut withdrawal, now_ms) <= now_ms + 16_000);
    }

    /// Guards against an instance that stays away because it is busy with something else.
    #[test]
    fn an_instance_returns_under_pressure_of_its_own(pressure in 0.8..4.0_f64) {
        let mut withdrawal = Withdrawal::default();
        run(&mut withdrawal, 1_000, 1_500, overloaded);
        run(&mut withdrawal, 1_500, 20_000, |now_ms| Observation { pressure, ..calm(now_ms) });
        prop_assert!(!withdrawal.is_withdrawn());
    }
}
