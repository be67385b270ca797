//! Follows the list of workers in the store, at a pace.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::info;
use slog::warn;

use crate::adapter::Row;
use crate::adapter::Rows;
use crate::configuration_sync::backoff_ms;
use crate::configuration_sync::note_call;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::store::StoreError;
use cranereach_fleet::roster::worker_key;
use cranereach_fleet::worker::WorkerRecord;

/// Time that the store is asked to wait for changes, in milliseconds.
const WAIT_MS: u64 = 1_500;

/// Least time between two reads, as a share of the time to leave a worker alone.
const READ_EVERY_SHARE: f64 = 0.45;

/// Time for which peers are told of a worker that leaves, in milliseconds.
const TOLD_FOR_MS: u64 = 4_000;

/// Runs until the process ends.
pub async fn run(node: Arc<Node>) {
    let table = node.adapter.store.workers;
    let every_ms = (node.settings.bounds.drain_ms as f64 * READ_EVERY_SHARE) as u64;
    let mut after = None;
    let mut failure_count = 0_u32;
    loop {
        let begun_ms = node.now_ms();
        let read = match after {
            None => node.store.read(table).await,
            Some(version) => node.store.watch(table, version, WAIT_MS).await,
        };
        note_call(&node, "workers", &read);
        match read {
            Ok(rows) => {
                if failure_count > 0 {
                    info!(node.log, "store regained"; "for" => "workers", "failures" => failure_count);
                }
                failure_count = 0;
                let is_whole = after.is_none();
                after = Some(rows.version.max(after.unwrap_or(0)));
                take(&node, &rows, is_whole);
                let spent_ms = node.now_ms() - begun_ms;
                pause(every_ms.saturating_sub(spent_ms)).await;
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    after = None;
                } else if failure_count == 0 {
                    warn!(node.log, "store lost"; "for" => "workers", "error" => error.to_string());
                }
                pause(backoff_ms(failure_count)).await;
                failure_count += 1;
            }
        }
    }
}

/// Takes rows of the list, all of them or those that changed.
pub fn take(node: &Node, rows: &Rows, is_whole: bool) {
    let mut known = Vec::new();
    let mut gone = Vec::new();
    {
        let mut kept = lock(&node.worker_rows);
        if is_whole {
            kept.clear();
        }
        for row in &rows.rows {
            if row.is_gone {
                kept.remove(&row.key);
                gone.push((row.version, row.key.clone()));
            } else {
                kept.insert(row.key.clone(), (row.version, row.value.clone()));
            }
        }
    }
    for row in rows.rows.iter().filter(|row| !row.is_gone) {
        if let Some(record) = parse(node, row) {
            known.push((row.version, record));
        }
    }
    let now_ms = node.now_ms();
    let leaving: Vec<(u64, u64)> = known
        .iter()
        .filter(|(_, record)| record.is_leaving)
        .map(|(version, record)| (*version, worker_key(&record.id)))
        .collect();
    let mut roster = node.roster();
    let mut ended = Vec::new();
    if is_whole {
        ended = roster.replace(rows.version, known);
    } else {
        for (version, record) in known {
            let id = Arc::clone(&record.id);
            let is_new = roster.get(&id).is_none();
            let was_leaving = roster
                .get(&id)
                .is_some_and(|worker| worker.record.is_leaving);
            if is_new || was_leaving != record.is_leaving {
                info!(node.log, "worker listed"; "worker" => id.as_ref(), "version" => version,
                    "leaving" => record.is_leaving, "address" => record.address.clone());
            }
            roster.put(version, record);
        }
    }
    for (version, id) in gone {
        if roster.remove(version, &id) {
            ended.push(Arc::from(id.as_str()));
        }
    }
    drop(roster);
    node.roster_version
        .fetch_max(rows.version, Ordering::AcqRel);
    for id in &ended {
        info!(node.log, "worker gone"; "worker" => id.as_ref(), "version" => rows.version);
    }
    note_leaving(node, now_ms, &leaving, rows.version, &ended);
    node.forget_pools(&ended);
    node.roster_changed.notify_waiters();
    node.controller_wanted.notify_one();
}

/// Passes on that a worker leaves, as a peer has told.
pub fn pass_leaving_on(node: &Node, key: u64, version: u64) {
    note_leaving(node, node.now_ms(), &[(version, key)], version, &[]);
}

/// Remembers who leaves or is gone, so that peers are told.
fn note_leaving(
    node: &Node,
    now_ms: u64,
    leaving: &[(u64, u64)],
    version: u64,
    ended: &[Arc<str>],
) {
    let mut recent = lock(&node.recent_leaving);
    recent.retain(|(at_ms, ..)| now_ms < at_ms + TOLD_FOR_MS);
    let before = recent.len();
    for (row_version, key) in leaving {
        if !recent.iter().any(|(_, known, _)| known == key) {
            recent.push((now_ms, *key, *row_version));
        }
    }
    recent.extend(ended.iter().map(|id| (now_ms, worker_key(id), version)));
    if recent.len() > before {
        node.digest_wanted.notify_one();
    }
}

/// Reads a worker's row; one that can't be understood is counted and passed over.
fn parse(node: &Node, row: &Row) -> Option<WorkerRecord> {
    let parsed = (node.adapter.parse_worker)(&row.key, &row.value);
    parsed
        .inspect_err(|error| {
            let counter = &node.metrics.bad_input_total;
            counter.with_label_values(&["worker"]).inc();
            warn!(node.log, "worker not understood"; "error" => error.to_string());
        })
        .ok()
}
