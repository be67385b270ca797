//! How often an instance asks a store that may be lost.
//!
//! A few instances, told apart by rank, try again soon; whoever reaches the store
//! tells the others. All others hold back while peers say that the store is lost, so
//! that calls to it don't grow with the fleet. They do try now and then, since the
//! store may turn just those few away.

use crate::adapter::Rows;
use crate::adapter::WriteAnswer;
use crate::node::Node;
use crate::node::pause;
use crate::store::StoreError;

/// First pause after a failed call, in milliseconds.
const PAUSE_FIRST_MS: u64 = 60;

/// Longest pause after failed calls, in milliseconds.
const PAUSE_MAX_MS: u64 = 500;

/// Instances that try again soon after a failed call.
const TRYING_COUNT: u64 = 4;

/// Calls a second that all others make together to a store that is lost.
const OTHERS_PER_S: u64 = 12;

/// Least mean pause of an instance that holds back, in milliseconds.
const HOLD_BACK_LEAST_MS: u64 = 1_500;

/// Time between two looks whether the store is back, in milliseconds.
const LOOK_EVERY_MS: u64 = 100;

/// Waits before a read that is due, if others try and peers say that they fail.
pub async fn hold_back(node: &Node, rank: u64) {
    if rank >= TRYING_COUNT && node.peers().is_store_lost(node.now_ms()) {
        until_regained(node).await;
    }
}

/// Waits after a number of failures in a row, and lets peers know.
pub async fn after_failure(node: &Node, rank: u64, failure_count: u32) {
    node.peers().store_failed(node.now_ms());
    let doubled_ms = PAUSE_FIRST_MS << failure_count.min(4);
    let longest_ms = doubled_ms.min(PAUSE_MAX_MS);
    pause(longest_ms / 2 + rand::random_range(0..=longest_ms / 2)).await;
    hold_back(node, rank).await;
}

/// Waits until peers no longer say that the store is lost, or for a time by chance.
async fn until_regained(node: &Node) {
    let alive_count = node.peers().members().alive(node.now_ms()).count();
    let mean_ms = mean_hold_back_ms(alive_count);
    let pause_ms = mean_ms / 2 + rand::random_range(0..=mean_ms);
    let until_ms = node.now_ms() + pause_ms;
    while node.now_ms() < until_ms && node.peers().is_store_lost(node.now_ms()) {
        pause(LOOK_EVERY_MS).await;
    }
}

/// Returns the mean pause of instances that hold back in a fleet of a size, in
/// milliseconds.
///
/// ```
/// use cranereach_gateway::store_pace::mean_hold_back_ms;
///
/// // However large the fleet, it makes so many calls a second in all.
/// let calls_per_s = |count: usize| count as f64 * 1_000.0 / mean_hold_back_ms(count) as f64;
/// assert!(calls_per_s(3_300) <= 12.1);
/// assert!(calls_per_s(300) <= 12.1);
/// ```
pub fn mean_hold_back_ms(alive_count: usize) -> u64 {
    HOLD_BACK_LEAST_MS.max(alive_count as u64 * 1_000 / OTHERS_PER_S)
}

/// Counts a read of the store.
pub fn note_call(node: &Node, kind: &str, read: &Result<Rows, StoreError>) {
    let outcome = match read {
        Ok(_) => "done",
        Err(error) => failure(error),
    };
    note(node, kind, outcome);
}

/// Counts a write of the store by its outcome; returns the outcome's name.
pub fn note_write(
    node: &Node,
    kind: &str,
    written: &Result<WriteAnswer, StoreError>,
) -> &'static str {
    let outcome = match written {
        Ok(WriteAnswer::Done(_)) => "done",
        Ok(WriteAnswer::Conflict | WriteAnswer::Refused(_)) => "conflict",
        Err(error) => failure(error),
    };
    note(node, kind, outcome);
    outcome
}

/// Returns the name of a failure in metrics.
fn failure(error: &StoreError) -> &'static str {
    match error {
        StoreError::HistoryGone => "history_gone",
        StoreError::NotDone(_) => "not_done",
        StoreError::Unknown(_) => "unknown",
    }
}

/// Counts a call of the store.
fn note(node: &Node, kind: &str, outcome: &str) {
    let counter = &node.metrics.store_calls_total;
    counter.with_label_values(&[kind, outcome]).inc();
}
