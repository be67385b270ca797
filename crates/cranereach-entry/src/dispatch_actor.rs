//! The actor that owns the dispatcher and replies to the requests waiting for it.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use xtra::Context;
use xtra::Handler;

use crate::shared::Shared;
use cranereach_core::codes::ResultCode;
use cranereach_core::demand::TargetDemand;
use cranereach_core::dispatch::Action;
use cranereach_core::dispatch::DispatchOptions;
use cranereach_core::dispatch::Dispatcher;
use cranereach_core::dispatch::queues::Waiting;
use cranereach_core::dispatch::workers::ListedWorker;
use cranereach_core::dispatch::workers::WorkerReport;
use cranereach_core::names::AccountName;
use cranereach_core::names::InstanceId;
use cranereach_core::names::RequestId;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;
use cranereach_wire::peer::DigestPart;

/// Decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it to this worker.
    Send(WorkerId),
    /// Reject it with this result code.
    Refuse {
        /// Result code of the rejection.
        code: ResultCode,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Asks for a worker for a request.
#[derive(Debug)]
pub struct RequestArrived {
    /// The request.
    pub waiting: Waiting,
    /// Whether an earlier attempt of the request failed.
    pub is_retry: bool,
    /// Receives the decision.
    pub reply: oneshot::Sender<RouteDecision>,
}

/// Reports the end of an attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Actual cost, in tokens.
    pub cost_tokens: f64,
    /// Whether the answer was received completely.
    pub whole: bool,
}

/// Reports that the caller of a waiting request has disconnected.
#[derive(Clone, Copy, Debug)]
pub struct CallerLeft(pub RequestId);

/// Reports that a worker could not be reached.
#[derive(Clone, Debug)]
pub struct WorkerUnreachable(pub WorkerId);

/// Reports that a worker refused a request because the target isn't resident on it.
#[derive(Clone, Debug)]
pub struct NotResident {
    /// The worker.
    pub worker: WorkerId,
    /// The target.
    pub target: TargetName,
}

/// Delivers the workers on the platform's instance list.
#[derive(Clone, Debug)]
pub struct WorkersListed(pub Vec<ListedWorker>);

/// Delivers reports of workers polled by this instance.
#[derive(Clone, Debug)]
pub struct WorkerReports(pub Vec<WorkerReport>);

/// Delivers the parts of a peer's digest.
#[derive(Clone, Debug)]
pub struct PeerParts {
    /// Peer that sent the digest.
    pub sender: InstanceId,
    /// Parts of the digest.
    pub parts: Vec<DigestPart>,
}

/// Reports how long a load took, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LoadCompleted(pub u64);

/// Triggers the periodic work of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// Requests the dispatcher's contribution to this instance's digest.
#[derive(Clone, Copy, Debug)]
pub struct CollectDigest;

/// The dispatcher's contribution to this instance's digest.
#[derive(Clone, Debug, Default)]
pub struct DispatchDigest {
    /// Requests that this instance has outstanding at each worker.
    pub outstanding: Vec<(WorkerId, u32)>,
    /// Demand per target.
    pub demand: Vec<TargetDemand>,
    /// Time at which each target was last requested.
    pub used_at_ms: Vec<(TargetName, u64)>,
    /// Total cost served per account, in tokens.
    pub served: Vec<(AccountName, f64)>,
    /// Requests waiting in the queues.
    pub waiting_count: usize,
    /// Requests running at upstreams.
    pub running_count: usize,
}

/// Actor that owns the dispatcher.
#[derive(Debug, xtra::Actor)]
pub struct DispatchActor {
    shared: Arc<Shared>,
    inner: Dispatcher,
    replies: HashMap<RequestId, oneshot::Sender<RouteDecision>>,
    peers_served: HashMap<(InstanceId, AccountName), f64>,
    actions: Vec<Action>,
}

