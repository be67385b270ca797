//! Client of the platform's store. Every call has a deadline.

mod eras;

use std::sync::Arc;

use bytes::Bytes;
use slog::Logger;
use thiserror::Error;

pub use self::eras::StoreEras;
use crate::adapter::Adapter;
use crate::adapter::FormatError;
use crate::adapter::ReadAnswer;
use crate::adapter::RowName;
use crate::adapter::Rows;
use crate::adapter::WriteAnswer;
use crate::metrics::Metrics;
use cranereach_fleet::store_position::StorePosition;
use cranereach_http::client::Answer;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;
use cranereach_http::meter::Meter;
use cranereach_http::meter::Side;

/// Time allowed for an answer on top of any wait that the call asks for, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 900;

/// Failure of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store did not execute the call.
    #[error("store did not execute the call: {0}")]
    NotDone(String),
    /// The outcome is unknown: the store may have executed the call, or may still do so.
    #[error("store call has an unknown outcome: {0}")]
    Unknown(String),
    /// The store no longer has the change history after the requested position.
    #[error("store no longer has the requested change history")]
    HistoryGone,
    /// The store was restored from a backup in the meantime, so the answer belongs to another era
    /// than the position that the call was based on. A write may have been executed.
    #[error("store was restored from a backup during the call")]
    OtherEra,
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent { .. } | CallError::NotPermitted { .. } => {
                Self::NotDone(error.to_string())
            }
            CallError::Unanswered { .. } | CallError::Garbled { .. } => {
                Self::Unknown(error.to_string())
            }
        }
    }
}

impl From<FormatError> for StoreError {
    fn from(error: FormatError) -> Self {
        Self::Unknown(error.to_string())
    }
}

/// HTTP client of the store.
#[derive(Debug)]
pub struct Store {
    client: JsonClient,
    adapter: &'static Adapter,
    eras: StoreEras,
}

impl Store {
    /// Creates a client for the store at `ip:port`.
    pub fn new(address: &str, adapter: &'static Adapter, log: &Logger, metrics: &Metrics) -> Self {
        Self {
            client: JsonClient::new(address),
            adapter,
            eras: StoreEras::new(adapter.store.era_header, log, metrics),
        }
    }

    /// Counts the connections to the store and their bytes.
    #[must_use]
    pub fn with_meter(mut self, meter: &Arc<Meter>) -> Self {
        self.client = self.client.with_meter(meter, Side::Store);
        self
    }

    /// Returns the tracker of the store's era.
    pub fn eras(&self) -> &StoreEras {
        &self.eras
    }

    /// Reads a whole table, page by page.
    pub async fn read(&self, table: &str) -> Result<Rows, StoreError> {
        let mut all = Rows::default();
        loop {
            let from = all
                .rows
                .last()
                .map_or(String::new(), |row| format!("{}\u{1}", row.key));
            let path = (self.adapter.store.read_path)(table, &from);
            let answer = self.client.get(&path, ANSWER_TIMEOUT_MS).await?;
            let page = self.parse_rows(&answer)?;
            if all.rows.is_empty() {
                all.position = page.position;
                all.clock_ms = page.clock_ms;
            }
            if page.position.era != all.position.era {
                return Err(StoreError::OtherEra);
            }
            let last_key = page.rows.last().map(|row| row.key.as_str());
            if page.has_more && last_key <= all.rows.last().map(|row| row.key.as_str()) {
                // The next request would start at the same key and get the same page again.
                let reason =
                    format!("page of table {table} does not advance past the previous page");
                return Err(StoreError::Unknown(reason));
            }
            let has_more = page.has_more;
            all.rows.extend(page.rows);
            if !has_more {
                return Ok(all);
            }
        }
    }

    /// Waits for changes of a table after a position and returns all of them.
    ///
    /// One answer holds a bounded number of changes and does not state whether there are more.
    pub async fn watch(
        &self,
        table: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<Rows, StoreError> {
        let (mut all, mut is_truncated) = self.watch_page(table, after, wait_ms).await?;
        while is_truncated {
            let (next, is_next_truncated) = self.watch_page(table, all.position, 0).await?;
            all.position = next.position;
            all.rows.extend(next.rows);
            is_truncated = is_next_truncated;
        }
        Ok(all)
    }

    /// Waits for changes of a table after a position. Also returns whether the answer may be
    /// truncated.
    async fn watch_page(
        &self,
        table: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<(Rows, bool), StoreError> {
        let path = (self.adapter.store.watch_path)(table, after.version, wait_ms);
        let answer = self.client.get(&path, wait_ms + ANSWER_TIMEOUT_MS).await?;
        let rows = self.parse_rows(&answer)?;
        if rows.position.era != after.era {
            // Versions are comparable within one era only, so the changes do not follow `after`.
            return Err(StoreError::OtherEra);
        }
        let truncation_size = self.adapter.store.watch_truncation_size;
        let may_be_truncated = rows.rows.len() >= truncation_size.row_count
            || answer.body.len() >= truncation_size.byte_count;
        let is_truncated = may_be_truncated && rows.position > after;
        Ok((rows, is_truncated))
    }

    /// Writes a row if its position is still the expected one. The start of an era stands for a
    /// row that does not exist.
    pub async fn write(
        &self,
        row: &RowName,
        expected: StorePosition,
        value: &[u8],
    ) -> Result<WriteAnswer, StoreError> {
        let body = (self.adapter.store.encode_write)(row, expected.version, value);
        self.send_change(expected.era, body).await
    }

    /// Removes a row if its position is still the expected one.
    pub async fn remove(
        &self,
        row: &RowName,
        expected: StorePosition,
    ) -> Result<WriteAnswer, StoreError> {
        let body = (self.adapter.store.encode_remove)(row, expected.version);
        self.send_change(expected.era, body).await
    }

    /// Sends a conditional change that is based on data read in the given era.
    async fn send_change(&self, era: u64, body: Vec<u8>) -> Result<WriteAnswer, StoreError> {
        if era < self.eras.newest() {
            let reason = "change is based on data of an earlier store era";
            return Err(StoreError::NotDone(reason.to_owned()));
        }
        let path = self.adapter.store.write_path;
        let answer = self
            .client
            .post_bytes(path, Bytes::from(body), ANSWER_TIMEOUT_MS)
            .await?;
        let answered_era = self.eras.observe_headers(&answer.headers);
        let parsed = (self.adapter.store.parse_write)(answer.status, answered_era, &answer.body)?;
        match parsed {
            WriteAnswer::Refused(status) => Err(StoreError::NotDone(format!("status {status}"))),
            // The new era may have assigned the expected version to another change of the row.
            WriteAnswer::Done(_) if answered_era != era => Err(StoreError::OtherEra),
            WriteAnswer::Done(_) | WriteAnswer::Conflict => Ok(parsed),
        }
    }

    /// Parses the rows of an answer to a read or a watch.
    fn parse_rows(&self, answer: &Answer) -> Result<Rows, StoreError> {
        let era = self.eras.observe_headers(&answer.headers);
        if era < self.eras.newest() {
            // The answer was on its way when the store was restored from a backup.
            return Err(StoreError::OtherEra);
        }
        match (self.adapter.store.parse_read)(answer.status, era, &answer.body)? {
            ReadAnswer::Rows(rows) => Ok(rows),
            ReadAnswer::HistoryGone => Err(StoreError::HistoryGone),
            ReadAnswer::Refused(status) => Err(StoreError::NotDone(format!("status {status}"))),
        }
    }
}
