//! A simulated fleet that sends to one worker, which is cold or names a limit.

mod arrivals;
pub mod event;
mod parcels;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::arrivals::Arrival;
use self::parcels::Parcel;
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

/// Requests a second that a cold worker bears.
pub const RATE_PER_S: f64 = 8.7;

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// Time between two rounds of signs of life, in milliseconds.
const ROUND_MS: u64 = 250;

/// The same in a large fleet, where what all hear of all takes the most time to play.
const LARGE_ROUND_MS: u64 = 1_000;

/// Instances from which on a fleet is large.
const LARGE_FROM_COUNT: usize = 200;

/// Rounds that a sign of life takes at most to reach another instance.
const SIGN_ROUNDS: u64 = 5;

/// Longest time until the worker's answer to a request, in milliseconds.
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

/// Why the worker gets only so many requests.
pub enum Regime {
    /// It is cold, as all know.
    Cold,
    /// It names in its answers what this returns for a time in milliseconds.
    Names(Box<dyn Fn(u64) -> Option<f64>>),
}

/// What a fleet does wrong, to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Each instance grants itself.
    OwnBuckets,
    /// Owners forget what they granted.
    Forgets,
    /// Nobody hears what the worker names.
    Deaf,
}

/// One instance.
struct Instance {
    members: Membership,
    grants: SendGrants,
    limit: NamedLimit,
    /// When the worker first named its limit to it, in milliseconds.
    told_ms: Option<u64>,
    /// Questions that wait: for which rank, and when they were asked, in milliseconds.
    open: BTreeMap<u64, (u8, u64)>,
    pause: AskPause,
    started_ms: u64,
    down_until_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    waiting: Vec<Parcel>,
}

/// A fleet that sends to one worker.
pub struct World {
    instances: Vec<Instance>,
    number_of: HashMap<Ipv4Addr, usize>,
    now_ms: u64,
    delay_max_ms: u64,
    lost_share: f64,
    on_the_way: BTreeMap<u64, Vec<(usize, Parcel)>>,
    regime: Regime,
    mutant: Mutant,
    pub arrivals: Vec<Arrival>,
    /// Questions to owners.
    pub asked_count: usize,
    /// Grants by rank.
    pub granted_counts: [usize; RANK_COUNT],
    rng: StdRng,
}

impl World {
    /// Makes a fleet that sends to a cold worker.
    pub fn start(count: usize, delay_max_ms: u64, lost_share: f64, seed: u64) -> Self {
        Self::with(Regime::Cold, count, (delay_max_ms, lost_share), seed)
    }

    /// Makes a fleet of so many instances, with the longest delay of messages in
    /// milliseconds and the share that is lost.
    pub fn with(
        regime: Regime,
        count: usize,
        (delay_max_ms, lost_share): (u64, f64),
        seed: u64,
    ) -> Self {
        let mut world = Self {
            instances: Vec::new(),
            number_of: (0..count).map(|number| (address(number), number)).collect(),
            now_ms: 100_000,
            delay_max_ms,
            lost_share,
            on_the_way: BTreeMap::new(),
            regime,
            mutant: Mutant::None,
            arrivals: Vec::new(),
            asked_count: 0,
            granted_counts: [0; RANK_COUNT],
            rng: StdRng::seed_from_u64(seed),
        };
        world.instances = (0..count).map(|number| world.fresh(number)).collect();
        world
    }

    /// Makes it do something wrong.
    pub fn mutated(mut self, mutant: Mutant) -> Self {
        self.mutant = mutant;
        self
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    fn fresh(&self, number: usize) -> Instance {
        let seeds = [address(0), address(1), address(2)];
        Instance {
            members: Membership::new(address(number), DomainTag::default(), &seeds),
            grants: SendGrants::default(),
            limit: NamedLimit::default(),
            told_ms: None,
            open: BTreeMap::new(),
            pause: AskPause::default(),
            started_ms: self.now_ms,
            down_until_ms: 0,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            waiting: Vec::new(),
        }
    }

    fn runs(&self, number: usize) -> bool {
        let of = &self.instances[number];
        self.now_ms >= of.down_until_ms.max(of.frozen_until_ms)
    }

    fn is_heard(&self, number: usize) -> bool {
        self.runs(number) && self.now_ms >= self.instances[number].cut_until_ms
    }

    fn round_ms(&self) -> u64 {
        if self.instances.len() < LARGE_FROM_COUNT {
            ROUND_MS
        } else {
            LARGE_ROUND_MS
        }
    }

    /// Spreads signs of life of a few rounds ago.
    fn round(&mut self) {
        let heard: Vec<bool> = (0..self.instances.len())
            .map(|number| self.is_heard(number))
            .collect();
        for number in 0..self.instances.len() {
            if !self.runs(number) {
                continue;
            }
            for other in 0..self.instances.len() {
                let age_ms = ROUND_MS * self.rng.random_range(0..SIGN_ROUNDS);
                let sign_ms = self.now_ms - age_ms;
                let of = &self.instances[other];
                let was_up = sign_ms >= of.started_ms.max(of.frozen_until_ms);
                if other != number && was_up && heard[number] && heard[other] {
                    let members = &mut self.instances[number].members;
                    members.heard_from(sign_ms, address(other), DomainTag::default(), false);
                }
            }
            self.instances[number].members.refresh(self.now_ms);
        }
    }

    /// Lets callers ask for so many requests a second for a while.
    pub fn demand(&mut self, per_s: f64, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let mut owed = 0.0;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(self.round_ms()) {
                self.round();
            }
            self.deliver();
            owed += per_s * STEP_MS as f64 / 1_000.0;
            while owed >= 1.0 {
                owed -= 1.0;
                let number = self.rng.random_range(0..self.instances.len());
                if self.runs(number) {
                    self.request(number);
                }
            }
        }
    }

