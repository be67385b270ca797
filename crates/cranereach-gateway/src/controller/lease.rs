//! Acquires, renews and releases one lease through its row in the store.

use std::sync::Arc;

use slog::info;

use crate::adapter::RowName;
use crate::adapter::WriteAnswer;
use crate::node::Node;
use crate::node::lock;
use crate::store::StoreError;
use crate::store_backoff;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::lease_state::LeaseRow;
use cranereach_fleet::lease_state::LeaseState;
use cranereach_fleet::lease_state::Step;
use cranereach_fleet::store_position::StorePosition;

/// Table of the lease rows.
const TABLE: &str = "cranereach_leases";

/// Time between the attempts of two consecutive candidates, in milliseconds.
const CANDIDATE_STAGGER_MS: u64 = 250;

/// Number of candidates in each group. The groups follow each other every [`GROUP_STAGGER_MS`],
/// so that the number of calls to the store does not grow with the fleet.
const CANDIDATE_GROUP_SIZE: u64 = 4;

/// Time between the first attempts of two groups of candidates, in milliseconds. It is longer
/// than the time for which a successor has to wait for the lease if its holder stops responding.
const GROUP_STAGGER_MS: u64 = 6_000;

/// Time for which a holder must be isolated from the workers before it gives the lease up, in
/// milliseconds. Shorter partitions end before a successor could send its first order.
const RESIGN_AFTER_MS: u64 = 1_000;

/// Pause after a failed call to the store, in milliseconds.
const RETRY_DELAY_MS: u64 = 450;

/// State of this instance's attempts to acquire or keep one lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidacy {
    candidate_since_ms: Option<u64>,
    next_call_at_ms: u64,
    has_released: bool,
}

/// Performs the next step for the lease: nothing, one read or one write of its row.
pub async fn advance(
    node: &Node,
    lease_state: &mut LeaseState,
    candidacy: &mut Candidacy,
    service: &Arc<str>,
) {
    let now_ms = node.now_ms();
    if node.is_stopping() {
        release(node, lease_state, candidacy, service).await;
        return;
    }
    let key = worker_key(service);
    let is_holder_heard = node.peers().knows_holder(now_ms, key);
    if is_holder_heard {
        candidacy.candidate_since_ms = None;
    }
    lease_state.enter_era(node.store.eras().newest());
    announce_ended_term(node, lease_state, now_ms, key);
    for ended in node.peers().ended_terms(now_ms, key) {
        lease_state.record_ended_term(ended);
    }
    if node.paths.isolated_for_ms(now_ms).is_some() {
        // Peers reach the workers, so one of them is the better holder.
        candidacy.candidate_since_ms = None;
        resign_if_isolated(node, lease_state, service, now_ms).await;
        if !lease_state.is_holder() {
            return;
        }
    }
    if now_ms < candidacy.next_call_at_ms {
        return;
    }
    let step = lease_state.step(now_ms, is_holder_heard);
    if !lease_state.is_holder() && step != Step::Wait {
        // The first candidate in rank reads first, and so may also write first.
        let since_ms = *candidacy.candidate_since_ms.get_or_insert(now_ms);
        let rank = node.peers().members().rank(now_ms, key);
        if now_ms < since_ms + stagger_ms(rank) {
            return;
        }
    }
    match step {
        Step::Wait => {}
        Step::Read => read(node, lease_state, candidacy, service).await,
        Step::Write { expected } => {
            write(node, lease_state, candidacy, service, expected).await;
        }
    }
}

/// Returns how long a candidate waits for those that come before it in rank, in milliseconds.
fn stagger_ms(rank: u64) -> u64 {
    let group_delay_ms = rank / CANDIDATE_GROUP_SIZE * GROUP_STAGGER_MS;
    group_delay_ms + rank % CANDIDATE_GROUP_SIZE * CANDIDATE_STAGGER_MS
}

/// Announces to peers whether a term of this instance has expired.
fn announce_ended_term(node: &Node, lease_state: &LeaseState, now_ms: u64, service: u64) {
    let mut ended = lock(&node.ended_leases);
    let is_unchanged = match lease_state.ended(now_ms) {
        Some(term) => ended.insert(service, term) == Some(term),
        None => ended.remove(&service).is_none(),
    };
    drop(ended);
    if !is_unchanged {
        node.digest_wanted.notify_one();
    }
}

