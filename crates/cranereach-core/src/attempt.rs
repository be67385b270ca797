//! Retry decisions for one request: try another upstream, or end with a result code.
//!
//! [`Attempt`] is a state machine that follows one request through its attempts,
//! of which one is in progress at a time. It returns a code that says "not run"
//! only if no byte of the request can have been sent, or if the upstream said
//! explicitly that it did not run the request.

use crate::codes::ResultCode;
use crate::declarations::Repeatable;
use crate::retry_budget::RetryBudget;

/// Progress of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No byte of the request has been handed to a connection.
    Connecting,
    /// Bytes of the request may have been sent.
    Sent,
    /// The head of the answer has arrived.
    HeadReceived,
    /// Bytes of the answer have been sent to the caller.
    Relaying,
}

/// Event in the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection could not be made, or was closed before the request was sent.
    NotConnected,
    /// The request was handed to a connection.
    HandedToConnection,
    /// The upstream said that it did not run the request.
    RefusedByUpstream,
    /// The head of the answer arrived.
    Head,
    /// The first bytes of the answer were sent to the caller.
    FirstBytes,
    /// The answer is complete.
    Completed,
    /// The connection broke.
    Broken,
    /// The answer could not be parsed.
    Garbled,
    /// The deadline passed.
    DeadlinePassed,
}

/// Decision after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Continue the current attempt.
    Continue,
    /// Start another attempt at a different upstream.
    TryElsewhere,
    /// The request has ended with this code.
    End(ResultCode),
}

/// State of one request over all of its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    repeat: Repeatable,
    stage: Stage,
    deadline_at_ms: u64,
    ended: Option<ResultCode>,
    may_have_run_before: bool,
}

impl Attempt {
    /// Creates the state of a request that has not been sent.
    ///
    /// ```
    /// use cranereach_core::attempt::{Attempt, Event, Verdict};
    /// use cranereach_core::codes::ResultCode;
    /// use cranereach_core::declarations::Repeatable;
    /// use cranereach_core::retry_budget::RetryBudget;
    ///
    /// let mut attempt = Attempt::new(Repeatable::Unsafe, 1_000);
    /// let mut budget = RetryBudget::default();
    /// attempt.on(0, Event::HandedToConnection, &mut budget);
    /// let verdict = attempt.on(1, Event::Broken, &mut budget);
    /// assert_eq!(verdict, Verdict::End(ResultCode::OutcomeUnknown));
    /// ```
    pub fn new(repeat: Repeatable, deadline_at_ms: u64) -> Self {
        Self {
            repeat,
            stage: Stage::Connecting,
            deadline_at_ms,
            ended: None,
            may_have_run_before: false,
        }
    }

    /// Applies an event and returns the decision; once the request has ended, its code no longer
    /// changes.
    pub fn on(&mut self, now_ms: u64, event: Event, budget: &mut RetryBudget) -> Verdict {
        if let Some(code) = self.ended {
            return Verdict::End(code);
        }
        let verdict = self.decide(now_ms, event, budget);
        match verdict {
            Verdict::End(code) => self.ended = Some(code),
            Verdict::TryElsewhere => {
                self.may_have_run_before |= self.may_have_run(event);
                self.stage = Stage::Connecting;
            }
            Verdict::Continue => {}
        }
        verdict
    }

    /// Ends the request after a refusal by the queue and returns its code.
    ///
    /// The code is [`ResultCode::OutcomeUnknown`] if an earlier attempt may have run.
    pub fn refused(&mut self, code: ResultCode) -> ResultCode {
        let code = self.unknown_if_run_before(code);
        *self.ended.get_or_insert(code)
    }

    /// Decides about an event at the current stage.
    fn decide(&mut self, now_ms: u64, event: Event, budget: &mut RetryBudget) -> Verdict {
        match event {
            Event::HandedToConnection => self.advance(Stage::Sent),
            Event::Head => self.advance(Stage::HeadReceived),
            Event::FirstBytes => self.advance(Stage::Relaying),
            Event::Completed => Verdict::End(ResultCode::Served),
            Event::NotConnected if self.stage == Stage::Connecting => {
                self.retry_not_run(now_ms, budget, ResultCode::NoUpstream)
            }
            Event::RefusedByUpstream if self.stage <= Stage::HeadReceived => {
                self.retry_not_run(now_ms, budget, ResultCode::NoUpstream)
            }
            Event::NotConnected | Event::RefusedByUpstream | Event::Broken => {
                self.after_failure(now_ms, budget, ResultCode::OutcomeUnknown)
            }
            Event::Garbled => self.after_failure(now_ms, budget, ResultCode::GarbledAnswer),
            Event::DeadlinePassed => Verdict::End(self.past_deadline()),
        }
    }

    /// Moves to a stage unless a later one has been reached.
    fn advance(&mut self, stage: Stage) -> Verdict {
        self.stage = self.stage.max(stage);
        Verdict::Continue
    }

    /// Decides after an attempt that did not run: retries within the deadline and retry budget.
    ///
    /// If the budget is spent and no earlier attempt may have run, the code is `end`, or
    /// [`ResultCode::RetryBudgetSpent`] in place of [`ResultCode::NoUpstream`].
    fn retry_not_run(&self, now_ms: u64, budget: &mut RetryBudget, end: ResultCode) -> Verdict {
        if now_ms >= self.deadline_at_ms {
            return Verdict::End(self.past_deadline_unsent());
        }
        if budget.spend() {
            return Verdict::TryElsewhere;
        }
        let code = if end == ResultCode::NoUpstream {
            ResultCode::RetryBudgetSpent
        } else {
            end
        };
        Verdict::End(self.unknown_if_run_before(code))
    }

    /// Decides after a failure: an attempt that may have run is retried only if the call is safe
    /// to repeat and no bytes of the answer have been sent to the caller; otherwise the request
    /// ends with the code `end`.
    fn after_failure(&self, now_ms: u64, budget: &mut RetryBudget, end: ResultCode) -> Verdict {
        if self.stage == Stage::Relaying {
            return Verdict::End(ResultCode::BrokenMidway);
        }
        if self.stage == Stage::Connecting {
            return self.retry_not_run(now_ms, budget, ResultCode::NoUpstream);
        }
        let in_time = now_ms < self.deadline_at_ms;
        if self.repeat == Repeatable::Safe && in_time && budget.spend() {
            return Verdict::TryElsewhere;
        }
        Verdict::End(end)
    }

    /// Returns whether the attempt that this event ends may have run.
    fn may_have_run(&self, event: Event) -> bool {
        self.stage > Stage::Connecting && event != Event::RefusedByUpstream
    }

    /// Returns the code for a deadline that passes at the current stage.
    fn past_deadline(&self) -> ResultCode {
        if self.stage > Stage::Connecting {
            ResultCode::DeadlinePassedRunning
        } else {
            self.past_deadline_unsent()
        }
    }

    /// Returns the code for a deadline that passes before the current attempt is sent.
    fn past_deadline_unsent(&self) -> ResultCode {
        self.unknown_if_run_before(ResultCode::DeadlinePassed)
    }

    /// Returns the given "not run" code, or [`ResultCode::OutcomeUnknown`] if an earlier attempt
    /// may have run.
    fn unknown_if_run_before(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run_before {
            ResultCode::OutcomeUnknown
        } else {
            code
        }
    }
}
