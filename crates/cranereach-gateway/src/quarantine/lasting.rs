//! Quarantined requests in a row of the platform's store, for a fleet all of which starts
//! at once.
//!
//! Instances know of such requests from each other; the row saves two of three workers
//! when all have forgotten. Whoever sees a request quarantined, or cleared, brings it up
//! to date. An instance reads it once, when a worker first ends under a request there: in
//! calm times it costs no call.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use slog::info;
use slog::warn;
use tokio::sync::OnceCell;

use crate::adapter::RowName;
use crate::adapter::WriteAnswer;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::store::StoreError;
use crate::store_pace;
use cranereach_fleet::quarantine::SuspectNews;
use cranereach_fleet::store_position::StorePosition;

/// Table of the row.
const TABLE: &str = "cranereach_quarantine";

/// Key of the row.
const KEY: &str = "requests";

/// Requests that the row holds at most, those asked for last.
const STORED_MAX_COUNT: usize = 64;

/// Times that the row is written before it is left as it is: others, or the next
/// change, bring it up to date.
const WRITE_ATTEMPT_MAX_COUNT: usize = 5;

/// Pause after a call that failed, in milliseconds.
const RETRY_DELAY_MS: u64 = 1_000;

/// Whether the row has been read since the start.
#[derive(Debug, Default)]
pub struct Lasting {
    is_loaded: OnceCell<()>,
    /// Until when no other read is tried, in milliseconds.
    retry_at_ms: AtomicU64,
}

/// The row as it was read.
struct Row {
    position: StorePosition,
    requests: Vec<SuspectNews>,
}

/// Reads the row unless it has been read.
pub async fn load_once(node: &Node) {
    let lasting = &node.lasting;
    let now_ms = node.now_ms();
    if lasting.is_loaded.initialized() || now_ms < lasting.retry_at_ms.load(Ordering::Acquire) {
        return;
    }
    let loading = lasting.is_loaded.get_or_try_init(async || {
        let row = read(node).await?;
        let now_ms = node.now_ms() as i64;
        let mut quarantine = lock(&node.quarantine);
        for news in row.requests.iter().take(STORED_MAX_COUNT) {
            // One that has been cleared meanwhile isn't brought back.
            if !quarantine.is_cleared(news.mark()) {
                quarantine.take(now_ms, news);
            }
        }
        drop(quarantine);
        info!(node.log, "quarantine recalled"; "requests" => row.requests.len());
        Ok::<(), StoreError>(())
    });
    if let Err(error) = loading.await {
        warn!(node.log, "quarantine not recalled"; "error" => error.to_string());
        let retry_at_ms = node.now_ms() + RETRY_DELAY_MS;
        lasting.retry_at_ms.store(retry_at_ms, Ordering::Release);
    }
}

/// Whether something is known here that the row should hold.
pub fn has_some(node: &Node) -> bool {
    let now_ms = node.now_ms() as i64;
    let kept = lock(&node.quarantine).lasting(now_ms, &[], STORED_MAX_COUNT);
    !kept.is_empty()
}

/// Brings the row up to what is known here.
pub async fn keep(node: Arc<Node>) {
    for _try in 0..WRITE_ATTEMPT_MAX_COUNT {
        match write(&node).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                warn!(node.log, "quarantine not kept"; "error" => error.to_string());
                pause(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Reads the row.
async fn read(node: &Node) -> Result<Row, StoreError> {
    let rows = node.store.read(TABLE).await;
    store_pace::note_call(node, "quarantine", &rows);
    let rows = rows?;
    let row = rows.rows.iter().find(|row| row.key == KEY);
    let requests = row.and_then(|row| {
        let parsed = serde_json::from_slice(&row.value);
        parsed
            .inspect_err(|error| {
                let counter = &node.metrics.bad_input_total;
                counter.with_label_values(&["quarantine"]).inc();
                warn!(node.log, "quarantine not understood"; "error" => error.to_string());
            })
            .ok()
    });
    Ok(Row {
        position: rows.position_of(KEY),
        requests: requests.unwrap_or_default(),
    })
}

/// Writes the row once unless it is up to date; false if somebody else wrote meanwhile.
async fn write(node: &Node) -> Result<bool, StoreError> {
    let row = read(node).await?;
    let requests =
        lock(&node.quarantine).lasting(node.now_ms() as i64, &row.requests, STORED_MAX_COUNT);
    let is_unchanged = requests.len() == row.requests.len()
        && requests.iter().all(|request| {
            row.requests
                .iter()
                .any(|stored| stored.mark() == request.mark())
        });
    if is_unchanged {
        return Ok(true);
    }
    let name = RowName {
        table: TABLE,
        key: KEY.to_owned(),
    };
    let value = serde_json::to_vec(&requests).unwrap_or_default();
    let written = node.store.write(&name, row.position, &value).await;
    store_pace::note_write(node, "quarantine_write", &written);
    Ok(matches!(written?, WriteAnswer::Done(_)))
}
