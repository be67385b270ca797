//! What a failure means for one request: try elsewhere, or tell the caller.
//!
//! The machine follows how far an attempt has got. A code that says "not run"
//! is reachable only before the first byte of the request could have left, or
//! on the upstream's explicit word that it did not run it.

use crate::codes::ResultCode;
use crate::declarations::Repeatable;
use crate::retry_budget::RetryBudget;

/// How far the present attempt has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No byte of the request has been handed to a connection.
    Connecting,
    /// Bytes may have left.
    Sent,
    /// The head of the answer has come.
    HeadReceived,
    /// Bytes of the answer have been passed to the caller.
    Relaying,
}

/// What happened to the present attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection could not be made, or closed with the request unsent.
    NotConnected,
    /// The request was handed to a connection.
    Handed,
    /// The upstream said that it did not run the request.
    RefusedByUpstream,
    /// The head of an answer came.
    Head,
    /// The first bytes of the answer went to the caller.
    FirstBytes,
    /// The answer ended whole.
    Whole,
    /// The connection broke.
    Broken,
    /// The answer makes no sense.
    Garbled,
    /// The deadline passed.
    DeadlinePassed,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Go on with the present attempt.
    Continue,
    /// Start another attempt at another upstream.
    TryElsewhere,
    /// The request has ended with this code.
    End(ResultCode),
}

/// Follows one request over its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    repeat: Repeatable,
    stage: Stage,
    deadline_at_ms: u64,
    ended: Option<ResultCode>,
    may_have_run_before: bool,
}

impl Attempt {
    /// Starts to follow a request.
    ///
    /// ```
    /// use cranereach_core::attempt::{Attempt, Event, Verdict};
    /// use cranereach_core::codes::ResultCode;
    /// use cranereach_core::declarations::Repeatable;
    /// use cranereach_core::retry_budget::RetryBudget;
    ///
    /// let mut attempt = Attempt::new(Repeatable::Unsafe, 1_000);
    /// let mut budget = RetryBudget::default();
    /// attempt.on(0, Event::Handed, &mut budget);
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

    /// Takes an event and says what to do; after the end nothing changes.
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

    /// Returns the code of a refusal at the queue, true to earlier attempts.
    pub fn refused(&mut self, code: ResultCode) -> ResultCode {
        let code = self.unknown_if_run_before(code);
        *self.ended.get_or_insert(code)
    }

    /// Judges one event at the present stage.
    fn decide(&mut self, now_ms: u64, event: Event, budget: &mut RetryBudget) -> Verdict {
        match event {
            Event::Handed => self.advance(Stage::Sent),
            Event::Head => self.advance(Stage::HeadReceived),
            Event::FirstBytes => self.advance(Stage::Relaying),
            Event::Whole => Verdict::End(ResultCode::Served),
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

    /// Moves to a later stage.
    fn advance(&mut self, stage: Stage) -> Verdict {
        self.stage = self.stage.max(stage);
        Verdict::Continue
    }

    /// This attempt did not run: another may follow, within deadline and budget.
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

    /// This attempt may have run: only a safe call that passed nothing goes on.
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

    /// Whether the attempt that this event ends may have run.
    fn may_have_run(&self, event: Event) -> bool {
        self.stage > Stage::Connecting && event != Event::RefusedByUpstream
    }

    /// Code of a deadline that passed at the present stage.
    fn past_deadline(&self) -> ResultCode {
        if self.stage > Stage::Connecting {
            ResultCode::DeadlinePassedRunning
        } else {
            self.past_deadline_unsent()
        }
    }

    /// Code of a deadline that passed before this attempt was sent.
    fn past_deadline_unsent(&self) -> ResultCode {
        self.unknown_if_run_before(ResultCode::DeadlinePassed)
    }

    /// Keeps a "not run" code only when no earlier attempt may have run.
    fn unknown_if_run_before(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run_before {
            ResultCode::OutcomeUnknown
        } else {
            code
        }
    }
}
