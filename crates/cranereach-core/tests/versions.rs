//! The configuration version of an instance never decreases, and an instance stops serving when it
//! cannot confirm that its version is the newest.

use proptest::prelude::*;

use cranereach_core::config::CONFIRMATION_TIMEOUT_MS;
use cranereach_core::config::ConfigState;
use cranereach_core::config::Head;

/// Creates the head of a version.
fn head(version: u64) -> Head {
    Head {
        version,
        hash: format!("hash-{version}"),
    }
}

/// One row: name, time since the table was last read in milliseconds, numbers of listed peers and
/// of those heard from, and whether the instance may serve.
type Row = (&'static str, Option<u64>, usize, usize, bool);

/// Table of faults, for an instance that holds a version.
const ROWS: [Row; 8] = [
    ("table read recently, no peer heard", Some(0), 5, 0, true),
    (
        "table down, all peers heard",
        Some(CONFIRMATION_TIMEOUT_MS),
        5,
        5,
        true,
    ),
    (
        "table down, half of the peers heard",
        Some(CONFIRMATION_TIMEOUT_MS),
        4,
        2,
        true,
    ),
    (
        "table down, fewer than half of the peers heard",
        Some(CONFIRMATION_TIMEOUT_MS),
        5,
        2,
        false,
    ),
    (
        "isolated from the table and all peers",
        Some(CONFIRMATION_TIMEOUT_MS),
        5,
        0,
        false,
    ),
    (
        "table down, no other instance listed",
        Some(CONFIRMATION_TIMEOUT_MS),
        0,
        0,
        true,
    ),
    ("table never read, peers heard", None, 2, 1, true),
    ("table never read, no peer heard", None, 2, 0, false),
];

#[test]
fn an_instance_serves_only_while_its_version_is_confirmed() {
    for (name, read_ago_ms, listed_count, heard_count, expected) in ROWS {
        let mut state = ConfigState::new(0);
        state.adopt(&head(1));
        if read_ago_ms.is_some() {
            state.observe_table_head(0, &head(1));
        }
        let now_ms = read_ago_ms.unwrap_or(CONFIRMATION_TIMEOUT_MS);
        assert_eq!(
            state.may_serve(now_ms, listed_count, heard_count),
            expected,
            "{name}"
        );
    }
}

#[test]
fn an_instance_stops_serving_if_it_cannot_get_a_newer_version() {
    let mut state = ConfigState::new(0);
    state.adopt(&head(1));
    state.observe_head(&head(2));
    assert!(state.may_serve(0, 2, 2));
    assert!(!state.may_serve(CONFIRMATION_TIMEOUT_MS, 2, 2));
    state.adopt(&head(2));
    assert!(state.may_serve(CONFIRMATION_TIMEOUT_MS, 2, 2));
}

#[test]
fn a_new_instance_serves_nothing_before_it_holds_a_version() {
    let mut state = ConfigState::new(0);
    state.observe_table_head(0, &head(3));
    assert!(!state.may_serve(0, 0, 0));
    assert_eq!(state.missing(), Some(&head(3)));
}

proptest! {
    #[test]
    fn the_held_version_never_decreases(events in prop::collection::vec((0_u8..3, 0_u64..20), 0..60)) {
        let mut state = ConfigState::new(0);
        let mut held_version = 0;
        for (kind, version) in events {
            match kind {
                0 => state.observe_table_head(0, &head(version)),
                1 => state.observe_head(&head(version)),
                _ => {
                    state.adopt(&head(version));
                }
            }
            prop_assert!(state.held().version >= held_version);
            held_version = state.held().version;
            prop_assert!(state.missing().is_none_or(|missing| missing.version > held_version));
        }
    }
}
