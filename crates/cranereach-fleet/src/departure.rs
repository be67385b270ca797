//! The word of a worker, in its answers, that it leaves.
//!
//! It is kept beside the worker's row and not in it: a row may have been written before the
//! worker left, may come late, end, and come back. The word holds for the start of the worker
//! that said so, and ends only with that start.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// Starts of workers that aren't listed, of which it is remembered that they leave, at most.
/// One that is listed again after so many others have left is heard from once more.
const UNLISTED_MAX_COUNT: usize = 2_048;

/// Value by which a worker says that it leaves.
const LEAVES: &[u8] = b"1";

/// Value by which it says that it doesn't.
const STAYS: &[u8] = b"0";

/// What one answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Nothing of the kind, or that the worker stays.
    Nothing,
    /// The worker leaves.
    Leaves,
    /// What it says can't be read, and says nothing.
    Unreadable,
}

/// Reads the values that an answer names: one that says so is enough.
///
/// ```
/// use cranereach_fleet::departure::Said;
/// use cranereach_fleet::departure::read;
///
/// assert_eq!(read([].into_iter()), Said::Nothing);
/// assert_eq!(read([&b"1"[..]].into_iter()), Said::Leaves);
/// assert_eq!(read([&b"0"[..]].into_iter()), Said::Nothing);
/// assert_eq!(read([&b"true"[..]].into_iter()), Said::Unreadable);
/// ```
pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Said {
    let mut said = Said::Nothing;
    for value in values {
        match value.trim_ascii() {
            LEAVES => return Said::Leaves,
            STAYS => {}
            _ => said = Said::Unreadable,
        }
    }
    said
}

/// Who said that a worker leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// The worker, in an answer to this instance.
    Worker,
    /// Another instance.
    Peer,
    /// A row of an earlier era of the store.
    Row,
    /// Nobody: its row had ended before the store came back from a copy, and stands there
    /// again.
    Copy,
}

impl Teller {
    /// Returns the name that logs and operators see.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Worker => "worker",
            Self::Peer => "peer",
            Self::Row => "row",
            Self::Copy => "copy",
        }
    }
}

/// That a start of a worker leaves, as instances tell it each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureNews {
    /// Key of the worker.
    pub worker: u64,
    /// Key of its start.
    pub start: u64,
}

/// That a worker leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Since when it is known here, in milliseconds.
    pub since_ms: u64,
    /// By whose word.
    pub teller: Teller,
}

impl Departure {
    /// Whether it says more than what is known: somebody's word holds on, a copy's doesn't.
    pub(crate) fn overrides(self, known: Self) -> bool {
        known.teller == Teller::Copy && self.teller != Teller::Copy
    }
}

/// Starts of workers that leave and aren't listed, or not yet, by their keys.
#[derive(Clone, Debug, Default)]
pub struct UnlistedDepartures {
    by_incarnation: HashMap<u64, Departure>,
}

impl UnlistedDepartures {
    /// Remembers that a start leaves; false if it is known.
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

    /// Takes out what is known of a start; its key is made only where some are known.
    pub(crate) fn take(&mut self, incarnation: impl FnOnce() -> u64) -> Option<Departure> {
        if self.by_incarnation.is_empty() {
            return None;
        }
        self.by_incarnation.remove(&incarnation())
    }

    /// Forgets those that only a copy's rows would bring back.
    pub(crate) fn forget_restored(&mut self) {
        self.by_incarnation
            .retain(|_, departure| departure.teller != Teller::Copy);
    }

    /// Counts them.
    pub fn count(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Forgets one of the oldest: many may have come in the same millisecond.
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
