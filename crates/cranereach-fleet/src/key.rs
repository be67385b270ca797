//! Short keys by which instances name workers, their starts, and what else has a name.

/// Returns the short key by which peers name a worker.
pub fn worker_key(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    u64::from_le_bytes(hash.as_bytes().first_chunk().copied().unwrap_or_default())
}

/// Returns the key of a start of a worker.
pub fn start_key(id: &str, started_unix_ms: u64) -> u64 {
    worker_key(&format!("{id} {started_unix_ms}"))
}
