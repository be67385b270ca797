//! A fleet of instances and workers whose paths can be cut. Time advances in steps; a connection
//! attempt takes no time, but its evidence is recorded when it would be known.

use std::collections::HashSet;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use cranereach_fleet::health::Health;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_fleet::reachability::PathState;
use cranereach_fleet::reachability::Reachability;
use cranereach_fleet::topology::Distance;

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 25;

/// Interval of digests, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 250;

/// Number of peers that a digest goes to.
const FAN_OUT_COUNT: usize = 6;

/// Chance of a call at an instance in one step.
const CALL_CHANCE: f64 = 0.25;

/// Number of workers that a call is offered to at most.
const OFFER_MAX_COUNT: usize = 5;

/// Duration of a partition, in milliseconds.
const PARTITION_MS: u64 = 6_000;

/// Time after the cut from which first tries are counted, in milliseconds.
const COUNTED_AFTER_MS: u64 = 500;

/// Number of peers that must have tried in vain before no more are asked.
const PEER_MISS_MAX_COUNT: usize = 2;

/// Which paths are cut.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// All paths of some instances.
    All,
    /// Most paths of some instances.
    Most,
    /// Some paths of some instances.
    Some,
    /// The path of each instance to one worker.
    OneWorker,
}

/// One instance.
#[derive(Debug, Default)]
struct Instance {
    reachability: Reachability,
    health: Vec<Health>,
    /// Workers that its paths are cut to.
    cut: HashSet<usize>,
    /// Whether callers there count as callers of a partitioned instance.
    is_partitioned: bool,
}

/// Counts of calls and offers since the last change.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    called: [usize; 2],
    served: [usize; 2],
    relayed: usize,
    offered: usize,
    offered_dark: usize,
}

/// The fleet.
#[derive(Debug)]
pub struct World {
    now_ms: u64,
    changed_ms: u64,
    rng: StdRng,
    instances: Vec<Instance>,
    dark: HashSet<usize>,
    worker_count: usize,
    failure: ConnectFailure,
    counts: Counts,
}

fn address(instance: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + instance as u32)
}

