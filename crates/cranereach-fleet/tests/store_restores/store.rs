//! The simulated store: rows of workers, their changes, and backups to restore it from.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::store_position::StorePosition;

/// Age of the oldest backup that is kept, in milliseconds.
const BACKUP_AGE_MAX_MS: u64 = 8_000;

/// Content of a row: the start of the worker, and whether it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowState {
    pub start: u64,
    pub leaves: bool,
}

impl RowState {
    pub fn bytes(self) -> Vec<u8> {
        format!("{} {}", self.start, u8::from(self.leaves)).into_bytes()
    }

    pub fn read(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (start, leaves) = text.split_once(' ').unwrap();
        Self {
            start: start.parse().unwrap(),
            leaves: leaves == "1",
        }
    }
}

/// Version of a row and its content; none if the row has been removed.
type Row = (u64, Option<RowState>);

#[derive(Clone, Debug, Default)]
struct Snapshot {
    version: u64,
    rows: BTreeMap<usize, Row>,
}

/// The simulated store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub era: u64,
    current: Snapshot,
    backups: VecDeque<(u64, Snapshot)>,
    /// Time until which it answers no requests, in milliseconds.
    pub unavailable_until_ms: u64,
    /// Time at which it was last restored from a backup, in milliseconds.
    pub restored_at_ms: u64,
    /// Time at which it was last disturbed, in milliseconds.
    pub disturbed_at_ms: u64,
}

impl Store {
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.current.version)
    }

    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        now_ms < self.unavailable_until_ms
    }

    pub fn row(&self, worker: usize) -> Option<RowState> {
        self.current.rows.get(&worker).and_then(|row| row.1)
    }

    pub fn write(&mut self, worker: usize, row_state: Option<RowState>) {
        self.current.version += 1;
        let row = (self.current.version, row_state);
        self.current.rows.insert(worker, row);
    }

    pub fn keep_backup(&mut self, now_ms: u64) {
        while self
            .backups
            .front()
            .is_some_and(|(at_ms, _)| now_ms > at_ms + BACKUP_AGE_MAX_MS)
        {
            self.backups.pop_front();
        }
        self.backups.push_back((now_ms, self.current.clone()));
    }

    /// Restores the newest backup that has at least the given age, else the oldest one.
    pub fn restore(&mut self, now_ms: u64, age_ms: u64) {
        let is_old_enough = |(at_ms, _): &&(u64, Snapshot)| now_ms >= at_ms + age_ms;
        let backup = self.backups.iter().rev().find(is_old_enough);
        let backup = backup.or(self.backups.front()).cloned();
        if let Some((backup_ms, snapshot)) = backup {
            self.backups.retain(|(at_ms, _)| *at_ms <= backup_ms);
            self.current = snapshot;
        }
        self.era += 1;
        self.restored_at_ms = now_ms;
    }

    /// Returns the rows that were changed or removed after a version; none if the store has not
    /// reached that version.
    pub fn changes(&self, after: StorePosition) -> Option<Vec<ChangedRow>> {
        let changed = self
            .current
            .rows
            .iter()
            .filter(|(_, row)| row.0 > after.version);
        (after.version <= self.current.version)
            .then(|| changed.map(|row| self.changed_row(row)).collect())
    }

    pub fn all_rows(&self) -> Vec<ChangedRow> {
        let listed = self.current.rows.iter().filter(|(_, row)| row.1.is_some());
        listed.map(|row| self.changed_row(row)).collect()
    }

    fn changed_row(&self, (worker, (version, row_state)): (&usize, &Row)) -> ChangedRow {
        ChangedRow {
            key: format!("w{worker}"),
            position: StorePosition::new(self.era, *version),
            value: row_state.map(RowState::bytes),
        }
    }
}
