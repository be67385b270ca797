//! Tests of the check of requests while most new connections go to one gateway.

use crate::planted::add;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_soak::check::concentrated;
use cranereach_soak::check::concentrated::ADAPTING_MS;
use cranereach_soak::check::concentrated::JUDGED_MIN_COUNT;
use cranereach_soak::record::End;
use cranereach_soak::record::Event;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;

/// Start and end of the concentration, in milliseconds.
const CONCENTRATED_MS: (u64, u64) = (30_000, 40_000);

/// Time of the first request that is judged, in milliseconds.
const JUDGED_FROM_MS: u64 = CONCENTRATED_MS.0 + ADAPTING_MS;

/// Number of requests in each of the times that are compared.
const COUNT: usize = 2 * JUDGED_MIN_COUNT;

/// Adds the concentration, and a served request each 10 ms in the time before it.
fn concentrate(records: &mut Records) {
    let (from_ms, to_ms) = CONCENTRATED_MS;
    records.events.push(Event::Concentrated { from_ms, to_ms });
    for number in 0..COUNT {
        let sent_ms = from_ms - ADAPTING_MS + 10 * number as u64;
        add(
            records,
            served(&format!("5-n{number}-0"), Kind::Again, sent_ms),
        );
    }
}

/// Adds the first try of a request in the time that is judged, which ends as given. Returns its time.
fn add_try(records: &mut Records, number: usize, end: Option<End>, has_arrived: bool) -> u64 {
    let sent_ms = JUDGED_FROM_MS + 10 * number as u64;
    let id = format!("5-n{}-0", COUNT + number);
    let (mut record, arrival) = served(&id, Kind::Again, sent_ms);
    record.end = end.unwrap_or(record.end);
    records.asked.push(record);
    if has_arrived {
        records.arrivals.push(arrival);
    }
    sent_ms
}

/// Guards against requests that time out at an overloaded gateway passing for served ones.
#[test]
fn a_gateway_that_serves_too_little_of_what_it_reads_is_found() {
    let plant = |records: &mut Records, served_count| {
        concentrate(records);
        for number in 0..COUNT {
            let end = (number >= served_count).then_some(End::GaveUp);
            add_try(records, number, end, true);
        }
    };
    finds(concentrated::check, |records| {
        plant(records, COUNT * 3 / 4 - 1);
    });
    passes(concentrated::check, |records| plant(records, COUNT * 3 / 4));
}

/// Guards against a gateway that is blamed for connections that it closes unread, and against one
/// that reads requests and then closes their connections.
#[test]
fn a_connection_that_is_closed_unread_counts_only_if_no_later_try_is_read() {
    let plant = |records: &mut Records, has_arrived: bool, is_tried_again: bool| {
        concentrate(records);
        for number in 0..COUNT {
            let sent_ms = add_try(records, number, Some(End::Closed), has_arrived);
            if is_tried_again {
                let id = format!("5-n{}-1", COUNT + number);
                add(records, served(&id, Kind::Again, sent_ms + 5));
            }
        }
    };
    passes(concentrated::check, |records| plant(records, false, true));
    finds(concentrated::check, |records| plant(records, true, true));
    finds(concentrated::check, |records| plant(records, false, false));
}

#[test]
fn requests_of_other_callers_are_not_judged() {
    passes(concentrated::check, |records| {
        concentrate(records);
        for number in 0..COUNT {
            add_try(records, number, None, true);
            let sent_ms = JUDGED_FROM_MS + 10 * number as u64;
            let (mut record, arrival) = served(&format!("5-7-{number}"), Kind::Again, sent_ms);
            record.end = End::GaveUp;
            add(records, (record, arrival));
        }
    });
}
