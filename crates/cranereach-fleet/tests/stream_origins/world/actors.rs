//! Streams and instances of a world.

use super::members::Presence;
use cranereach_fleet::stream_origins::HistoryDuty;
use cranereach_fleet::stream_origins::StreamOrigins;

/// A stream that is running, or that waits to be taken up.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub key: u64,
    /// Version at which it began, and when.
    pub version: u64,
    pub began_ms: u64,
    /// Whether some later try ran at another version.
    pub is_mixed: bool,
    /// Instance that relays it now, or that broke it off.
    pub instance: usize,
    pub worker: u64,
    pub try_count: u32,
    pub will_break: bool,
}

pub struct Instance {
    pub origins: StreamOrigins,
    pub presence: Presence,
    pub list_lag_ms: u64,
    /// Live members at the last look.
    pub seen_members: u64,
    /// When it next asks whether there was one version only.
    pub asks_at_ms: u64,
    pub ask_interval_ms: u64,
    /// Whether those that answered last had just started, too.
    pub have_peers_started: bool,
    pub duty: HistoryDuty,
    /// Times that it has read the history since its start.
    pub history_read_count: u32,
    pub next_read_at_ms: u64,
}
