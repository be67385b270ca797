//! Interface of platform adapters. An adapter provides names, formats and paths, and makes no
//! decisions.

use thiserror::Error;

use cranereach_fleet::configuration::Configuration;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::HeldModel;
use cranereach_fleet::worker::WorkerRecord;

/// Data from the platform that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{what}: {detail}")]
pub struct FormatError {
    /// What was being parsed.
    pub what: &'static str,
    /// What is wrong with it.
    pub detail: String,
}

/// Names of headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identifier of a request.
    pub request_id: &'static str,
    /// Time for which the caller waits for the answer, in milliseconds.
    pub deadline_ms: &'static str,
    /// Worker that the request is addressed to.
    pub expected_worker: &'static str,
    /// States that a worker did not run the request.
    pub not_run: &'static str,
    /// Load of a worker: running requests, waiting requests and slots.
    pub load: &'static str,
    /// States that a worker is leaving.
    pub leaving: &'static str,
    /// Worker that sent the answer.
    pub answered_by: &'static str,
    /// Requests per second that a worker accepts from all instances together.
    pub limit: &'static str,
    /// How many rejections the worker bears in one second.
    pub brittle: &'static str,
    /// Model, optionally followed by a slash and an adapter.
    pub model: &'static str,
    /// Token counts of the prompt and of the longest possible answer.
    pub tokens: &'static str,
    /// Number of tokens that the caller expects in the answer.
    pub expected_tokens: &'static str,
    /// Parts of the prompt, for matching prefixes that a worker has cached.
    pub prompt_parts: &'static str,
    /// Priority of the request at the worker.
    pub priority: &'static str,
    /// Last event of a stream that the caller has received.
    pub last_event: &'static str,
    /// Request that brought the first event of the stream that the caller takes up.
    pub resumed_request: &'static str,
    /// Client account of the request, as passed on to the worker.
    pub account: &'static str,
    /// Prefixes of the headers in which workers describe themselves.
    pub worker_header_prefixes: &'static [&'static str],
    /// Headers with such a prefix whose meaning is known.
    pub known_worker_headers: &'static [&'static str],
    /// Headers that only this system may set. They are removed from callers' requests.
    pub reserved: &'static [&'static str],
}

/// Name of a row in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowName {
    /// Table.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
}

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Content; empty if the row was removed.
    pub value: Vec<u8>,
    /// Position of the last change of the row.
    pub position: StorePosition,
    /// Whether the row was removed.
    pub is_gone: bool,
}

/// Rows as read from the store, as of one position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Newest position of the store.
    pub position: StorePosition,
    /// Time of the store's steady clock, in milliseconds, if it tells it.
    pub clock_ms: Option<u64>,
    /// Whether more rows follow the last one.
    pub has_more: bool,
}

impl Rows {
    /// Returns the position of a row, or the start of the era if there is no such row.
    pub fn position_of(&self, key: &str) -> StorePosition {
        let row = self.rows.iter().find(|row| row.key == key);
        row.map_or(StorePosition::start_of(self.position.era), |row| {
            row.position
        })
    }
}

/// Size of an answer from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSize {
    /// Number of rows.
    pub row_count: usize,
    /// Number of bytes.
    pub byte_count: usize,
}

/// Answer of the store to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// The rows.
    Rows(Rows),
    /// The store no longer has the requested change history.
    HistoryGone,
    /// The store refused with this HTTP status and executed nothing.
    Refused(u16),
}

/// Answer of the store to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// Executed; the row now has this position.
    Done(StorePosition),
    /// Rejected, because the row had another version.
    Conflict,
    /// The store refused with this HTTP status and executed nothing.
    Refused(u16),
}

