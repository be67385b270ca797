//! Pauses predicted for the streams of a worker that prefills prompts, and send times found for
//! prompts.

#![expect(clippy::float_cmp, reason = "times are whole milliseconds here")]

use proptest::prelude::*;

use cranereach_fleet::pause_prediction::Arrival;
use cranereach_fleet::pause_prediction::StepTiming;
use cranereach_fleet::pause_prediction::find_send_time;
use cranereach_fleet::pause_prediction::longest_ms;

/// A worker that produces an event of three tokens every 30 ms while it prefills nothing.
const STEP_TIMING: StepTiming = StepTiming {
    event_steps: 3,
    step_ms: 10.0,
    chunk_ms: 200.0,
};

/// Returns the arrival of a prompt whose prefill is not known to be complete.
fn prompt(at_ms: f64, reading_ms: f64) -> Arrival {
    Arrival {
        at_ms,
        reading_ms,
        read_at_ms: None,
    }
}

#[test]
fn a_pause_lasts_as_many_steps_as_an_event_has_tokens() {
    let table = [
        (vec![], 30.0),
        (vec![prompt(0.0, 100.0)], 130.0),
        // Both are prefilled in one step, or one after the other within one event.
        (vec![prompt(0.0, 50.0), prompt(0.0, 50.0)], 130.0),
        (vec![prompt(0.0, 50.0), prompt(30.0, 50.0)], 130.0),
        // Prompts that are far apart delay different events.
        (vec![prompt(0.0, 50.0), prompt(500.0, 50.0)], 80.0),
        // Larger than a chunk: the remainder is prefilled in the next steps.
        (vec![prompt(0.0, 450.0)], 480.0),
        (vec![prompt(0.0, 1_000.0)], 630.0),
    ];
    for (arrivals, expected_ms) in table {
        assert_eq!(longest_ms(&STEP_TIMING, &arrivals, 0.0), expected_ms);
    }
}

#[test]
fn completed_prefills_cause_no_pause() {
    let mut arrivals = [prompt(0.0, 150.0), prompt(0.0, 500.0)];
    assert_eq!(longest_ms(&STEP_TIMING, &arrivals, 0.0), 630.0);
    arrivals[1].read_at_ms = Some(100.0);
    // One chunk of the second prompt had begun by then.
    assert_eq!(longest_ms(&STEP_TIMING, &arrivals, 0.0), 230.0);
}

#[test]
fn only_pauses_that_end_later_count() {
    let arrivals = [prompt(0.0, 600.0), prompt(2_000.0, 100.0)];
    assert_eq!(longest_ms(&STEP_TIMING, &arrivals, 0.0), 630.0);
    assert_eq!(longest_ms(&STEP_TIMING, &arrivals, 1_000.0), 130.0);
}

#[test]
fn a_prompt_beyond_the_pause_limit_overlaps_no_other() {
    let arrivals = [prompt(0.0, 100.0)];
    let found = find_send_time(&STEP_TIMING, &arrivals, 0.0, 400.0, 300.0);
    assert!(found.at_ms >= 110.0, "{found:?}");
    assert!(found.pause_ms <= 440.0, "{found:?}");
    let at_once = find_send_time(&STEP_TIMING, &[], 0.0, 400.0, 300.0);
    assert_eq!(at_once.at_ms, 0.0);
}

proptest! {
    #[test]
    fn a_pause_lies_between_that_of_no_prompt_and_of_all_at_once(
        times in prop::collection::vec((0.0_f64..2_000.0, 1.0_f64..600.0), 1..40),
        chunk_ms in 20.0_f64..500.0,
    ) {
        let timing = StepTiming { chunk_ms, ..STEP_TIMING };
        let mut arrivals: Vec<Arrival> =
            times.iter().map(|(at_ms, reading_ms)| prompt(*at_ms, *reading_ms)).collect();
        arrivals.sort_by(|left, right| left.at_ms.total_cmp(&right.at_ms));
        let longest = longest_ms(&timing, &arrivals, 0.0);
        let all_ms: f64 = times.iter().map(|(_, reading_ms)| reading_ms).sum();
        prop_assert!(longest >= 30.0);
        prop_assert!(longest <= 30.0 + all_ms.min(3.0 * chunk_ms) + 1e-6);
    }

    #[test]
    fn scheduled_prompts_keep_pauses_within_the_limit(
        prompts in prop::collection::vec((0.0_f64..60.0, 1.0_f64..120.0), 1..16),
    ) {
        let mut arrivals: Vec<Arrival> = Vec::new();
        let mut now_ms = 0.0;
        for (passed_ms, reading_ms) in prompts {
            now_ms += passed_ms;
            let found = find_send_time(&STEP_TIMING, &arrivals, now_ms, reading_ms, 300.0);
            prop_assert!(found.at_ms >= now_ms);
            let index = arrivals.partition_point(|arrival| arrival.at_ms <= found.at_ms);
            arrivals.insert(index, prompt(found.at_ms, reading_ms));
            let longest = longest_ms(&STEP_TIMING, &arrivals, 0.0);
            prop_assert!(longest <= 300.0 + 1e-6, "{longest} with {arrivals:?}");
        }
    }
}
