//! Checks that each successful answer is a worker's complete answer to the caller's own request.

use std::collections::HashSet;

use super::Finding;
use super::hidden_ends::HiddenEnds;
use crate::record::Answer;
use crate::record::End;
use crate::record::Records;
use crate::record::RequestRecord;
use cranereach_platform::standin::content;

/// Judges each answer.
pub fn check(records: &Records) -> Finding {
    let runs = records.arrivals.iter().filter(|arrival| arrival.is_run);
    let runs: HashSet<(&str, String)> = runs
        .map(|run| (run.id.as_str(), content::signature(&run.worker_id)))
        .collect();
    let hidden_ends = HiddenEnds::new(records);
    let mut finding = Finding::default();
    for record in &records.asked {
        if let End::Answered(answer) = &record.end {
            let ran = |signature: &str| runs.contains(&(record.id.as_str(), signature.to_owned()));
            let is_end_hidden = hidden_ends.may_look_complete(record);
            let broken = violation(record, answer, is_end_hidden, ran);
            finding.add_trial(broken.map(|message| format!("{}: {message}", record.id)));
        }
    }
    finding
}

/// Describes what is wrong with an answer, if anything is.
fn violation(
    record: &RequestRecord,
    answer: &Answer,
    is_end_hidden: bool,
    ran: impl Fn(&str) -> bool,
) -> Option<String> {
    let is_success = (200..300).contains(&answer.status);
    match (is_success, &answer.signature) {
        (false, None) => return None,
        // Workers of a soak never answer with an error of their own.
        (false, Some(_)) => return Some(format!("{} with a worker's signature", answer.status)),
        (true, None) => return Some("success without a worker's signature".to_owned()),
        (true, Some(signature)) if !ran(signature) => {
            return Some(format!("signed as {signature}, which did not run it"));
        }
        (true, Some(_)) => {}
    }
    if answer.request != record.id {
        return Some(format!("answer belongs to request {}", answer.request));
    }
    // The bodies of streams are judged by `stream_order`.
    let is_plain = !record.kind.is_stream();
    let expected = content::plain_body(&record.id);
    let is_right = answer.body == expected || is_end_hidden && expected.starts_with(&answer.body);
    (is_plain && answer.is_whole && !is_right).then(|| {
        format!(
            "body of {} bytes belongs to another request or is incomplete",
            answer.body.len()
        )
    })
}
