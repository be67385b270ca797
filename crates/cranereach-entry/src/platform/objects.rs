//! Adapter of the object store; objects are named by their hash.

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
    /// Makes a client for `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Reads the body of a hash; none if it isn't there or doesn't fit.
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

    /// Writes a body under its hash and returns the hash; may be repeated.
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

/// Returns the name of a body: its BLAKE3 hash in hex.
///
/// ```
/// assert_eq!(cranereach_entry::platform::objects::content_hash(b"x").len(), 64);
/// ```
pub fn content_hash(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}
