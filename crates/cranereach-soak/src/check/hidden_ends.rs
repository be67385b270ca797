//! Determines which answers may look complete though they were cut: nothing but the end of the
//! connection marked the end of the worker's body, and that connection closed in order.

use std::collections::HashMap;

use crate::record::Arrival;
use crate::record::Event;
use crate::record::Records;
use crate::record::RequestRecord;

/// Time for which a close may be under way to the gateway and the caller, in milliseconds.
const CLOSE_DELAY_MS: u64 = 300;

/// The runs of each request whose end nothing marked, and the cuts of links.
#[derive(Debug)]
pub struct HiddenEnds<'a> {
    unmarked_runs: HashMap<&'a str, Vec<&'a Arrival>>,
    link_cuts: Vec<(usize, u64, u64)>,
}

impl<'a> HiddenEnds<'a> {
    /// Collects them from the records.
    pub fn new(records: &'a Records) -> Self {
        let mut unmarked_runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        let runs = records.arrivals.iter();
        for run in runs.filter(|arrival| arrival.is_run && arrival.is_end_unmarked) {
            unmarked_runs.entry(run.id.as_str()).or_default().push(run);
        }
        let link_cuts = records.events.iter().filter_map(|event| match event {
            Event::LinkCut {
                worker,
                from_ms,
                to_ms,
            } => Some((*worker, *from_ms, *to_ms)),
            _ => None,
        });
        Self {
            unmarked_runs,
            link_cuts: link_cuts.collect(),
        }
    }

    /// Returns whether the answer to a request may look complete, provided that it doesn't end
    /// inside an event: the worker cut it in a hidden way or ended, or its link was cut.
    pub fn may_look_complete(&self, record: &RequestRecord) -> bool {
        let runs = self.unmarked_runs.get(record.id.as_str());
        let runs = runs.map(Vec::as_slice).unwrap_or_default();
        runs.iter().any(|run| {
            let is_during = |at_ms: u64| {
                run.at_ms <= at_ms + CLOSE_DELAY_MS && at_ms <= record.ended_ms + CLOSE_DELAY_MS
            };
            let mut link_cuts = self.link_cuts.iter();
            run.is_cut_hidden
                || run.worker_ended_ms.is_some_and(is_during)
                || link_cuts
                    .any(|(worker, from_ms, _)| *worker == run.worker && is_during(*from_ms))
        })
    }
}
