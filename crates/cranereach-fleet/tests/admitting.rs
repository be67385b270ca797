//! Which calls are offered to a worker, and which are told to come back.

use proptest::prelude::*;

use cranereach_fleet::admission::chance;

proptest! {
    /// The chance is one, falls as the wait grows, and never leaves 0 to 1.
    #[test]
    fn the_chance_falls_as_the_wait_grows(
        aim_ms in 0.0_f64..20_000.0,
        reading_ms in 0.0_f64..20_000.0,
        wait_ms in 0.0_f64..40_000.0,
        more_ms in 0.0_f64..5_000.0,
    ) {
        let now = chance(aim_ms, wait_ms, reading_ms);
        let later = chance(aim_ms, wait_ms + more_ms, reading_ms);
        prop_assert!((0.0..=1.0).contains(&now), "{now}");
        prop_assert!(later <= now);
        prop_assert!((chance(aim_ms, 0.0, reading_ms) - 1.0).abs() < f64::EPSILON);
    }
}
