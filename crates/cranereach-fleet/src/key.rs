//! Short hash keys by which instances refer to workers, their incarnations and other named things.

/// Returns the key of a worker by its identity.
pub fn worker_key(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    u64::from_le_bytes(hash.as_bytes().first_chunk().copied().unwrap_or_default())
}

/// Returns the key of an incarnation of a worker: one run of its process, by the time of its start.
pub fn incarnation_key(id: &str, started_unix_ms: u64) -> u64 {
    worker_key(&format!("{id} {started_unix_ms}"))
}
