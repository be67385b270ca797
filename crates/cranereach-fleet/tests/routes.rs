//! Routes by host and longest prefix, and traffic splits.

use std::sync::Arc;

use cranereach_fleet::accounts::Accounts;
use cranereach_fleet::configuration::Configuration;
use cranereach_fleet::configuration::Limits;
use cranereach_fleet::configuration::Route;
use cranereach_fleet::configuration::RouteKind;
use cranereach_fleet::configuration::Target;
use cranereach_fleet::regions::AllowedRegions;

const LIMITS: Limits = Limits {
    header_max_bytes: 1_000,
    body_max_bytes: 1_000,
    header_within_ms: 1_000,
    idle_within_ms: 1_000,
};

fn route(name: &str, host: &str, path_prefix: &str, targets: &[(&str, f64)]) -> Route {
    Route {
        name: Arc::from(name),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Once,
        is_resumable: false,
        gap_aim_ms: None,
        timeout_ms: 1_000,
        latency_target_ms: 100,
        attempt_max_count: 1,
        priority: 0,
        is_anonymous: false,
        regions: AllowedRegions::Any,
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: Arc::from(*service),
                weight: *weight,
            })
            .collect(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("root", "a.example", "/", &[("s", 1.0)]),
        route("short", "a.example", "/x/", &[("s", 1.0)]),
        route("long", "a.example", "/x/y/", &[("s", 1.0)]),
        route("other", "b.example", "/x/", &[("s", 1.0)]),
    ];
    let configuration = Configuration::new(1, routes, Vec::new(), LIMITS, Accounts::default());
    let table = [
        ("a.example", "/x/y/z", Some("long")),
        ("a.example", "/x/y", Some("short")),
        ("A.Example:8080", "/x/yy/", Some("short")),
        ("a.example", "/x", Some("root")),
        ("b.example", "/x/1", Some("other")),
        ("b.example", "/y/1", None),
        ("c.example", "/x/1", None),
        ("b.example", "", None),
    ];
    for (host, path, name) in table {
        let found = configuration.route(host, path);
        assert_eq!(found.map(|route| route.name.as_ref()), name, "{host}{path}");
    }
    assert_eq!(configuration.route_count(), 4);
}

#[test]
fn a_split_follows_its_weights() {
    let split = route(
        "split",
        "a",
        "/",
        &[("s", 90.0), ("t", 10.0), ("never", 0.0)],
    );
    let table = [(0.0, "s"), (0.89, "s"), (0.91, "t"), (0.999, "t")];
    for (draw, service) in table {
        assert_eq!(
            split.target(draw).map(AsRef::as_ref),
            Some(service),
            "{draw}"
        );
    }
    assert_eq!(route("none", "a", "/", &[]).target(0.5), None);
}

#[test]
fn only_repeatable_and_resumable_calls_may_be_repeated() {
    let table = [
        (RouteKind::Repeatable, false, true),
        (RouteKind::Once, false, false),
        (RouteKind::Once, true, false),
        (RouteKind::Stream, false, false),
        (RouteKind::Stream, true, true),
    ];
    for (kind, is_resumable, may_repeat) in table {
        let mut case = route("r", "a", "/", &[]);
        case.kind = kind;
        case.is_resumable = is_resumable;
        assert_eq!(case.may_repeat(), may_repeat, "{kind:?} {is_resumable}");
    }
}