/// Names and formats of the store's interface.
#[derive(Clone, Copy, Debug)]
pub struct StoreFormat {
    /// Table and key of the configuration.
    pub configuration: (&'static str, &'static str),
    /// Returns the failure domain that a row of the configuration's table marks for evacuation,
    /// from the row's key, or none for other rows.
    pub evacuated_domain: fn(key: &str) -> Option<&str>,
    /// Returns the key of the row that marks a domain for evacuation, for the operators' command.
    pub evacuation_key: fn(domain: &str) -> String,
    /// Table of the workers.
    pub workers: &'static str,
    /// Header, in lower case, in which each answer states the era of the store.
    pub era_header: &'static str,
    /// Returns the path for reading a table from a key on.
    pub read_path: fn(table: &str, from: &str) -> String,
    /// Returns the path for waiting for changes of a table after a version.
    pub watch_path: fn(table: &str, after: u64, wait_ms: u64) -> String,
    /// Size from which on the answer to a wait may be truncated.
    pub watch_truncation_size: AnswerSize,
    /// Parses the answer to a read or a wait, given in an era of the store.
    pub parse_read: fn(status: u16, era: u64, body: &[u8]) -> Result<ReadAnswer, FormatError>,
    /// Path of writes and removals.
    pub write_path: &'static str,
    /// Returns the body of a write of one row, conditional on the row's version.
    pub encode_write: fn(row: &RowName, expected_version: u64, value: &[u8]) -> Vec<u8>,
    /// Returns the body of a removal of one row, conditional on the row's version.
    pub encode_remove: fn(row: &RowName, expected_version: u64) -> Vec<u8>,
    /// Parses the answer to a write or removal, given in an era of the store.
    pub parse_write: fn(status: u16, era: u64, body: &[u8]) -> Result<WriteAnswer, FormatError>,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Loads a model or one of its adapters.
    Load,
    /// Unloads a model or one of its adapters.
    Unload,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerOrder {
    /// Kind.
    pub kind: OrderKind,
    /// Model.
    pub model: String,
    /// Adapter of the model, if the order is about one.
    pub adapter: Option<String>,
    /// Number of orders that the worker must have accepted so far; otherwise it rejects this one.
    pub expected_sequence: u64,
    /// Instance that sends the order, as the holder of the lease.
    pub holder: String,
    /// Fencing token of the lease.
    pub token: u64,
}

/// Answer of a worker to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted; the order is in progress.
    Taken,
    /// The worker is already in the ordered state.
    AlreadyDone,
    /// Another order is in progress, or others were accepted in the meantime.
    Conflict,
    /// The answer comes from another worker than the one addressed.
    OtherWorker,
    /// Any other answer, with its HTTP status.
    Refused(u16),
}

/// Report of a worker about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Start of the worker, in milliseconds of Unix time, if the report tells it.
    pub started_unix_ms: Option<u64>,
    /// Number of orders that the worker has accepted.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Models that the worker holds.
    pub models: Vec<HeldModel>,
    /// Adapters that are being loaded: model and adapter.
    pub pending: Vec<(String, String)>,
}

/// Names and formats of the workers' control interface.
#[derive(Clone, Copy, Debug)]
pub struct EngineFormat {
    /// Path to which orders are posted.
    pub order_path: &'static str,
    /// Returns the body of an order.
    pub encode_order: fn(&WorkerOrder) -> Vec<u8>,
    /// Interprets the HTTP status of the answer to an order.
    pub parse_order: fn(status: u16) -> OrderAnswer,
    /// Path of the report.
    pub report_path: &'static str,
    /// Parses a report.
    pub parse_report: fn(body: &[u8]) -> Result<WorkerReport, FormatError>,
}

/// Adapter for one platform. It registers itself and is chosen by name.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Name of the adapter, as used in settings.
    pub name: &'static str,
    /// Names of headers.
    pub headers: HeaderNames,
    /// Path at which the platform checks whether this instance is ready.
    pub ready_path: &'static str,
    /// Parses a configuration.
    pub parse_configuration: fn(&[u8]) -> Result<Configuration, FormatError>,
    /// Replaces the API keys in a configuration by their hashes, so that it can be passed on to
    /// peers.
    pub hash_keys: fn(&[u8]) -> Result<Vec<u8>, FormatError>,
    /// Parses the row of a worker.
    pub parse_worker: fn(id: &str, value: &[u8]) -> Result<WorkerRecord, FormatError>,
    /// Interface of the store.
    pub store: StoreFormat,
    /// Control interface of the workers.
    pub engine: EngineFormat,
}

inventory::collect!(Adapter);

/// Finds an adapter by name.
pub fn find(name: &str) -> Option<&'static Adapter> {
    inventory::iter::<Adapter>().find(|adapter| adapter.name == name)
}

/// Returns the names of all adapters.
pub fn names() -> Vec<&'static str> {
    inventory::iter::<Adapter>()
        .map(|adapter| adapter.name)
        .collect()
}
