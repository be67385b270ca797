//! Keeps the configuration up to date: reads heads, fetches bodies, activates them.
//!
//! A new head is learned from the table, which is polled slowly with jitter, or
//! from a peer's digest. Its body is fetched from a peer that has it, otherwise
//! from the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::error;
use slog::info;
use slog::warn;

use crate::peers::bodies;
use crate::platform::objects::Objects;
use crate::platform::objects::content_hash;
use crate::shared::HeldBody;
use crate::shared::Shared;
use crate::shared::lock;
use cranereach_core::config::Head;
use cranereach_core::snapshot::Snapshot;
use cranereach_wire::folder::Folder;
use cranereach_wire::head_row::HEAD_KEY;
use cranereach_wire::head_row::HeadRow;

/// Width of the random variation of a pause, as a fraction of the pause (here
/// ±15 %). It keeps instances from polling in lockstep.
const JITTER_RANGE: f64 = 0.3;

/// Pause before a failed fetch of a body is retried, in milliseconds.
const FETCH_RETRY_MS: u64 = 300;

/// Synchronizes the configuration until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let objects = Objects::new(&shared.settings.platform.objects);
    loop {
        read_head(&shared).await;
        let until_ms = shared.now_ms() + jittered(shared.settings.platform.head_every_ms);
        let until = shared.clock.instant(until_ms);
        loop {
            fetch_missing(&shared, &objects).await;
            let retry_ms = if shared.config().missing().is_some() {
                FETCH_RETRY_MS
            } else {
                u64::from(u32::MAX)
            };
            tokio::select! {
                () = tokio::time::sleep_until(until) => break,
                () = tokio::time::sleep(Duration::from_millis(retry_ms)) => {}
                () = shared.config_body_missing.notified() => {}
            }
        }
    }
}

/// Reads the head row and records its head.
async fn read_head(shared: &Shared) {
    match shared.table.read::<HeadRow>(HEAD_KEY).await {
        Ok(row) => {
            let head = row.value.head().unwrap_or_default();
            shared.config().observe_table_head(shared.now_ms(), &head);
        }
        Err(error) => {
            warn!(shared.log, "failed to read the configuration head"; "error" => error.to_string());
        }
    }
}

/// Fetches and activates the body of a newer head, if one is known.
async fn fetch_missing(shared: &Shared, objects: &Objects) {
    let Some(head) = shared.config().missing().cloned() else {
        return;
    };
    let body = match bodies::fetch(shared, &head.hash).await {
        Some(body) => Some(body),
        None => objects.get(&head.hash).await.ok().flatten(),
    };
    let Some(body) = body else {
        warn!(shared.log, "failed to fetch the configuration body"; "version" => head.version);
        return;
    };
    adopt(shared, &head, body);
}

/// Activates a body if its hash matches and its head is newer than the active one.
fn adopt(shared: &Shared, head: &Head, body: Bytes) {
    if content_hash(&body) != head.hash {
        return;
    }
    let snapshot = match resolve(&body, head.version) {
        Ok(snapshot) => snapshot,
        Err(detail) => {
            error!(shared.log, "accepted configuration is invalid"; "version" => head.version, "error" => detail);
            return;
        }
    };
    // The lock is held until the snapshot is set, so that an older version can't
    // overwrite a newer one.
    let mut config = shared.config();
    if config.adopt(head) {
        *lock(&shared.held_body) = HeldBody {
            hash: head.hash.clone(),
            body,
        };
        shared.set_snapshot(snapshot);
        info!(shared.log, "configuration in force"; "version" => head.version);
    }
}

/// Parses and resolves a body into the snapshot that the data path uses.
fn resolve(body: &Bytes, version: u64) -> Result<Snapshot, String> {
    let folder: Folder = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let declared = folder.declarations().map_err(|error| error.to_string())?;
    Snapshot::resolve(&declared, version).map_err(|faults| {
        faults
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("; ")
    })
}

/// Returns a pause with random jitter, in milliseconds.
pub fn jittered(pause_ms: u64) -> u64 {
    let factor = 1.0 + JITTER_RANGE * (rand::random::<f64>() - 0.5);
    (pause_ms as f64 * factor) as u64
}
