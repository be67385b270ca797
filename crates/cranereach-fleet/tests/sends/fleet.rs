//! A simulated fleet that sends to one worker, which is cold or names a rate limit.

mod arrivals;
pub mod event;
mod messages;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::arrivals::Arrival;
use self::messages::Message;
use cranereach_fleet::load::RANK_COUNT;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::named_limit::NamedLimit;
use cranereach_fleet::named_limit::NamedRate;
use cranereach_fleet::send_grants::AskPause;
use cranereach_fleet::send_grants::Ownership;
use cranereach_fleet::send_grants::SendAnswer;
use cranereach_fleet::send_grants::SendGrants;
use cranereach_fleet::send_grants::SendRule;
use cranereach_fleet::send_grants::other_owner;
use cranereach_fleet::topology::DomainTag;

/// Requests per second that a cold worker sustains.
pub const RATE_PER_S: f64 = 8.7;

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// Interval at which heartbeats are spread, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// The same interval in a large fleet, where heartbeats between all pairs of instances dominate the
/// run time of the simulation.
const LARGE_HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Number of instances from which on a fleet is large.
const LARGE_FLEET_MIN_COUNT: usize = 200;

/// Limit, not reached, of the delay of a heartbeat, as a multiple of [`HEARTBEAT_INTERVAL_MS`].
const HEARTBEAT_DELAY_LIMIT: u64 = 5;

/// Longest response time of the worker, in milliseconds.
const ANSWER_MAX_MS: u64 = 300;

/// Key of the worker.
pub const WORKER: u64 = 77;

/// Key of the worker's start.
const START: u64 = 78;

pub fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

pub fn rule() -> SendRule {
    SendRule::of_cold(RATE_PER_S, 1.5, 5.0)
}

/// Reason why the worker gets only a limited number of requests.
pub enum Regime {
    /// It is cold, and all instances know so.
    Cold,
    /// It names in its answers the limit that the function returns for a time in milliseconds.
    NamesLimit(Box<dyn Fn(u64) -> Option<f64>>),
}

/// A deliberate fault, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Each instance grants its own requests.
    PerInstanceGrants,
    /// Owners forget what they have granted.
    ForgetsGrants,
    /// Instances ignore the limit that the worker names.
    IgnoresLimit,
}

/// One instance.
struct Instance {
    members: Membership,
    grants: SendGrants,
    limit: NamedLimit,
    /// Time at which the worker first named its limit to it, in milliseconds.
    limit_named_ms: Option<u64>,
    /// Requests for grants without an answer yet: rank, and time of the request in milliseconds.
    pending: BTreeMap<u64, (u8, u64)>,
    pause: AskPause,
    started_ms: u64,
    down_until_ms: u64,
    frozen_until_ms: u64,
    cut_off_until_ms: u64,
    inbox: Vec<Message>,
}

/// A fleet that sends to one worker.
pub struct World {
    instances: Vec<Instance>,
    number_of: HashMap<Ipv4Addr, usize>,
    now_ms: u64,
    delay_max_ms: u64,
    loss_ratio: f64,
    in_flight: BTreeMap<u64, Vec<(usize, Message)>>,
    regime: Regime,
    mutant: Mutant,
    pub arrivals: Vec<Arrival>,
    /// Number of requests for grants sent to owners.
    pub asked_count: usize,
    /// Number of grants by priority rank.
    pub granted_counts: [usize; RANK_COUNT],
    rng: StdRng,
}

impl World {
    /// Creates a fleet that sends to a cold worker.
    pub fn start(count: usize, delay_max_ms: u64, loss_ratio: f64, seed: u64) -> Self {
        Self::with(Regime::Cold, count, (delay_max_ms, loss_ratio), seed)
    }

    /// Creates a fleet of `count` instances, with the longest delay of messages in milliseconds and
    /// the share that is lost.
    pub fn with(
        regime: Regime,
        count: usize,
        (delay_max_ms, loss_ratio): (u64, f64),
        seed: u64,
    ) -> Self {
        let mut world = Self {
            instances: Vec::new(),
            number_of: (0..count).map(|number| (address(number), number)).collect(),
            now_ms: 100_000,
            delay_max_ms,
            loss_ratio,
            in_flight: BTreeMap::new(),
            regime,
            mutant: Mutant::None,
            arrivals: Vec::new(),
            asked_count: 0,
            granted_counts: [0; RANK_COUNT],
            rng: StdRng::seed_from_u64(seed),
        };
        world.instances = (0..count)
            .map(|number| world.new_instance(number))
            .collect();
        world
    }

