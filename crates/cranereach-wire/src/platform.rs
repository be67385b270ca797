//! Messages to the platform: table, object store and list of instances.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use cranereach_core::names::FailureDomain;
use cranereach_core::names::InstanceId;
use cranereach_core::names::PoolName;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Grows with each write of the row, from 1.
    pub version: u64,
    /// Content.
    pub value: Value,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableWrite {
    /// Key of the row.
    pub key: String,
    /// Version that must stand; zero for no row.
    pub expected_version: u64,
    /// New content.
    pub value: Value,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub writes: Vec<TableWrite>,
}

/// Answer to a transaction that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// New versions, in the order of the writes.
    pub versions: Vec<u64>,
}

/// What a listed instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of ours.
    Entry,
    /// An upstream worker.
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

/// One instance on the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Identity.
    pub id: InstanceId,
    /// What it is for.
    pub role: Role,
    /// State, as the list has it.
    pub state: ListState,
    /// Failure domain.
    pub domain: FailureDomain,
    /// `ip:port`: peers' port of an entry instance, service port of a worker.
    pub address: String,
    /// Pool of a worker.
    #[serde(default)]
    pub pool: Option<PoolName>,
}
