//! Waiting requests, queued by target, class and account in order of deadline.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::declarations::Class;
use crate::names::AccountName;
use crate::names::RequestId;
use crate::names::TargetName;
use crate::order::Head;
use crate::order::OrderPolicy;

/// A request that waits for a worker.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// Account that sent it.
    pub account: AccountName,
    /// Fair share of the account, as a weight.
    pub share: f64,
    /// Limit on the account's waiting requests for one target.
    pub queue_count: u32,
    /// Target that it asks for.
    pub target: TargetName,
    /// Priority class.
    pub class: Class,
    /// Time of arrival.
    pub arrived_at_ms: u64,
    /// Deadline for sending it to a worker.
    pub start_by_ms: u64,
    /// Expected cost, in tokens.
    pub cost_tokens: f64,
    /// Hash of the prompt's prefix; zero if it has none.
    pub prefix_hash: u64,
}

/// Waiting requests ahead of a request.
#[derive(Clone, Copy, Debug)]
pub struct QueueAhead {
    /// Requests for the target in the same or a more urgent class.
    pub total_count: u32,
    /// Those of them from the same account.
    pub own_count: u32,
    /// Sum of the shares of the accounts that have requests waiting, this one's included.
    pub share_sum: f64,
}

/// Position of a request in its account's queue: start deadline, then arrival number.
type QueueKey = (u64, u64);

/// One account's requests for one target and class.
type AccountQueue = std::collections::BTreeMap<QueueKey, RequestId>;

/// Waiting requests for one target.
#[derive(Debug, Default)]
struct TargetQueue {
    classes: [HashMap<AccountName, AccountQueue>; Class::ALL.len()],
    by_arrival: BTreeSet<(u64, RequestId)>,
}

/// Scheduling state of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountState {
    rank: f64,
    share: f64,
    waiting_count: u32,
}

/// A waiting request and its number in the order of arrival.
#[derive(Debug)]
struct QueuedRequest {
    waiting: Waiting,
    arrival_number: u64,
}

/// All waiting requests of one entry instance.
#[derive(Debug)]
pub struct Queues {
    policy: &'static OrderPolicy,
    targets: HashMap<TargetName, TargetQueue>,
    requests: HashMap<RequestId, QueuedRequest>,
    deadlines: BTreeSet<(u64, RequestId)>,
    accounts: HashMap<AccountName, AccountState>,
    arrivals_count: u64,
}

impl Queues {
    /// Creates empty queues that are ordered by a policy.
    pub fn new(policy: &'static OrderPolicy) -> Self {
        Self {
            policy,
            targets: HashMap::new(),
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            accounts: HashMap::new(),
            arrivals_count: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of an account's waiting requests for all targets.
    pub fn account_count(&self, account: &AccountName) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |state| state.waiting_count)
    }

    /// Returns the number of an account's waiting requests for one target.
    pub fn queue_count(&self, account: &AccountName, target: &TargetName) -> u32 {
        let classes = self
            .targets
            .get(target)
            .into_iter()
            .flat_map(|queue| &queue.classes);
        classes
            .filter_map(|accounts| accounts.get(account))
            .map(|account_queue| account_queue.len() as u32)
            .sum()
    }

    /// Returns the share with which an account was last charged.
    pub fn share_of(&self, account: &AccountName) -> Option<f64> {
        self.accounts.get(account).map(|state| state.share)
    }

    /// Returns the number of waiting requests for a target and the arrival time of the oldest.
    pub fn waiting_for(&self, target: &TargetName) -> (u32, Option<u64>) {
        self.targets.get(target).map_or((0, None), |queue| {
            (
                queue.by_arrival.len() as u32,
                queue.by_arrival.first().map(|(at_ms, _)| *at_ms),
            )
        })
    }

    /// Returns the targets that have waiting requests.
    pub fn waiting_targets(&self) -> Vec<TargetName> {
        self.targets.keys().cloned().collect()
    }

    /// Adds a request; an idle account's rank is raised to the lowest active one.
    pub fn push(&mut self, waiting: Waiting) {
        self.register_waiting(&waiting.account);
        self.arrivals_count += 1;
        let queue_key = (waiting.start_by_ms, self.arrivals_count);
        let queue = self.targets.entry(waiting.target.clone()).or_default();
        queue
            .by_arrival
            .insert((waiting.arrived_at_ms, waiting.request));
        let accounts = &mut queue.classes[waiting.class.index()];
        accounts
            .entry(waiting.account.clone())
            .or_default()
            .insert(queue_key, waiting.request);
        self.deadlines
            .insert((waiting.start_by_ms, waiting.request));
        let queued = QueuedRequest {
            waiting,
            arrival_number: self.arrivals_count,
        };
        self.requests.insert(queued.waiting.request, queued);
    }

