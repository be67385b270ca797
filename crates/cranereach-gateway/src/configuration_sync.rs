//! Follows the configuration in the store; peers tell of versions, too.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use slog::info;
use slog::warn;

use crate::adapter::Rows;
use crate::node::Node;
use crate::node::pause;
use crate::store::StoreError;

/// Time that the store is asked to wait for changes, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// The same for instances that peers watch for, in milliseconds.
const WAIT_AMONG_PEERS_MS: u64 = 25_000;

/// Instances that watch with the shorter wait, so that a wait that nobody will
/// answer any more, as after an outage, ends soon on some.
const WATCHING_COUNT: u64 = 3;

/// Purpose that instances are ranked for.
const PURPOSE: &str = "configuration";

/// First pause after a failed call, in milliseconds.
const PAUSE_FIRST_MS: u64 = 60;

/// Longest pause after failed calls, in milliseconds.
const PAUSE_MAX_MS: u64 = 500;

/// How much longer instances pause after failed calls that peers watch for.
const PAUSE_AMONG_PEERS_FACTOR: u64 = 6;

/// Runs until the process ends.
pub async fn run(node: Arc<Node>) {
    let (table, key) = node.adapter.store.configuration;
    let mut after = None;
    let mut failure_count = 0_u32;
    loop {
        let read = match after {
            None => node.store.read(table).await,
            Some(version) => {
                let watch = node.store.watch(table, version, wait_ms(&node));
                tokio::select! {
                    read = watch => read,
                    _wanted = node.configuration_wanted.notified() => continue,
                }
            }
        };
        note_call(&node, "configuration", &read);
        node.is_store_lost.store(read.is_err(), Ordering::Release);
        match read {
            Ok(rows) => {
                after = Some(rows.version.max(after.unwrap_or(0)));
                if failure_count > 0 {
                    info!(node.log, "store regained"; "for" => "configuration", "failures" => failure_count);
                }
                failure_count = 0;
                take(&node, key, rows);
                if node.configuration_version() == 0 {
                    pause(PAUSE_FIRST_MS).await;
                }
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    after = None;
                } else if failure_count == 0 {
                    warn!(node.log, "store lost"; "for" => "configuration", "error" => error.to_string());
                }
                pause(backoff_ms(failure_count, !is_watching(&node))).await;
                failure_count += 1;
            }
        }
    }
}

/// Returns the time that the store is asked to wait, in milliseconds.
fn wait_ms(node: &Node) -> u64 {
    if is_watching(node) {
        WAIT_MS
    } else {
        WAIT_AMONG_PEERS_MS
    }
}

/// Whether this instance is one of those that watch for all.
fn is_watching(node: &Node) -> bool {
    node.peers().rank(node.now_ms(), PURPOSE) < WATCHING_COUNT
}

/// Returns the pause after a number of failures in a row, spread by chance.
///
/// It is longer where others try, too, and tell what they learn.
pub fn backoff_ms(failure_count: u32, do_others_try: bool) -> u64 {
    let doubled = PAUSE_FIRST_MS << failure_count.min(4);
    let factor = if do_others_try {
        PAUSE_AMONG_PEERS_FACTOR
    } else {
        1
    };
    let longest = doubled.min(PAUSE_MAX_MS) * factor;
    longest / 2 + rand::random_range(0..=longest / 2)
}

/// Counts a read of the store.
pub fn note_call(node: &Node, kind: &str, read: &Result<Rows, StoreError>) {
    let outcome = match read {
        Ok(_) => "done",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::NotDone(_)) => "not_done",
        Err(StoreError::Unknown(_)) => "unknown",
    };
    let counter = &node.metrics.store_calls_total;
    counter.with_label_values(&[kind, outcome]).inc();
}

/// Puts the newest row of the configuration in force.
fn take(node: &Node, key: &str, rows: Rows) {
    for row in rows
        .rows
        .into_iter()
        .filter(|row| row.key == key && !row.is_gone)
    {
        if let Err(error) = node.offer_configuration(&Bytes::from(row.value), "store") {
            node.metrics
                .bad_input_total
                .with_label_values(&["configuration"])
                .inc();
            warn!(node.log, "configuration not understood"; "error" => error.to_string());
        }
    }
}
