//! Checks that service recovers within a time bound after the last fault.

use super::Finding;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;

/// Bound on the time to recover, in milliseconds. It is shorter than the 15 s of the deployments,
/// so that a run of half a minute can test it.
pub const RECOVERY_MS: u64 = 6_000;

/// Share of the requests that must be served after the bound.
const SERVED_SHARE: f64 = 0.5;

/// Judges the requests that were sent with valid keys after the bound.
pub fn check(records: &Records) -> Finding {
    let is_revoked = |key: usize| {
        let mut events = records.events.iter();
        events.any(|event| matches!(event, Event::Revoked { key: revoked, .. } if *revoked == key))
    };
    let ends = records.troubles.iter().map(|trouble| trouble.to_ms);
    let from_ms = ends.max().unwrap_or(0) + RECOVERY_MS;
    let after_bound = records
        .asked
        .iter()
        .filter(|record| record.sent_ms > from_ms && !is_revoked(record.key));
    let (mut served_count, mut total_count) = (0_usize, 0_usize);
    for record in after_bound {
        total_count += 1;
        let is_served =
            matches!(&record.end, End::Answered(answer) if answer.status == 200 && answer.is_whole);
        served_count += usize::from(is_served);
    }
    let mut finding = Finding {
        tried_count: total_count,
        violations: Vec::new(),
    };
    let has_no_requests = total_count == 0 && records.end_ms > from_ms;
    if has_no_requests || (served_count as f64) < SERVED_SHARE * total_count as f64 {
        finding.violations.push(format!(
            "only {served_count} of {total_count} requests after {from_ms} ms were served"
        ));
    }
    finding
}