/// Returns the name of a service's lease row.
fn row_name(service: &str) -> RowName {
    RowName {
        table: TABLE,
        key: service.to_owned(),
    }
}

/// Reads the lease row.
async fn read(node: &Node, lease_state: &mut LeaseState, candidacy: &mut Candidacy, service: &str) {
    let rows = node.store.read(TABLE).await;
    store_backoff::count_read(node, "lease", &rows);
    let now_ms = node.now_ms();
    match rows {
        Ok(rows) => {
            let row = rows.rows.iter().find(|row| row.key == service);
            let position = rows.position_of(service);
            let content = row.and_then(|row| serde_json::from_slice(&row.value).ok());
            lease_state.read(now_ms, position, content);
        }
        Err(_failed) => candidacy.next_call_at_ms = now_ms + RETRY_DELAY_MS,
    }
}

/// Writes the lease row to acquire or renew the lease.
async fn write(
    node: &Node,
    lease_state: &mut LeaseState,
    candidacy: &mut Candidacy,
    service: &str,
    expected: StorePosition,
) {
    let sent_at_ms = node.now_ms();
    let content = content(node, expected.era, false);
    let written = node
        .store
        .write(&row_name(service), expected, &content)
        .await;
    let now_ms = node.now_ms();
    let outcome = store_backoff::count_write(node, "lease_write", &written);
    match written {
        Ok(WriteAnswer::Done(position)) => {
            lease_state.written(sent_at_ms, position);
            candidacy.candidate_since_ms = None;
        }
        Ok(WriteAnswer::Conflict | WriteAnswer::Refused(_)) => lease_state.conflicted(),
        Err(StoreError::NotDone(_) | StoreError::HistoryGone) => {
            candidacy.next_call_at_ms = now_ms + RETRY_DELAY_MS;
        }
        Err(StoreError::Unknown(_) | StoreError::OtherEra) => {
            lease_state.unanswered(now_ms);
            candidacy.next_call_at_ms = now_ms + RETRY_DELAY_MS;
        }
    }
    if outcome != "done" {
        info!(node.log, "lease write"; "service" => service, "outcome" => outcome,
            "expected" => %expected, "took_ms" => now_ms - sent_at_ms);
    }
}

/// Releases the lease on the first call; later calls do nothing.
async fn release(
    node: &Node,
    lease_state: &mut LeaseState,
    candidacy: &mut Candidacy,
    service: &str,
) {
    if candidacy.has_released {
        return;
    }
    candidacy.has_released = true;
    if let Some(position) = lease_state.release() {
        let content = content(node, position.era, true);
        // If the write fails, the successor waits for the end of the term.
        let _written = node
            .store
            .write(&row_name(service), position, &content)
            .await;
    }
}

/// Gives the lease up if this instance has been isolated from the workers for long enough that a
/// successor, which has to wait, gains from it.
async fn resign_if_isolated(
    node: &Node,
    lease_state: &mut LeaseState,
    service: &Arc<str>,
    now_ms: u64,
) {
    let isolated_for_ms = node.paths.isolated_for_ms(now_ms).unwrap_or(0);
    if isolated_for_ms < RESIGN_AFTER_MS {
        return;
    }
    let Some(position) = lease_state.resign() else {
        return;
    };
    info!(node.log, "lease given up"; "service" => service.as_ref(),
        "isolated_for_ms" => isolated_for_ms);
    let content = content(node, position.era, true);
    // If the write fails, the successor waits for the end of the term.
    let _written = node
        .store
        .write(&row_name(service), position, &content)
        .await;
}

/// Returns the content of the lease row for an era of the store.
fn content(node: &Node, era: u64, is_released: bool) -> Vec<u8> {
    let row = LeaseRow {
        holder: node.settings.instance.id.clone(),
        boot: node.boot,
        is_released,
        era,
    };
    serde_json::to_vec(&row).unwrap_or_default()
}
