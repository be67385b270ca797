//! Adapter to the platform's instance list, which lags behind the actual state.

use super::ANSWER_WITHIN_MS;
use super::StoreError;
use super::unexpected_status;
use cranereach_http::client::JsonClient;
use cranereach_wire::platform::ListedInstance;

/// Client of the instance list.
#[derive(Debug)]
pub struct InstanceList {
    client: JsonClient,
}

impl InstanceList {
    /// Creates a client for a server at `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Reads the whole list.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, StoreError> {
        let answer = self.client.get("/instances", ANSWER_WITHIN_MS).await?;
        if answer.status != 200 {
            return Err(unexpected_status(answer.status));
        }
        Ok(self.client.read(&answer)?)
    }
}