    /// Removes a request from its queue and returns it.
    pub fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let QueuedRequest {
            waiting,
            arrival_number,
        } = self.requests.remove(&request)?;
        self.deadlines.remove(&(waiting.start_by_ms, request));
        if let Some(state) = self.accounts.get_mut(&waiting.account) {
            state.waiting_count -= 1;
        }
        let Some(queue) = self.targets.get_mut(&waiting.target) else {
            return Some(waiting);
        };
        queue.by_arrival.remove(&(waiting.arrived_at_ms, request));
        let accounts = &mut queue.classes[waiting.class.index()];
        if let Some(account_queue) = accounts.get_mut(&waiting.account) {
            account_queue.remove(&(waiting.start_by_ms, arrival_number));
            if account_queue.is_empty() {
                accounts.remove(&waiting.account);
            }
        }
        if queue.by_arrival.is_empty() {
            self.targets.remove(&waiting.target);
        }
        Some(waiting)
    }

    /// Removes and returns the requests whose start deadline has passed.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<Waiting> {
        let overdue: Vec<RequestId> = self
            .deadlines
            .iter()
            .take_while(|(by_ms, _)| *by_ms <= now_ms)
            .map(|(_, id)| *id)
            .collect();
        overdue
            .into_iter()
            .filter_map(|id| self.remove(id))
            .collect()
    }

    /// Removes and returns the next request for any of these targets.
    pub fn pop(&mut self, targets: &HashSet<TargetName>) -> Option<Waiting> {
        let next = Class::ALL
            .iter()
            .find_map(|class| self.next_in_class(targets, *class))?;
        self.remove(next)
    }

    /// Adds a cost to an account's rank.
    pub fn charge(&mut self, account: &AccountName, cost_tokens: f64, share: f64) {
        let charged = (self.policy.charge)(cost_tokens, share);
        if let Some(state) = self.accounts.get_mut(account) {
            state.rank += charged;
            state.share = share;
        } else {
            let state = AccountState {
                rank: charged,
                share,
                waiting_count: 0,
            };
            self.accounts.insert(account.clone(), state);
        }
    }

    /// Returns the prefix hash of the next request for a target.
    pub fn head_prefix(&self, target: &TargetName) -> Option<u64> {
        let queue = self.targets.get(target)?;
        let (_, request) = Class::ALL
            .iter()
            .find_map(|class| self.first_by_policy(&queue.classes[class.index()]))?;
        self.requests
            .get(&request)
            .map(|queued| queued.waiting.prefix_hash)
    }

    /// Returns what is ahead of a request in the queues.
    pub fn ahead(&self, waiting: &Waiting) -> QueueAhead {
        let mut ahead = QueueAhead {
            total_count: 0,
            own_count: 0,
            share_sum: waiting.share,
        };
        let Some(queue) = self.targets.get(&waiting.target) else {
            return ahead;
        };
        for accounts in &queue.classes[..=waiting.class.index()] {
            for (account, account_queue) in accounts {
                let count = account_queue.len() as u32;
                ahead.total_count += count;
                if account == &waiting.account {
                    ahead.own_count += count;
                } else {
                    let first = account_queue
                        .values()
                        .next()
                        .and_then(|id| self.requests.get(id));
                    ahead.share_sum += first.map_or(0.0, |queued| queued.waiting.share);
                }
            }
        }
        ahead
    }

    /// Counts a waiting request of an account, and raises its rank if the account was idle.
    fn register_waiting(&mut self, account: &AccountName) {
        let is_idle = self.account_count(account) == 0;
        if is_idle {
            let active = self
                .accounts
                .values()
                .filter(|state| state.waiting_count > 0);
            let lowest = active.map(|state| state.rank).min_by(f64::total_cmp);
            let state = self.accounts.entry(account.clone()).or_default();
            state.rank = lowest.map_or(state.rank, |lowest| state.rank.max(lowest));
        }
        if let Some(state) = self.accounts.get_mut(account) {
            state.waiting_count += 1;
        }
    }

    /// Returns the next request of one class for any of these targets.
    fn next_in_class(&self, targets: &HashSet<TargetName>, class: Class) -> Option<RequestId> {
        // Iterates over the smaller set: often few targets have requests waiting, or the worker
        // holds few.
        let waiting: Vec<&TargetQueue> = if targets.len() < self.targets.len() {
            targets
                .iter()
                .filter_map(|target| self.targets.get(target))
                .collect()
        } else {
            self.targets
                .iter()
                .filter(|(target, _)| targets.contains(*target))
                .map(|(_, queue)| queue)
                .collect()
        };
        waiting
            .into_iter()
            .filter_map(|queue| self.first_by_policy(&queue.classes[class.index()]))
            .min_by(|a, b| compare_keys(a.0, b.0))
            .map(|(_, request)| request)
    }

    /// Returns the request that the policy puts first, and its key.
    fn first_by_policy(
        &self,
        accounts: &HashMap<AccountName, AccountQueue>,
    ) -> Option<((f64, u64), RequestId)> {
        accounts
            .iter()
            .filter_map(|(account, queue)| {
                let (&(start_by_ms, arrival_number), &request) = queue.first_key_value()?;
                let rank = self.accounts.get(account).map_or(0.0, |state| state.rank);
                let head = Head {
                    account,
                    rank,
                    arrival_number,
                    start_by_ms,
                };
                Some(((self.policy.key)(&head), request))
            })
            .min_by(|a, b| compare_keys(a.0, b.0))
    }
}

/// Compares two policy keys.
fn compare_keys(a: (f64, u64), b: (f64, u64)) -> std::cmp::Ordering {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
}
