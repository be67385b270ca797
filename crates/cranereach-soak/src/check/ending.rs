//! Requests that end their workers reach few.

use super::Finding;
use super::contact::CONTACT_MS;
use super::contact::Seen;
use crate::ending::is_ending;
use crate::record::Records;

/// Ends of workers after which a request is to be sent to none.
const END_MAX_COUNT: usize = 3;

/// Sends that are tolerated later than that is known.
pub const LATE_MAX_COUNT: usize = 3;

/// A request under which three workers ended is sent to no more than a few others, by
/// gateways that were in touch, later than all can know of it.
pub fn check(records: &Records) -> Finding {
    let seen = Seen::new(records);
    let arrivals = records.arrivals.iter();
    let ending: Vec<_> = arrivals.filter(|arrival| is_ending(&arrival.id)).collect();
    let ends = ending.iter().filter(|arrival| arrival.is_run);
    let mut finding = Finding::default();
    let Some(third) = ends.map(|arrival| arrival.at_ms).nth(END_MAX_COUNT - 1) else {
        return finding;
    };
    let is_late = |id: &str| {
        let asked = seen.asked(id)?;
        let from_ms = asked.sent_ms;
        (from_ms > third + CONTACT_MS && seen.is_in_touch(asked.gateway, from_ms, from_ms))
            .then_some(asked.gateway)
    };
    let late: Vec<String> = ending
        .iter()
        .filter_map(|arrival| {
            let gateway = is_late(&arrival.id)?;
            let at_ms = arrival.at_ms;
            Some(format!(
                "{} from gateway {gateway} at {at_ms} ms",
                arrival.id
            ))
        })
        .collect();
    let broken = late.len() > LATE_MAX_COUNT;
    finding.note(broken.then(|| late.join(", ")));
    finding
}
