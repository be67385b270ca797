//! Checks that a stream that may not be resumed delivers its own events in order, and looks complete
//! only if it is.

use std::collections::HashMap;

use super::Finding;
use super::hidden_ends::HiddenEnds;
use crate::record::Answer;
use crate::record::Arrival;
use crate::record::End;
use crate::record::Kind;
use crate::record::Records;
use cranereach_platform::standin::content;

/// Judges each stream that was answered with status 200.
pub fn check(records: &Records) -> Finding {
    let runs = records.arrivals.iter().filter(|arrival| arrival.is_run);
    let runs: HashMap<&str, &Arrival> = runs.map(|run| (run.id.as_str(), run)).collect();
    let hidden_ends = HiddenEnds::new(records);
    let mut finding = Finding::default();
    let streams = records
        .asked
        .iter()
        .filter(|record| record.kind == Kind::Stream);
    for record in streams {
        let End::Answered(answer) = &record.end else {
            continue;
        };
        if answer.status != 200 {
            continue;
        }
        let whole_body = whole_stream(&record.id, runs.get(record.id.as_str()).copied());
        let is_right = is_right(answer, &whole_body, hidden_ends.may_look_complete(record));
        let message = || format!("{}: wrong stream body {:?}", record.id, answer.body);
        finding.add_trial((!is_right).then(message));
    }
    finding
}

/// Returns the events that a worker writes for a request.
fn whole_stream(id: &str, run: Option<&Arrival>) -> String {
    match run.and_then(|run| run.software_version.as_deref()) {
        Some(version) => content::whole_stream(&content::versioned_piece(id, version)),
        None => content::whole_stream(id),
    }
}

/// Returns whether an answer is the whole stream, or a beginning of it that doesn't look complete.
fn is_right(answer: &Answer, whole_body: &str, is_end_hidden: bool) -> bool {
    let is_at_border = answer.body.is_empty() || answer.body.ends_with("\n\n");
    if answer.is_whole && !(is_end_hidden && is_at_border) {
        answer.body == whole_body
    } else {
        whole_body.starts_with(&answer.body)
    }
}
