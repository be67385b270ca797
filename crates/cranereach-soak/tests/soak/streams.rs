//! Tests of the checks of how answers end, and of streams that their callers take up.

use crate::planted::VERSION;
use crate::planted::add;
use crate::planted::answer;
use crate::planted::events;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_platform::standin::content::EVENT_COUNT;
use cranereach_soak::check::Finding;
use cranereach_soak::check::answer_ends;
use cranereach_soak::check::answers;
use cranereach_soak::check::gateway_health;
use cranereach_soak::check::stop;
use cranereach_soak::check::stream_order;
use cranereach_soak::check::stream_versions;
use cranereach_soak::check::taken_up;
use cranereach_soak::check::tries;
use cranereach_soak::record::Event;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;
use cranereach_soak::record::TakeUp;

/// Positions in the fault-free records.
const ONCE: usize = 0;
const STREAM: usize = 3;
const RESUMABLE: usize = 4;

/// ID of the stream that may be resumed.
const RESUMABLE_ID: &str = "id-4";

/// A version that the worker `w-0` doesn't have.
const OTHER_VERSION: &str = "release-1";

/// Number of events before a take-up.
const BROKEN_AFTER: usize = 2;

/// Breaks the stream that may be resumed off, and takes it up by a request that brings `body`.
/// Returns the position of that request.
fn take_up(records: &mut Records, body: &str) -> usize {
    let first = answer(records, RESUMABLE);
    first.body = events(0..BROKEN_AFTER, RESUMABLE_ID, VERSION);
    first.is_whole = false;
    let (mut record, arrival) = served("again", Kind::Resumable, 20_500);
    record.gateway = 1;
    record.take_up = Some(TakeUp {
        first_id: RESUMABLE_ID.to_owned(),
        last_event: BROKEN_AFTER - 1,
        serving_count: 2,
    });
    add(records, (record, arrival));
    let position = records.asked.len() - 1;
    body.clone_into(&mut answer(records, position).body);
    position
}

/// Returns the events that a take-up has to bring, of a version.
fn remaining(version: &str) -> String {
    events(BROKEN_AFTER..EVENT_COUNT, "again", version)
}

/// Guards against a check that takes an answer without its last part for a complete one.
#[test]
fn an_early_end_that_looks_complete_is_found() {
    for position in [STREAM, RESUMABLE] {
        let id = format!("id-{position}");
        let cut_inside = events(0..2, &id, VERSION) + "id: 2\ndata: ";
        let cuts = [
            cut_inside.clone(),
            events(0..4, &id, VERSION),
            String::new(),
        ];
        for body in cuts {
            finds(answer_ends::check, |records| {
                answer(records, position).body.clone_from(&body);
            });
        }
        // An end inside an event shows, however it is marked.
        finds(answer_ends::check, |records| {
            answer(records, position).body.clone_from(&cut_inside);
            records.arrivals[position].is_end_unmarked = true;
            records.arrivals[position].is_cut_hidden = true;
        });
        passes(answer_ends::check, |records| {
            let answer = answer(records, position);
            answer.body.clone_from(&cut_inside);
            answer.is_whole = false;
        });
    }
    finds(answer_ends::check, |records| {
        answer(records, ONCE).body.truncate(10);
    });
    finds(answer_ends::check, |records| {
        take_up(records, &events(2..4, "again", VERSION));
    });
    passes(answer_ends::check, |records| {
        take_up(records, &remaining(VERSION));
    });
}

/// Cuts an answer where a whole body could end, at a worker that doesn't mark the ends of bodies.
fn cut_unmarked(records: &mut Records, position: usize) {
    let body = match position {
        ONCE => answer(records, position).body[..10].to_owned(),
        _ => events(0..2, &format!("id-{position}"), VERSION),
    };
    answer(records, position).body = body;
    records.arrivals[position].is_end_unmarked = true;
}

