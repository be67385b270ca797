//! Checks that no stream holds events of two versions of the workers' software, in one answer or
//! over its caller's tries.

use std::collections::BTreeSet;

use super::Finding;
use super::client_streams::ClientStream;
use crate::record::Records;

/// Judges each stream with an event.
pub fn check(records: &Records) -> Finding {
    let mut finding = Finding::default();
    for stream in ClientStream::all(records) {
        let events = stream.events();
        if events.is_empty() {
            continue;
        }
        let versions: BTreeSet<&str> = events.iter().map(|event| event.version).collect();
        let message = || {
            let tries = stream.tries.iter();
            let tries = tries.map(|record| format!("{} at gateway {}", record.id, record.gateway));
            let tries: Vec<String> = tries.collect();
            let id = stream.id();
            format!("{id}: events of {versions:?}; tries: {}", tries.join(", "))
        };
        finding.add_trial((versions.len() > 1).then(message));
    }
    finding
}
