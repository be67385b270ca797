//! Checker of requests that end their workers.

use crate::planted::add;
use crate::planted::finds;
use crate::planted::passes;
use crate::planted::served;
use cranereach_soak::check::contact::CONTACT_MS;
use cranereach_soak::check::ending;
use cranereach_soak::check::ending::LATE_MAX_COUNT;
use cranereach_soak::record::Kind;
use cranereach_soak::record::Records;
use cranereach_soak::record::Trouble;
use cranereach_soak::record::Whom;

/// When the third worker ends, by the arrival of the request.
const THIRD_MS: u64 = 12_000;

/// Plants three ends, and sends so long after the third.
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
fn sends_later_than_all_can_know_are_found() {
    finds(ending::check, |records| {
        plant(records, LATE_MAX_COUNT + 1, CONTACT_MS + 1);
    });
    passes(ending::check, |records| {
        plant(records, LATE_MAX_COUNT, CONTACT_MS + 1);
    });
    passes(ending::check, |records| {
        plant(records, LATE_MAX_COUNT + 1, CONTACT_MS);
    });
}

#[test]
fn a_gateway_out_of_touch_is_excused() {
    let trouble = |records: &mut Records, ended_ms: u64| {
        plant(records, LATE_MAX_COUNT + 1, 2 * CONTACT_MS);
        records.troubles.push(Trouble {
            whom: Whom::Gateway(0),
            is_planned: false,
            from_ms: THIRD_MS,
            to_ms: ended_ms,
        });
    };
    passes(ending::check, |records| {
        trouble(records, THIRD_MS + CONTACT_MS + 1);
    });
    finds(ending::check, |records| {
        trouble(records, THIRD_MS + CONTACT_MS - 1);
    });
}
