//! `explain`: shows from log files what happened to one request, or counts the causes of all
//! failures.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use gumdrop::Options;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::exit::Exit;

/// Fields that are common to all log lines and are left out of the field list.
const COMMON_FIELDS: [&str; 5] = ["msg", "ts", "instance", "level", "request"];

/// Log messages about what a worker announced about its own state.
const WORKER_STATE_MESSAGES: [&str; 3] = ["worker leaves", "worker rests", "worker limit"];

/// Log message of an instance that noticed that the store was restored from a backup.
const STORE_RESTORED_MESSAGE: &str = "store restored";

/// Log messages of an instance that begins and ends to turn connections of callers away.
const OVERLOAD_MESSAGES: [&str; 2] = ["turning connections away", "taking all connections again"];

/// Log message of an instance that found a worker ended whose request was broken off.
const WORKER_ENDED_MESSAGE: &str = "worker ended under request";

/// Fields of such a line whose values requests may have in common; `parts` lists several values.
const SHARED_FIELDS: [&str; 6] = [
    "fingerprint",
    "parts",
    "route",
    "model",
    "adapter",
    "account",
];

/// Number of shared values to show, those under which the most workers ended.
const SHARED_VALUE_MAX_COUNT: usize = 12;

/// Number of lines of a kind that preceded those of a request to show, the latest ones.
const PRECEDING_MAX_COUNT: usize = 12;

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "request to explain", meta = "ID")]
    request: Option<String>,
    #[options(free, required, help = "log files of one or more instances")]
    files: Vec<PathBuf>,
}

