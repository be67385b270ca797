//! Admission control, scheduling and routing of requests on one entry instance.
//!
//! [`Dispatcher`] handles arriving requests, ended attempts, worker reports and
//! timer ticks, and returns [`Action`]s: send a request to a worker, or refuse it
//! with a result code and a Retry-After time. Waiting requests are kept in
//! [`queues`], the state of the workers in [`workers`].

pub mod queues;
mod waits;
pub mod workers;

use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::queues::Queues;
use self::queues::Waiting;
use self::waits::clamp_retry;
use self::workers::WorkerReport;
use self::workers::Workers;
use crate::codes::ResultCode;
use crate::demand::DemandMeter;
use crate::demand::TargetDemand;
use crate::names::AccountName;
use crate::names::FailureDomain;
use crate::names::InstanceId;
use crate::names::RequestId;
use crate::names::TargetName;
use crate::names::WorkerId;
use crate::order::OrderPolicy;
use crate::route::RoutePolicy;

/// Load time assumed until a load has been measured, in milliseconds.
const INITIAL_LOAD_MS: u64 = 3_000;

/// Time after its last request for which a target that no worker holds counts as demand, in ms.
const UNSERVED_DEMAND_TTL_MS: u64 = 10_000;

/// Dispatcher options, which differ between deployments.
#[derive(Clone, Debug)]
pub struct DispatchOptions {
    /// Policy that orders the requests within a class.
    pub order: &'static OrderPolicy,
    /// Policy that chooses the worker for a request.
    pub route: &'static RoutePolicy,
    /// Whether to refuse at once requests that can't start before their deadline.
    pub refuses_early: bool,
    /// Failure domain of this instance.
    pub domain: FailureDomain,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to this worker.
    Send {
        /// The request.
        request: RequestId,
        /// Worker that gets the request.
        worker: WorkerId,
    },
    /// Refuse the request now with this code.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason for the refusal.
        code: ResultCode,
        /// Time after which a retry may succeed, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// A request that an upstream is processing.
#[derive(Clone, Debug)]
struct Running {
    account: AccountName,
    target: TargetName,
    worker: WorkerId,
    share: f64,
    charged_tokens: f64,
    sent_at_ms: u64,
}

/// Recent requests for a target that no worker holds.
#[derive(Clone, Copy, Debug)]
struct UnservedDemand {
    first_at_ms: u64,
    last_at_ms: u64,
}

/// Admission control, scheduling and routing of one entry instance.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
    queues: Queues,
    workers: Workers,
    running: HashMap<RequestId, Running>,
    demand: DemandMeter,
    used_at_ms: HashMap<TargetName, u64>,
    unserved: HashMap<TargetName, UnservedDemand>,
    served_tokens: HashMap<AccountName, f64>,
    load_ms: f64,
    random: SmallRng,
}

