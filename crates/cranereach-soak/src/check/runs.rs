//! Checks how often requests run, and for which client account.

use std::collections::HashMap;

use super::Finding;
use super::contact::RecordIndex;
use crate::record::Arrival;
use crate::record::End;
use crate::record::Records;
use crate::schedule;

/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Counts the runs of each request.
fn run_counts(records: &Records) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for arrival in records.arrivals.iter().filter(|arrival| arrival.is_run) {
        *counts.entry(arrival.id.as_str()).or_default() += 1;
    }
    counts
}

/// Checks that a request that must not be repeated runs at most once, whatever its caller was
/// answered.
pub fn at_most_once(records: &Records) -> Finding {
    let counts = run_counts(records);
    let mut finding = Finding::default();
    let unrepeatable = records
        .asked
        .iter()
        .filter(|record| !record.kind.is_repeatable());
    for record in unrepeatable {
        let count = counts.get(record.id.as_str()).copied().unwrap_or(0);
        let message = || format!("{}: ran {count} times", record.id);
        finding.add_trial((count > 1).then(message));
    }
    finding
}

/// Checks that a request that must not be repeated has not run if the answer says so.
pub fn not_run(records: &Records) -> Finding {
    let counts = run_counts(records);
    let mut finding = Finding::default();
    for record in &records.asked {
        let End::Answered(answer) = &record.end else {
            continue;
        };
        if NOT_RUN.contains(&answer.status) && !record.kind.is_repeatable() {
            let has_run = counts.contains_key(record.id.as_str());
            let message = || format!("{}: answered {} although it ran", record.id, answer.status);
            finding.add_trial(has_run.then(message));
        }
    }
    finding
}

/// Checks that each run belongs to a request of a caller, under the account of its key.
pub fn only_asked(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let mut finding = Finding::default();
    for run in records.arrivals.iter().filter(|arrival| arrival.is_run) {
        finding.add_trial(unexpected_run(&index, run));
    }
    finding
}

/// Describes what differs in a run from what was requested, if anything does.
fn unexpected_run(index: &RecordIndex<'_>, run: &Arrival) -> Option<String> {
    let Some(record) = index.request_record(&run.id) else {
        return Some(format!("{}: ran but no caller sent it", run.id));
    };
    let expected = schedule::account_of(record.key);
    let stated = run.account.as_deref();
    (stated != Some(expected)).then(|| {
        format!(
            "{}: ran under account {stated:?}, sent by {expected}",
            run.id
        )
    })
}
