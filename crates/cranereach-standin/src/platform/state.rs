//! State, counters and injected faults of the platform stand-in.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::lock;
use cranereach_core::token_bucket::TokenBucket;
use cranereach_wire::platform::ListedInstance;
use cranereach_wire::platform::TableRow;
use cranereach_wire::platform::Transaction;

/// Error of a transaction whose expected row versions did not match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a condition did not hold")]
pub struct ConditionFailed;

/// Faults to inject into one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether all requests are refused immediately.
    pub refuses: bool,
    /// Whether requests are accepted but never answered.
    pub holds: bool,
    /// Delay before a request is handled, in milliseconds.
    pub slow_ms: u64,
}

/// Faults to inject into the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the table.
    pub table: StoreFaults,
    /// Faults of the object store.
    pub objects: StoreFaults,
    /// Faults of the instance list.
    pub list: StoreFaults,
    /// Whether the list keeps returning its last contents, ignoring changes.
    pub list_frozen: bool,
    /// Transactions to commit without sending the response.
    pub lose_answer_count: u32,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLimits {
    /// Loads that may start per second.
    pub loads_per_s: f64,
    /// Loads that may run concurrently.
    pub at_once_count: u32,
    /// Duration of a load, in milliseconds.
    pub load_ms: u64,
}

impl Default for WeightLimits {
    fn default() -> Self {
        Self {
            loads_per_s: 1_000.0,
            at_once_count: 1_000,
            load_ms: 50,
        }
    }
}

/// Numbers of requests that each store has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Requests to the table.
    pub table_count: u64,
    /// Requests to the object store.
    pub object_count: u64,
    /// Requests to the instance list.
    pub list_count: u64,
}

/// Rate and concurrency limiter of the weight store.
#[derive(Debug)]
pub struct WeightStore {
    bucket: TokenBucket,
    running_count: u32,
    max_running_count: u32,
    /// Loads that have started.
    pub begun_count: u64,
    /// Loads refused by a limit.
    pub refused_count: u64,
}

impl WeightStore {
    /// Starts a load if the limits allow it; returns whether they do.
    pub fn begin(&mut self, now_ms: u64) -> bool {
        let is_allowed = self.running_count < self.max_running_count && self.bucket.take(now_ms);
        if is_allowed {
            self.running_count += 1;
            self.begun_count += 1;
        } else {
            self.refused_count += 1;
        }
        is_allowed
    }

    /// Ends a load.
    pub fn end(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
    }
}

/// Complete state of the platform stand-in.
#[derive(Debug)]
pub struct PlatformState {
    /// Rows of the table.
    pub rows: Mutex<HashMap<String, TableRow>>,
    /// Objects by key.
    pub objects: Mutex<HashMap<String, Bytes>>,
    /// Faults to inject.
    pub faults: Mutex<PlatformFaults>,
    /// Numbers of requests handled.
    pub counts: Mutex<PlatformCounts>,
    /// The weight store.
    pub weights: Mutex<WeightStore>,
    /// Limits of the weight store.
    pub limits: WeightLimits,
    listed: Mutex<BTreeMap<String, ListedInstance>>,
    last_visible: Mutex<Vec<ListedInstance>>,
    started: Instant,
}

impl PlatformState {
    /// Creates an empty platform.
    pub fn new(limits: WeightLimits) -> Self {
        let burst = limits.loads_per_s.max(1.0);
        let weights = WeightStore {
            bucket: TokenBucket::new(limits.loads_per_s, burst, 0),
            running_count: 0,
            max_running_count: limits.at_once_count,
            begun_count: 0,
            refused_count: 0,
        };
        Self {
            rows: Mutex::default(),
            objects: Mutex::default(),
            faults: Mutex::default(),
            counts: Mutex::default(),
            weights: Mutex::new(weights),
            limits,
            listed: Mutex::default(),
            last_visible: Mutex::default(),
            started: Instant::now(),
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Sets whether the table refuses all requests.
    pub fn set_table_refuses(&self, refuses: bool) {
        lock(&self.faults).table.refuses = refuses;
    }

    /// Returns the number of requests that the table has handled.
    pub fn table_count(&self) -> u64 {
        lock(&self.counts).table_count
    }

    /// Adds or replaces an instance in the list.
    pub fn list(&self, instance: ListedInstance) {
        lock(&self.listed).insert(instance.id.to_string(), instance);
    }

    /// Removes an instance from the list.
    pub fn unlist(&self, id: &str) {
        lock(&self.listed).remove(id);
    }

    /// Returns the instances that the list shows; a frozen list shows its last contents.
    pub fn visible_instances(&self) -> Vec<ListedInstance> {
        let is_frozen = lock(&self.faults).list_frozen;
        let mut last_visible = lock(&self.last_visible);
        if !is_frozen {
            *last_visible = lock(&self.listed).values().cloned().collect();
        }
        last_visible.clone()
    }

    /// Applies a transaction if every row has the expected version; returns the new versions.
    pub fn transact(&self, transaction: &Transaction) -> Result<Vec<u64>, ConditionFailed> {
        let mut rows = lock(&self.rows);
        let version = |rows: &HashMap<String, TableRow>, key: &str| {
            rows.get(key).map_or(0, |row| row.version)
        };
        let conditions_hold = transaction
            .writes
            .iter()
            .all(|write| version(&rows, &write.key) == write.expected_version);
        if !conditions_hold {
            return Err(ConditionFailed);
        }
        let mut versions = Vec::with_capacity(transaction.writes.len());
        for write in &transaction.writes {
            let row = TableRow {
                version: write.expected_version + 1,
                value: write.value.clone(),
            };
            versions.push(row.version);
            rows.insert(write.key.clone(), row);
        }
        Ok(versions)
    }

    /// Returns whether the response to this commit is to be lost, and uses up one such fault.
    pub fn consume_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lose_answer_count > 0;
        faults.lose_answer_count = faults.lose_answer_count.saturating_sub(1);
        is_lost
    }
}
