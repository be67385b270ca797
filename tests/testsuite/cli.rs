//! The command line: offline checks, exit codes, diffs and the demo.

use std::ffi::OsStr;
use std::fs;
use std::os::unix::ffi::OsStrExt;
use std::process::Command;

use serde_json::Value;
use serde_json::json;

use crate::fixture;
use crate::harness;
use crate::harness::ProcessDeployment;

/// A test case: its name, a change that makes valid declarations invalid, the result code, and
/// a part of the message.
type Row = (&'static str, fn(&mut Value), u16, &'static str);

/// A test case of settings: its name, a change that makes valid settings invalid, and a part
/// of the message.
type SettingsRow = (&'static str, fn(&mut Value), &'static str);

/// Test cases of invalid declarations.
const ROWS: [Row; 11] = [
    (
        "unknown key",
        |d| d["models"][0]["size"] = json!(1),
        4002,
        "unknown field `size`",
    ),
    (
        "unknown class",
        |d| d["templates"][0]["class"] = json!("fast"),
        4002,
        "urgent",
    ),
    (
        "unknown template",
        |d| d["accounts"][0]["template"] = json!("none"),
        4003,
        "declared: all",
    ),
    (
        "unknown model",
        |d| d["templates"][0]["models"][0] = json!("none"),
        4004,
        "m1",
    ),
    (
        "unknown base",
        |d| d["models"][1]["base"] = json!("none"),
        4004,
        "m1",
    ),
    (
        "unknown pool",
        |d| d["models"][0]["pool"] = json!("none"),
        4005,
        "ledger, text",
    ),
    (
        "model larger than memory",
        |d| d["models"][0]["memory_bytes"] = json!(101),
        4006,
        "needs 101 bytes",
    ),
    (
        "base and adapter larger than memory",
        |d| d["models"][1]["base"] = json!("m0"),
        4006,
        "needs 120 bytes",
    ),
    (
        "share of zero",
        |d| d["accounts"][0]["parameters"] = json!({ "share": 0.0 }),
        4007,
        "above zero",
    ),
    (
        "duplicate key",
        |d| d["accounts"][1]["key_hashes"] = d["accounts"][0]["key_hashes"].clone(),
        4008,
        "account a",
    ),
    (
        "missing parameter",
        |d| d["templates"][0]["models"][0] = json!("$slot"),
        4010,
        "slot",
    ),
];

#[test]
fn check_names_code_file_line_and_valid_choices() {
    for (name, change, code, expected_text) in ROWS {
        let folder = harness::scratch_folder("check");
        let mut declared = fixture::declarations(true);
        change(&mut declared);
        let text = serde_json::to_string_pretty(&declared).unwrap();
        fs::write(folder.join("all.jsonc"), &text).unwrap();
        let (exit, output, _errors) =
            harness::run(&["check", "--json", &folder.display().to_string()]);
        let findings: Value = serde_json::from_str(&output).unwrap_or_default();
        assert_eq!(exit, 1, "{name}: {output}");
        assert_eq!(findings[0]["code"], json!(code), "{name}: {output}");
        assert!(
            findings[0]["detail"]
                .as_str()
                .unwrap()
                .contains(expected_text),
            "{name}: {output}"
        );
        assert!(
            findings[0]["file"].as_str().unwrap().ends_with("all.jsonc"),
            "{name}: {output}"
        );
        assert!(
            findings[0]["line"].as_u64().unwrap() > 1,
            "{name}: {output}"
        );
    }
}

#[test]
fn check_passes_good_declarations_and_the_sample_settings() {
    let folder = harness::scratch_folder("check-good");
    fs::write(
        folder.join("all.jsonc"),
        fixture::declarations(true).to_string(),
    )
    .unwrap();
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/settings.sample.jsonc");
    let (exit, output, errors) =
        harness::run(&["check", "--settings", sample, &folder.display().to_string()]);
    assert_eq!((exit, output.as_str()), (0, ""), "{errors}");
}

