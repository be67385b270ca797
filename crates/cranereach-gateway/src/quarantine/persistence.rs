//! Persists quarantined requests and parts of prompts in a row of the platform's store, for the case that all instances
//! restart at the same time.
//!
//! Instances normally learn of these requests from each other. If all of them have lost that state,
//! the row prevents a request from causing three workers to end again before it is quarantined: it
//! is refused after the first one. The instance that sees a request become quarantined or cleared
//! updates the row. Each instance reads the row once, when the first worker ends during one of
//! its requests, so that normal operation needs no store call.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use slog::info;
use slog::warn;
use tokio::sync::OnceCell;

use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::store::StoreError;
use crate::stored_row;
use crate::stored_row::RowPlace;
use crate::stored_row::StoredRow;
use cranereach_fleet::quarantine::SuspectUpdate;

/// The row.
const PLACE: RowPlace = RowPlace {
    table: "cranereach_quarantine",
    key: "requests",
    read_kind: "quarantine",
    write_kind: "quarantine_write",
};

/// Maximum number of requests in the row; the most recently requested ones are kept.
const STORED_MAX_COUNT: usize = 64;

/// Maximum number of attempts to write the row. After that it is left to other instances, or to the
/// next change, to update it.
const WRITE_ATTEMPT_MAX_COUNT: usize = 5;

/// Pause after a failed store call, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// State of the one-time load of the row.
#[derive(Debug, Default)]
pub struct PersistenceState {
    is_loaded: OnceCell<()>,
    /// Time before which no further read is attempted, in milliseconds.
    retry_at_ms: AtomicU64,
}

/// Loads the row unless it has been loaded since the start.
pub async fn load_once(node: &Arc<Node>) {
    let persistence = &node.persistence;
    let now_ms = node.now_ms();
    if persistence.is_loaded.initialized()
        || now_ms < persistence.retry_at_ms.load(Ordering::Acquire)
    {
        return;
    }
    let loading = persistence.is_loaded.get_or_try_init(async || {
        let row: StoredRow<Vec<SuspectUpdate>> = stored_row::read(node, PLACE).await?;
        let now_ms = node.now_ms() as i64;
        super::change(node, |quarantine| {
            for news in row.content.iter().take(STORED_MAX_COUNT) {
                // Skips suspects that have been cleared in the meantime.
                if !quarantine.is_cleared(news.key()) {
                    quarantine.apply_update(now_ms, news);
                }
            }
        });
        info!(node.log, "quarantined requests loaded from store"; "requests" => row.content.len());
        Ok::<(), StoreError>(())
    });
    if let Err(error) = loading.await {
        warn!(node.log, "cannot load quarantined requests from store"; "error" => error.to_string());
        let retry_at_ms = node.now_ms() + RETRY_DELAY_MS;
        persistence
            .retry_at_ms
            .store(retry_at_ms, Ordering::Release);
    }
}

/// Whether this instance knows of requests that the row should contain.
pub fn has_requests_to_store(node: &Node) -> bool {
    let now_ms = node.now_ms() as i64;
    let kept = lock(&node.quarantine).select_for_storage(now_ms, &[], STORED_MAX_COUNT);
    !kept.is_empty()
}

/// Updates the row to the quarantined requests known here.
pub async fn persist(node: Arc<Node>) {
    for _try in 0..WRITE_ATTEMPT_MAX_COUNT {
        match write(&node).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                warn!(node.log, "cannot write quarantined requests to store"; "error" => error.to_string());
                pause(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Writes the row once, unless it is up to date. Returns false if another instance changed it
/// concurrently.
async fn write(node: &Node) -> Result<bool, StoreError> {
    let row: StoredRow<Vec<SuspectUpdate>> = stored_row::read(node, PLACE).await?;
    let requests = lock(&node.quarantine).select_for_storage(
        node.now_ms() as i64,
        &row.content,
        STORED_MAX_COUNT,
    );
    let is_unchanged = requests.len() == row.content.len()
        && requests.iter().all(|request| {
            row.content
                .iter()
                .any(|stored| stored.key() == request.key())
        });
    if is_unchanged {
        return Ok(true);
    }
    stored_row::write(node, PLACE, row.position, &requests).await
}
