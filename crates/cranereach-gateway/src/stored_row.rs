//! Single rows of the platform's store that hold what must outlive a start of all instances.

use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;

use crate::adapter::RowName;
use crate::adapter::WriteAnswer;
use crate::node::Node;
use crate::store::StoreError;
use crate::store_backoff;
use cranereach_fleet::store_position::StorePosition;

/// Where a row stands, and the names of its calls in metrics.
#[derive(Clone, Copy, Debug)]
pub struct RowPlace {
    /// Table, in which it is the only row.
    pub table: &'static str,
    /// Key.
    pub key: &'static str,
    /// Kind of a read, and source of content that can't be read.
    pub read_kind: &'static str,
    /// Kind of a write.
    pub write_kind: &'static str,
}

/// A row as read from the store.
#[derive(Clone, Debug)]
pub struct StoredRow<T> {
    /// Position of the row, on which a write is conditional.
    pub position: StorePosition,
    /// Time of the store's steady clock at the read, in milliseconds, if it tells it.
    pub clock_ms: Option<u64>,
    /// Content; the default if there is no row, or none that can be read.
    pub content: T,
}

/// Reads a row. Content of another writer that can't be read is counted and logged.
pub async fn read<T>(node: &Node, place: RowPlace) -> Result<StoredRow<T>, StoreError>
where
    T: Default + DeserializeOwned,
{
    let rows = node.store.read(place.table).await;
    store_backoff::count_read(node, place.read_kind, &rows);
    let rows = rows?;
    let row = rows.rows.iter().find(|row| row.key == place.key);
    let content = row.and_then(|row| {
        let parsed = serde_json::from_slice(&row.value);
        parsed
            .inspect_err(|error| {
                let counter = &node.metrics.bad_input_total;
                counter.with_label_values(&[place.read_kind]).inc();
                warn!(node.log, "stored row not understood"; "table" => place.table,
                    "error" => error.to_string());
            })
            .ok()
    });
    Ok(StoredRow {
        position: rows.position_of(place.key),
        clock_ms: rows.clock_ms,
        content: content.unwrap_or_default(),
    })
}

/// Writes a row, unless it has changed since it was read. Returns whether it was written.
pub async fn write<T: Serialize>(
    node: &Node,
    place: RowPlace,
    position: StorePosition,
    content: &T,
) -> Result<bool, StoreError> {
    let name = RowName {
        table: place.table,
        key: place.key.to_owned(),
    };
    let value = serde_json::to_vec(content).unwrap_or_default();
    let written = node.store.write(&name, position, &value).await;
    store_backoff::count_write(node, place.write_kind, &written);
    Ok(matches!(written?, WriteAnswer::Done(_)))
}
