//! How long answers are waited for, by distance.

use cranereach_fleet::round_trips::RoundTrips;
use cranereach_fleet::topology::Distance;

#[test]
fn an_answer_from_another_region_is_waited_for_before_and_after_its_way_is_known() {
    let mut ways = RoundTrips::default();
    assert!(ways.wait_ms(Distance::OtherRegion) >= 60);
    for answer in 0..100 {
        ways.answered(Distance::OtherRegion, 16.0 + f64::from(answer % 4));
        ways.answered(Distance::OwnDomain, 0.3);
    }
    assert!((20..40).contains(&ways.wait_ms(Distance::OtherRegion)));
    assert!((ways.round_trip_ms(Distance::OtherRegion) - 17.5).abs() < 2.0);
    // What is learned of one distance says nothing of another.
    assert_eq!(ways.wait_ms(Distance::OwnDomain), 20);
    assert_eq!(ways.wait_ms(Distance::OwnRegion), 20);
}

#[test]
fn a_way_that_grows_longer_than_the_wait_is_found_again() {
    let mut ways = RoundTrips::default();
    for _answer in 0..50 {
        ways.answered(Distance::OtherRegion, 16.0);
    }
    let is_heard = |ways: &RoundTrips| ways.wait_ms(Distance::OtherRegion) >= 50;
    let mut question_count = 0;
    while !is_heard(&ways) {
        ways.missed(Distance::OtherRegion);
        question_count += 1;
        assert!(question_count < 100);
    }
    // One owner that has died among others that answer changes nothing.
    let mut ways = RoundTrips::default();
    for question in 0..400 {
        if question % 3 == 0 {
            ways.missed(Distance::OwnRegion);
        } else {
            ways.answered(Distance::OwnRegion, 2.0);
        }
    }
    assert_eq!(ways.wait_ms(Distance::OwnRegion), 20);
    // Nothing makes a request wait without end.
    for _question in 0..1_000 {
        ways.missed(Distance::OtherRegion);
    }
    assert!(ways.wait_ms(Distance::OtherRegion) <= 80);
}

#[test]
fn instances_that_are_slow_or_gone_hold_up_no_call_within_a_region() {
    let mut ways = RoundTrips::default();
    for question in 0..400 {
        for distance in [Distance::OwnDomain, Distance::OwnRegion] {
            ways.answered(distance, f64::from(question % 20));
            for _lost in 0..5 {
                ways.missed(distance);
            }
        }
    }
    assert_eq!(ways.wait_ms(Distance::OwnDomain), 20);
    assert!(ways.wait_ms(Distance::OwnRegion) <= 25);
}
