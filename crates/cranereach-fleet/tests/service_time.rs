//! Service time of the calls of a plain service, learned from answers that include time in a queue.

use std::sync::Arc;

use cranereach_fleet::service_time::ServiceTimes;

/// Route of the calls in tests that use only one.
const ROUTE: &str = "r";

/// Returns the expected service time of a service's calls, in whole milliseconds.
fn expected_ms(times: &ServiceTimes, service: &str) -> u64 {
    times.expected_ms(service, ROUTE).round() as u64
}

#[test]
fn few_answers_give_no_estimate_and_services_are_separate() {
    let mut times = ServiceTimes::default();
    let (quick, slow) = (Arc::from("quick"), Arc::from("slow"));
    for number in 0..3 {
        assert_eq!(expected_ms(&times, "quick"), 0, "after {number}");
        times.learn(&quick, &Arc::from(ROUTE), 10.0, 0, 6);
        times.learn(&slow, &Arc::from(ROUTE), 200.0, 3, 6);
    }
    assert_eq!(expected_ms(&times, "quick"), 10);
    assert_eq!(expected_ms(&times, "slow"), 200);
    assert_eq!(expected_ms(&times, "unknown"), 0);
}

#[test]
fn queue_time_is_excluded_and_changes_are_followed() {
    let mut times = ServiceTimes::default();
    let service = Arc::from("registry");
    for _answer in 0..200 {
        // Five times as many calls as slots: five rounds.
        times.learn(&service, &Arc::from(ROUTE), 250.0, 29, 6);
    }
    assert_eq!(expected_ms(&times, "registry"), 50);
    for _answer in 0..300 {
        times.learn(&service, &Arc::from(ROUTE), 100.0, 2, 6);
    }
    assert!((times.expected_ms("registry", ROUTE) - 100.0).abs() < 1.0);
}

#[test]
fn the_number_of_services_is_bounded() {
    let mut times = ServiceTimes::default();
    for number in 0..10_000 {
        let service = Arc::from(format!("service-{number}"));
        for _answer in 0..20 {
            times.learn(&service, &Arc::from(ROUTE), 10.0, 0, 1);
        }
    }
    assert_eq!(expected_ms(&times, "service-9999"), 0);
    assert!(times.expected_ms("service-0", ROUTE) > 0.0);
}

#[test]
fn quick_calls_of_a_route_do_not_change_the_estimate_of_slow_routes() {
    let mut times = ServiceTimes::default();
    let service = Arc::from("registry");
    let (lookup, fetch) = (Arc::from("look-up"), Arc::from("fetch"));
    for _answer in 0..20 {
        times.learn(&service, &lookup, 2.0, 0, 6);
    }
    let of_route_ms =
        |times: &ServiceTimes, route: &str| times.expected_ms("registry", route) as u64;
    assert_eq!(
        of_route_ms(&times, "fetch"),
        2,
        "as for other routes of its service"
    );
    for _answer in 0..5 {
        times.learn(&service, &fetch, 60.0, 3, 6);
    }
    assert_eq!(of_route_ms(&times, "fetch"), 60);
    assert_eq!(of_route_ms(&times, "look-up"), 2);
}

#[test]
fn the_number_of_routes_is_bounded() {
    let mut times = ServiceTimes::default();
    let service = Arc::from("registry");
    for number in 0..1_000 {
        let route: Arc<str> = Arc::from(format!("route-{number}"));
        for _answer in 0..20 {
            times.learn(&service, &route, f64::from(number), 0, 6);
        }
    }
    let expected_ms = |route: &str| times.expected_ms("registry", route).round() as u64;
    assert_eq!(expected_ms("route-100"), 100);
    assert_eq!(expected_ms("route-999"), expected_ms("unknown"));
}
