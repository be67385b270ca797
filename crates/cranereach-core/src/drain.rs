//! Graceful shutdown: an instance reports unready, finishes its requests and then exits.

/// Time given to the load balancer to direct callers elsewhere, in milliseconds.
pub const BALANCER_GRACE_MS: u64 = 2_000;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No shutdown has been requested.
    Serving,
    /// The instance reports unready, but still accepts requests while the load balancer directs
    /// callers elsewhere.
    Unready,
    /// The instance refuses new requests and finishes those in flight.
    Finishing,
    /// No request is in flight, or the time limit has passed; the process may exit.
    Done,
}

/// State of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    requested_at_ms: Option<u64>,
}

impl Drain {
    /// Requests a shutdown; a second request has no effect.
    pub fn ask(&mut self, now_ms: u64) {
        self.requested_at_ms.get_or_insert(now_ms);
    }

    /// Returns the current phase; `limit_ms` limits the time since the shutdown was requested.
    ///
    /// ```
    /// use cranereach_core::drain::{Drain, Phase};
    ///
    /// let mut drain = Drain::default();
    /// drain.ask(0);
    /// assert_eq!(drain.phase(10, 1, None), Phase::Unready);
    /// assert_eq!(drain.phase(5_000, 1, None), Phase::Finishing);
    /// assert_eq!(drain.phase(5_000, 0, None), Phase::Done);
    /// ```
    pub fn phase(&self, now_ms: u64, in_flight_count: usize, limit_ms: Option<u64>) -> Phase {
        let Some(requested_at_ms) = self.requested_at_ms else {
            return Phase::Serving;
        };
        let passed_ms = now_ms.saturating_sub(requested_at_ms);
        if passed_ms < BALANCER_GRACE_MS {
            return Phase::Unready;
        }
        let out_of_time = limit_ms.is_some_and(|limit_ms| passed_ms >= limit_ms);
        if in_flight_count == 0 || out_of_time {
            Phase::Done
        } else {
            Phase::Finishing
        }
    }
}
