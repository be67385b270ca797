//! A request's place at the dispatcher; given back when dropped.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::control_actor::tell;
use crate::dispatch_actor::Arrive;
use crate::dispatch_actor::End;
use crate::dispatch_actor::Left;
use crate::dispatch_actor::Routed;
use crate::shared::Shared;
use cranereach_core::codes::ResultCode;
use cranereach_core::dispatch::queues::Waiting;

/// How far the request is with the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Not there.
    Outside,
    /// Waiting for a worker.
    Waiting,
    /// Counted at a worker.
    Running,
}

/// A request's place at the dispatcher.
#[derive(Debug)]
pub(crate) struct Ticket {
    shared: Arc<Shared>,
    waiting: Waiting,
    place: Place,
    admitted_before: bool,
    /// What has been passed on so far, in tokens.
    pub(crate) cost_tokens: f64,
}

impl Ticket {
    /// Makes a ticket for a request that isn't at the dispatcher yet.
    pub(crate) fn new(shared: Arc<Shared>, waiting: Waiting) -> Self {
        Self {
            shared,
            waiting,
            place: Place::Outside,
            admitted_before: false,
            cost_tokens: 0.0,
        }
    }

    /// Waits for a worker, or for the refusal.
    pub(crate) async fn admit(&mut self) -> Routed {
        let (reply, routed) = oneshot::channel();
        let arrive = Arrive {
            waiting: self.waiting.clone(),
            is_again: self.admitted_before,
            reply,
        };
        self.place = Place::Waiting;
        self.admitted_before = true;
        tell(&self.shared.dispatcher, arrive);
        let routed = routed.await.unwrap_or(Routed::Refuse {
            code: ResultCode::Draining,
            retry_after_ms: 1_000,
        });
        self.place = if matches!(routed, Routed::Send(_)) {
            Place::Running
        } else {
            Place::Outside
        };
        routed
    }

    /// Gives the place at the worker back.
    pub(crate) fn end(&mut self, whole: bool) {
        if self.place == Place::Running {
            let request = self.waiting.request;
            tell(
                &self.shared.dispatcher,
                End {
                    request,
                    cost_tokens: self.cost_tokens,
                    whole,
                },
            );
        }
        self.place = Place::Outside;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        match self.place {
            Place::Outside => {}
            Place::Waiting => tell(&self.shared.dispatcher, Left(self.waiting.request)),
            Place::Running => self.end(false),
        }
    }
}
