//! Logging: JSON lines on standard output, written by a separate thread.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::o;

/// Maximum number of lines queued for the writer; further lines are dropped and counted.
const QUEUED_LINES_MAX_COUNT: usize = 1_024;

/// Creates the process's logger; `is_silent` discards everything.
pub fn make(instance: &str, is_silent: bool) -> Logger {
    if is_silent {
        return Logger::root(slog::Discard, o!());
    }
    let json = Mutex::new(slog_json::Json::default(io::stdout())).map(slog::Fuse);
    let written = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES_MAX_COUNT)
        .build()
        .fuse();
    Logger::root(written, o!("instance" => instance.to_owned()))
}
