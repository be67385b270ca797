//! Follows the configuration in the store and the rows of its table that mark failure domains for
//! evacuation. A few instances watch the store on behalf of all.
//!
//! Each digest states the version in force at its sender. An instance that learns of a newer
//! version fetches it from that peer. Peers also prove to each other up to which moment a version
//! is known to have been the newest, see [`crate::proofs`].

use std::sync::Arc;

use bytes::Bytes;
use slog::info;
use slog::warn;

use crate::adapter::Rows;
use crate::evacuations;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::proofs;
use crate::recipients::Origin;
use crate::store::StoreError;
use crate::store_backoff;
use crate::store_era;
use cranereach_fleet::first_read::FirstSource;
use cranereach_fleet::first_read::JoiningInstance;
use cranereach_fleet::store_position::StorePosition;

/// Number of instances that watch the store on behalf of all. There are two, so that the failure
/// of one does not interrupt the watch.
const WATCHER_COUNT: u64 = 2;

/// Time for which the store is asked to wait for changes, as a share of the bound within which
/// changes must be in force. An answer without changes is useful too: it proves that the known
/// configuration is still the newest.
const WATCH_WAIT_SHARE: f64 = 0.4;

/// Purpose for which instances are ranked. The text is hashed into the rank, so all instances
/// must use the same one.
const RANK_PURPOSE: &str = "configuration";

/// Time until a configuration that cannot be parsed is read again, in milliseconds.
const INVALID_RETRY_DELAY_MS: u64 = 500;

/// Time in which proofs of the first reads reach the other instances, in milliseconds.
const PROOF_SPREAD_MS: u64 = 1_000;

/// Interval at which an instance checks whether a read is due, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Follows the configuration until the process ends.
pub async fn run(node: Arc<Node>) {
    let (table, key) = node.adapter.store.configuration;
    let mut after: Option<StorePosition> = None;
    let mut is_settled = true;
    // Whether the table has to be read whole. Stays set until that has succeeded.
    let mut needs_full_read = false;
    let mut failure_count = 0_u32;
    loop {
        needs_full_read |= reset_position(&node, &mut after, &mut is_settled);
        let wait_ms = wait_until_due(&node, after.is_some(), needs_full_read).await;
        let begun_ms = node.now_ms();
        let read = match after {
            None => node.store.read(table).await,
            Some(position) => {
                let watch = node.store.watch(table, position, wait_ms);
                tokio::select! {
                    read = watch => read,
                    _wanted = node.configuration_wanted.notified() => continue,
                }
            }
        };
        store_backoff::count_read(&node, "configuration", &read);
        match read {
            Ok(rows) => {
                // The answer may be the first sign of a new era.
                store_era::enter(&node);
                let is_whole = after.is_none();
                let position = rows.position;
                needs_full_read = false;
                after = Some(position.max(after.unwrap_or_default()));
                is_settled &= !lock(&node.proof).is_settling(begun_ms);
                if failure_count > 0 {
                    info!(node.log, "store regained"; "for" => "configuration", "failures" => failure_count);
                }
                failure_count = 0;
                // Without changes the store answers after the whole wait, so the answer is true
                // as of that time. With a change it answers at once, and further changes may have
                // followed since the call began.
                let waited_ms = if rows.rows.is_empty() { wait_ms } else { 0 };
                if apply_rows(&node, key, rows, is_whole) {
                    lock(&node.proof).read(position.era, begun_ms + waited_ms);
                    proofs::answer_unanswered(&node);
                } else {
                    // A watch from this position would not return the unparsed row again, so the
                    // table is read whole.
                    after = None;
                    pause(INVALID_RETRY_DELAY_MS).await;
                }
            }
            Err(error) => {
                if error == StoreError::HistoryGone {
                    after = None;
                    needs_full_read = true;
                    continue;
                }
                if error == StoreError::OtherEra {
                    store_backoff::pause_after_era_change().await;
                    continue;
                }
                if failure_count == 0 {
                    warn!(node.log, "store lost"; "for" => "configuration", "error" => error.to_string());
                }
                store_backoff::back_off_after_failure(&node, failure_count).await;
                failure_count += 1;
            }
        }
    }
}

