//! Small records of fault-free runs, into which tests plant violations.

use std::ops::Range;

use cranereach_platform::standin::content;
use cranereach_platform::standin::content::EVENT_COUNT;
use cranereach_soak::check::Finding;
use cranereach_soak::record::Answer;
use cranereach_soak::record::Arrival;
use cranereach_soak::record::End;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;
use cranereach_soak::record::RequestRecord;
use cranereach_soak::schedule;

/// Version of the software of the worker `w-0`.
pub const VERSION: &str = "release-0";

/// Returns the events `numbers` of a stream, as a worker with a version writes them.
pub fn events(numbers: Range<usize>, id: &str, version: &str) -> String {
    let piece = content::versioned_piece(id, version);
    numbers
        .map(|number| content::event(number, &piece))
        .collect()
}

/// Returns all events of a stream, as a worker with a version writes them.
fn whole_stream(id: &str, version: &str) -> String {
    events(0..EVENT_COUNT, id, version)
}

/// Returns the records of a request that is sent to gateway 0 at `sent_ms` and answered by worker
/// `w-0`.
pub fn served(id: &str, kind: Kind, sent_ms: u64) -> (RequestRecord, Arrival) {
    let body = match kind {
        Kind::Stream | Kind::Resumable => whole_stream(id, VERSION),
        Kind::Once | Kind::Again | Kind::Moved => content::plain_body(id),
    };
    let record = RequestRecord {
        id: id.to_owned(),
        kind,
        key: 0,
        gateway: 0,
        sent_ms,
        ended_ms: sent_ms + 30,
        end: End::Answered(Answer {
            status: 200,
            is_whole: true,
            request: id.to_owned(),
            signature: Some(content::signature("w-0")),
            body,
        }),
        take_up: None,
        is_left: false,
    };
    let arrival = Arrival {
        id: id.to_owned(),
        worker: 0,
        worker_id: "w-0".to_owned(),
        service: "plain".to_owned(),
        domain: 0,
        account: Some(schedule::account_of(0).to_owned()),
        at_ms: sent_ms + 2,
        is_run: true,
        rest_ms: None,
        software_version: Some(VERSION.to_owned()),
        is_end_unmarked: false,
        is_cut_hidden: false,
        worker_ended_ms: None,
    };
    (record, arrival)
}

/// Returns records in which one request of each kind was served, from 20 s on.
pub fn fault_free_records() -> Records {
    let mut records = Records::default();
    let kinds = [
        Kind::Once,
        Kind::Again,
        Kind::Moved,
        Kind::Stream,
        Kind::Resumable,
    ];
    for (number, kind) in kinds.into_iter().enumerate() {
        add(
            &mut records,
            served(&format!("id-{number}"), kind, 20_000 + number as u64 * 100),
        );
    }
    records
}

/// Adds a request.
pub fn add(records: &mut Records, (record, arrival): (RequestRecord, Arrival)) {
    records.asked.push(record);
    records.arrivals.push(arrival);
}

/// Returns the answer to a request.
pub fn answer(records: &mut Records, number: usize) -> &mut Answer {
    match &mut records.asked[number].end {
        End::Answered(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// Asserts that a check passes fault-free records and finds one violation after `plant`.
pub fn finds(check: fn(&Records) -> Finding, plant: impl Fn(&mut Records)) {
    let mut records = fault_free_records();
    assert_eq!(check(&records).violations, Vec::<String>::new());
    plant(&mut records);
    let found = check(&records);
    assert_eq!(found.violations.len(), 1, "{found:?}");
}

/// Asserts that a check still passes after `plant`.
pub fn passes(check: fn(&Records) -> Finding, plant: impl Fn(&mut Records)) {
    let mut records = fault_free_records();
    plant(&mut records);
    assert_eq!(check(&records).violations, Vec::<String>::new());
}
