//! Whether a worker is leaving, by its row, by its answers, or by the reports of peers.

use super::Worker;
use crate::departure::Departure;
use crate::departure::DepartureSource;

impl Worker {
    /// Whether the worker takes no new work, by its row or by a report.
    pub fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.departure.is_some()
    }

    /// Returns the key of the worker's incarnation if anyone reported it as leaving, whatever its
    /// row says.
    pub fn leaving_start(&self) -> Option<u64> {
        let reported = self
            .departure
            .filter(|known| known.reporter != DepartureSource::Copy);
        reported.map(|_| self.record.incarnation_key())
    }

    /// Takes a report that the worker is leaving; false if that is known.
    pub(crate) fn note_departure(&mut self, departure: Departure) -> bool {
        let known = self.departure;
        let is_new = known.is_none_or(|known| departure.overrides(known));
        if is_new {
            self.departure = Some(departure);
        }
        is_new
    }
}
