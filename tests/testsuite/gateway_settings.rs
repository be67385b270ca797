//! Settings of a gateway: the sample, the template, and the messages about faults.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Returns the absolute path of a file given relative to the project root.
fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Runs `check` on a gateway settings file.
fn check(path: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cranereach"))
        .arg("check")
        .arg("--gateway-settings")
        .arg(path)
        .output()
        .unwrap()
}

/// Writes a settings file and runs `check` on it.
fn check_text(name: &str, text: &str) -> Output {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{name}.jsonc"));
    fs::write(&path, text).unwrap();
    check(&path)
}

/// Bounds that a deployment may leave out; the template has a conditional section for each.
const OPTIONAL_BOUNDS: [&str; 15] = [
    "graceS",
    "drainMs",
    "configurationMs",
    "leaseMs",
    "retryBudgetRatio",
    "retryBudgetAllowance",
    "budgetWindowS",
    "revocationStrict",
    "revocationMs",
    "quotaWindowS",
    "quotaExcess",
    "quotaAllowance",
    "evacuationMs",
    "coldStartExcess",
    "coldStartAllowance",
];

/// Resources that a deployment may leave out, likewise.
const OPTIONAL_RESOURCES: [&str; 3] = ["memoryMb", "fileDescriptors", "linkMbps"];

/// Fills in the template as the platform does, with example values.
fn filled_template() -> String {
    let template = fs::read_to_string(root("deploy/settings.jsonc")).unwrap();
    let placeholders = [
        ("{{nodeName|json}}", "\"edge-1\""),
        ("{{zone|json}}", "\"a\""),
        ("{{region|json}}", "\"north\""),
        ("{{zones|json}}", "{\"a\": \"north\", \"b\": \"south\"}"),
        ("{{bounds.evacuationMs}}", "5000"),
        ("{{bounds.coldStartExcess}}", "1.5"),
        ("{{bounds.coldStartAllowance}}", "5"),
        ("{{listen.frontend|json}}", "\"127.0.0.1:1\""),
        ("{{listen.ready|json}}", "\"127.0.0.1:2\""),
        ("{{ip}}", "127.0.0.1"),
        ("{{internalPortRange.0}}", "3"),
        ("{{internalPortRange.1}}", "4"),
        ("{{platform.address|json}}", "\"127.0.0.1:5\""),
        ("{{seedNodes|json}}", "[\"127.0.0.1:6\"]"),
        ("{{bounds.graceS}}", "8.0"),
        ("{{bounds.drainMs}}", "2000"),
        ("{{bounds.configurationMs}}", "2000"),
        ("{{bounds.leaseMs}}", "3000"),
        ("{{bounds.retryBudgetRatio}}", "0.2"),
        ("{{bounds.retryBudgetAllowance}}", "52"),
        ("{{bounds.budgetWindowS}}", "10"),
        ("{{bounds.revocationMs}}", "5000"),
        ("{{bounds.quotaWindowS}}", "8"),
        ("{{bounds.quotaExcess}}", "0.1"),
        ("{{bounds.quotaAllowance}}", "17000"),
        ("{{limits.memoryMb}}", "160"),
        ("{{limits.fileDescriptors}}", "4100"),
        ("{{limits.linkMbps}}", "10.0"),
    ];
    let mut text = template;
    for (placeholder, value) in placeholders {
        assert!(text.contains(placeholder), "the template has {placeholder}");
        text = text.replace(placeholder, value);
    }
    let bounds = OPTIONAL_BOUNDS.map(|bound| format!("bounds.{bound}"));
    let resources = OPTIONAL_RESOURCES.map(|resource| format!("limits.{resource}"));
    for optional in bounds.iter().chain(&resources) {
        for tag in [
            format!("{{{{#{optional}}}}}"),
            format!("{{{{/{optional}}}}}"),
        ] {
            assert!(text.contains(&tag), "the template has {tag}");
            text = text.replace(&tag, "");
        }
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

#[test]
fn the_sample_and_the_filled_template_are_accepted() {
    let sample = check(&root("docs/settings.gateway.sample.jsonc"));
    assert!(sample.status.success(), "{sample:?}");
    let template = check_text("filled", &filled_template());
    assert!(template.status.success(), "{template:?}");
}

#[test]
fn bounds_that_a_deployment_does_not_name_keep_their_defaults() {
    let text: Vec<String> = filled_template()
        .lines()
        .filter(|line| {
            !["_ms\"", "retry_", "limit_", "is_"]
                .iter()
                .any(|key| line.contains(key))
        })
        .map(str::to_owned)
        .collect();
    let output = check_text("filled-few-bounds", &text.join("\n"));
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn faults_name_file_line_and_valid_choices() {
    let table = [
        ("\"failure_domain\"", "\"failure_domian\"", "failure_domian"),
        ("\"users\"", "\"usres\"", "users"),
        ("3000", "\"soon\"", "filled"),
        ("\"127.0.0.1:1\"", "\"nowhere\"", "filled"),
        (
            "\"memory_mb\": 160",
            "\"memory_mb\": 0",
            "resources.memory_mb",
        ),
        ("{", "[", "filled"),
    ];
    for (number, (from, to, expected_text)) in table.into_iter().enumerate() {
        let text = filled_template().replacen(from, to, 1);
        let output = check_text(&format!("filled-fault-{number}"), &text);
        assert_eq!(output.status.code(), Some(3), "{to}");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(expected_text), "{to}: {error}");
        assert!(error.contains("filled-fault-"), "{error}");
    }
}

#[test]
fn a_gateway_without_usable_settings_reports_why_and_exits() {
    let output = Command::new(env!("CARGO_BIN_EXE_cranereach"))
        .arg("gateway")
        .env_remove("CRANEREACH_CONFIG")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--settings"));
}
