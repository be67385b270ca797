//! Retry budget: the bound on the retries of all instances together.

use proptest::prelude::ProptestConfig;
use proptest::proptest;

use cranereach_fleet::retry_window::RetryWindow;

const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 52.0;
const WINDOW_MS: u64 = 10_000;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn retries_of_all_instances_stay_within_the_budget_in_every_window(
        events in proptest::collection::vec((0_usize..4, 0_u64..400, 0_u8..3), 1..600)
    ) {
        let mut windows = vec![RetryWindow::new(RATIO, ALLOWANCE, WINDOW_MS); 4];
        let mut now_ms = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (instance, pause_ms, kind) in events {
            now_ms += pause_ms;
            if kind == 0 {
                windows[instance].request(now_ms);
                requests.push(now_ms);
            } else if windows[instance].spend(now_ms, 4) {
                retries.push(now_ms);
            }
        }
        for end_ms in retries.iter().copied() {
            let from_ms = end_ms.saturating_sub(WINDOW_MS);
            let within = |times: &[u64], from_ms: u64| {
                times.iter().filter(|at_ms| (from_ms..=end_ms).contains(at_ms)).count() as f64
            };
            // Requests count if they came within the window or the one before it.
            let request_count = within(&requests, from_ms.saturating_sub(WINDOW_MS));
            let allowed = RATIO * request_count + ALLOWANCE;
            assert!(within(&retries, from_ms) <= allowed);
        }
    }
}
