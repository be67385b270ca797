//! Logging: JSON lines on standard error, written by a dedicated thread.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings::LogLevel;

/// Capacity of the queue to the writer thread, in lines; further lines are
/// dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Creates the logger of a process.
///
/// ```
/// use cranereach_entry::settings::LogLevel;
///
/// let log = cranereach_entry::log::new_logger("entry-1", LogLevel::Off);
/// slog::info!(log, "not written");
/// ```
pub fn new_logger(instance: &str, level: LogLevel) -> Logger {
    let min_level = match level {
        LogLevel::Off => return Logger::root(slog::Discard, o!()),
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let json_drain = Mutex::new(slog_json::Json::default(io::stderr())).map(slog::Fuse);
    let async_drain = slog_async::Async::new(json_drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    let filtered_drain = slog::LevelFilter::new(async_drain, min_level).fuse();
    Logger::root(filtered_drain, o!("instance" => instance.to_owned()))
}
