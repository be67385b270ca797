//! Announcements of workers, in their answers, that they are leaving.
//!
//! An announcement is kept beside the worker's row and not in it: a row may have been written
//! before the worker began to leave, may arrive late, and may end and come back. It holds for the
//! incarnation of the worker that made it, and ends only with that incarnation. An incarnation is
//! one run of the worker's process, from its start on.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of unlisted incarnations remembered as leaving. One that was forgotten and is
/// listed again is known to be leaving only after its next answer says so.
const UNLISTED_MAX_COUNT: usize = 2_048;

/// Header value by which a worker announces that it is leaving.
const LEAVES: &[u8] = b"1";

/// Header value by which a worker says that it is not.
const STAYS: &[u8] = b"0";

/// What one answer announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureNotice {
    /// No departure: the header is missing, or says that the worker stays.
    Nothing,
    /// The worker is leaving.
    Leaves,
    /// The header can't be parsed, and is ignored.
    Unreadable,
}

/// Parses the values of the header in an answer; a single one that announces a departure is enough.
///
/// ```
/// use cranereach_fleet::departure::DepartureNotice;
/// use cranereach_fleet::departure::read;
///
/// assert_eq!(read([].into_iter()), DepartureNotice::Nothing);
/// assert_eq!(read([&b"1"[..]].into_iter()), DepartureNotice::Leaves);
/// assert_eq!(read([&b"0"[..]].into_iter()), DepartureNotice::Nothing);
/// assert_eq!(read([&b"true"[..]].into_iter()), DepartureNotice::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> DepartureNotice {
    let mut notice = DepartureNotice::Nothing;
    for value in values {
        match value.trim_ascii() {
            LEAVES => return DepartureNotice::Leaves,
            STAYS => {}
            _ => notice = DepartureNotice::Unreadable,
        }
    }
    notice
}

/// Source of the report that a worker is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureSource {
    /// The worker, in an answer to this instance.
    Worker,
    /// Another instance.
    Peer,
    /// A row of an earlier era of the store.
    Row,
    /// None: the departure is inferred, because the worker's row had ended before the store was
    /// restored from a backup that still contains it.
    Copy,
}

impl DepartureSource {
    /// Returns the name shown in logs and to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Worker => "worker",
            Self::Peer => "peer",
            Self::Row => "row",
            Self::Copy => "copy",
        }
    }
}

/// News between instances that an incarnation of a worker is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureNews {
    /// Key of the worker.
    pub worker: u64,
    /// Key of its incarnation.
    pub start: u64,
}

/// Report that a worker is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Since when this instance knows it, in milliseconds.
    pub since_ms: u64,
    /// Where the report came from.
    pub reporter: DepartureSource,
}

impl Departure {
    /// Whether this report replaces a known one: only a departure inferred from a restore is
    /// replaced, by an actual report.
    pub(crate) fn overrides(self, known: Self) -> bool {
        known.reporter == DepartureSource::Copy && self.reporter != DepartureSource::Copy
    }
}

/// Incarnations that are leaving and are not, or not yet, listed, by their keys.
#[derive(Clone, Debug, Default)]
pub struct UnlistedDepartures {
    by_incarnation: HashMap<u64, Departure>,
}

impl UnlistedDepartures {
    /// Records that an incarnation is leaving; false if that is known.
    pub(crate) fn keep(&mut self, incarnation: u64, departure: Departure) -> bool {
        let known = self.by_incarnation.get(&incarnation);
        if known.is_some_and(|known| !departure.overrides(*known)) {
            return false;
        }
        self.by_incarnation.insert(incarnation, departure);
        if self.by_incarnation.len() > UNLISTED_MAX_COUNT {
            self.forget_oldest();
        }
        true
    }

    /// Removes and returns what is known of an incarnation; its key is computed only if any are
    /// recorded.
    pub(crate) fn take(&mut self, incarnation: impl FnOnce() -> u64) -> Option<Departure> {
        if self.by_incarnation.is_empty() {
            return None;
        }
        self.by_incarnation.remove(&incarnation())
    }

    /// Forgets the incarnations recorded only to keep restored rows from bringing them back.
    pub(crate) fn forget_restored(&mut self) {
        self.by_incarnation
            .retain(|_, departure| departure.reporter != DepartureSource::Copy);
    }

    /// Counts the recorded incarnations.
    pub fn count(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Drops the oldest one; many may have been recorded in the same millisecond.
    fn forget_oldest(&mut self) {
        let oldest = self
            .by_incarnation
            .iter()
            .min_by_key(|(_, departure)| departure.since_ms);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
            self.by_incarnation.remove(&incarnation);
        }
    }
}
