//! What a gateway does of its own accord: end, deny, hold on to things.

use std::collections::HashSet;

use super::Finding;
use crate::record::End;
use crate::record::Event;
use crate::record::Records;

/// Most memory that a gateway may hold, in bytes.
const MEMORY_MAX_BYTES: u64 = 200 * 1024 * 1024;

/// Most descriptors that a gateway may hold; callers, workers and peers of a large run
/// take some 150.
const DESCRIPTORS_MAX_COUNT: u64 = 600;

/// Statuses of one's own that say nothing of the request itself.
const NOT_DENIALS: [u16; 3] = [408, 421, 429];

/// Denials that are tolerated in a run, beside one in 500 requests.
const DENIED_MAX_COUNT: usize = 5;

/// No gateway ends unless it was told to.
pub fn ends(records: &Records) -> Finding {
    let mut finding = Finding {
        tried_count: 1,
        violations: Vec::new(),
    };
    for event in &records.events {
        if let Event::EndedByItself { gateway, at_ms } = event {
            let message = format!("gateway {gateway} at {at_ms} ms");
            finding.violations.push(message);
        }
    }
    finding
}

/// Proper requests with a key in force aren't refused as improper.
pub fn denied(records: &Records) -> Finding {
    let revoked = records.events.iter().filter_map(|event| match event {
        Event::Revoked { key, .. } => Some(*key),
        _ => None,
    });
    let revoked: HashSet<usize> = revoked.collect();
    let proper = records.asked.iter();
    let proper = proper.filter(|record| !revoked.contains(&record.key));
    let mut tried_count = 0;
    let mut denied = Vec::new();
    for record in proper {
        tried_count += 1;
        if let End::Answered(answer) = &record.end
            && (300..500).contains(&answer.status)
            && !NOT_DENIALS.contains(&answer.status)
        {
            denied.push(format!(
                "{}: {} by gateway {} at {} ms",
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

/// Memory and descriptors of each gateway stay bounded.
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
        let message =
            || format!("gateway {gateway}: {memory_bytes} bytes, {descriptor_count} descriptors");
        finding.add_trial(is_over.then(message));
    }
    finding
}
