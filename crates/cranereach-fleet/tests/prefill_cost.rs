//! Learned prefill cost of a model: a fixed time per request and a time per prompt token.

use cranereach_fleet::prefill_cost::PrefillCost;
use cranereach_fleet::prefill_cost::PrefillCosts;

/// Returns the cost learned from prompts of four lengths, each of which takes a fixed time plus a
/// time per token.
fn learned_cost(fixed_ms: f64, token_ms: f64) -> PrefillCost {
    let mut costs = PrefillCosts::default();
    for sample in 0..300_u32 {
        let tokens = [300, 700, 1_800, 4_000][sample as usize % 4];
        costs.learn("m", tokens, fixed_ms + f64::from(tokens) * token_ms);
    }
    costs.of("m")
}

#[test]
fn time_per_token_is_separated_from_the_fixed_time() {
    for (fixed_ms, token_ms) in [(20.0, 0.025), (5.0, 0.052), (60.0, 0.01)] {
        let cost = learned_cost(fixed_ms, token_ms);
        assert!((cost.fixed_ms - fixed_ms).abs() < 2.0, "{cost:?}");
        assert!((cost.token_ms - token_ms).abs() < 0.002, "{cost:?}");
    }
}

#[test]
fn prompts_of_one_length_still_give_the_right_time() {
    let mut costs = PrefillCosts::default();
    for _sample in 0..300 {
        costs.learn("m", 1_000, 40.0);
    }
    let cost = costs.of("m");
    let took_ms = cost.fixed_ms + 1_000.0 * cost.token_ms;
    assert!((took_ms - 40.0).abs() < 2.0, "{cost:?}");
    assert!(cost.token_ms > 0.0 && cost.fixed_ms >= 0.0, "{cost:?}");
}

#[test]
fn a_few_slow_answers_change_the_cost_little() {
    let mut costs = PrefillCosts::default();
    for sample in 0..200_u32 {
        let tokens = [300, 1_800][sample as usize % 2];
        let took_ms = if sample % 10 == 0 {
            5_000.0
        } else {
            20.0 + f64::from(tokens) * 0.025
        };
        costs.learn("m", tokens, took_ms);
    }
    let cost = costs.of("m");
    assert!(cost.fixed_ms + 1_800.0 * cost.token_ms < 100.0, "{cost:?}");
}

#[test]
fn cost_stays_positive_and_finite_for_any_samples() {
    let mut costs = PrefillCosts::default();
    for (tokens, took_ms) in [
        (4_000, 0.0),
        (1, 900.0),
        (0, 10.0),
        (u32::MAX, 1.0),
        (3, 0.0),
    ] {
        costs.learn("m", tokens, took_ms);
        let cost = costs.of("m");
        assert!(cost.token_ms > 0.0 && cost.token_ms.is_finite(), "{cost:?}");
        assert!(
            cost.fixed_ms >= 0.0 && cost.fixed_ms.is_finite(),
            "{cost:?}"
        );
    }
}