#[test]
fn settings_with_faults_are_refused_with_the_valid_choices() {
    let folder = harness::scratch_folder("settings");
    let file = folder.join("settings.jsonc");
    let valid =
        fs::read_to_string(harness::write_settings(&folder, "entry-1", "127.0.0.1:1")).unwrap();
    let rows: [SettingsRow; 4] = [
        ("unknown key", |s| s["listn"] = json!({}), "listen"),
        (
            "unknown policy",
            |s| s["policy"] = json!({ "order": "best" }),
            "virtual-time",
        ),
        ("no secret", |s| s["peers"] = json!({}), "secret_file"),
        (
            "missing secret file",
            |s| s["peers"] = json!({ "secret_file": "none" }),
            "can't read",
        ),
    ];
    for (name, change, expected_text) in rows {
        let mut settings: Value = serde_json::from_str(&valid).unwrap();
        change(&mut settings);
        fs::write(&file, settings.to_string()).unwrap();
        let (exit, _output, errors) =
            harness::run(&["check", "--settings", &file.display().to_string()]);
        assert_eq!(exit, 3, "{name}: {errors}");
        assert!(errors.contains(expected_text), "{name}: {errors}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_apply_pull_and_status_work_together() {
    let deployment = ProcessDeployment::start("operators").await;
    let settings = deployment
        .folder
        .join("entry-1.jsonc")
        .display()
        .to_string();
    let pulled = deployment.folder.join("pulled");
    let folder = pulled.display().to_string();
    let (exit, output, errors) = harness::run(&["pull", "--settings", &settings, &folder]);
    assert_eq!(exit, 0, "{output}{errors}");
    let file = pulled.join("all.jsonc");
    let text = fs::read_to_string(&file)
        .unwrap()
        .replace("\"deferrable\"", "\"urgent\"");
    fs::write(&file, text).unwrap();
    let (exit, output, errors) = harness::run(&["plan", "--settings", &settings, &folder]);
    assert_eq!(exit, 0, "{errors}");
    assert!(output.contains("~ templates summaries"), "{output}");
    assert!(
        output.contains("class: \"deferrable\" -> \"urgent\""),
        "{output}"
    );
    let (exit, output, errors) = harness::run(&[
        "apply",
        "--settings",
        &settings,
        "--change",
        "c-1",
        "--json",
        &folder,
    ]);
    assert_eq!(exit, 0, "{errors}");
    assert_eq!(
        serde_json::from_str::<Value>(&output).unwrap()["version"],
        json!(2)
    );
    let (exit, output, _errors) =
        harness::run(&["status", "--settings", &settings, "--change", "c-1"]);
    assert_eq!(exit, 0, "{output}");
    assert!(output.contains("version 2"), "{output}");
    let instance = deployment.entry.address_of("operators");
    let (exit, output, _errors) = harness::run(&[
        "status",
        "--settings",
        &settings,
        "--instance",
        &instance,
        "--json",
    ]);
    assert_eq!(exit, 0, "{output}");
    assert_eq!(
        serde_json::from_str::<Value>(&output).unwrap()["instance"],
        json!("entry-1")
    );
    // This folder is still based on version 1 and changes the same file: it conflicts with
    // version 2.
    let stale_folder = deployment.folder.join("declared");
    let text = fs::read_to_string(stale_folder.join("all.jsonc"))
        .unwrap()
        .replace("\"deferrable\"", "\"standard\"");
    fs::write(stale_folder.join("all.jsonc"), text).unwrap();
    let (exit, _output, errors) = harness::run(&[
        "apply",
        "--settings",
        &settings,
        &stale_folder.display().to_string(),
    ]);
    assert_eq!(exit, 4, "{errors}");
    assert!(
        errors.contains("4011") && errors.contains("version 2"),
        "{errors}"
    );
}

#[test]
fn an_unreachable_platform_has_its_own_exit_code() {
    let folder = harness::scratch_folder("unreachable");
    let settings = harness::write_settings(&folder, "entry-1", "127.0.0.1:1");
    let declared = folder.join("declared");
    fs::create_dir_all(&declared).unwrap();
    fs::write(
        declared.join("all.jsonc"),
        fixture::declarations(true).to_string(),
    )
    .unwrap();
    let (exit, _output, errors) = harness::run(&[
        "apply",
        "--settings",
        &settings,
        &declared.display().to_string(),
    ]);
    assert_eq!(exit, 5, "{errors}");
}

#[test]
fn the_demo_keeps_its_promises() {
    let (exit, output, errors) = harness::run(&["demo"]);
    assert_eq!(exit, 0, "{output}{errors}");
    assert!(output.contains("kept      every promise"), "{output}");
}

/// Guards against a panic on arguments that are not text, in place of the exit code of an invalid
/// command line.
#[test]
fn arguments_that_are_not_utf_8_are_refused() {
    let garbled = OsStr::from_bytes(b"z\xff1");
    for arguments in [&[garbled][..], &[OsStr::new("evacuate"), garbled]] {
        let output = Command::new(env!("CARGO_BIN_EXE_cranereach"))
            .args(arguments)
            .output()
            .unwrap();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains("z\u{fffd}1"), "{errors}");
    }
}
