//! The documentation matches the source: result codes, tests named as proofs, links, sample
//! settings and capacity figures.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::harness;
use cranereach_core::cell;
use cranereach_core::codes::TABLE;
use cranereach_core::config;
use cranereach_core::lease;
use cranereach_core::ledger;
use cranereach_entry::settings::Settings;
use cranereach_wire::digest_filter;
use cranereach_wire::peer;

/// Returns the absolute path of a file given relative to the project root.
fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Reads a page of the documentation.
fn page(path: &str) -> String {
    fs::read_to_string(root(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

#[test]
fn the_table_of_codes_matches_the_source() {
    let text = page("docs/CODES.md");
    for row in TABLE {
        let start = format!("| {} | {} | {} |", row.number, row.name, row.http_status);
        let line = text.lines().find(|line| line.starts_with(&start));
        assert!(
            line.is_some_and(|line| line.contains(row.meaning)),
            "{start} … {}",
            row.meaning
        );
    }
    let rows = text.lines().filter(|line| {
        line.starts_with("| ") && line.as_bytes()[2..6].iter().all(u8::is_ascii_digit)
    });
    assert_eq!(rows.count(), TABLE.len());
}

#[test]
fn every_test_named_in_the_proofs_exists() {
    let text = page("docs/PROOFS.md");
    let mut name_count = 0;
    for name in text
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|name| name.contains("::"))
    {
        let Some((module, function)) = name.trim_start_matches("core::").split_once("::") else {
            continue;
        };
        if function.contains('…') {
            continue;
        }
        let folder = if name.starts_with("core::") {
            "crates/cranereach-core/tests"
        } else {
            "tests/testsuite"
        };
        let source = page(&format!("{folder}/{module}.rs"));
        assert!(source.contains(&format!("fn {function}(")), "{name}");
        name_count += 1;
    }
    assert!(name_count > 30, "{name_count}");
}

#[test]
fn every_page_linked_from_the_summary_exists() {
    let summary = page("docs/SUMMARY.md");
    let links = summary
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    for link in links {
        assert!(root("docs").join(link).exists(), "{link}");
    }
}

#[test]
fn the_sample_settings_load_and_show_every_default() {
    let sample = Settings::read(&root("docs/settings.sample.jsonc")).unwrap();
    let mut without_defaults: serde_json::Value = serde_json::to_value(&sample).unwrap();
    let required_keys = ["instance", "platform", "peers", "operators"];
    without_defaults
        .as_object_mut()
        .unwrap()
        .retain(|key, _| required_keys.contains(&key.as_str()));
    let defaults: Settings = serde_json::from_value(without_defaults).unwrap();
    assert_eq!(
        serde_json::to_value(defaults).unwrap(),
        serde_json::to_value(sample).unwrap()
    );
}

#[test]
fn the_capacity_page_quotes_the_constants_of_the_code() {
    let text = page("docs/CAPACITY.md");
    let quoted = [
        ("workers per cell", cell::WORKERS_MAX as u64),
        ("instances per group", cell::INSTANCES_MAX as u64),
        ("bytes per datagram", peer::DATAGRAM_MAX_BYTES as u64),
        (
            "ms until an unchanged part is repeated",
            digest_filter::REPEAT_AFTER_MS,
        ),
        ("ms of a lease's term", lease::TERM_MS),
        ("ms between renewals", lease::RENEW_EVERY_MS),
        ("ms of an order's lifetime", ledger::ORDER_LIFETIME_MS),
        (
            "ms until an unconfirmed instance goes",
            config::CONFIRMATION_TIMEOUT_MS,
        ),
    ];
    for (name, value) in quoted {
        assert!(
            text.contains(&format!("| {name} | {value} |")),
            "{name}: {value}"
        );
    }
}

#[test]
fn the_examples_of_the_book_pass_the_check() {
    let examples = root("docs/examples").display().to_string();
    let (exit, output, errors) = harness::run(&["check", &examples]);
    assert_eq!(exit, 0, "{output}{errors}");
}
