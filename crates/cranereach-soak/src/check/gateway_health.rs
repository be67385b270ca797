//! Checks that gateways don't exit on their own, refuse valid requests or leak resources.

use std::collections::HashSet;

use super::Finding;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;

/// Maximum resident memory of a gateway, in bytes.
const MEMORY_MAX_BYTES: u64 = 200 * 1024 * 1024;

/// Maximum number of open file descriptors of a gateway. Callers, workers and peers of a large run
/// need about 150.
const DESCRIPTORS_MAX_COUNT: u64 = 600;

/// Statuses of a gateway's own answers that don't depend on the request itself.
const NOT_DENIALS: [u16; 3] = [408, 421, 429];

/// Number of refusals that are tolerated in a run, in addition to one in 500 requests.
const DENIED_MAX_COUNT: usize = 5;

/// Checks that no gateway exits unless it was stopped.
pub fn ends(records: &Records) -> Finding {
    let mut finding = Finding {
        tried_count: 1,
        violations: Vec::new(),
    };
    for event in &records.events {
        if let Event::EndedByItself { gateway, at_ms } = event {
            let message = format!("gateway {gateway} exited at {at_ms} ms");
            finding.violations.push(message);
        }
    }
    finding
}

/// Checks that valid requests with a valid key aren't refused as invalid. Those that take up a
/// stream may be refused; a promise of their own judges how many.
pub fn denied(records: &Records) -> Finding {
    let revoked = records.events.iter().filter_map(|event| match event {
        Event::Revoked { key, .. } => Some(*key),
        _ => None,
    });
    let revoked: HashSet<usize> = revoked.collect();
    let with_valid_key = records.asked.iter();
    let with_valid_key =
        with_valid_key.filter(|record| record.take_up.is_none() && !revoked.contains(&record.key));
    let mut tried_count = 0;
    let mut denied = Vec::new();
    for record in with_valid_key {
        tried_count += 1;
        if let End::Answered(answer) = &record.end
            && (300..500).contains(&answer.status)
            && !NOT_DENIALS.contains(&answer.status)
        {
            denied.push(format!(
                "{}: refused with {} by gateway {} at {} ms",
                record.id, answer.status, record.gateway, record.sent_ms
            ));
        }
    }
    if denied.len() <= DENIED_MAX_COUNT + tried_count / 500 {
        denied.clear();
    }
    Finding {
        tried_count,
        violations: denied,
    }
}

/// Checks that the memory and file descriptors of each gateway stay bounded.
pub fn resources(records: &Records) -> Finding {
    let mut finding = Finding::default();
    for event in &records.events {
        let Event::Held {
            gateway,
            memory_bytes,
            descriptor_count,
        } = event
        else {
            continue;
        };
        let is_over = *memory_bytes > MEMORY_MAX_BYTES || *descriptor_count > DESCRIPTORS_MAX_COUNT;
        let message = || {
            format!(
                "gateway {gateway}: {memory_bytes} bytes of memory, {descriptor_count} descriptors"
            )
        };
        finding.add_trial(is_over.then(message));
    }
    finding
}