impl World {
    /// Creates a fleet of 3 to 100 instances.
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let instance_count = match seed % 3 {
            0 => rng.random_range(3..8),
            1 => rng.random_range(8..40),
            _ => rng.random_range(40..=100),
        };
        let worker_count = rng.random_range(4..30);
        let instances = (0..instance_count).map(|_| Instance {
            health: vec![Health::default(); worker_count],
            ..Instance::default()
        });
        let failure = if rng.random_bool(0.5) {
            ConnectFailure::Silent
        } else {
            ConnectFailure::Refused
        };
        Self {
            now_ms: 1_000,
            changed_ms: 1_000,
            instances: instances.collect(),
            rng,
            dark: HashSet::new(),
            worker_count,
            failure,
            counts: Counts::default(),
        }
    }

    /// Lets all instances serve and hear of each other.
    pub fn run_calm(&mut self) {
        for (from, to) in self.all_pairs() {
            self.send_digest(from, to);
        }
        self.run(2_000);
    }

    fn all_pairs(&self) -> Vec<(usize, usize)> {
        let count = self.instances.len();
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        pairs.filter(|(from, to)| from != to).collect()
    }

    /// Cuts random paths; at least one instance keeps all of its own.
    pub fn cut_at_random(&mut self) -> Cut {
        let cut = [Cut::All, Cut::Most, Cut::Some][self.rng.random_range(0..3)];
        self.cut(cut);
        cut
    }

    /// Cuts paths.
    pub fn cut(&mut self, cut: Cut) {
        let instance_count = self.instances.len();
        let cut_count = match cut {
            Cut::OneWorker => instance_count,
            Cut::All | Cut::Most | Cut::Some => self.rng.random_range(1..instance_count),
        };
        let worker_count = self.worker_count;
        let chosen = (0..instance_count).sample(&mut self.rng, cut_count);
        for instance in chosen {
            let lost_count = match cut {
                Cut::All => worker_count,
                Cut::Most => worker_count.div_ceil(2) + worker_count / 4,
                Cut::Some => worker_count.div_ceil(3),
                Cut::OneWorker => 1,
            };
            let lost = (0..worker_count).sample(&mut self.rng, lost_count);
            let instance = &mut self.instances[instance];
            instance.cut = lost.into_iter().collect();
            instance.is_partitioned = true;
        }
        self.start_counting();
    }

    /// Makes up to a third of the workers dark.
    pub fn darken_some_workers(&mut self) {
        let count = self.rng.random_range(1..=self.worker_count / 3);
        let chosen = (0..self.worker_count).sample(&mut self.rng, count);
        self.dark = chosen.into_iter().collect();
        self.start_counting();
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        for instance in &mut self.instances {
            instance.cut.clear();
        }
        self.start_counting();
    }

    fn start_counting(&mut self) {
        self.changed_ms = self.now_ms;
        self.counts = Counts::default();
    }

    /// Runs a partition; returns the shares of first tries served at partitioned instances and at
    /// the others.
    pub fn run_partition(&mut self) -> (Option<f64>, Option<f64>) {
        self.run(PARTITION_MS);
        let share = |index: usize| {
            let called = self.counts.called[index];
            (called > 20).then(|| self.counts.served[index] as f64 / called as f64)
        };
        (share(1), share(0))
    }

    /// Runs until no instance avoids a direct path; returns how long that took, in milliseconds.
    pub fn run_healed(&mut self) -> u64 {
        for _ in 0..200 {
            let now_ms = self.now_ms;
            let worker_count = self.worker_count as u64;
            let is_back = self.instances.iter().all(|instance| {
                let plan = |worker| instance.reachability.plan(now_ms, worker);
                (0..worker_count).all(|worker| plan(worker).tries_direct)
            });
            if is_back {
                return now_ms - self.changed_ms;
            }
            self.run(STEP_MS);
        }
        u64::MAX
    }

    /// Returns the share of the offers that went to dark workers.
    pub fn dark_offer_share(&self) -> f64 {
        self.counts.offered_dark as f64 / self.counts.offered.max(1) as f64
    }

    /// Returns the share of the served calls that a peer relayed.
    pub fn relayed_share(&self) -> f64 {
        let served: usize = self.counts.served.iter().sum();
        self.counts.relayed as f64 / served.max(1) as f64
    }

    /// Whether an instance avoids a worker that is not dark.
    pub fn avoids_sound_workers(&self) -> bool {
        self.instances.iter().any(|instance| {
            let mut workers = instance.health.iter().enumerate();
            workers.any(|(worker, health)| {
                health.is_unreachable(self.now_ms) && !self.dark.contains(&worker)
            })
        })
    }

    fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for instance in 0..self.instances.len() {
                if self.rng.random_bool(CALL_CHANCE) {
                    self.call(instance);
                }
            }
            if self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS) {
                self.round();
            }
        }
    }

    /// Sends digests and probes failing paths.
    fn round(&mut self) {
        let count = self.instances.len();
        for from in 0..count {
            for to in (0..count).sample(&mut self.rng, FAN_OUT_COUNT) {
                if from != to {
                    self.send_digest(from, to);
                }
            }
            let reachability = &self.instances[from].reachability;
            let mut due = reachability.probes_due(self.now_ms);
            if reachability.is_isolated(self.now_ms) {
                due.push(self.rng.random_range(0..self.worker_count) as u64);
            }
            for worker in due {
                self.connect_directly(from, worker as usize);
            }
        }
    }

    fn send_digest(&mut self, from: usize, to: usize) {
        let now_ms = self.now_ms;
        let sender = &self.instances[from];
        let report = sender.reachability.report(now_ms);
        let unreachable: Vec<usize> = (0..self.worker_count)
            .filter(|worker| sender.health[*worker].has_failed_to_connect(now_ms))
            .collect();
        let alive_count = self.instances.len() - 1;
        let receiver = &mut self.instances[to];
        let reachability = &mut receiver.reachability;
        reachability.take_reach_report(now_ms, address(from), Some(report));
        for worker in unreachable {
            let key = worker as u64;
            if reachability.take_unreachable_report(now_ms, key, address(from), alive_count) {
                receiver.health[worker].note_reported_unreachable(now_ms);
            }
        }
    }

    /// Serves one call: offers it to workers until one is connected.
    fn call(&mut self, instance: usize) {
        let mut is_served = false;
        let mut is_relayed = false;
        for _ in 0..OFFER_MAX_COUNT {
            let Some(worker) = self.choose(instance) else {
                break;
            };
            let is_counted = self.now_ms >= self.changed_ms + COUNTED_AFTER_MS;
            self.counts.offered += usize::from(is_counted);
            let is_dark = self.dark.contains(&worker);
            self.counts.offered_dark += usize::from(is_counted && is_dark);
            self.instances[instance].health[worker].tried(self.now_ms);
            if let Some(relayed) = self.connect(instance, worker) {
                (is_served, is_relayed) = (true, relayed);
                self.instances[instance].health[worker].reached();
                break;
            }
            let is_dark = {
                let reachability = &self.instances[instance].reachability;
                reachability.is_dark_for_all(self.now_ms, worker as u64)
            };
            let health = &mut self.instances[instance].health[worker];
            if is_dark {
                health.unreachable(self.now_ms);
            } else {
                health.not_connected(self.now_ms);
            }
        }
        if self.now_ms >= self.changed_ms + COUNTED_AFTER_MS {
            let index = usize::from(self.instances[instance].is_partitioned);
            self.counts.called[index] += 1;
            self.counts.served[index] += usize::from(is_served);
            self.counts.relayed += usize::from(is_relayed);
        }
    }

    /// Chooses a worker that calls do not avoid, else one that may be tried again.
    fn choose(&mut self, instance: usize) -> Option<usize> {
        let now_ms = self.now_ms;
        let health = &self.instances[instance].health;
        let sound = (0..self.worker_count).filter(|worker| !health[*worker].is_ejected(now_ms));
        let tried = (0..self.worker_count).filter(|worker| health[*worker].may_try(now_ms));
        sound
            .choose(&mut self.rng)
            .or_else(|| tried.choose(&mut self.rng))
    }

    /// Connects to a worker as planned; returns whether a peer relays the connection.
    fn connect(&mut self, instance: usize, worker: usize) -> Option<bool> {
        let now_ms = self.now_ms;
        let key = worker as u64;
        let plan = self.instances[instance].reachability.plan(now_ms, key);
        if plan.tries_direct && self.connect_directly(instance, worker) {
            return Some(false);
        }
        if !plan.asks_peers {
            return None;
        }
        let peers = (0..self.instances.len()).filter(|peer| *peer != instance);
        let peers = peers.map(|peer| (address(peer), Distance::OwnDomain));
        let reachability = &self.instances[instance].reachability;
        let chosen = reachability.choose_peers(now_ms, peers, 5, &mut self.rng);
        let mut miss_count = 0;
        for peer in chosen {
            let index = (u32::from(peer) - 0x0a00_0001) as usize;
            if self.instances[index].reachability.is_isolated(now_ms) {
                self.instances[instance]
                    .reachability
                    .peer_failed(now_ms, peer);
                continue;
            }
            let is_reached = self.connect_directly(index, worker);
            let reachability = &mut self.instances[instance].reachability;
            if is_reached {
                reachability.peer_reached(now_ms, key, peer);
                return Some(true);
            }
            reachability.peer_missed(now_ms, key, peer);
            miss_count += 1;
            if miss_count == PEER_MISS_MAX_COUNT {
                break;
            }
        }
        None
    }

    fn connect_directly(&mut self, instance: usize, worker: usize) -> bool {
        let is_cut = self.instances[instance].cut.contains(&worker);
        let is_reached = !is_cut && !self.dark.contains(&worker);
        let state = &mut self.instances[instance];
        let key = worker as u64;
        if is_reached {
            state.reachability.direct_succeeded(self.now_ms, key);
            state.health[worker].reached();
        } else {
            state
                .reachability
                .direct_failed(self.now_ms, key, self.failure);
            debug_assert_ne!(state.reachability.state(self.now_ms, key), PathState::Open);
        }
        is_reached
    }
}