impl DispatchActor {
    /// Creates the actor.
    pub fn new(shared: Arc<Shared>, options: DispatchOptions) -> Self {
        Self {
            shared,
            inner: Dispatcher::new(options),
            replies: HashMap::new(),
            peers_served: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Executes the actions of the dispatcher: replies to the waiting requests.
    fn execute_actions(&mut self) {
        while let Some(action) = self.actions.pop() {
            let (request, decision) = match action {
                Action::Send { request, worker } => (request, RouteDecision::Send(worker)),
                Action::Refuse {
                    request,
                    code,
                    retry_after_ms,
                } => (
                    request,
                    RouteDecision::Refuse {
                        code,
                        retry_after_ms,
                    },
                ),
            };
            let Some(reply) = self.replies.remove(&request) else {
                continue;
            };
            if let Err(RouteDecision::Send(_)) = reply.send(decision) {
                // The caller has disconnected in the meantime: free the slot.
                let now_ms = self.shared.now_ms();
                self.inner
                    .ended(now_ms, request, 0.0, false, &mut self.actions);
            }
        }
    }

    /// Applies one part of a peer's digest.
    fn apply_part(&mut self, now_ms: u64, sender: &InstanceId, part: DigestPart) {
        match part {
            DigestPart::Outstanding(worker, count) => {
                self.inner.record_peer_load(now_ms, sender, &worker, count);
            }
            DigestPart::Report(report) => self.inner.reported(now_ms, &report, &mut self.actions),
            DigestPart::Served(account, total_tokens) => {
                self.record_peer_served(sender, &account, total_tokens);
            }
            DigestPart::Head(_)
            | DigestPart::Demand(_)
            | DigestPart::Epoch(..)
            | DigestPart::Leaving => {}
        }
    }

    /// Charges an account for the tokens that a peer has served since its last digest.
    ///
    /// Digests carry running totals, so the first one from a peer charges nothing.
    fn record_peer_served(
        &mut self,
        sender: &InstanceId,
        account: &AccountName,
        total_tokens: f64,
    ) {
        let known = self
            .peers_served
            .insert((sender.clone(), account.clone()), total_tokens);
        let added_tokens = total_tokens - known.unwrap_or(total_tokens);
        if added_tokens > 0.0 {
            let share = self.inner.queues().share_of(account).unwrap_or(1.0);
            self.inner.peer_served(account, added_tokens, share);
        }
    }
}

impl Handler<RequestArrived> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: RequestArrived, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        self.replies.insert(message.waiting.request, message.reply);
        if message.is_retry {
            self.inner
                .requeue(now_ms, message.waiting, &mut self.actions);
        } else {
            self.inner
                .arrive(now_ms, message.waiting, &mut self.actions);
        }
        self.execute_actions();
    }
}

impl Handler<AttemptEnded> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: AttemptEnded, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        self.inner.ended(
            now_ms,
            message.request,
            message.cost_tokens,
            message.whole,
            &mut self.actions,
        );
        self.execute_actions();
    }
}

impl Handler<CallerLeft> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: CallerLeft, _ctx: &mut Context<Self>) {
        self.replies.remove(&message.0);
        if !self.inner.caller_disconnected(message.0) {
            // The request was sent at the same moment: free the slot.
            let now_ms = self.shared.now_ms();
            self.inner
                .ended(now_ms, message.0, 0.0, false, &mut self.actions);
            self.execute_actions();
        }
    }
}

impl Handler<WorkerUnreachable> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: WorkerUnreachable, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        self.inner.workers_mut().avoid(now_ms, &message.0);
    }
}

impl Handler<NotResident> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: NotResident, _ctx: &mut Context<Self>) {
        self.inner
            .workers_mut()
            .not_resident(&message.worker, &message.target);
    }
}

impl Handler<WorkersListed> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: WorkersListed, _ctx: &mut Context<Self>) {
        self.inner.workers_mut().set_workers(message.0);
    }
}

impl Handler<WorkerReports> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: WorkerReports, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        for report in &message.0 {
            self.inner.reported(now_ms, report, &mut self.actions);
        }
        self.execute_actions();
    }
}

impl Handler<PeerParts> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: PeerParts, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        for part in message.parts {
            self.apply_part(now_ms, &message.sender, part);
        }
        self.execute_actions();
    }
}

impl Handler<LoadCompleted> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: LoadCompleted, _ctx: &mut Context<Self>) {
        self.inner.record_load_time(message.0);
    }
}

impl Handler<Tick> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _ctx: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        self.inner.tick(now_ms, &mut self.actions);
        self.execute_actions();
        let metrics = &self.shared.metrics;
        metrics
            .queue_waiting
            .set(self.inner.queues().waiting_count() as i64);
        metrics
            .upstream_running
            .set(self.inner.running_count() as i64);
        metrics
            .resident_targets
            .set(self.inner.workers().target_count() as i64);
    }
}

impl Handler<CollectDigest> for DispatchActor {
    type Return = DispatchDigest;

    async fn handle(
        &mut self,
        _message: CollectDigest,
        _ctx: &mut Context<Self>,
    ) -> DispatchDigest {
        let now_ms = self.shared.now_ms();
        DispatchDigest {
            outstanding: self.inner.workers().own_outstanding(),
            demand: self.inner.demand(now_ms),
            used_at_ms: self.inner.last_request_times().collect(),
            served: self
                .inner
                .served_tokens()
                .iter()
                .map(|(account, tokens)| (account.clone(), *tokens))
                .collect(),
            waiting_count: self.inner.queues().waiting_count(),
            running_count: self.inner.running_count(),
        }
    }
}