/// Guards against an excuse that also covers ends that can be told from a complete body's.
#[test]
fn an_unmarked_end_is_excused_only_if_the_connection_closed_in_order() {
    for position in [ONCE, STREAM, RESUMABLE] {
        // Streams that may be resumed have no check of their bodies besides.
        let checks: &[fn(&Records) -> Finding] = match position {
            ONCE => &[answer_ends::check, answers::check],
            STREAM => &[answer_ends::check, stream_order::check],
            _ => &[answer_ends::check],
        };
        for check in checks {
            finds(*check, |records| cut_unmarked(records, position));
            finds(*check, |records| {
                cut_unmarked(records, position);
                let long_before = records.arrivals[position].at_ms - 5_000;
                records.arrivals[position].worker_ended_ms = Some(long_before);
                records.events.push(Event::LinkCut {
                    worker: 1,
                    from_ms: records.arrivals[position].at_ms,
                    to_ms: 30_000,
                });
            });
            passes(*check, |records| {
                cut_unmarked(records, position);
                records.arrivals[position].is_cut_hidden = true;
            });
            passes(*check, |records| {
                cut_unmarked(records, position);
                let worker_ended_ms = records.arrivals[position].at_ms + 10;
                records.arrivals[position].worker_ended_ms = Some(worker_ended_ms);
            });
            passes(*check, |records| {
                cut_unmarked(records, position);
                records.events.push(Event::LinkCut {
                    worker: 0,
                    from_ms: records.arrivals[position].at_ms + 10,
                    to_ms: 30_000,
                });
            });
        }
    }
}

/// Guards against a check that overlooks mixed streams, in one answer or over tries.
#[test]
fn a_stream_of_two_versions_is_found() {
    for (position, id) in [(STREAM, "id-3"), (RESUMABLE, RESUMABLE_ID)] {
        finds(stream_versions::check, |records| {
            answer(records, position).body =
                events(0..2, id, VERSION) + &events(2..5, id, OTHER_VERSION);
        });
    }
    finds(stream_versions::check, |records| {
        take_up(records, &remaining(OTHER_VERSION));
    });
    passes(stream_versions::check, |records| {
        take_up(records, &remaining(VERSION));
    });
    passes(stream_versions::check, |records| {
        let position = take_up(records, &remaining(OTHER_VERSION));
        answer(records, position).status = 503;
    });
}

/// Guards against a check that overlooks events that are lost or repeated between tries.
#[test]
fn an_event_that_is_lost_or_repeated_over_tries_is_found() {
    let bodies = [
        events(3..5, "again", VERSION),
        events(1..5, "again", VERSION),
        events(0..5, "again", VERSION),
        events(2..5, RESUMABLE_ID, VERSION),
        "data: no event\n\n".to_owned(),
        "no part of an event".to_owned(),
    ];
    for body in bodies {
        finds(tries::check, |records| {
            take_up(records, &body);
        });
    }
    passes(tries::check, |records| {
        take_up(records, &remaining(VERSION));
    });
    // What came of an event before the break is dropped by its caller.
    passes(tries::check, |records| {
        take_up(records, &remaining(VERSION));
        answer(records, RESUMABLE).body.push_str("id: 2\ndata: id-");
    });
}

/// Adds take-ups of which `served_count` go on.
fn add_take_ups(records: &mut Records, total: usize, served_count: usize, serving_count: usize) {
    for number in 0..total {
        let position = take_up(records, &remaining(VERSION));
        let record = &mut records.asked[position];
        record.id = format!("again-{number}");
        let of_take_up = record.take_up.as_mut().unwrap();
        of_take_up.serving_count = serving_count;
        if number >= served_count {
            answer(records, position).status = 410;
        }
    }
}

/// Guards against a check that overlooks that most take-ups are refused, or that judges those that
/// nobody could serve.
#[test]
fn take_ups_that_seldom_go_on_are_found() {
    finds(taken_up::check, |records| add_take_ups(records, 12, 5, 2));
    passes(taken_up::check, |records| add_take_ups(records, 12, 6, 2));
    passes(taken_up::check, |records| add_take_ups(records, 11, 0, 2));
    passes(taken_up::check, |records| add_take_ups(records, 12, 0, 1));
    // A stream that ends without a further event has gone on.
    passes(taken_up::check, |records| {
        add_take_ups(records, 12, 12, 2);
        for position in RESUMABLE + 1..records.asked.len() {
            answer(records, position).body.clear();
        }
    });
}

/// Guards against refusals of take-ups that count as refusals of new requests.
#[test]
fn refused_take_ups_deny_nobody() {
    passes(gateway_health::denied, |records| {
        add_take_ups(records, 12, 0, 2);
    });
}

/// Guards against streams that their callers left being blamed on a planned stop.
#[test]
fn a_stream_that_its_caller_left_is_not_cut_by_a_stop() {
    let cut = |records: &mut Records| {
        answer(records, RESUMABLE).is_whole = false;
        records.events.push(Event::StopAsked {
            gateway: 0,
            at_ms: records.asked[RESUMABLE].sent_ms + 10,
        });
    };
    finds(stop::check, cut);
    passes(stop::check, |records| {
        cut(records);
        records.asked[RESUMABLE].is_left = true;
    });
}