/// One log line.
#[derive(Debug, Deserialize)]
struct LogLine {
    msg: String,
    ts: String,
    instance: String,
    #[serde(default)]
    request: Option<String>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// All lines that could be parsed, and the number of those that couldn't.
#[derive(Debug, Default)]
struct Logs {
    lines: Vec<LogLine>,
    skipped_count: usize,
}

/// Prints the history of one request, or a summary if none is given.
pub fn execute(options: &ExplainArguments) -> Exit {
    let mut logs = Logs::default();
    for path in &options.files {
        if let Err(error) = logs.read(path) {
            eprintln!("{}: can't read the log: {error}", path.display());
            return Exit::Usage;
        }
    }
    if logs.skipped_count > 0 {
        eprintln!(
            "skipped {} lines that are not log records",
            logs.skipped_count
        );
    }
    match &options.request {
        Some(request) => print_request(&mut logs, request),
        None => print_summary(&logs),
    }
}

impl Logs {
    /// Reads a file; lines that can't be parsed are counted and skipped.
    fn read(&mut self, path: &Path) -> std::io::Result<()> {
        for text in BufReader::new(File::open(path)?).split(b'\n') {
            let text = text?;
            // A log collector may have added a prefix to the line.
            let start = text.iter().position(|byte| *byte == b'{');
            let parsed = start.and_then(|start| serde_json::from_slice(&text[start..]).ok());
            match parsed {
                Some(line) => self.lines.push(line),
                None if text.is_empty() => {}
                None => self.skipped_count += 1,
            }
        }
        Ok(())
    }
}

/// Prints all lines about a request, sorted by timestamp.
fn print_request(logs: &mut Logs, request: &str) -> Exit {
    logs.lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    let matching: Vec<&LogLine> = logs
        .lines
        .iter()
        .filter(|line| line.request.as_deref() == Some(request))
        .collect();
    if matching.is_empty() {
        eprintln!(
            "no log line about {request}: it did not fail, or the logs of its instances are missing"
        );
        return Exit::Failure;
    }
    println!("{request}, sorted by the clocks of the instances, which may differ:");
    matching.into_iter().for_each(print_line);
    print_equal_requests(logs, request);
    print_instance_lines(
        logs,
        request,
        "Worker announcements",
        &WORKER_STATE_MESSAGES,
    );
    print_instance_lines(
        logs,
        request,
        "Overload of the instance",
        &OVERLOAD_MESSAGES,
    );
    Exit::Success
}

/// Prints the latest lines with some messages that preceded the last line about the request, as
/// logged by the same instance. They can explain which worker was chosen, or why none was.
fn print_instance_lines(logs: &Logs, request: &str, title: &str, messages: &[&str]) {
    let request_lines = logs
        .lines
        .iter()
        .filter(|line| line.request.as_deref() == Some(request));
    let Some(last) = request_lines.max_by(|left, right| left.ts.cmp(&right.ts)) else {
        return;
    };
    let is_wanted = |line: &&LogLine| {
        messages.contains(&line.msg.as_str())
            && line.instance == last.instance
            && line.ts <= last.ts
    };
    let preceding: Vec<&LogLine> = logs.lines.iter().filter(is_wanted).collect();
    let recent = &preceding[preceding.len().saturating_sub(PRECEDING_MAX_COUNT)..];
    if !recent.is_empty() {
        println!("{title} until then:");
    }
    recent.iter().copied().for_each(print_line);
}

/// Prints a line without the common fields.
fn print_line(line: &LogLine) {
    println!(
        "{} {} {}: {}",
        line.ts,
        line.instance,
        line.msg,
        format_fields(&line.fields)
    );
}

/// Prints the lines about other requests with the same fingerprint, or with the part of their
/// prompts that has it. They show which worker failures put the fingerprint into quarantine.
fn print_equal_requests(logs: &Logs, request: &str) {
    let is_own = |line: &&LogLine| line.request.as_deref() == Some(request);
    let request_lines = logs.lines.iter().filter(is_own);
    let fingerprints: BTreeSet<&str> = request_lines.filter_map(fingerprint).collect();
    for wanted in fingerprints {
        println!("Other requests with fingerprint {wanted}:");
        let equal_lines = logs
            .lines
            .iter()
            .filter(|line| fingerprint(line) == Some(wanted) || has_part(line, wanted));
        for line in equal_lines.filter(|line| !is_own(line)) {
            println!(
                "{} {} {} {}: {}",
                line.ts,
                line.instance,
                line.request.as_deref().unwrap_or("-"),
                line.msg,
                format_fields(&line.fields)
            );
        }
    }
}

/// Returns the request fingerprint in a line.
fn fingerprint(line: &LogLine) -> Option<&str> {
    line.fields.get("fingerprint")?.as_str()
}

/// Returns whether a line lists a part with the fingerprint.
fn has_part(line: &LogLine, wanted: &str) -> bool {
    let listed = line.fields.get("parts").and_then(Value::as_str);
    listed.is_some_and(|listed| listed.split(',').any(|part| part == wanted))
}

/// Prints how often each cause occurs in the lines about requests.
fn print_summary(logs: &Logs) -> Exit {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for line in logs.lines.iter().filter(|line| line.request.is_some()) {
        let cause = ["name", "failure", "why", "model"]
            .iter()
            .find_map(|field| line.fields.get(*field)?.as_str())
            .unwrap_or_default();
        *counts.entry(format!("{}: {cause}", line.msg)).or_default() += 1;
    }
    let mut sorted: Vec<(String, usize)> = counts.into_iter().collect();
    sorted.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    for (cause, count) in sorted {
        println!("{count:>8} {cause}");
    }
    print_store_restores(logs);
    print_worker_ends(logs);
    print_overloads(logs);
    Exit::Success
}

/// Prints, for each store era, when instances noticed that the store had been restored from a
/// backup.
fn print_store_restores(logs: &Logs) {
    let mut noticed: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let restored = logs
        .lines
        .iter()
        .filter(|line| line.msg == STORE_RESTORED_MESSAGE);
    for line in restored {
        if let Some(era) = line.fields.get("era").and_then(Value::as_u64) {
            noticed.entry(era).or_default().insert(&line.ts);
        }
    }
    for (era, times) in noticed {
        let first = times.first().copied().unwrap_or_default();
        let last = times.last().copied().unwrap_or_default();
        println!("store restored: era {era}, noticed between {first} and {last}");
    }
}

/// Prints how many workers ended under requests that share a value: a value that all of these
/// requests share may be why their workers ended, unless answered requests have it as well.
fn print_worker_ends(logs: &Logs) {
    let mut all_workers: BTreeSet<&str> = BTreeSet::new();
    let mut by_value: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    let ended = logs
        .lines
        .iter()
        .filter(|line| line.msg == WORKER_ENDED_MESSAGE);
    for line in ended {
        let text = |field: &str| line.fields.get(field).and_then(Value::as_str);
        let Some(worker) = text("worker") else {
            continue;
        };
        all_workers.insert(worker);
        for field in SHARED_FIELDS {
            let values = text(field).unwrap_or_default().split(',');
            for value in values.filter(|value| !value.is_empty()) {
                by_value.entry((field, value)).or_default().insert(worker);
            }
        }
    }
    let mut shared: Vec<_> = by_value.into_iter().collect();
    shared.retain(|(_, workers)| workers.len() > 1);
    shared.sort_by_key(|(_, workers)| std::cmp::Reverse(workers.len()));
    let all_count = all_workers.len();
    for ((field, value), workers) in shared.iter().take(SHARED_VALUE_MAX_COUNT) {
        let count = workers.len();
        println!("{count} of {all_count} workers ended under requests with {field} {value}");
    }
}

/// Prints when instances turned connections of callers away, and for which reasons.
fn print_overloads(logs: &Logs) {
    let mut lines: Vec<&LogLine> = logs
        .lines
        .iter()
        .filter(|line| OVERLOAD_MESSAGES.contains(&line.msg.as_str()))
        .collect();
    lines.sort_by_key(|line| (&line.instance, &line.ts));
    lines.into_iter().for_each(print_line);
}

/// Formats the fields that aren't common to all lines.
fn format_fields(fields: &Map<String, Value>) -> String {
    let shown = fields
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let formatted: Vec<String> = shown
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    formatted.join(" ")
}