/// Resets the position if the table has to be read whole: in a new era of the store, once more when
/// other writers have rewritten what the restored store had lost, and when a worker names a domain
/// whose evacuation was passed over. Returns whether it has to be read whole.
fn reset_position(node: &Node, after: &mut Option<StorePosition>, is_settled: &mut bool) -> bool {
    let is_earlier = after.is_some_and(|position| position.era < node.store.eras().newest());
    let settles_now = !*is_settled && !lock(&node.proof).is_settling(node.now_ms());
    *is_settled |= settles_now;
    let must_read = is_earlier || settles_now || node.passed_over.take_must_read();
    if must_read {
        *after = None;
    }
    must_read
}

/// Waits until this instance has to call the store. Returns the time for which the store is to
/// wait for changes, in milliseconds.
///
/// A few instances watch the store on behalf of all. The others call it only if no peer has
/// recently proven to them that their configuration is the newest.
async fn wait_until_due(node: &Node, has_read: bool, needs_full_read: bool) -> u64 {
    if needs_full_read && is_watching(node) {
        return 0;
    }
    loop {
        if has_read && is_watching(node) {
            return (node.settings.bounds.configuration_ms as f64 * WATCH_WAIT_SHARE) as u64;
        }
        if should_read(node, has_read) {
            return 0;
        }
        pause(POLL_INTERVAL_MS).await;
    }
}

/// Returns whether this instance is to read the store now.
fn should_read(node: &Node, has_read: bool) -> bool {
    let now_ms = node.now_ms();
    let has_configuration = has_read || node.configuration_version() > 0;
    if has_configuration && lock(&node.proof).is_settling(now_ms.saturating_sub(PROOF_SPREAD_MS)) {
        // While a restored store settles, a read shows no more than the watching instances learn,
        // and they then prove it to the others.
        return false;
    }
    let rank = rank(node);
    let is_deferring_retries = store_backoff::is_deferring_retries(node, rank);
    let (is_proven, due_ms) = {
        let proof = lock(&node.proof);
        // The instances that retry may be just those that the store rejects, so the others do not
        // wait for the turn of their own rank.
        let due_rank = if is_deferring_retries { 0 } else { rank };
        (
            proof.age_ms(now_ms).is_some(),
            proof.read_due_at_ms(due_rank),
        )
    };
    // The instance that is to read first may be just the one that the store rejects.
    let is_own_turn = is_proven || is_deferring_retries || should_read_first(node, now_ms);
    let is_due = now_ms >= due_ms && is_own_turn;
    is_due && (!is_deferring_retries || store_backoff::should_probe(node, POLL_INTERVAL_MS))
}

/// Returns whether an instance that has no proof yet is to read the store itself, instead of
/// taking the configuration from peers.
fn should_read_first(node: &Node, now_ms: u64) -> bool {
    let joining_instance = node
        .peers()
        .joining_instance(now_ms, node.up_for_ms(), RANK_PURPOSE);
    // The configuration is small, and without it every call is refused, so no instance that is
    // listed as a seed waits for another.
    let joining_instance = JoiningInstance {
        seed_rank: joining_instance.seed_rank.map(|_rank| 0),
        ..joining_instance
    };
    joining_instance.source() == FirstSource::Store
}

/// Returns whether this instance is one of those that watch the store on behalf of all.
fn is_watching(node: &Node) -> bool {
    rank(node) < WATCHER_COUNT
}

/// Returns the number of instances that come before this one in rank.
fn rank(node: &Node) -> u64 {
    node.peers().rank(node.now_ms(), RANK_PURPOSE)
}

/// Applies the evacuation rows and puts the newest configuration row in force. Returns false if a
/// row could not be parsed, as nothing is known about the newest state then.
fn apply_rows(node: &Node, key: &str, rows: Rows, is_whole: bool) -> bool {
    let mut is_valid = evacuations::take_rows(node, &rows, is_whole);
    for row in rows
        .rows
        .into_iter()
        .filter(|row| row.key == key && !row.is_gone)
    {
        match node.offer_configuration(&Bytes::from(row.value), "store") {
            Ok(is_newer) => {
                if is_newer {
                    node.gossip_news(Origin::Own);
                }
            }
            Err(error) => {
                node.metrics
                    .bad_input_total
                    .with_label_values(&["configuration"])
                    .inc();
                warn!(node.log, "cannot parse configuration from store";
                    "error" => error.to_string());
                is_valid = false;
            }
        }
    }
    is_valid
}
