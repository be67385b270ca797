//! Adapter of the platform's lagging list of instances.

use super::ANSWER_WITHIN_MS;
use super::StoreError;
use super::unexpected_status;
use cranereach_http::client::JsonClient;
use cranereach_wire::platform::ListedInstance;

/// Client of the list.
#[derive(Debug)]
pub struct InstanceList {
    client: JsonClient,
}

impl InstanceList {
    /// Makes a client for `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Reads the list.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, StoreError> {
        let answer = self.client.get("/instances", ANSWER_WITHIN_MS).await?;
        if answer.status != 200 {
            return Err(unexpected_status(answer.status));
        }
        Ok(self.client.read(&answer)?)
    }
}
