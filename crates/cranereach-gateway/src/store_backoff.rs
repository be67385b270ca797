//! Backoff of calls to the store while it may be unreachable.
//!
//! The few instances that come first in rank retry soon, and whichever reaches the store tells
//! the others. All other instances hold back while peers report that the store is lost, so that
//! the number of calls does not grow with the fleet. They still try occasionally
//! ([`outage_pace`]), because the store may be rejecting just the instances that retry.

use crate::adapter::Rows;
use crate::adapter::WriteAnswer;
use crate::node::Node;
use crate::node::pause;
use crate::store::ANSWER_TIMEOUT_MS;
use crate::store::StoreError;
use cranereach_fleet::outage_pace;

/// Base of the exponential backoff after failed calls, in milliseconds.
const BACKOFF_BASE_MS: u64 = 60;

/// Upper limit of the backoff, in milliseconds.
const BACKOFF_MAX_MS: u64 = 500;

/// Number of instances that retry soon after a failed call.
const RETRYING_INSTANCE_COUNT: u64 = 4;

/// Returns whether an instance of this rank leaves retries to other instances because peers
/// report that the store is lost.
pub fn is_deferring_retries(node: &Node, rank: u64) -> bool {
    rank >= RETRYING_INSTANCE_COUNT && node.peers().is_store_lost(node.now_ms())
}

/// Returns whether an instance that leaves retries to others makes an attempt of its own now,
/// `elapsed_ms` after its previous check.
pub fn should_probe(node: &Node, elapsed_ms: u64) -> bool {
    let alive_count = node.peers().members().alive(node.now_ms()).count();
    outage_pace::should_probe(alive_count, elapsed_ms, rand::random())
}

/// Reports a failed call to peers and waits for a backoff with jitter, which grows with the
/// number of consecutive failures.
pub async fn back_off_after_failure(node: &Node, failure_count: u32) {
    if !node.is_own_delay(ANSWER_TIMEOUT_MS) {
        node.peers().store_failed(node.now_ms());
    }
    let uncapped_ms = BACKOFF_BASE_MS << failure_count.min(4);
    let backoff_ms = uncapped_ms.min(BACKOFF_MAX_MS);
    pause(backoff_ms / 2 + rand::random_range(0..=backoff_ms / 2)).await;
}

/// Waits after an answer of another era, before the data of the new era is requested.
pub async fn pause_after_era_change() {
    pause(BACKOFF_BASE_MS).await;
}

/// Counts a read of the store by its outcome.
pub fn count_read(node: &Node, kind: &str, read: &Result<Rows, StoreError>) {
    let outcome = match read {
        Ok(_) => "done",
        Err(error) => failure_label(error),
    };
    count_call(node, kind, outcome);
}

/// Counts a write of the store by its outcome and returns the label of the outcome.
pub fn count_write(
    node: &Node,
    kind: &str,
    written: &Result<WriteAnswer, StoreError>,
) -> &'static str {
    let outcome = match written {
        Ok(WriteAnswer::Done(_)) => "done",
        Ok(WriteAnswer::Conflict | WriteAnswer::Refused(_)) => "conflict",
        Err(error) => failure_label(error),
    };
    count_call(node, kind, outcome);
    outcome
}

/// Returns the metric label of a failure.
fn failure_label(error: &StoreError) -> &'static str {
    match error {
        StoreError::HistoryGone => "history_gone",
        StoreError::OtherEra => "other_era",
        StoreError::NotDone(_) => "not_done",
        StoreError::Unknown(_) => "unknown",
    }
}

/// Counts a call to the store.
fn count_call(node: &Node, kind: &str, outcome: &str) {
    let counter = &node.metrics.store_calls_total;
    counter.with_label_values(&[kind, outcome]).inc();
}
