//! A simulated fleet whose callers use one account with a limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::accounts::Limit;
use cranereach_fleet::limits::AccountUsages;
use cranereach_fleet::limits::Decision;
use cranereach_fleet::limits::Grant;
use cranereach_fleet::limits::OwnedLimits;
use cranereach_fleet::limits::Ownership;
use cranereach_fleet::limits::PartKey;
use cranereach_fleet::limits::Tolerance;
use cranereach_fleet::limits::UnitRequest;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::topology::DomainTag;

pub const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    excess_share: 0.1,
    allowance: 17_000.0,
};

/// Key of the account that all callers use.
pub const ACCOUNT: u64 = 77;

/// Time between two rounds of heartbeats, in milliseconds.
pub const ROUND_MS: u64 = 250;

/// Maximum number of rounds that a heartbeat takes to reach another instance.
pub const HEARTBEAT_MAX_ROUNDS: u64 = 5;

pub fn limit(rate_per_s: f64) -> Limit {
    Limit {
        rate_per_s,
        burst: rate_per_s,
        smallest_cost: 200.0,
    }
}

pub fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

/// A simulated instance.
pub struct Instance {
    pub members: Membership,
    pub usages: AccountUsages,
    pub owned: OwnedLimits,
    pub down_until_ms: u64,
    /// Time until which it is alive but answers nobody, in milliseconds.
    pub busy_until_ms: u64,
    pub started_ms: u64,
}

/// Numbers of requests by outcome, and of queries to owners.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub run: u64,
    pub refused: u64,
    pub unknown: u64,
    pub asked: u64,
}

/// A fleet whose callers use one account.
pub struct Fleet {
    pub instances: Vec<Instance>,
    pub number_of: HashMap<Ipv4Addr, usize>,
    pub limit: Limit,
    pub now_ms: u64,
    /// Requests run within the last window: time in milliseconds and cost in units.
    pub recent_runs: VecDeque<(u64, f64)>,
    pub recent_units: f64,
    /// The most units that were run within one window.
    pub peak_units: f64,
    pub counts: Counts,
    /// Share of the paid requests that workers refuse, so that their units are given back.
    pub given_back_share: f64,
    pub rng: StdRng,
}

