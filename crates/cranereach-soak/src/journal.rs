//! Collects the records of all parts of a run under one clock.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use crate::record::Component;
use crate::record::Disturbance;
use crate::record::Event;
use crate::record::Records;
use crate::record::RequestRecord;

/// Records of a run in progress.
#[derive(Debug)]
pub struct Journal {
    start: Instant,
    records: Mutex<Records>,
}

impl Journal {
    /// Starts the clock.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            records: Mutex::default(),
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.ms_since_start(Instant::now())
    }

    /// Converts an instant to milliseconds since the start.
    pub fn ms_since_start(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Records a request that ended for its caller.
    pub fn record_request(&self, record: RequestRecord) {
        self.lock().asked.push(record);
    }

    /// Records an event.
    pub fn record_event(&self, event: Event) {
        self.lock().events.push(event);
    }

    /// Records a disturbance that began at `from_ms` and ends now.
    pub fn record_disturbance(&self, whom: Component, is_planned: bool, from_ms: u64) {
        let to_ms = self.now_ms();
        self.lock().troubles.push(Disturbance {
            whom,
            is_planned,
            from_ms,
            to_ms,
        });
    }

    /// Takes all records out of the journal.
    pub fn take(&self) -> Records {
        std::mem::take(&mut *self.lock())
    }

    /// Locks the records, ignoring poisoning by a panic in another thread.
    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Journal {
    fn default() -> Self {
        Self::new()
    }
}