impl Dispatcher {
    /// Creates a dispatcher without workers and waiting requests.
    pub fn new(options: DispatchOptions) -> Self {
        Self {
            queues: Queues::new(options.order),
            workers: Workers::default(),
            running: HashMap::new(),
            demand: DemandMeter::default(),
            used_at_ms: HashMap::new(),
            unserved: HashMap::new(),
            served_tokens: HashMap::new(),
            load_ms: INITIAL_LOAD_MS as f64,
            random: SmallRng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Returns the state of the workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns the state of the workers, for updates.
    pub fn workers_mut(&mut self) -> &mut Workers {
        &mut self.workers
    }

    /// Returns the queues of waiting requests.
    pub fn queues(&self) -> &Queues {
        &self.queues
    }

    /// Returns how many requests upstreams are processing.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Handles a new request and appends the resulting actions.
    pub fn arrive(&mut self, now_ms: u64, waiting: Waiting, actions: &mut Vec<Action>) {
        let target = waiting.target.clone();
        self.demand.arrived(now_ms, &target);
        self.used_at_ms.insert(target.clone(), now_ms);
        self.record_unserved(now_ms, &target);
        if let Some(refusal) = self.refusal(now_ms, &waiting) {
            actions.push(refusal);
            return;
        }
        self.queues.push(waiting);
        self.send_waiting_for(now_ms, &target, actions);
    }

    /// Puts a request back into its queue for another attempt, without the admission check.
    pub fn requeue(&mut self, now_ms: u64, waiting: Waiting, actions: &mut Vec<Action>) {
        let target = waiting.target.clone();
        self.queues.push(waiting);
        self.send_waiting_for(now_ms, &target, actions);
    }

    /// Handles the end of an attempt at an upstream and charges its actual cost.
    ///
    /// `complete` says whether the whole answer arrived; only then does its duration
    /// count towards the mean service time.
    pub fn ended(
        &mut self,
        now_ms: u64,
        request: RequestId,
        cost_tokens: f64,
        complete: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        self.workers.ended(&running.worker, request);
        let correction = cost_tokens - running.charged_tokens;
        self.queues
            .charge(&running.account, correction, running.share);
        *self.served_tokens.entry(running.account).or_default() += cost_tokens;
        if complete {
            let service_ms = now_ms.saturating_sub(running.sent_at_ms) as f64;
            self.demand.served(now_ms, &running.target, service_ms);
        }
        self.fill_worker(now_ms, &running.worker, actions);
    }

    /// Removes a waiting request whose caller has disconnected; returns whether it was waiting.
    pub fn caller_disconnected(&mut self, request: RequestId) -> bool {
        self.queues.remove(request).is_some()
    }

    /// Handles a worker's report.
    pub fn reported(&mut self, now_ms: u64, report: &WorkerReport, actions: &mut Vec<Action>) {
        self.workers.reported(now_ms, report);
        for target in &report.resident {
            self.unserved.remove(target);
        }
        self.fill_worker(now_ms, &report.worker, actions);
    }

    /// Charges an account the cost that a peer has served to it since the peer's previous message.
    pub fn peer_served(&mut self, account: &AccountName, cost_tokens: f64, share: f64) {
        self.queues.charge(account, cost_tokens, share);
    }

    /// Updates the moving average of load times with a measured one, in milliseconds.
    pub fn record_load_time(&mut self, load_ms: u64) {
        self.load_ms += 0.3 * (load_ms as f64 - self.load_ms);
    }

    /// Refuses requests whose start deadline has passed and sends those that workers can now take.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for waiting in self.queues.take_overdue(now_ms) {
            let code = if self.workers.holders(&waiting.target).next().is_some() {
                ResultCode::DeadlinePassed
            } else {
                ResultCode::NotResident
            };
            let retry_after_ms = clamp_retry(self.expected_wait_ms(now_ms, &waiting));
            actions.push(Action::Refuse {
                request: waiting.request,
                code,
                retry_after_ms,
            });
        }
        for target in self.queues.waiting_targets() {
            self.send_waiting_for(now_ms, &target, actions);
        }
    }

    /// Returns this instance's demand per target, for its digest to the peers.
    pub fn demand(&self, now_ms: u64) -> Vec<TargetDemand> {
        self.demand
            .targets()
            .map(|target| self.demand_of(now_ms, target))
            .filter(|demand| demand.concurrent_count > 0.001 || demand.waiting_count > 0)
            .collect()
    }

    /// Returns the time of the last request for each target on this instance.
    pub fn last_request_times(&self) -> impl Iterator<Item = (TargetName, u64)> {
        self.used_at_ms
            .iter()
            .map(|(target, at_ms)| (target.clone(), *at_ms))
    }

    /// Returns the total cost that this instance has served to each account, in tokens.
    pub fn served_tokens(&self) -> &HashMap<AccountName, f64> {
        &self.served_tokens
    }

    /// Records how many outstanding requests a peer has at a worker.
    pub fn record_peer_load(
        &mut self,
        now_ms: u64,
        peer: &InstanceId,
        worker: &WorkerId,
        outstanding_count: u32,
    ) {
        self.workers
            .record_peer_load(now_ms, peer, worker, outstanding_count);
    }

