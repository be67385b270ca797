//! Admission control: whether a call is sent to the worker chosen for it, waits, or is refused.
//!
//! Prompts for a model queue at its workers, whatever their routes. Under overload, the queue grows
//! up to the length at which calls are refused: if that were the same for all, urgent calls would
//! wait behind less urgent ones. So less urgent calls leave headroom: they aren't added to a queue
//! that would make urgent calls late. Those with enough time left until their own target wait in
//! the meantime; the others are refused.

/// Maximum predicted time until the answer begins, as a share of the target, at which a call is
/// sent.
const BEGIN_LIMIT_SHARE: f64 = 1.3;

/// Maximum predicted time until the complete answer, as a share of the target, at which a call is
/// sent that is answered as a whole. All calls of a service wait in one queue: under overload it
/// stays at just this length, and a longer one would make all answers late.
const WHOLE_LIMIT_SHARE: f64 = 0.7;

/// Maximum predicted time for a call whose service has more urgent routes: above this share of
/// their shortest target it waits, above this share of its own target it is refused. The rest is
/// headroom for the more urgent calls.
const HEADROOM_LIMIT_SHARE: f64 = 0.8;

/// Maximum time that a call waits to leave headroom, as a share of its target: more than as much
/// again is left for its prompt.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Shortest and longest time between two checks of a waiting call, in milliseconds: each check
/// queries the owners of several workers.
const RECHECK_BOUNDS_MS: (f64, f64) = (40.0, 200.0);

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it.
    Send,
    /// Check again after a time, in milliseconds.
    RecheckAfter(f64),
    /// Refuse it.
    Refuse,
}

/// Latency targets that decide on a call.
///
/// ```
/// use cranereach_fleet::admission::Admission;
/// use cranereach_fleet::admission::Verdict;
///
/// let urgent = Admission {
///     latency_target_ms: 800.0,
///     urgent_latency_target_ms: None,
///     is_whole: false,
/// };
/// let patient = Admission {
///     latency_target_ms: 6_000.0,
///     urgent_latency_target_ms: Some(800.0),
///     is_whole: false,
/// };
/// assert_eq!(urgent.judge(850.0, 0.0), Verdict::Send);
/// assert_eq!(patient.judge(850.0, 0.0), Verdict::RecheckAfter(200.0));
/// assert_eq!(patient.judge(850.0, 1_500.0), Verdict::Send);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Latency target of the call, in milliseconds: until its answer begins, or is complete if
    /// `is_whole`.
    pub latency_target_ms: f64,
    /// Shortest latency target among the more urgent routes of its service, in milliseconds; none
    /// if there are none.
    pub urgent_latency_target_ms: Option<f64>,
    /// Whether the call is answered as a whole, so that the target applies to the complete answer.
    pub is_whole: bool,
}

impl Admission {
    /// Decides on a call by the predicted time until its answer begins (or is complete if
    /// `is_whole`) and the time that it has waited, both in milliseconds.
    pub fn judge(&self, begins_in_ms: f64, waited_ms: f64) -> Verdict {
        let Some(urgent_latency_target_ms) =
            self.urgent_latency_target_ms.filter(|_| !self.is_whole)
        else {
            return self.judge_without_headroom(begins_in_ms);
        };
        let latest_begin_ms = self.latency_target_ms * HEADROOM_LIMIT_SHARE - waited_ms;
        if begins_in_ms > latest_begin_ms {
            return Verdict::Refuse;
        }
        let excess_ms = begins_in_ms - urgent_latency_target_ms * HEADROOM_LIMIT_SHARE;
        if excess_ms <= 0.0 || waited_ms >= self.latency_target_ms * MAX_WAIT_SHARE {
            return Verdict::Send;
        }
        Verdict::RecheckAfter(excess_ms.clamp(RECHECK_BOUNDS_MS.0, RECHECK_BOUNDS_MS.1))
    }

    /// Decides on a call that leaves no headroom for others.
    fn judge_without_headroom(&self, begins_in_ms: f64) -> Verdict {
        let limit_share = if self.is_whole {
            WHOLE_LIMIT_SHARE
        } else {
            BEGIN_LIMIT_SHARE
        };
        if begins_in_ms <= self.latency_target_ms * limit_share {
            Verdict::Send
        } else {
            Verdict::Refuse
        }
    }
}