    /// Adds a deliberate fault.
    pub fn mutated(mut self, mutant: Mutant) -> Self {
        self.mutant = mutant;
        self
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    fn new_instance(&self, number: usize) -> Instance {
        let seeds = [address(0), address(1), address(2)];
        Instance {
            members: Membership::new(address(number), DomainTag::default(), &seeds),
            grants: SendGrants::default(),
            limit: NamedLimit::default(),
            limit_named_ms: None,
            pending: BTreeMap::new(),
            pause: AskPause::default(),
            started_ms: self.now_ms,
            down_until_ms: 0,
            frozen_until_ms: 0,
            cut_off_until_ms: 0,
            inbox: Vec::new(),
        }
    }

    fn is_running(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        self.now_ms >= instance.down_until_ms.max(instance.frozen_until_ms)
    }

    fn is_reachable(&self, number: usize) -> bool {
        self.is_running(number) && self.now_ms >= self.instances[number].cut_off_until_ms
    }

    fn heartbeat_interval_ms(&self) -> u64 {
        if self.instances.len() < LARGE_FLEET_MIN_COUNT {
            HEARTBEAT_INTERVAL_MS
        } else {
            LARGE_HEARTBEAT_INTERVAL_MS
        }
    }

    /// Delivers heartbeats that were sent up to a few intervals ago.
    fn spread_heartbeats(&mut self) {
        let are_reachable: Vec<bool> = (0..self.instances.len())
            .map(|number| self.is_reachable(number))
            .collect();
        for number in 0..self.instances.len() {
            if !self.is_running(number) {
                continue;
            }
            for other in 0..self.instances.len() {
                let age_ms =
                    HEARTBEAT_INTERVAL_MS * self.rng.random_range(0..HEARTBEAT_DELAY_LIMIT);
                let heartbeat_ms = self.now_ms - age_ms;
                let instance = &self.instances[other];
                let was_up = heartbeat_ms >= instance.started_ms.max(instance.frozen_until_ms);
                if other != number && was_up && are_reachable[number] && are_reachable[other] {
                    let members = &mut self.instances[number].members;
                    members.heard_from(heartbeat_ms, address(other), DomainTag::default(), false);
                }
            }
            self.instances[number].members.refresh(self.now_ms);
        }
    }

    /// Simulates callers that send `per_s` requests per second for a time in milliseconds.
    pub fn demand(&mut self, per_s: f64, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let mut due_count = 0.0;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(self.heartbeat_interval_ms()) {
                self.spread_heartbeats();
            }
            self.deliver();
            due_count += per_s * STEP_MS as f64 / 1_000.0;
            while due_count >= 1.0 {
                due_count -= 1.0;
                let number = self.rng.random_range(0..self.instances.len());
                if self.is_running(number) {
                    self.request(number);
                }
            }
        }
    }

    /// Returns what an instance reports about the worker's limit.
    fn limit_report(&self, number: usize) -> Option<LimitReport> {
        self.instances[number].limit.report(self.now_ms, || START)
    }

    /// Returns the instance that others query for the worker's status: one that is reachable, if
    /// possible other than the owner of its grants.
    fn reporter(&self) -> usize {
        let owner = self.owner();
        let others = (0..self.instances.len()).filter(|number| *number != owner);
        others
            .into_iter()
            .find(|number| self.is_reachable(*number))
            .unwrap_or(owner)
    }

    fn grant(&mut self, number: usize, rank: u8) -> SendAnswer {
        let now_ms = self.now_ms;
        let mutant = self.mutant;
        let instance = &mut self.instances[number];
        let rules = match self.regime {
            Regime::Cold => Some(rule()),
            Regime::NamesLimit(_) => instance.limit.rate_per_s(now_ms).map(SendRule::of_limit),
        };
        let rules: Vec<SendRule> = rules.into_iter().collect();
        let up_for_ms = now_ms - instance.started_ms;
        let ownership = match mutant {
            Mutant::PerInstanceGrants => Ownership::Settled,
            _ => Ownership::of(&instance.members, now_ms, WORKER, up_for_ms),
        };
        if mutant == Mutant::ForgetsGrants {
            instance.grants = SendGrants::default();
        }
        instance.grants.ask(now_ms, WORKER, &rules, rank, ownership)
    }

