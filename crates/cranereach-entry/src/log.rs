//! Logs: JSON lines on standard error, written by a thread of their own.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings::LogLevel;

/// Lines that may wait for the writer; more are dropped and counted.
const WAITING_LINES: usize = 4_096;

/// Makes the logger of a process.
///
/// ```
/// use cranereach_entry::settings::LogLevel;
///
/// let log = cranereach_entry::log::make("entry-1", LogLevel::Off);
/// slog::info!(log, "not written");
/// ```
pub fn make(instance: &str, level: LogLevel) -> Logger {
    let least = match level {
        LogLevel::Off => return Logger::root(slog::Discard, o!()),
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let json = Mutex::new(slog_json::Json::default(io::stderr())).map(slog::Fuse);
    let written = slog_async::Async::new(json)
        .chan_size(WAITING_LINES)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(written, least).fuse();
    Logger::root(filtered, o!("instance" => instance.to_owned()))
}
