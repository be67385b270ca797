//! Round-trip times and reply timeouts by distance.

use cranereach_fleet::topology::Distance;
use cranereach_fleet::ways::RoundTrips;

#[test]
fn timeouts_cover_other_regions_before_and_after_samples() {
    let mut round_trips = RoundTrips::default();
    assert!(round_trips.wait_ms(Distance::OtherRegion) >= 60);
    for answer in 0..100 {
        round_trips.reply_received(Distance::OtherRegion, 16.0 + f64::from(answer % 4));
        round_trips.reply_received(Distance::OwnDomain, 0.3);
    }
    assert!((20..40).contains(&round_trips.wait_ms(Distance::OtherRegion)));
    assert!((round_trips.round_trip_ms(Distance::OtherRegion) - 17.5).abs() < 2.0);
    // Samples of one distance don't change the timeout of another.
    assert_eq!(round_trips.wait_ms(Distance::OwnDomain), 20);
    assert_eq!(round_trips.wait_ms(Distance::OwnRegion), 20);
}

#[test]
fn a_round_trip_that_grows_beyond_the_timeout_is_learned_again() {
    let mut round_trips = RoundTrips::default();
    for _answer in 0..50 {
        round_trips.reply_received(Distance::OtherRegion, 16.0);
    }
    let is_heard = |round_trips: &RoundTrips| round_trips.wait_ms(Distance::OtherRegion) >= 50;
    let mut question_count = 0;
    while !is_heard(&round_trips) {
        round_trips.reply_missed(Distance::OtherRegion);
        question_count += 1;
        assert!(question_count < 100);
    }
    // One failed owner among others that answer doesn't change the timeout.
    let mut round_trips = RoundTrips::default();
    for question in 0..400 {
        if question % 3 == 0 {
            round_trips.reply_missed(Distance::OwnRegion);
        } else {
            round_trips.reply_received(Distance::OwnRegion, 2.0);
        }
    }
    assert_eq!(round_trips.wait_ms(Distance::OwnRegion), 20);
    // However many replies are lost, the timeout stays bounded.
    for _question in 0..1_000 {
        round_trips.reply_missed(Distance::OtherRegion);
    }
    assert!(round_trips.wait_ms(Distance::OtherRegion) <= 80);
}

#[test]
fn slow_or_lost_instances_do_not_raise_timeouts_within_a_region() {
    let mut round_trips = RoundTrips::default();
    for question in 0..400 {
        for distance in [Distance::OwnDomain, Distance::OwnRegion] {
            round_trips.reply_received(distance, f64::from(question % 20));
            for _lost in 0..5 {
                round_trips.reply_missed(distance);
            }
        }
    }
    assert_eq!(round_trips.wait_ms(Distance::OwnDomain), 20);
    assert!(round_trips.wait_ms(Distance::OwnRegion) <= 25);
}