    /// Returns the demand for one target.
    ///
    /// Callers that were recently refused because no worker holds the target count
    /// together as one waiting request.
    fn demand_of(&self, now_ms: u64, target: &TargetName) -> TargetDemand {
        let (waiting_count, arrived_ms) = self.queues.waiting_for(target);
        let is_fresh = |unserved: &&UnservedDemand| {
            now_ms.saturating_sub(unserved.last_at_ms) < UNSERVED_DEMAND_TTL_MS
        };
        let unserved = self.unserved.get(target).filter(is_fresh);
        let oldest_ms = arrived_ms
            .into_iter()
            .chain(unserved.map(|unserved| unserved.first_at_ms))
            .min();
        TargetDemand {
            target: target.clone(),
            concurrent_count: self.demand.concurrent_count(now_ms, target) as f32,
            waiting_count: waiting_count + u32::from(unserved.is_some()),
            oldest_wait_ms: oldest_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms) as u32),
        }
    }

    /// Records a request for a target that no worker holds.
    ///
    /// The demand outlasts the refusal of the caller, so that a target that takes
    /// longer to load than callers wait is still loaded.
    fn record_unserved(&mut self, now_ms: u64, target: &TargetName) {
        if self.workers.holders(target).next().is_some() {
            return;
        }
        let fresh = UnservedDemand {
            first_at_ms: now_ms,
            last_at_ms: now_ms,
        };
        let unserved = self.unserved.entry(target.clone()).or_insert(fresh);
        if now_ms.saturating_sub(unserved.last_at_ms) >= UNSERVED_DEMAND_TTL_MS {
            unserved.first_at_ms = now_ms;
        }
        unserved.last_at_ms = now_ms;
    }

    /// Sends waiting requests while workers that hold a target have capacity.
    ///
    /// Each chosen worker gets the next request for any target that it serves.
    fn send_waiting_for(&mut self, now_ms: u64, target: &TargetName, actions: &mut Vec<Action>) {
        while let Some(prefix_hash) = self.queues.head_prefix(target) {
            let Some(worker) = self.choose_worker(now_ms, target, prefix_hash) else {
                return;
            };
            if !self.send_next(now_ms, &worker, actions) {
                return;
            }
        }
    }

    /// Sends waiting requests to a worker while it has capacity.
    fn fill_worker(&mut self, now_ms: u64, worker: &WorkerId, actions: &mut Vec<Action>) {
        while self.workers.has_room(now_ms, worker) {
            if !self.send_next(now_ms, worker, actions) {
                return;
            }
        }
    }

    /// Chooses a worker that holds a target and has capacity.
    fn choose_worker(
        &mut self,
        now_ms: u64,
        target: &TargetName,
        prefix_hash: u64,
    ) -> Option<WorkerId> {
        let available = self
            .workers
            .candidates(now_ms, target, prefix_hash, &self.options.domain);
        let candidates: Vec<_> = available.iter().map(|(_, candidate)| *candidate).collect();
        let index = (self.options.route.choose)(&candidates, &mut self.random)?;
        Some(available[index].0.clone())
    }

    /// Sends a worker the next request that it can serve; returns whether there was one.
    fn send_next(&mut self, now_ms: u64, worker: &WorkerId, actions: &mut Vec<Action>) -> bool {
        let Some(targets) = self.workers.serves(worker) else {
            return false;
        };
        let Some(waiting) = self.queues.pop(targets) else {
            return false;
        };
        self.queues
            .charge(&waiting.account, waiting.cost_tokens, waiting.share);
        self.workers.sent(worker, waiting.request);
        let running = Running {
            account: waiting.account,
            target: waiting.target,
            worker: worker.clone(),
            share: waiting.share,
            charged_tokens: waiting.cost_tokens,
            sent_at_ms: now_ms,
        };
        self.running.insert(waiting.request, running);
        actions.push(Action::Send {
            request: waiting.request,
            worker: worker.clone(),
        });
        true
    }
}
