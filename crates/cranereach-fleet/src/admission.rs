//! Whether a call is sent to the worker that was chosen for it, waits, or is refused.
//!
//! Prompts of one model queue at its workers, whatever their routes. In overload the
//! queue stands where callers begin to be refused: were that the same for all, urgent
//! calls would wait behind less urgent ones. So the less urgent leave room: a queue
//! that would make urgent calls late is none that they add to. Those whose own aim is
//! far off wait for their turn meanwhile; the others are refused.

/// Share of the aim up to which a call is offered, by the time predicted until it begins.
const STREAM_LIMIT_SHARE: f64 = 1.3;

/// Share of the aim up to which a call is offered that is answered whole, by the time
/// predicted until its answer. Callers of a service all wait in one queue: in overload
/// it stands just there, and a longer one would make all answers late.
const WHOLE_LIMIT_SHARE: f64 = 0.7;

/// The same where routes of the service are more urgent, as a share of their shortest
/// aim: what is left is for them.
const HEADROOM_LIMIT_SHARE: f64 = 0.8;

/// Share of its aim for which a call waits that leaves room: as much again and more is
/// left for its prompt.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Longest and shortest pause between two looks of a call that waits, in milliseconds:
/// each look asks some owners.
const RECHECK_BOUNDS_MS: (f64, f64) = (40.0, 200.0);

/// What is to be done with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent.
    Send,
    /// It looks again after a time, in milliseconds.
    LookAgain(f64),
    /// It is refused.
    Refuse,
}

/// What a call may wait for.
///
/// ```
/// use cranereach_fleet::admission::Admission;
/// use cranereach_fleet::admission::Verdict;
///
/// let urgent = Admission { aim_ms: 800.0, urgent_aim_ms: None, is_whole: false };
/// let patient = Admission { aim_ms: 6_000.0, urgent_aim_ms: Some(800.0), is_whole: false };
/// assert_eq!(urgent.judge(850.0, 0.0), Verdict::Send);
/// assert_eq!(patient.judge(850.0, 0.0), Verdict::LookAgain(200.0));
/// assert_eq!(patient.judge(850.0, 1_500.0), Verdict::Send);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Time within which the call is to begin, in milliseconds.
    pub aim_ms: f64,
    /// Shortest such time of more urgent routes of its service, in milliseconds.
    pub urgent_aim_ms: Option<f64>,
    /// Whether it is answered whole: it is in time with its answer.
    pub is_whole: bool,
}

impl Admission {
    /// Judges a call that would begin, or be answered, within a time, and has waited
    /// for another, both in milliseconds.
    pub fn judge(&self, begins_in_ms: f64, waited_ms: f64) -> Verdict {
        let Some(urgent_aim_ms) = self.urgent_aim_ms.filter(|_| !self.is_whole) else {
            return self.judge_without_headroom(begins_in_ms);
        };
        let latest_begin_ms = self.aim_ms * HEADROOM_LIMIT_SHARE - waited_ms;
        if begins_in_ms > latest_begin_ms {
            return Verdict::Refuse;
        }
        let excess_ms = begins_in_ms - urgent_aim_ms * HEADROOM_LIMIT_SHARE;
        if excess_ms <= 0.0 || waited_ms >= self.aim_ms * MAX_WAIT_SHARE {
            return Verdict::Send;
        }
        Verdict::LookAgain(excess_ms.clamp(RECHECK_BOUNDS_MS.0, RECHECK_BOUNDS_MS.1))
    }

    /// Judges a call that leaves room for nobody.
    fn judge_without_headroom(&self, begins_in_ms: f64) -> Verdict {
        let limit_share = if self.is_whole {
            WHOLE_LIMIT_SHARE
        } else {
            STREAM_LIMIT_SHARE
        };
        if begins_in_ms <= self.aim_ms * limit_share {
            Verdict::Send
        } else {
            Verdict::Refuse
        }
    }
}
