//! Whether a worker's row may describe an earlier start of the worker.
//!
//! A worker that starts again keeps its identity and its address. Until its new row has been
//! written and read, the known one describes the start before: another version of the software,
//! other models. Two observations show that before the row does: an end of the worker that this
//! instance saw, and the time of its start as the worker itself tells it.

use crate::freshness::OUTAGE_RECOVERY_MS;

/// Observations that contradict a worker's row.
///
/// ```
/// use cranereach_fleet::worker::RowDoubt;
///
/// let mut doubt = RowDoubt::default();
/// assert!(!doubt.is_doubtful(Some(10_000)));
/// doubt.note_end(9_000);
/// assert!(doubt.is_doubtful(Some(10_000)));
/// // A worker that runs has written its row again by then.
/// assert!(!doubt.is_doubtful(Some(12_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RowDoubt {
    /// When a connection to the worker last broke or was refused, in milliseconds.
    ended_at_ms: Option<u64>,
    /// Start that the worker told, if it is later than that of its row, in milliseconds of Unix
    /// time.
    told_start_unix_ms: Option<u64>,
}

impl RowDoubt {
    /// Records that a connection to the worker broke or was refused.
    pub fn note_end(&mut self, now_ms: u64) {
        self.ended_at_ms = Some(now_ms);
    }

    /// Returns the doubt about the row of a worker that has told a later start.
    pub(crate) fn of_later_start(told_start_unix_ms: u64) -> Self {
        Self {
            ended_at_ms: None,
            told_start_unix_ms: Some(told_start_unix_ms),
        }
    }

    /// Returns when a connection to the worker last broke or was refused, in milliseconds.
    pub(crate) fn ended_at_ms(&self) -> Option<u64> {
        self.ended_at_ms
    }

    /// Returns the start that the worker told, if it is later than that of its row, in milliseconds
    /// of Unix time.
    pub(crate) fn told_start_unix_ms(&self) -> Option<u64> {
        self.told_start_unix_ms
    }

    /// Whether the worker told a start, in milliseconds of Unix time, before its row came.
    pub(crate) fn is_told(&self, started_unix_ms: u64) -> bool {
        self.told_start_unix_ms == Some(started_unix_ms)
    }

    /// Returns what is left of the doubt once the row of another start is known, in milliseconds of
    /// Unix time: that of an earlier one than the worker told is outdated, too.
    pub(crate) fn after_row_of(self, started_unix_ms: u64) -> Self {
        Self {
            ended_at_ms: None,
            told_start_unix_ms: self
                .told_start_unix_ms
                .filter(|told_unix_ms| *told_unix_ms > started_unix_ms),
        }
    }

    /// Whether the row is known to describe an earlier start than the current one.
    pub fn is_outdated(&self) -> bool {
        self.told_start_unix_ms.is_some()
    }

    /// Whether the row may describe an earlier start than the current one, given when the list of
    /// workers is last known to have been complete, in milliseconds.
    pub fn is_doubtful(&self, list_as_of_ms: Option<u64>) -> bool {
        let is_since_end = |ended_at_ms| {
            list_as_of_ms.is_none_or(|as_of_ms| as_of_ms < ended_at_ms + OUTAGE_RECOVERY_MS)
        };
        self.is_outdated() || self.ended_at_ms.is_some_and(is_since_end)
    }
}