    fn handle_answer(&mut self, number: usize, rank: u8, answer: SendAnswer) {
        match answer {
            SendAnswer::Send => {
                self.granted_counts[usize::from(rank)] += 1;
                self.send_request(number);
            }
            SendAnswer::After(wait_ms) => {
                let pause = &mut self.instances[number].pause;
                pause.refused_until(usize::from(rank), self.now_ms + wait_ms);
            }
        }
    }

    /// Sends a request to the worker.
    fn send_request(&mut self, number: usize) {
        let delay_ms = self.rng.random_range(1..40);
        let at_ms = self.now_ms + delay_ms;
        let is_counted = self.is_counted(number, at_ms);
        self.arrivals.push(Arrival { at_ms, is_counted });
        if let Regime::NamesLimit(names) = &self.regime {
            let rate = names(at_ms).map_or(NamedRate::Nothing, NamedRate::Limit);
            let back_ms = self.rng.random_range(20..ANSWER_MAX_MS);
            let answer = Message::Response {
                start_ms: self.instances[number].started_ms,
                sent_ms: self.now_ms,
                rate,
            };
            let due = self.in_flight.entry(at_ms + back_ms).or_default();
            due.push((number, answer));
        }
    }

    /// Whether the limit is checked for a request of an instance that arrives at a time.
    fn is_counted(&self, number: usize, at_ms: u64) -> bool {
        let instance = &self.instances[number];
        let disturbed_ms = instance
            .started_ms
            .max(instance.frozen_until_ms)
            .max(instance.cut_off_until_ms);
        let was_undisturbed = disturbed_ms <= 100_000 || at_ms >= disturbed_ms + 3_000;
        was_undisturbed
            && instance
                .limit_named_ms
                .is_some_and(|limit_named_ms| at_ms >= limit_named_ms + 500)
    }

    /// Handles a caller's request at an instance.
    fn request(&mut self, number: usize) {
        let rank = self.rng.random_range(0..RANK_COUNT as u8);
        let instance = &self.instances[number];
        if !instance.pause.may_ask(self.now_ms, usize::from(rank)) {
            return;
        }
        if matches!(self.regime, Regime::NamesLimit(_)) && !self.knows_limit(number) {
            self.send_request(number);
            return;
        }
        let instance = &self.instances[number];
        let other = other_owner(&instance.members, self.now_ms, WORKER);
        let other = other.filter(|_| self.mutant != Mutant::PerInstanceGrants);
        let Some(owner) = other else {
            let answer = self.grant(number, rank);
            self.handle_answer(number, rank, answer);
            return;
        };
        let request_id = self.rng.random();
        let asked = (rank, self.now_ms);
        self.instances[number].pending.insert(request_id, asked);
        if self.is_reachable(number) {
            self.asked_count += 1;
            let to = self.number_of[&owner];
            let ask = Message::Ask {
                from: number,
                request_id,
                rank,
                limit: self.limit_report(number),
            };
            self.send(to, ask);
        }
    }

    /// Whether an instance knows of a limit, after it has queried the worker's status.
    fn knows_limit(&mut self, number: usize) -> bool {
        let reporter = self.reporter();
        let has_reply = self.is_reachable(number)
            && self.is_reachable(reporter)
            && !self.rng.random_bool(self.loss_ratio);
        if has_reply {
            // The query carries what its sender knows.
            let asked = self.limit_report(number);
            self.apply_limit_report(reporter, asked);
            let report = self.limit_report(reporter);
            self.apply_limit_report(number, report);
        }
        self.instances[number]
            .limit
            .rate_per_s(self.now_ms)
            .is_some()
    }

    fn owner(&self) -> usize {
        let instance = self
            .instances
            .iter()
            .find(|instance| self.now_ms >= instance.cut_off_until_ms);
        instance.map_or(0, |instance| {
            self.number_of[&instance.members.owner(self.now_ms, WORKER)]
        })
    }
}
