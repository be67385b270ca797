//! Tests of the check of requests that crash their workers.

use crate::planted::add;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_soak::check::contact::SETTLE_MS;
use cranereach_soak::check::crash_requests;
use cranereach_soak::check::crash_requests::LATE_MAX_COUNT;
use cranereach_soak::record::Component;
use cranereach_soak::record::Disturbance;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;

/// Time of the third crash, when the request arrives at the third worker, in milliseconds.
const THIRD_MS: u64 = 12_000;

/// Plants three crashes, and `late_count` sends `after_ms` after the third.
fn plant(records: &mut Records, late_count: usize, after_ms: u64) {
    let ends = [10_000, 11_000, THIRD_MS - 2];
    let late = std::iter::repeat_n(THIRD_MS + after_ms, late_count);
    for (number, sent_ms) in ends.into_iter().chain(late).enumerate() {
        let id = format!("ending-{number}");
        add(records, served(&id, Kind::Again, sent_ms));
    }
    records.arrivals.sort_by_key(|arrival| arrival.at_ms);
}

#[test]
fn late_sends_of_a_crash_request_are_found() {
    finds(crash_requests::check, |records| {
        plant(records, LATE_MAX_COUNT + 1, SETTLE_MS + 1);
    });
    passes(crash_requests::check, |records| {
        plant(records, LATE_MAX_COUNT, SETTLE_MS + 1);
    });
    passes(crash_requests::check, |records| {
        plant(records, LATE_MAX_COUNT + 1, SETTLE_MS);
    });
}

#[test]
fn a_disconnected_gateway_is_excused() {
    let add_disturbance = |records: &mut Records, ended_ms: u64| {
        plant(records, LATE_MAX_COUNT + 1, 2 * SETTLE_MS);
        records.troubles.push(Disturbance {
            whom: Component::Gateway(0),
            is_planned: false,
            from_ms: THIRD_MS,
            to_ms: ended_ms,
        });
    };
    passes(crash_requests::check, |records| {
        add_disturbance(records, THIRD_MS + SETTLE_MS + 1);
    });
    finds(crash_requests::check, |records| {
        add_disturbance(records, THIRD_MS + SETTLE_MS - 1);
    });
}
