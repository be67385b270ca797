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
pub const SIGN_ROUNDS: u64 = 5;

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
    pub uses: AccountUsages,
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
    pub run: VecDeque<(u64, f64)>,
    pub run_sum: f64,
    /// The most units that were run within one window.
    pub most: f64,
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
            run: VecDeque::new(),
            run_sum: 0.0,
            most: 0.0,
            counts: Counts::default(),
            given_back_share: 0.0,
            rng: StdRng::seed_from_u64(seed),
        };
        for number in 0..count {
            let instance = fleet.fresh(number);
            fleet.instances.push(instance);
        }
        fleet
    }

    pub fn fresh(&self, number: usize) -> Instance {
        let seeds = [address(0), address(1), address(2)];
        Instance {
            members: Membership::new(address(number), DomainTag::default(), &seeds),
            uses: AccountUsages::default(),
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
                self.instances[number] = self.fresh(number);
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
                let age_ms = ROUND_MS * self.rng.random_range(0..SIGN_ROUNDS);
                let sign_ms = self.now_ms - age_ms;
                let was_up = sign_ms >= self.instances[other].started_ms;
                if other != number && was_up && self.is_up(other) {
                    let members = &mut self.instances[number].members;
                    members.heard_from(sign_ms, address(other), DomainTag::default(), false);
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
            .uses
            .decide(now_ms, ACCOUNT, self.limit, &TOLERANCE, cost);
        let (request, held) = match decision {
            Decision::Paid => return self.paid(number, cost),
            Decision::Beyond(_) => {
                self.counts.refused += 1;
                return;
            }
            Decision::Ask { request, held } => (request, held),
        };
        let grant = self.ask(number, request);
        let uses = &mut self.instances[number].uses;
        match grant {
            Some(Grant::Units(units)) => {
                uses.granted(now_ms, ACCOUNT, held + units, cost);
                self.paid(number, cost);
            }
            Some(Grant::After(wait_ms)) => {
                uses.refused(now_ms, ACCOUNT, wait_ms);
                self.give_back(number, held);
                self.counts.refused += 1;
            }
            None => {
                let may_run = uses.may_run_without_owner(now_ms, ACCOUNT, cost);
                self.give_back(number, held);
                if may_run {
                    self.ran(cost);
                } else {
                    self.counts.unknown += 1;
                }
            }
        }
    }

    /// Returns the ownership of a part by an instance, determined as in the gateway.
    pub fn ownership(&self, number: usize, key: PartKey) -> Ownership {
        let of = &self.instances[number];
        let is_young = |of: &Instance| self.now_ms < of.started_ms + 3_000;
        let seed_owner = of.members.seed_owner(self.now_ms, key.owner_key());
        let is_asked = is_young(of) && seed_owner == Some(address(number));
        let up_for_ms = self.now_ms - of.started_ms;
        if !is_asked && !of.members.is_own(self.now_ms, key.owner_key()) {
            Ownership::StandIn
        } else if self.instances.iter().all(is_young) {
            Ownership::Restarted
        } else if of.members.unchanged_for_ms(self.now_ms).min(up_for_ms) >= 8_000 {
            Ownership::Settled
        } else {
            Ownership::Fresh
        }
    }

    /// Queries owners as the gateway does.
    pub fn ask(&mut self, number: usize, request: UnitRequest) -> Option<Grant> {
        let part_count = TOLERANCE.part_count(self.limit);
        let first: u32 = self.rng.random();
        let mut refusal = None;
        for try_number in 0..3 {
            let part = first.wrapping_add(try_number) % part_count;
            let key = PartKey {
                account: ACCOUNT,
                part,
            };
            let of = &self.instances[number];
            let is_settling = self.now_ms < of.started_ms + 1_500;
            let seed = is_settling.then(|| of.members.seed_owner(self.now_ms, key.owner_key()));
            let owner = seed
                .flatten()
                .unwrap_or_else(|| of.members.owner(self.now_ms, key.owner_key()));
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
            let asked = &mut self.instances[owner_number];
            let grant =
                asked
                    .owned
                    .take(self.now_ms, key, self.limit, &TOLERANCE, request, ownership);
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
        let uses = &mut self.instances[number].uses;
        let surplus = uses.give_back(now_ms, ACCOUNT, &TOLERANCE, units);
        let key = PartKey {
            account: ACCOUNT,
            part: self.rng.random_range(0..TOLERANCE.part_count(self.limit)),
        };
        let members = &self.instances[number].members;
        let owner = self.number_of[&members.owner(now_ms, key.owner_key())];
        self.instances[owner].owned.give_back(now_ms, key, surplus);
    }

    /// Runs a paid request, unless workers refuse it.
    pub fn paid(&mut self, number: usize, cost: f64) {
        if self.rng.random_bool(self.given_back_share) {
            self.give_back(number, cost);
        } else {
            self.ran(cost);
        }
    }

    pub fn ran(&mut self, cost: f64) {
        self.counts.run += 1;
        self.run.push_back((self.now_ms, cost));
        self.run_sum += cost;
        while let Some((at_ms, units)) = self.run.front().copied() {
            if at_ms + 8_000 > self.now_ms {
                break;
            }
            self.run_sum -= units;
            self.run.pop_front();
        }
        self.most = self.most.max(self.run_sum);
    }

    /// Resets the counts.
    pub fn count_anew(&mut self) {
        self.counts = Counts::default();
    }

    /// Returns the most units that were run within a window, as a share of the tolerated number.
    pub fn most_share(&self) -> f64 {
        self.most / (TOLERANCE.units_per_window(self.limit) + TOLERANCE.excess(self.limit))
    }
}
