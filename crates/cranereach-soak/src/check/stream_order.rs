//! Checks that a stream delivers its own events in order, and looks complete only if it is.

use super::Finding;
use crate::record::End;
use crate::record::Kind;
use crate::record::Records;
use cranereach_platform::standin::content;

/// Judges each stream that was answered with status 200.
pub fn check(records: &Records) -> Finding {
    let mut finding = Finding::default();
    let streams = records
        .asked
        .iter()
        .filter(|record| record.kind == Kind::Stream);
    for record in streams {
        let End::Answered(answer) = &record.end else {
            continue;
        };
        if answer.status != 200 {
            continue;
        }
        let whole_body = content::whole_stream(&record.id);
        let is_right = if answer.is_whole {
            answer.body == whole_body
        } else {
            whole_body.starts_with(&answer.body)
        };
        let message = || format!("{}: wrong stream body {:?}", record.id, answer.body);
        finding.add_trial((!is_right).then(message));
    }
    finding
}
