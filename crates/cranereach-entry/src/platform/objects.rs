//! Adapter to the object store, which is content-addressed: objects are named by
//! their hash.

use bytes::Bytes;

use super::ANSWER_WITHIN_MS;
use super::StoreError;
use super::unexpected_status;
use cranereach_http::client::JsonClient;

/// Client of the object store.
#[derive(Debug)]
pub struct Objects {
    client: JsonClient,
}

impl Objects {
    /// Creates a client for a server at `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Reads the body with the given hash; `None` if it is missing or its content doesn't
    /// match the hash.
    pub async fn get(&self, hash: &str) -> Result<Option<Bytes>, StoreError> {
        let answer = self
            .client
            .get(&format!("/objects/{hash}"), ANSWER_WITHIN_MS)
            .await?;
        match answer.status {
            200 => Ok(Some(answer.body).filter(|body| content_hash(body) == hash)),
            404 => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    /// Writes a body under its hash and returns the hash. The operation is idempotent.
    pub async fn put(&self, body: &Bytes) -> Result<String, StoreError> {
        let hash = content_hash(body);
        let answer = self
            .client
            .put(&format!("/objects/{hash}"), body.clone(), ANSWER_WITHIN_MS)
            .await?;
        if answer.status == 200 {
            Ok(hash)
        } else {
            Err(unexpected_status(answer.status))
        }
    }
}

/// Returns the BLAKE3 hash of a body in hex, which names it in the store.
///
/// ```
/// assert_eq!(cranereach_entry::platform::objects::content_hash(b"x").len(), 64);
/// ```
pub fn content_hash(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}
