//! Keys of streams.

/// Returns the key of a stream: that of the request that brought its first event, bound to its
/// route and client account.
///
/// ```
/// use cranereach_fleet::stream_origins::stream_key;
///
/// let key = stream_key("/chat", Some("a"), "id-1");
/// assert_eq!(key, stream_key("/chat", Some("a"), "id-1"));
/// assert_ne!(key, stream_key("/chat", Some("b"), "id-1"));
/// assert_ne!(key, stream_key("/chat", None, "id-1"));
/// ```
pub fn stream_key(route: &str, account: Option<&str>, request_id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::from(account.is_some())]);
    for field in [route, account.unwrap_or_default(), request_id] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    let hash = hasher.finalize();
    let key = u64::from_le_bytes(hash.as_bytes().first_chunk().copied().unwrap_or_default());
    key.max(1)
}
