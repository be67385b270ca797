//! The versions of the services as kept in the store, for the case that all instances start anew.
//!
//! See [`cranereach_fleet::stream_origins::VersionHistory`]. The first instances in rank check the
//! row when what they know of versions has changed, one after another, and write it if it says
//! otherwise. An instance that has just started, and whose peers know no more than it does, reads
//! the row; of many that start at once only some do, and the others ask these.

use std::sync::Arc;

use slog::info;
use slog::warn;

use crate::node::Node;
use crate::node::pause;
use crate::store::StoreError;
use crate::stored_row;
use crate::stored_row::RowPlace;
use crate::stored_row::StoredRow;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::stream_origins::HistoryDuty;
use cranereach_fleet::stream_origins::StoreMoment;
use cranereach_fleet::stream_origins::VersionHistory;

/// The row.
const PLACE: RowPlace = RowPlace {
    table: "cranereach_versions",
    key: "services",
    read_kind: "versions",
    write_kind: "versions_write",
};

/// Interval at which an instance looks whether it has to check the row, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Pause after a failed store call, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// Number of instances that read the row at the same time, on average, when many have just started.
const READER_COUNT: usize = 8;

/// Keeps the row up to date until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut duty = HistoryDuty::default();
    loop {
        pause(CHECK_INTERVAL_MS).await;
        let now_ms = node.now_ms();
        let statements = node.origins.known().statements(now_ms);
        duty.note(now_ms, node.store.eras().newest(), statements);
        if !duty.may_be_due(now_ms) {
            continue;
        }
        let rank = node.peers().members().rank(now_ms, worker_key(PLACE.table));
        if !duty.is_due(now_ms, rank) {
            continue;
        }
        match write(&node).await {
            Ok(true) => duty.done(),
            // Another instance has changed the row.
            Ok(false) => {}
            Err(error) => {
                warn!(node.log, "cannot keep versions in store"; "error" => error.to_string());
                pause(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Whether this instance, which has just started, reads the row now.
pub(super) fn is_reader(node: &Node) -> bool {
    let alive_count = node.peers().members().alive(node.now_ms()).count();
    rand::random_range(0..=alive_count) < READER_COUNT
}

/// Reads the row, and takes what it proves of services that this instance has not watched for as long
/// as their streams last. Returns whether the row was read.
pub(super) async fn confirm(node: &Node, services: &[u64]) -> bool {
    let row: StoredRow<VersionHistory> = match stored_row::read(node, PLACE).await {
        Ok(row) => row,
        Err(error) => {
            warn!(node.log, "cannot read versions from store"; "error" => error.to_string());
            return false;
        }
    };
    let Some(read_at) = moment_of(node, &row) else {
        return true;
    };
    let now_ms = node.now_ms();
    let mut known = node.origins.known();
    let confirmed = services
        .iter()
        .filter(|service| known.confirm_by_history(now_ms, **service, (read_at, &row.content)));
    let confirmed_count = confirmed.count();
    drop(known);
    info!(node.log, "versions read from store"; "services" => services.len(),
        "confirmed" => confirmed_count);
    true
}

/// Returns the moment at which the row was read; none if the store doesn't tell its time.
fn moment_of(node: &Node, row: &StoredRow<VersionHistory>) -> Option<StoreMoment> {
    row.clock_ms.map(|at_ms| StoreMoment {
        era: row.position.era,
        at_ms,
        own_ms: node.now_ms(),
    })
}

/// Writes the row once, unless it is up to date. Returns false if another instance changed it
/// concurrently.
async fn write(node: &Node) -> Result<bool, StoreError> {
    let row: StoredRow<VersionHistory> = stored_row::read(node, PLACE).await?;
    let Some(read_at) = moment_of(node, &row) else {
        return Ok(true);
    };
    let statements = node.origins.known().statements(node.now_ms());
    let Some(mut history) = row.content.updated(read_at, &statements) else {
        return Ok(true);
    };
    history.retain_services(|service| node.origins.known().is_watched(service));
    let is_written = stored_row::write(node, PLACE, row.position, &history).await?;
    if is_written {
        info!(node.log, "versions written to store"; "services" => statements.len());
    }
    Ok(is_written)
}
