//! Tests of the checks of single requests and answers, of gateways' health and of recovery.

use crate::planted::VERSION;
use crate::planted::add;
use crate::planted::answer;
use crate::planted::events;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_platform::standin::content;
use cranereach_soak::check::answers;
use cranereach_soak::check::gateway_health;
use cranereach_soak::check::recovery;
use cranereach_soak::check::runs;
use cranereach_soak::check::stream_order;
use cranereach_soak::record::End;
use cranereach_soak::record::Event;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;

/// Positions in the fault-free records.
const ONCE: usize = 0;
const AGAIN: usize = 1;
const STREAM: usize = 3;

#[test]
fn an_answer_to_another_request_is_found() {
    finds(answers::check, |records| {
        answer(records, ONCE).body = content::plain_body("id-1");
    });
    finds(answers::check, |records| {
        answer(records, ONCE).request = "id-1".to_owned();
    });
    finds(answers::check, |records| {
        answer(records, ONCE).signature = None;
    });
    finds(answers::check, |records| {
        answer(records, ONCE).signature = Some(content::signature("w-9"));
    });
    finds(answers::check, |records| {
        answer(records, ONCE).body.truncate(10);
    });
    finds(answers::check, |records| {
        answer(records, ONCE).status = 500;
    });
    // An answer that was visibly cut off doesn't pass for a success.
    passes(answers::check, |records| {
        let answer = answer(records, ONCE);
        answer.body.truncate(10);
        answer.is_whole = false;
    });
}

#[test]
fn a_stream_that_loses_or_repeats_an_event_is_found() {
    let event = |number| events(number..number + 1, "id-3", VERSION);
    finds(stream_order::check, |records| {
        let answer = answer(records, STREAM);
        answer.body = answer.body.replace(&event(2), "");
    });
    finds(stream_order::check, |records| {
        let answer = answer(records, STREAM);
        answer.body = answer.body.replace(&event(2), &event(2).repeat(2));
        answer.is_whole = false;
    });
    finds(stream_order::check, |records| {
        answer(records, STREAM).body = event(0) + &events(1..2, "id-0", VERSION);
        answer(records, STREAM).is_whole = false;
    });
    finds(stream_order::check, |records| {
        answer(records, STREAM).body = event(0);
    });
    passes(stream_order::check, |records| {
        let answer = answer(records, STREAM);
        answer.body = event(0) + "id: 1";
        answer.is_whole = false;
    });
}

/// Makes a request arrive at another worker as well.
fn run_again(records: &mut Records, number: usize) {
    let mut again = records.arrivals[number].clone();
    "w-1".clone_into(&mut again.worker_id);
    records.arrivals.push(again);
}

#[test]
fn a_second_run_is_found_where_none_is_allowed() {
    finds(runs::at_most_once, |records| run_again(records, ONCE));
    finds(runs::at_most_once, |records| run_again(records, STREAM));
    passes(runs::at_most_once, |records| run_again(records, AGAIN));
    passes(runs::at_most_once, |records| {
        run_again(records, ONCE);
        records.arrivals[ONCE].is_run = false;
    });
}

#[test]
fn a_run_answered_as_not_run_is_found() {
    for status in [408, 421, 429, 503] {
        finds(runs::not_run, |records| {
            answer(records, ONCE).status = status;
        });
    }
    passes(runs::not_run, |records| {
        answer(records, ONCE).status = 503;
        records.arrivals[ONCE].is_run = false;
    });
    passes(runs::not_run, |records| {
        answer(records, ONCE).status = 502;
        answer(records, AGAIN).status = 503;
    });
}

#[test]
fn a_run_without_a_request_is_found() {
    finds(runs::only_asked, |records| {
        records.arrivals[ONCE].id = "id-9".to_owned();
    });
    finds(runs::only_asked, |records| {
        records.arrivals[ONCE].account = Some("ships".to_owned());
    });
    finds(runs::only_asked, |records| {
        records.arrivals[ONCE].account = None;
    });
}

#[test]
fn an_unexpected_exit_and_excessive_resource_use_are_found() {
    finds(gateway_health::ends, |records| {
        records.events.push(Event::EndedByItself {
            gateway: 1,
            at_ms: 5,
        });
    });
    let usage = |memory_bytes, descriptor_count| Event::Held {
        gateway: 1,
        memory_bytes,
        descriptor_count,
    };
    finds(gateway_health::resources, |records| {
        records.events.push(usage(1 << 40, 10));
    });
    finds(gateway_health::resources, |records| {
        records.events.push(usage(1 << 20, 100_000));
    });
    passes(gateway_health::resources, |records| {
        records.events.push(usage(1 << 20, 100));
    });
}

#[test]
fn refusals_are_found_unless_the_key_was_revoked() {
    let deny = |records: &mut Records| {
        for number in 0..6 {
            let id = format!("more-{number}");
            add(records, served(&id, Kind::Once, 30_000));
            let last = records.asked.len() - 1;
            answer(records, last).status = 401;
            records.asked[last].key = 5;
        }
    };
    let mut records = Records::default();
    deny(&mut records);
    assert_eq!(gateway_health::denied(&records).violations.len(), 6);
    passes(gateway_health::denied, |records| {
        deny(records);
        records.events.push(Event::Revoked { key: 5, at_ms: 0 });
    });
}

#[test]
fn missing_recovery_is_found() {
    finds(recovery::check, |records| {
        for record in &mut records.asked[1..] {
            record.end = End::Closed;
        }
    });
    // No caller could even connect.
    finds(recovery::check, |records| {
        records.asked.clear();
        records.end_ms = 30_000;
    });
    passes(recovery::check, |records| {
        records.asked[ONCE].end = End::GaveUp;
    });
}
