//! Simulated fleet whose instances prove the configuration to each other.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::proof::Proof;
use cranereach_fleet::proof::ProofAnswer;
use cranereach_fleet::proof::ProofQuery;
use cranereach_fleet::unanswered_queries::UnansweredQueries;

/// Time after which a revoked key must be refused everywhere, in milliseconds.
const BOUND_MS: u64 = 5_000;

/// Time within which a change is in force while nothing is disturbed, in milliseconds.
pub const CHANGE_MS: u64 = 3_000;

/// Interval at which an instance queries peers, in milliseconds, as in the gateway.
const QUERY_INTERVAL_MS: u64 = 200;

/// Time that a watch request waits at the store, in milliseconds, as in the gateway.
const WATCH_MS: u64 = 1_200;

/// Length of a step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 10;

/// Time of each clock at the start of its process, in milliseconds, as in the gateway.
const STARTED_AT_MS: u64 = 3_600_000;

/// Longest time until the operator has rewritten what a restore lost, in milliseconds.
const REWRITE_WITHIN_MS: u64 = 2_000;

/// Delays and faults of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub delay_max_ms: u64,
    pub loss_ratio: f64,
    pub duplication_ratio: f64,
}

pub const HEALTHY_NETWORK: Network = Network {
    delay_max_ms: 3,
    loss_ratio: 0.03,
    duplication_ratio: 0.0,
};

/// A message that is in flight.
#[derive(Clone, Copy, Debug)]
enum Message {
    Query(usize, ProofQuery),
    Answer(ProofAnswer),
    /// The store's answer to a read, with the newest version at that time. The read began at
    /// `begun_ms` on the clock of the process start `boot`.
    Read {
        boot: u64,
        begun_ms: u64,
        era: u64,
        version: u64,
    },
}

/// One instance.
pub struct Instance {
    proof: Proof,
    unanswered: UnansweredQueries<usize>,
    boot: u64,
    version: u64,
    /// Simulated time at which its own clock showed zero.
    started_ms: u64,
    pub frozen_until_ms: u64,
    pub partitioned_until_ms: u64,
    next_query_ms: u64,
    next_read_ms: u64,
    inbox: Vec<Message>,
}

/// Simulated fleet: the instances, the network and the store.
pub struct World {
    pub instances: Vec<Instance>,
    pub watcher_count: usize,
    network: Network,
    pub now_ms: u64,
    /// Time at which the store acknowledged each version; the index is the version.
    acknowledged_ms: Vec<u64>,
    /// Number of times that the store has been restored from a backup.
    era: u64,
    /// First version that the store lacks since a restore, and the time until which it lacks it.
    missing: Option<(u64, u64)>,
    in_flight: BTreeMap<u64, Vec<(usize, Message)>>,
    rng: StdRng,
}

impl World {
    pub fn start(count: usize, watcher_count: usize, network: Network, seed: u64) -> Self {
        let mut world = Self {
            instances: Vec::new(),
            watcher_count,
            network,
            now_ms: 2 * STARTED_AT_MS,
            acknowledged_ms: vec![0],
            era: 0,
            missing: None,
            in_flight: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..count {
            let instance = world.new_instance();
            world.instances.push(instance);
        }
        world
    }

    /// Returns an instance that has just started.
    pub fn new_instance(&mut self) -> Instance {
        let boot = self.rng.random();
        Instance {
            proof: Proof::new(boot, CHANGE_MS),
            unanswered: UnansweredQueries::default(),
            boot,
            version: 0,
            started_ms: self.now_ms - STARTED_AT_MS - self.rng.random_range(0..50_000),
            frozen_until_ms: 0,
            partitioned_until_ms: 0,
            next_query_ms: self.now_ms + self.rng.random_range(0..QUERY_INTERVAL_MS),
            next_read_ms: self.now_ms,
            inbox: Vec::new(),
        }
    }

    /// Returns the newest version that the store has.
    fn stored_version(&self) -> u64 {
        let newest = self.acknowledged_ms.len() as u64 - 1;
        let missing = self.missing.filter(|(_, until_ms)| self.now_ms < *until_ms);
        missing.map_or(newest, |(version, _)| version - 1)
    }

    /// Lets the operator write a version, which includes those that a restore lost.
    pub fn write_version(&mut self) {
        self.acknowledged_ms.push(self.now_ms);
        self.missing = None;
    }

    /// Restores the store from a backup of the given age; the operator later rewrites what is lost.
    pub fn restore(&mut self, age_ms: u64) {
        let backup_ms = self.now_ms.saturating_sub(age_ms);
        let is_lost = |at_ms: &u64| *at_ms > backup_ms;
        let first_lost = self.acknowledged_ms.iter().position(is_lost);
        let until_ms = self.now_ms + self.rng.random_range(0..=REWRITE_WITHIN_MS);
        self.era += 1;
        // The first version is older than any backup.
        self.missing = first_lost.map(|version| (version.max(2) as u64, until_ms));
    }

    /// Gives all instances the newest version without a proof, as from a peer; all query at once.
    pub fn tell_version(&mut self) {
        let version = self.stored_version();
        for instance in &mut self.instances {
            instance.version = version;
            instance.proof.record_version(version);
            instance.next_query_ms = self.now_ms;
        }
    }

    fn send(&mut self, to: usize, message: Message, extra_ms: u64) {
        if self.rng.random_bool(self.network.loss_ratio) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication_ratio));
        for _ in 0..copies {
            let delay_ms = extra_ms + self.rng.random_range(1..=self.network.delay_max_ms);
            let due = self.in_flight.entry(self.now_ms + delay_ms).or_default();
            due.push((to, message));
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let later = self.in_flight.split_off(&(self.now_ms + 1));
        for (to, message) in std::mem::replace(&mut self.in_flight, later)
            .into_values()
            .flatten()
        {
            let instance = &mut self.instances[to];
            if self.now_ms >= instance.partitioned_until_ms {
                instance.inbox.push(message);
            }
        }
        for number in 0..self.instances.len() {
            if self.now_ms >= self.instances[number].frozen_until_ms {
                self.run_due(number);
            }
        }
    }

