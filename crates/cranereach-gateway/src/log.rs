//! Logs: JSON lines on standard output, written by a thread of their own.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Logger;
use slog::o;

/// Lines that may wait for the writer; more are dropped and counted.
const QUEUED_LINES_MAX_COUNT: usize = 1_024;

/// Makes the logger of a process; `is_silent` discards everything.
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
