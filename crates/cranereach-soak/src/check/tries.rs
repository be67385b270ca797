//! Checks that a stream that may be resumed loses and repeats no event over its caller's tries.

use super::Finding;
use super::client_streams::ClientStream;
use crate::events::StreamEvents;
use crate::record::Kind;
use crate::record::Records;

/// Judges each stream that may be resumed and has a successful answer.
pub fn check(records: &Records) -> Finding {
    let mut finding = Finding::default();
    let streams = ClientStream::all(records).into_iter();
    for stream in streams.filter(|stream| stream.tries[0].kind == Kind::Resumable) {
        if stream.answers().next().is_some() {
            finding.add_trial(disorder(&stream));
        }
    }
    finding
}

/// Describes the first event that isn't the next one of its own stream, if there is one.
fn disorder(stream: &ClientStream<'_>) -> Option<String> {
    let mut next = 0;
    for (record, answer) in stream.answers() {
        let split = StreamEvents::new(&answer.body);
        let events = match split.events {
            Ok(events) => events,
            Err(text) => return Some(format!("{}: no event: {text:?}", record.id)),
        };
        for event in events {
            if event.number != next || event.request != record.id {
                return Some(format!(
                    "{}: event {} of {} where {next} was due, in a stream of {} tries",
                    record.id,
                    event.number,
                    event.request,
                    stream.tries.len()
                ));
            }
            next += 1;
        }
        if !is_beginning(split.rest, next, &record.id) {
            return Some(format!(
                "{}: no part of an event: {:?}",
                record.id, split.rest
            ));
        }
    }
    None
}

/// Returns whether `part` may be the beginning of an event of a request.
fn is_beginning(part: &str, number: usize, id: &str) -> bool {
    let start = format!("id: {number}\ndata: {id}");
    start.starts_with(part) || part.starts_with(&start)
}