impl Fleet {
    pub fn start(count: usize, limit: Limit, seed: u64) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            number_of: (0..count).map(|number| (address(number), number)).collect(),
            limit,
            now_ms: 100_000,
            recent_runs: VecDeque::new(),
            recent_units: 0.0,
            peak_units: 0.0,
            counts: Counts::default(),
            given_back_share: 0.0,
            rng: StdRng::seed_from_u64(seed),
        };
        for number in 0..count {
            let instance = fleet.new_instance(number);
            fleet.instances.push(instance);
        }
        fleet
    }

    pub fn new_instance(&self, number: usize) -> Instance {
        let seeds = [address(0), address(1), address(2)];
        Instance {
            members: Membership::new(address(number), DomainTag::default(), &seeds),
            usages: AccountUsages::default(),
            owned: OwnedLimits::default(),
            down_until_ms: 0,
            busy_until_ms: 0,
            started_ms: self.now_ms,
        }
    }

    pub fn is_up(&self, number: usize) -> bool {
        self.now_ms >= self.instances[number].down_until_ms
    }

    /// Kills a share of the instances at once; they restart after `for_ms`.
    pub fn kill(&mut self, share: f64, for_ms: u64) {
        for number in 0..self.instances.len() {
            if self.rng.random_bool(share) {
                self.instances[number] = self.new_instance(number);
                self.instances[number].down_until_ms = self.now_ms + for_ms;
                self.instances[number].started_ms = self.now_ms + for_ms;
            }
        }
    }

    /// Keeps a share of the instances too busy to answer for `for_ms`.
    pub fn keep_busy(&mut self, share: f64, for_ms: u64) {
        for number in 0..self.instances.len() {
            if self.rng.random_bool(share) {
                self.instances[number].busy_until_ms = self.now_ms + for_ms;
            }
        }
    }

    /// Spreads heartbeats: each instance gets one from every live instance, sent up to a few rounds
    /// ago, unless the sender hadn't started then.
    pub fn round(&mut self) {
        for number in 0..self.instances.len() {
            if !self.is_up(number) {
                continue;
            }
            for other in 0..self.instances.len() {
                let age_ms = ROUND_MS * self.rng.random_range(0..HEARTBEAT_MAX_ROUNDS);
                let sent_ms = self.now_ms - age_ms;
                let was_up = sent_ms >= self.instances[other].started_ms;
                if other != number && was_up && self.is_up(other) {
                    let members = &mut self.instances[number].members;
                    members.heard_from(sent_ms, address(other), DomainTag::default(), false);
                }
            }
            self.instances[number].members.refresh(self.now_ms);
        }
    }

    /// Lets callers send requests for `units_per_s` units per second, for `for_ms`.
    pub fn demand(&mut self, units_per_s: f64, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let mut owed = 0.0;
        while self.now_ms < until_ms {
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(ROUND_MS) {
                self.round();
            }
            owed += units_per_s / 100.0;
            while owed > 0.0 {
                let cost = f64::from(self.rng.random_range(200..5_000_u32));
                owed -= cost;
                self.charge(cost);
            }
        }
    }

    /// Sends a request to a random instance, if that one is up.
    pub fn charge(&mut self, cost: f64) {
        let number = self.rng.random_range(0..self.instances.len());
        if !self.is_up(number) {
            return;
        }
        let now_ms = self.now_ms;
        let decision = self.instances[number]
            .usages
            .decide(now_ms, ACCOUNT, self.limit, &TOLERANCE, cost);
        let (request, held) = match decision {
            Decision::Paid => return self.run_paid(number, cost),
            Decision::Beyond(_) => {
                self.counts.refused += 1;
                return;
            }
            Decision::Ask { request, held } => (request, held),
        };
        let grant = self.query_owners(number, request);
        let usages = &mut self.instances[number].usages;
        match grant {
            Some(Grant::Units(units)) => {
                usages.granted(now_ms, ACCOUNT, held + units, cost);
                self.run_paid(number, cost);
            }
            Some(Grant::After(wait_ms)) => {
                usages.refused(now_ms, ACCOUNT, wait_ms);
                self.give_back(number, held);
                self.counts.refused += 1;
            }
            None => {
                let may_run = usages.may_run_without_owner(now_ms, ACCOUNT, cost);
                self.give_back(number, held);
                if may_run {
                    self.record_run(cost);
                } else {
                    self.counts.unknown += 1;
                }
            }
        }
    }

    /// Returns the ownership of a part by an instance, determined as in the gateway.
    pub fn ownership(&self, number: usize, key: PartKey) -> Ownership {
        let instance = &self.instances[number];
        let is_young = |instance: &Instance| self.now_ms < instance.started_ms + 3_000;
        let seed_owner = instance.members.seed_owner(self.now_ms, key.owner_key());
        let is_asked_as_seed = is_young(instance) && seed_owner == Some(address(number));
        let up_for_ms = self.now_ms - instance.started_ms;
        if !is_asked_as_seed && !instance.members.is_own(self.now_ms, key.owner_key()) {
            Ownership::StandIn
        } else if self.instances.iter().all(is_young) {
            Ownership::Restarted
        } else if instance
            .members
            .unchanged_for_ms(self.now_ms)
            .min(up_for_ms)
            >= 8_000
        {
            Ownership::Settled
        } else {
            Ownership::Fresh
        }
    }

    /// Queries owners as the gateway does.
    pub fn query_owners(&mut self, number: usize, request: UnitRequest) -> Option<Grant> {
        let part_count = TOLERANCE.part_count(self.limit);
        let first: u32 = self.rng.random();
        let mut refusal = None;
        for try_number in 0..3 {
            let part = first.wrapping_add(try_number) % part_count;
            let key = PartKey {
                account: ACCOUNT,
                part,
            };
            let instance = &self.instances[number];
            let is_settling = self.now_ms < instance.started_ms + 1_500;
            let seed =
                is_settling.then(|| instance.members.seed_owner(self.now_ms, key.owner_key()));
            let owner = seed
                .flatten()
                .unwrap_or_else(|| instance.members.owner(self.now_ms, key.owner_key()));
            let owner_number = self.number_of[&owner];
            self.counts.asked += 1;
            let is_busy = self.now_ms < self.instances[owner_number].busy_until_ms;
            if is_busy || !self.is_up(owner_number) {
                self.instances[number]
                    .members
                    .reply_missed(self.now_ms, owner);
                continue;
            }
            self.instances[number].members.reply_received(owner);
            let ownership = self.ownership(owner_number, key);
            let owner_instance = &mut self.instances[owner_number];
            let grant = owner_instance.owned.take(
                self.now_ms,
                key,
                self.limit,
                &TOLERANCE,
                request,
                ownership,
            );
            match grant {
                Grant::Units(units) => return Some(Grant::Units(units)),
                refused @ Grant::After(_) => refusal = Some(refused),
            }
            if part_count == 1 {
                break;
            }
        }
        refusal
    }

    /// Gives units back; those that the instance doesn't keep go to the owner of a random part.
    pub fn give_back(&mut self, number: usize, units: f64) {
        let now_ms = self.now_ms;
        let usages = &mut self.instances[number].usages;
        let surplus = usages.give_back(now_ms, ACCOUNT, &TOLERANCE, units);
        let key = PartKey {
            account: ACCOUNT,
            part: self.rng.random_range(0..TOLERANCE.part_count(self.limit)),
        };
        let members = &self.instances[number].members;
        let owner = self.number_of[&members.owner(now_ms, key.owner_key())];
        self.instances[owner].owned.give_back(now_ms, key, surplus);
    }

    /// Runs a paid request, unless workers refuse it.
    pub fn run_paid(&mut self, number: usize, cost: f64) {
        if self.rng.random_bool(self.given_back_share) {
            self.give_back(number, cost);
        } else {
            self.record_run(cost);
        }
    }

    pub fn record_run(&mut self, cost: f64) {
        self.counts.run += 1;
        self.recent_runs.push_back((self.now_ms, cost));
        self.recent_units += cost;
        while let Some((at_ms, units)) = self.recent_runs.front().copied() {
            if at_ms + 8_000 > self.now_ms {
                break;
            }
            self.recent_units -= units;
            self.recent_runs.pop_front();
        }
        self.peak_units = self.peak_units.max(self.recent_units);
    }

    /// Resets the counts.
    pub fn reset_counts(&mut self) {
        self.counts = Counts::default();
    }

    /// Returns the most units that were run within a window, as a share of the tolerated number.
    pub fn peak_ratio(&self) -> f64 {
        self.peak_units / (TOLERANCE.units_per_window(self.limit) + TOLERANCE.excess(self.limit))
    }
}
