//! Effects of changed rows of the list on the known workers.

use std::sync::Arc;

use slog::info;
use slog::warn;

use crate::cold;
use crate::node::Node;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::WorkerRecord;

/// Workers that are leaving or gone according to changed rows.
#[derive(Debug, Default)]
pub(super) struct RowEffects {
    /// Workers that are leaving or gone: key, position of the row.
    pub(super) leaving: Vec<(u64, StorePosition)>,
    /// Workers that are gone or have restarted.
    pub(super) ended: Vec<Arc<str>>,
    /// Whether workers that are not known yet count as just started.
    pub(super) are_new: bool,
    /// Whether each row is logged.
    pub(super) are_logged: bool,
}

impl RowEffects {
    /// Applies the current row of a worker.
    pub(super) fn put(
        &mut self,
        node: &Node,
        roster: &mut Roster,
        row: &ChangedRow,
        record: WorkerRecord,
    ) {
        let before = roster.get(&record.id);
        let is_known = before.is_some_and(|worker| worker.record.is_leaving == record.is_leaving);
        if !is_known && (self.are_logged || record.is_leaving) {
            info!(node.log, "worker listed"; "worker" => &row.key, "position" => %row.position,
                "leaving" => record.is_leaving, "address" => &record.address);
        }
        if record.is_leaving {
            self.leaving.push((worker_key(&record.id), row.position));
        }
        let has_restarted =
            before.is_some_and(|worker| worker.record.started_unix_ms != record.started_unix_ms);
        if has_restarted {
            // Connections to the earlier incarnation are useless.
            self.ended.push(Arc::clone(&record.id));
        }
        if node.passed_over.named(&record.failure_domain) {
            node.configuration_wanted.notify_one();
        }
        let is_new = has_restarted || self.are_new && before.is_none();
        roster.put(row.position, record);
        cold::note_listed(node, roster, &row.key, is_new);
    }

    /// Applies the removal of a worker's row.
    pub(super) fn end(
        &mut self,
        roster: &mut Roster,
        row: &ChangedRow,
        lapse_until_ms: Option<u64>,
    ) {
        if lapse_until_ms.is_some_and(|until_ms| roster.lapse(row.position, &row.key, until_ms)) {
            return;
        }
        if roster.remove(row.position, &row.key) {
            self.leaving.push((worker_key(&row.key), row.position));
            self.ended.push(Arc::from(row.key.as_str()));
        }
    }
}

/// Parses a worker's row. An invalid row is counted, logged and skipped.
pub(super) fn parse(node: &Node, key: &str, value: &[u8]) -> Option<WorkerRecord> {
    let parsed = (node.adapter.parse_worker)(key, value);
    parsed
        .inspect_err(|error| {
            let counter = &node.metrics.bad_input_total;
            counter.with_label_values(&["worker"]).inc();
            warn!(node.log, "cannot parse worker row"; "error" => error.to_string());
        })
        .ok()
}
