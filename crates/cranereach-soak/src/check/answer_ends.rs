//! Checks that no answer that ends inside an event, or before its last piece, looks complete.

use super::Finding;
use super::hidden_ends::HiddenEnds;
use crate::events::StreamEvents;
use crate::record::Answer;
use crate::record::End;
use crate::record::Records;
use crate::record::RequestRecord;
use cranereach_platform::standin::content;
use cranereach_platform::standin::content::EVENT_COUNT;

/// Judges each success that looks complete to its caller.
pub fn check(records: &Records) -> Finding {
    let hidden_ends = HiddenEnds::new(records);
    let mut finding = Finding::default();
    for record in &records.asked {
        let End::Answered(answer) = &record.end else {
            continue;
        };
        if answer.status != 200 || !answer.is_whole {
            continue;
        }
        let is_end_hidden = hidden_ends.may_look_complete(record);
        let early_end = if record.kind.is_stream() {
            early_end_of_stream(record, answer, is_end_hidden)
        } else {
            early_end_of_plain_body(record, answer, is_end_hidden)
        };
        finding.add_trial(early_end.map(|early_end| format!("{}: {early_end}", record.id)));
    }
    finding
}

/// Describes the early end of a stream, if it has one.
fn early_end_of_stream(
    record: &RequestRecord,
    answer: &Answer,
    is_end_hidden: bool,
) -> Option<String> {
    let split = StreamEvents::new(&answer.body);
    if !split.rest.is_empty() {
        return Some(format!("complete inside an event, at {:?}", split.rest));
    }
    let last_before = record.take_up.as_ref().map(|take_up| take_up.last_event);
    let last_event = split.complete().last().map(|event| event.number);
    let is_at_end = last_event.or(last_before) == Some(EVENT_COUNT - 1);
    (!is_at_end && !is_end_hidden).then(|| format!("complete after event {last_event:?}"))
}

/// Describes the early end of a body that is no stream, if it has one.
fn early_end_of_plain_body(
    record: &RequestRecord,
    answer: &Answer,
    is_end_hidden: bool,
) -> Option<String> {
    let expected = content::plain_body(&record.id);
    let is_early = expected.starts_with(&answer.body) && answer.body.len() < expected.len();
    (is_early && !is_end_hidden).then(|| {
        let length = answer.body.len();
        format!("complete after {length} of {} bytes", expected.len())
    })
}
