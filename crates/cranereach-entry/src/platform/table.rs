//! Adapter to the transactional table service.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::ANSWER_WITHIN_MS;
use super::StoreError;
use super::unexpected_status;
use cranereach_http::client::JsonClient;
use cranereach_wire::platform::Committed;
use cranereach_wire::platform::TableRow;
use cranereach_wire::platform::TableWrite;
use cranereach_wire::platform::Transaction;

/// Client of the table.
#[derive(Debug)]
pub struct Table {
    client: JsonClient,
}

/// Typed row with its version; version zero means that the row doesn't exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Version of the row.
    pub version: u64,
    /// Content of the row; the default value if it doesn't exist.
    pub value: T,
}

impl Table {
    /// Creates a client for a server at `ip:port`.
    pub fn new(address: &str) -> Self {
        Self {
            client: JsonClient::new(address),
        }
    }

    /// Reads a row.
    pub async fn read<T: DeserializeOwned + Default>(
        &self,
        key: &str,
    ) -> Result<Versioned<T>, StoreError> {
        let answer = self
            .client
            .get(&format!("/table/{key}"), ANSWER_WITHIN_MS)
            .await?;
        match answer.status {
            200 => {
                let row: TableRow = self.client.read(&answer)?;
                let value = serde_json::from_value(row.value);
                let value = value.map_err(|error| StoreError::Unknown {
                    detail: format!("row {key}: {error}"),
                })?;
                Ok(Versioned {
                    version: row.version,
                    value,
                })
            }
            404 => Ok(Versioned {
                version: 0,
                value: T::default(),
            }),
            status => Err(unexpected_status(status)),
        }
    }

    /// Writes a row if its version equals `expected_version` (compare-and-set); returns
    /// the new version.
    pub async fn write<T: Serialize>(
        &self,
        key: &str,
        expected_version: u64,
        value: &T,
    ) -> Result<u64, StoreError> {
        let value = serde_json::to_value(value).map_err(|error| StoreError::NotDone {
            detail: error.to_string(),
        })?;
        let write = TableWrite {
            key: key.to_owned(),
            expected_version,
            value,
        };
        let transaction = Transaction {
            writes: vec![write],
        };
        let answer = self
            .client
            .post("/table", &transaction, ANSWER_WITHIN_MS)
            .await?;
        match answer.status {
            200 => {
                let committed: Committed = self.client.read(&answer)?;
                Ok(committed
                    .versions
                    .first()
                    .copied()
                    .unwrap_or(expected_version + 1))
            }
            409 => Err(StoreError::Conflict),
            status => Err(unexpected_status(status)),
        }
    }
}
