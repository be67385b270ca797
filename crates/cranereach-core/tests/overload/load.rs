//! Load of an instance from samples.

use cranereach_core::overload::load::Bottleneck;
use cranereach_core::overload::load::Load;
use cranereach_core::overload::load::SAMPLE_INTERVAL_MS;
use cranereach_core::overload::load::Sample;

const DELAY_TARGET_MS: u64 = 30;

/// Adds samples with the given delays, in milliseconds, each late by its delay.
fn load_with_delays(delays_ms: &[u64]) -> Load {
    let mut load = Load::new(None, DELAY_TARGET_MS);
    let mut at_ms = 0;
    for delay_ms in delays_ms {
        at_ms += SAMPLE_INTERVAL_MS + delay_ms;
        load.add(Sample {
            at_ms,
            delay_ms: *delay_ms,
            busy_us: at_ms * 1_000,
            ..Sample::default()
        });
    }
    load
}

/// Guards against an instance that takes a processor share granted in slices for overload.
#[test]
fn a_processor_granted_in_slices_is_not_overloaded() {
    let load = load_with_delays(&[88, 0, 88, 0, 88, 0, 88, 0, 88, 0]);
    assert!(load.pressure().level <= 1.0, "{:?}", load.pressure());
}

/// Guards against an overloaded processor that goes unnoticed as long as the delay is no pause.
#[test]
fn a_lasting_delay_is_overload() {
    let load = load_with_delays(&[60; 6]);
    assert_eq!(load.lasting_delay_ms(), 60);
    assert_eq!(load.pressure().bottleneck, Bottleneck::Processor);
    assert!(load.pressure().level >= 2.0, "{:?}", load.pressure());
}

/// Guards against overload that is noticed only after several late samples.
#[test]
fn one_long_delay_is_noticed_at_once() {
    let load = load_with_delays(&[0, 0, 500]);
    assert!(load.pressure().level > 1.0, "{:?}", load.pressure());
}

#[test]
fn a_single_short_delay_does_not_last() {
    let load = load_with_delays(&[0, 0, 0, 60]);
    assert_eq!(load.lasting_delay_ms(), 0);
}

#[test]
fn the_busier_direction_of_the_link_counts() {
    let mut load = Load::new(Some(1_000.0), DELAY_TARGET_MS);
    for number in 0..20 {
        load.add(Sample {
            at_ms: number * SAMPLE_INTERVAL_MS,
            sent_bytes: number * 10,
            received_bytes: number * 100,
            ..Sample::default()
        });
    }
    assert_eq!(load.pressure().bottleneck, Bottleneck::Link);
    assert!(load.is_link_full());
    assert!((load.link_share() - 1.0).abs() < 0.01);
}

#[test]
fn a_link_of_unknown_capacity_is_never_full() {
    let mut load = Load::new(None, DELAY_TARGET_MS);
    for number in 0..20 {
        load.add(Sample {
            at_ms: number * SAMPLE_INTERVAL_MS,
            sent_bytes: number * 1_000_000_000,
            ..Sample::default()
        });
    }
    assert!(load.pressure().level < 1.0 && !load.is_link_full());
}

/// Adds times until first bytes were read, in milliseconds, one each 20 ms.
fn add_first_reads(load: &mut Load, from_ms: u64, times_ms: &[u64]) {
    let mut at_ms = from_ms;
    for time_ms in times_ms {
        load.add_first_read(at_ms, *time_ms);
        at_ms += 20;
    }
    load.add(Sample {
        at_ms,
        ..Sample::default()
    });
}

/// Guards against a link that is narrower than its stated capacity, or full of bytes that are never
/// read: what callers send waits, and nothing shows it.
#[test]
fn callers_that_are_all_later_than_usual_mean_a_full_link() {
    let mut load = Load::new(Some(1e9), DELAY_TARGET_MS);
    add_first_reads(&mut load, 1_000, &[3; 20]);
    assert!(load.pressure().level < 1.0);
    add_first_reads(&mut load, 3_000, &[400; 20]);
    assert!(load.is_link_full());
    assert!(load.pressure().level > 2.0, "{:?}", load.pressure());
    assert_eq!(load.pressure().bottleneck, Bottleneck::Link);
    // Nobody came since.
    load.add(Sample {
        at_ms: 5_000,
        ..Sample::default()
    });
    assert!(!load.is_link_full());
}

#[test]
fn callers_that_are_far_away_or_slow_mean_no_full_link() {
    let mut load = Load::new(Some(1e9), DELAY_TARGET_MS);
    add_first_reads(&mut load, 1_000, &[300; 20]);
    assert!(!load.is_link_full(), "all are far away");
    let mut load = Load::new(Some(1e9), DELAY_TARGET_MS);
    add_first_reads(&mut load, 1_000, &[5, 2_000, 900, 2_000, 4, 700, 2_000]);
    assert!(!load.is_link_full(), "some take their time");
}