    /// Runs what is due at one instance, the messages that waited in its socket first.
    fn run_due(&mut self, number: usize) {
        let stored_version = self.stored_version();
        for message in std::mem::take(&mut self.instances[number].inbox) {
            let now_ms = self.now_ms - self.instances[number].started_ms;
            let instance = &mut self.instances[number];
            match message {
                Message::Query(from, query) => {
                    let answer = instance.proof.answer(now_ms, query);
                    if answer.age_ms.is_none() {
                        instance.unanswered.record(now_ms, from, query);
                    }
                    self.send(from, Message::Answer(answer), 0);
                }
                Message::Answer(answer) => {
                    // A newer version is fetched from the peer, here at once.
                    if answer.version > instance.version {
                        instance.version = answer.version;
                        instance.next_query_ms = self.now_ms;
                    }
                    instance.proof.record_version(instance.version);
                    instance.proof.enter_era(now_ms, answer.era);
                    if instance.proof.take(&answer) {
                        self.answer_unanswered(number);
                    }
                }
                Message::Read {
                    boot,
                    begun_ms,
                    era,
                    version,
                } if boot == instance.boot => {
                    instance.version = instance.version.max(version);
                    instance.proof.record_version(instance.version);
                    instance.proof.enter_era(now_ms, era);
                    instance.proof.read(era, begun_ms);
                    self.answer_unanswered(number);
                }
                Message::Read { .. } => {}
            }
        }
        let is_partitioned = self.now_ms < self.instances[number].partitioned_until_ms;
        let instance = &mut self.instances[number];
        let now_ms = self.now_ms - instance.started_ms;
        let is_watcher = number < self.watcher_count;
        let is_reader = is_watcher || instance.version == 0;
        if is_reader && self.now_ms >= instance.next_read_ms {
            instance.next_read_ms = self.now_ms + WATCH_MS;
            let read = Message::Read {
                boot: instance.boot,
                begun_ms: now_ms,
                era: self.era,
                version: stored_version,
            };
            if !is_partitioned {
                self.send(number, read, 0);
            }
        }
        let instance = &mut self.instances[number];
        if self.now_ms >= instance.next_query_ms {
            instance.next_query_ms = self.now_ms + QUERY_INTERVAL_MS;
            let query = instance.proof.question(now_ms);
            for _ in 0..2 {
                let peer = self.rng.random_range(0..self.instances.len());
                if !is_partitioned {
                    self.send(peer, Message::Query(number, query), 0);
                }
            }
        }
    }

    /// Answers the queries that came before an instance had a proof, if it has one now.
    fn answer_unanswered(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let now_ms = self.now_ms - instance.started_ms;
        if instance.proof.age_ms(now_ms).is_none() {
            return;
        }
        for (peer, query) in instance.unanswered.take(now_ms) {
            let answer = self.instances[number].proof.answer(now_ms, query);
            self.send(peer, Message::Answer(answer), 0);
        }
    }

    /// Whether an instance would accept a key of its version now.
    pub fn serves(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let now_ms = self.now_ms - instance.started_ms;
        let is_running = self.now_ms >= instance.frozen_until_ms;
        is_running && instance.version > 0 && instance.proof.is_proven(now_ms, BOUND_MS)
    }

    /// Checks that no instance that serves lacks a version acknowledged longer ago than the bound.
    pub fn check(&self) {
        for number in 0..self.instances.len() {
            let next = self.instances[number].version as usize + 1;
            let missed_ms = self.acknowledged_ms.get(next);
            if let (true, Some(missed_ms)) = (self.serves(number), missed_ms) {
                assert!(
                    self.now_ms <= missed_ms + BOUND_MS,
                    "instance {number} serves version {} at {} ms, {next} came at {missed_ms} ms",
                    next - 1,
                    self.now_ms
                );
            }
        }
    }
}
