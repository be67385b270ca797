//! The `soak` command: short runs, bad input, an interruption.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;

use crate::harness;
use crate::harness::Process;

/// Parameters of a run that once failed, kept unchanged.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Regression {
    seed: u64,
    seconds: u64,
    size: String,
    cause: String,
}

/// Runs a soak that judges nothing that depends on speed; returns its output folder.
fn run_soak(seed: u64, seconds: u64, size: &str, flags: &[&str]) -> PathBuf {
    let folder = harness::scratch_folder("soak").join("out");
    let (seed, seconds) = (seed.to_string(), seconds.to_string());
    let out = folder.display().to_string();
    let mut arguments = vec!["soak", "--seed", &seed, "--seconds", &seconds];
    arguments.extend(["--size", size, "--untimed", "--out", &out]);
    arguments.extend(flags);
    let (exit, output, errors) = harness::run(&arguments);
    assert_eq!(exit, 0, "{output}{errors}");
    folder
}

/// Guards against answers that are lost, duplicated or delivered to the wrong caller when the
/// store is restored from backups.
#[test]
fn a_short_run_with_store_restores_keeps_the_untimed_promises() {
    run_soak(11, 30, "small", &["--restores"]);
}

/// Guards against answers that are lost, duplicated or cut where single gateways can't reach workers
/// that others reach.
#[test]
fn a_short_run_with_cut_paths_keeps_the_untimed_promises() {
    run_soak(13, 30, "small", &["--only", "paths"]);
}

/// Guards against answers that are lost, duplicated or cut, and gateways that end, while most new
/// connections come to one gateway.
#[test]
fn a_short_run_with_concentrated_connections_keeps_the_untimed_promises() {
    run_soak(17, 30, "small", &["--only", "connections"]);
}

#[test]
fn a_short_run_keeps_the_untimed_promises() {
    let folder = run_soak(7, 20, "small", &[]);
    let verdicts = fs::read(folder.join("verdicts.json")).unwrap();
    let verdicts: Vec<Value> = serde_json::from_slice(&verdicts).unwrap();
    let outcome = |name: &str| {
        let mut verdicts = verdicts.iter();
        let verdict = verdicts.find(|verdict| verdict["promise"] == name).unwrap();
        verdict["outcome"].as_str().unwrap().to_owned()
    };
    for name in ["whole-answers", "streams-in-order", "at-most-once"] {
        assert_eq!(outcome(name), "kept", "{name}");
    }
    assert_eq!(outcome("recovery"), "not_judged");
    let logs = (0..4).map(|number| folder.join(format!("gateway-{number}.log")));
    let logs: Vec<String> = logs.map(|path| path.display().to_string()).collect();
    let mut arguments = vec!["explain"];
    arguments.extend(logs.iter().map(String::as_str));
    let (exit, output, errors) = harness::run(&arguments);
    assert_eq!((exit, errors.as_str()), (0, ""), "{output}");
}

#[test]
fn runs_that_once_failed_keep_the_untimed_promises() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/soak/regressions.jsonc");
    let regressions: Vec<Regression> = cranereach_wire::jsonc::read_file(&path).unwrap();
    for regression in regressions {
        assert!(!regression.cause.is_empty());
        run_soak(regression.seed, regression.seconds, &regression.size, &[]);
    }
}

#[test]
fn bad_input_gives_one_error_line_and_its_own_exit_code() {
    let non_empty = harness::scratch_folder("soak-full");
    fs::write(non_empty.join("kept"), "").unwrap();
    let non_empty = non_empty.display().to_string();
    let rows: [(&[&str], i32, &str); 4] = [
        (&["--seed", "many"], 2, "seed"),
        (&["--seed", "1", "--size", "huge"], 2, "large, small"),
        (&["--seed", "1", "--seconds", "1"], 2, "10 to 600"),
        (&["--seed", "1", "--out", &non_empty], 5, "isn't empty"),
    ];
    for (options, code, expected_text) in rows {
        let arguments: Vec<&str> = ["soak"].iter().chain(options).copied().collect();
        let (exit, _output, errors) = harness::run(&arguments);
        assert_eq!(exit, code, "{options:?}: {errors}");
        assert!(errors.contains(expected_text), "{options:?}: {errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
    }
}

/// Returns the ids of the processes whose command line contains a folder.
fn processes_of(folder: &Path) -> Vec<String> {
    let name = folder.display().to_string();
    let entries = fs::read_dir("/proc").unwrap().flatten();
    let ids = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    let names_folder = |id: &String| {
        let command_line = fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&command_line).contains(&name)
    };
    ids.filter(names_folder).collect()
}

#[test]
fn an_interrupted_run_leaves_no_process() {
    let folder = harness::scratch_folder("soak-interrupted").join("out");
    let path = folder.display().to_string();
    let mut soak = Process::start(&["soak", "--seed", "1", "--out", &path]);
    // The soak itself and its four gateways.
    while processes_of(&folder).len() < 5 {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    soak.signal("INT");
    assert_eq!(soak.wait(), Some(6));
    assert_eq!(processes_of(&folder), Vec::<String>::new());
}
