//! Whether a worker leaves: by its row, by its answers, or by the word of others.

use super::Worker;
use crate::departure::Departure;
use crate::departure::Teller;

impl Worker {
    /// Whether it takes no new work: its row says so, or its answers.
    pub fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.departure.is_some()
    }

    /// Returns the key of its start if somebody said that it leaves, whatever its row does.
    pub fn leaving_start(&self) -> Option<u64> {
        let reported = self.departure.filter(|known| known.teller != Teller::Copy);
        reported.map(|_| self.record.start_key())
    }

    /// Takes that it leaves; false if that is known.
    pub(crate) fn note_departure(&mut self, departure: Departure) -> bool {
        let known = self.departure;
        let is_new = known.is_none_or(|known| departure.overrides(known));
        if is_new {
            self.departure = Some(departure);
        }
        is_new
    }
}
