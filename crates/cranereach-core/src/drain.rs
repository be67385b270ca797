//! Planned stop: unready first, then finish, then go.

/// Time that the balancer is given to move callers away, in milliseconds.
pub const BALANCER_GRACE_MS: u64 = 2_000;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// Unready, but still accepting while the balancer moves callers away.
    Announced,
    /// Accepting nothing new; finishing what is in flight.
    Finishing,
    /// Nothing is in flight: the process may exit.
    Done,
}

/// Follows one planned stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    requested_at_ms: Option<u64>,
}

impl Drain {
    /// Takes a request to stop; a second one changes nothing.
    pub fn ask(&mut self, now_ms: u64) {
        self.requested_at_ms.get_or_insert(now_ms);
    }

    /// Returns the phase.
    ///
    /// ```
    /// use cranereach_core::drain::{Drain, Phase};
    ///
    /// let mut drain = Drain::default();
    /// drain.ask(0);
    /// assert_eq!(drain.phase(10, 1, None), Phase::Announced);
    /// assert_eq!(drain.phase(5_000, 1, None), Phase::Finishing);
    /// assert_eq!(drain.phase(5_000, 0, None), Phase::Done);
    /// ```
    pub fn phase(&self, now_ms: u64, in_flight_count: usize, limit_ms: Option<u64>) -> Phase {
        let Some(requested_at_ms) = self.requested_at_ms else {
            return Phase::Serving;
        };
        let passed_ms = now_ms.saturating_sub(requested_at_ms);
        if passed_ms < BALANCER_GRACE_MS {
            return Phase::Announced;
        }
        let out_of_time = limit_ms.is_some_and(|limit_ms| passed_ms >= limit_ms);
        if in_flight_count == 0 || out_of_time {
            Phase::Done
        } else {
            Phase::Finishing
        }
    }
}
