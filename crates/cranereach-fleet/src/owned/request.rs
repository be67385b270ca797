//! Requests at workers, as their senders report them to the owners.

use serde::Deserialize;
use serde::Serialize;

/// A request that is being sent to a worker, as its owner is notified of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SentRequest {
    /// Priority rank, zero first.
    pub rank: u8,
    /// Prefill time of the uncached part of its prompt, in milliseconds.
    pub unread_ms: f32,
    /// Expected time for which it occupies a slot, in milliseconds.
    pub stay_ms: f32,
    /// Maximum number of tokens that it holds in the KV cache: the prompt and the longest answer.
    pub held_tokens: u32,
    /// Time until its deadline, after which it no longer counts as open, in milliseconds.
    pub ends_within_ms: u32,
    /// Maximum pause in streams of the worker's service, in milliseconds; zero for no limit.
    pub gap_aim_ms: u32,
    /// Tokens per event of those streams; zero if unknown.
    pub event_tokens: u32,
    /// Time for which it is delayed before it is sent, in milliseconds.
    pub send_in_ms: u32,
    /// Whether it is suspected of crashing workers and must not run beside other suspects (see
    /// [`crate::quarantine`]).
    pub runs_alone: bool,
}

/// Maximum accepted for a reported time, in milliseconds.
const REPORTED_TIME_MAX_MS: f32 = 600_000.0;

impl SentRequest {
    /// Returns a copy with its times clamped, since values from the network may be implausible.
    pub(super) fn bounded(self) -> Self {
        let bounded_ms = |reported_ms: f32| {
            let finite_ms = if reported_ms.is_finite() {
                reported_ms
            } else {
                0.0
            };
            finite_ms.clamp(0.0, REPORTED_TIME_MAX_MS)
        };
        Self {
            unread_ms: bounded_ms(self.unread_ms),
            stay_ms: bounded_ms(self.stay_ms),
            ends_within_ms: self.ends_within_ms.min(REPORTED_TIME_MAX_MS as u32),
            send_in_ms: self.send_in_ms.min(REPORTED_TIME_MAX_MS as u32),
            ..self
        }
    }
}

/// Outcome of a request at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer was complete.
    Whole,
    /// The answer was complete, with a pause longer than the target of its route.
    Paused,
    /// The request failed after it was sent.
    Failed,
    /// The worker could not be reached.
    Unreachable,
    /// The outcome says nothing about the worker: the caller left, or the worker returned the
    /// request.
    Neutral,
}