    /// What an instance tells of the worker's limit.
    fn word(&self, number: usize) -> Option<LimitReport> {
        self.instances[number].limit.report(self.now_ms, || START)
    }

    /// The instance that tells all others how the worker stands: one that lives, other
    /// than the owner of its grants.
    fn reporter(&self) -> usize {
        let owner = self.owner();
        let others = (0..self.instances.len()).filter(|number| *number != owner);
        others
            .into_iter()
            .find(|number| self.is_heard(*number))
            .unwrap_or(owner)
    }

    fn grant(&mut self, number: usize, rank: u8) -> SendAnswer {
        let now_ms = self.now_ms;
        let mutant = self.mutant;
        let of = &mut self.instances[number];
        let rules = match self.regime {
            Regime::Cold => Some(rule()),
            Regime::Names(_) => of.limit.rate_per_s(now_ms).map(SendRule::of_limit),
        };
        let rules: Vec<SendRule> = rules.into_iter().collect();
        let up_for_ms = now_ms - of.started_ms;
        let ownership = match mutant {
            Mutant::OwnBuckets => Ownership::Settled,
            _ => Ownership::of(&of.members, now_ms, WORKER, up_for_ms),
        };
        if mutant == Mutant::Forgets {
            of.grants = SendGrants::default();
        }
        of.grants.ask(now_ms, WORKER, &rules, rank, ownership)
    }

    fn answered(&mut self, number: usize, rank: u8, answer: SendAnswer) {
        match answer {
            SendAnswer::Send => {
                self.granted_counts[usize::from(rank)] += 1;
                self.leave(number);
            }
            SendAnswer::After(wait_ms) => {
                let pause = &mut self.instances[number].pause;
                pause.refused_until(usize::from(rank), self.now_ms + wait_ms);
            }
        }
    }

    /// A request leaves for the worker.
    fn leave(&mut self, number: usize) {
        let way_ms = self.rng.random_range(1..40);
        let at_ms = self.now_ms + way_ms;
        let is_judged = self.is_judged(number, at_ms);
        self.arrivals.push(Arrival { at_ms, is_judged });
        if let Regime::Names(names) = &self.regime {
            let said = names(at_ms).map_or(NamedRate::Nothing, NamedRate::Limit);
            let back_ms = self.rng.random_range(20..ANSWER_MAX_MS);
            let answer = Parcel::Answered {
                start_ms: self.instances[number].started_ms,
                sent_ms: self.now_ms,
                said,
            };
            let due = self.on_the_way.entry(at_ms + back_ms).or_default();
            due.push((number, answer));
        }
    }

    /// Whether the rule counts a request of an instance that arrives at a time.
    fn is_judged(&self, number: usize, at_ms: u64) -> bool {
        let of = &self.instances[number];
        let troubled_ms = of.started_ms.max(of.frozen_until_ms).max(of.cut_until_ms);
        let was_well = troubled_ms <= 100_000 || at_ms >= troubled_ms + 3_000;
        was_well && of.told_ms.is_some_and(|told_ms| at_ms >= told_ms + 500)
    }

    /// One request at an instance.
    fn request(&mut self, number: usize) {
        let rank = self.rng.random_range(0..RANK_COUNT as u8);
        let of = &self.instances[number];
        if !of.pause.may_ask(self.now_ms, usize::from(rank)) {
            return;
        }
        if matches!(self.regime, Regime::Names(_)) && !self.knows_limit(number) {
            self.leave(number);
            return;
        }
        let of = &self.instances[number];
        let other = other_owner(&of.members, self.now_ms, WORKER);
        let other = other.filter(|_| self.mutant != Mutant::OwnBuckets);
        let Some(owner) = other else {
            let answer = self.grant(number, rank);
            self.answered(number, rank, answer);
            return;
        };
        let ticket = self.rng.random();
        let asked = (rank, self.now_ms);
        self.instances[number].open.insert(ticket, asked);
        if self.is_heard(number) {
            self.asked_count += 1;
            let to = self.number_of[&owner];
            let ask = Parcel::Ask {
                from: number,
                ticket,
                rank,
                limit: self.word(number),
            };
            self.send(to, ask);
        }
    }

    /// Whether an instance knows of a limit once it has asked how the worker stands.
    fn knows_limit(&mut self, number: usize) -> bool {
        let reporter = self.reporter();
        let is_answered = self.is_heard(number)
            && self.is_heard(reporter)
            && !self.rng.random_bool(self.lost_share);
        if is_answered {
            // The question carries what the asker knows.
            let asked = self.word(number);
            self.told(reporter, asked);
            let word = self.word(reporter);
            self.told(number, word);
        }
        self.instances[number]
            .limit
            .rate_per_s(self.now_ms)
            .is_some()
    }

    fn owner(&self) -> usize {
        let of = self
            .instances
            .iter()
            .find(|of| self.now_ms >= of.cut_until_ms);
        of.map_or(0, |of| {
            self.number_of[&of.members.owner(self.now_ms, WORKER)]
        })
    }
}
