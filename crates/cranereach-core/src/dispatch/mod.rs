//! Admission, order and route of requests on one entry instance.
//!
//! [`Dispatcher`] takes arrivals, ends, reports and ticks, and returns what to
//! do: send a request to a worker, or refuse it with a code and the time after
//! which a repeat is worth it. Requests wait in [`queues`]; what is known of the
//! workers stands in [`workers`].

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

/// Time that a load is expected to take until one was seen, in milliseconds.
const INITIAL_LOAD_MS: u64 = 3_000;

/// Time for which a refused caller still counts as waiting for a load, in ms.
const UNSERVED_DEMAND_TTL_MS: u64 = 10_000;

/// What varies between deployments.
#[derive(Clone, Debug)]
pub struct DispatchOptions {
    /// Order within a class.
    pub order: &'static OrderPolicy,
    /// Choice of a worker.
    pub route: &'static RoutePolicy,
    /// Whether to refuse at once what can't start in time.
    pub refuses_early: bool,
    /// Failure domain of this instance.
    pub domain: FailureDomain,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What to do about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send it to this worker.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
    },
    /// Answer it now with this code.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// When a repeat is worth it, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// A request at an upstream.
#[derive(Clone, Debug)]
struct Running {
    account: AccountName,
    target: TargetName,
    worker: WorkerId,
    share: f64,
    charged_tokens: f64,
    sent_at_ms: u64,
}

/// A target that callers were sent away from because it isn't resident.
#[derive(Clone, Copy, Debug)]
struct UnservedDemand {
    first_at_ms: u64,
    last_at_ms: u64,
}

/// Admission, order and route of one entry instance.
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
    /// Starts empty.
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

    /// Returns what is known of the workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns what is known of the workers, for changes.
    pub fn workers_mut(&mut self) -> &mut Workers {
        &mut self.workers
    }

    /// Returns the queues.
    pub fn queues(&self) -> &Queues {
        &self.queues
    }

    /// Returns how many requests are at upstreams.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Takes a request and appends what to do now.
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

    /// Takes a request again whose attempt did not run; it waits anew.
    pub fn arrive_again(&mut self, now_ms: u64, waiting: Waiting, actions: &mut Vec<Action>) {
        let target = waiting.target.clone();
        self.queues.push(waiting);
        self.send_waiting_for(now_ms, &target, actions);
    }

    /// Takes the end of an attempt at an upstream and what it really cost.
    ///
    /// `whole` says whether the answer came whole, so that its time counts.
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

    /// Takes away a waiting request whose caller left; true if it waited.
    pub fn left(&mut self, request: RequestId) -> bool {
        self.queues.remove(request).is_some()
    }

    /// Takes a worker's report.
    pub fn reported(&mut self, now_ms: u64, report: &WorkerReport, actions: &mut Vec<Action>) {
        self.workers.reported(now_ms, report);
        for target in &report.resident {
            self.unserved.remove(target);
        }
        self.fill_worker(now_ms, &report.worker, actions);
    }

    /// Takes the cost that a peer served to an account since its last word.
    pub fn peer_served(&mut self, account: &AccountName, cost_tokens: f64, share: f64) {
        self.queues.charge(account, cost_tokens, share);
    }

    /// Takes how long a load really took, in milliseconds.
    pub fn load_took(&mut self, load_ms: u64) {
        self.load_ms += 0.3 * (load_ms as f64 - self.load_ms);
    }

    /// Refuses what has waited too long and sends what has found room.
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

    /// Returns this instance's demand per target, for its digest.
    pub fn demand(&self, now_ms: u64) -> Vec<TargetDemand> {
        self.demand
            .targets()
            .map(|target| self.demand_of(now_ms, target))
            .filter(|demand| demand.concurrent_count > 0.001 || demand.waiting_count > 0)
            .collect()
    }

    /// Returns when each target was last asked for here.
    pub fn used(&self) -> impl Iterator<Item = (TargetName, u64)> {
        self.used_at_ms
            .iter()
            .map(|(target, at_ms)| (target.clone(), *at_ms))
    }

    /// Returns the total cost served to each account here, in tokens.
    pub fn served_tokens(&self) -> &HashMap<AccountName, f64> {
        &self.served_tokens
    }

    /// Returns what a peer holds against a worker as known here.
    pub fn note_peer(
        &mut self,
        now_ms: u64,
        peer: &InstanceId,
        worker: &WorkerId,
        outstanding_count: u32,
    ) {
        self.workers
            .note_peer(now_ms, peer, worker, outstanding_count);
    }

    /// Returns the demand for one target; callers sent away still count.
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

    /// Remembers that a caller asked for a target that is nowhere.
    ///
    /// It counts on after the caller was sent away, so that a target that needs
    /// longer to load than callers wait is loaded all the same.
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

    /// Sends what waits for a target while workers that hold it have room.
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

    /// Sends what waits for anything that a worker holds while it has room.
    fn fill_worker(&mut self, now_ms: u64, worker: &WorkerId, actions: &mut Vec<Action>) {
        while self.workers.has_room(now_ms, worker) {
            if !self.send_next(now_ms, worker, actions) {
                return;
            }
        }
    }

    /// Chooses a worker with room for a target.
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

    /// Sends the request that is next among all that a worker can serve.
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
