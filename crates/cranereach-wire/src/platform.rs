//! Messages of the platform interfaces: the table and the list of instances.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use cranereach_core::names::FailureDomain;
use cranereach_core::names::InstanceId;
use cranereach_core::names::PoolName;

/// Row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Version, which starts at 1 and grows with each write of the row.
    pub version: u64,
    /// Content.
    pub value: Value,
}

/// Conditional write of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; zero if the row must not exist.
    pub expected_version: u64,
    /// New content.
    pub value: Value,
}

/// Writes that take effect atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Writes, one for each row.
    pub writes: Vec<TableWrite>,
}

/// Answer to a transaction that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// New versions of the rows, in the order of the writes.
    pub versions: Vec<u64>,
}

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry instance.
    Entry,
    /// Upstream worker.
    Worker,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// In service.
    Live,
    /// Being stopped.
    Leaving,
}

/// Instance on the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// ID of the instance.
    pub id: InstanceId,
    /// Role.
    pub role: Role,
    /// State, according to the list.
    pub state: ListState,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Address as `ip:port`: the peer port of an entry instance, the service port of a worker.
    pub address: String,
    /// Pool of a worker.
    #[serde(default)]
    pub pool: Option<PoolName>,
}
