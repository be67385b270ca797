//! RAII guard for a request's queue entry or worker slot at the dispatcher.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::control_actor::notify;
use crate::dispatch_actor::AttemptEnded;
use crate::dispatch_actor::CallerLeft;
use crate::dispatch_actor::RequestArrived;
use crate::dispatch_actor::RouteDecision;
use crate::shared::Shared;
use cranereach_core::codes::ResultCode;
use cranereach_core::dispatch::queues::Waiting;

/// State of the request at the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchState {
    /// Not known to the dispatcher.
    Unregistered,
    /// Waiting in the queue for a worker.
    Queued,
    /// Occupying a slot of a worker.
    Running,
}

/// A request's queue entry or worker slot at the dispatcher; released on drop.
#[derive(Debug)]
pub(crate) struct DispatchGuard {
    shared: Arc<Shared>,
    queue_entry: Waiting,
    state: DispatchState,
    has_arrived_before: bool,
    /// Cost of what has been forwarded to the caller so far, in tokens.
    pub(crate) cost_tokens: f64,
}

impl DispatchGuard {
    /// Creates a guard for a request that is not at the dispatcher yet.
    pub(crate) fn new(shared: Arc<Shared>, queue_entry: Waiting) -> Self {
        Self {
            shared,
            queue_entry,
            state: DispatchState::Unregistered,
            has_arrived_before: false,
            cost_tokens: 0.0,
        }
    }

    /// Queues the request and waits until the dispatcher assigns a worker or refuses it.
    pub(crate) async fn admit(&mut self) -> RouteDecision {
        let (reply, routed) = oneshot::channel();
        let arrive = RequestArrived {
            waiting: self.queue_entry.clone(),
            is_retry: self.has_arrived_before,
            reply,
        };
        self.state = DispatchState::Queued;
        self.has_arrived_before = true;
        notify(&self.shared.dispatcher, arrive);
        let routed = routed.await.unwrap_or(RouteDecision::Refuse {
            code: ResultCode::Draining,
            retry_after_ms: 1_000,
        });
        self.state = if matches!(routed, RouteDecision::Send(_)) {
            DispatchState::Running
        } else {
            DispatchState::Unregistered
        };
        routed
    }

    /// Releases the worker slot; `whole` says whether the response was complete.
    pub(crate) fn release(&mut self, whole: bool) {
        if self.state == DispatchState::Running {
            let request = self.queue_entry.request;
            notify(
                &self.shared.dispatcher,
                AttemptEnded {
                    request,
                    cost_tokens: self.cost_tokens,
                    whole,
                },
            );
        }
        self.state = DispatchState::Unregistered;
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        match self.state {
            DispatchState::Unregistered => {}
            DispatchState::Queued => notify(
                &self.shared.dispatcher,
                CallerLeft(self.queue_entry.request),
            ),
            DispatchState::Running => self.release(false),
        }
    }
}
