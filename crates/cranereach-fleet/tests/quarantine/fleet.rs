//! Simulated fleet: instances that gossip about requests, workers that end, and callers that retry.
//!
//! A fatal request is one under which each worker that runs it ends; all others are harmless.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use cranereach_fleet::fingerprint::Content;
use cranereach_fleet::fingerprint::Fingerprint;
use cranereach_fleet::fingerprint::FingerprintKey;
use cranereach_fleet::quarantine::END_MAX_COUNT;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::quarantine::RequestMark;
use cranereach_fleet::quarantine::SuspectUpdate;

/// Time of one step, in milliseconds.
pub const STEP_MS: i64 = 50;

/// Interval at which instances send gossip digests, in milliseconds.
const DIGEST_INTERVAL_MS: i64 = 250;

/// Number of instances that a digest is sent to, and that count the ends under a request.
const FAN_OUT_COUNT: usize = 6;
const COUNTER_COUNT: usize = 2;

/// Share of the messages that are lost.
const MESSAGE_LOSS_RATIO: f64 = 0.05;

/// Time for which a worker that ended is down, in milliseconds.
const WORKER_RESTART_MS: i64 = 4_000;

/// Time after which all instances are expected to know of a third end, in milliseconds.
const PROPAGATION_MS: i64 = 3_000;

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 5;

/// Maximum number of times that a caller repeats a harmless request that failed.
const CLIENT_RETRY_MAX_COUNT: u32 = 3;

/// Returns the mark of the request with the given number.
pub fn mark(number: u64) -> RequestMark {
    let content = Content {
        account: None,
        method: "POST",
        host: b"h",
        target: "/",
        model: b"",
        prompt_parts: b"",
        body: &number.to_le_bytes(),
    };
    let fingerprint: Fingerprint = content.fingerprint(&FingerprintKey::new(""));
    RequestMark {
        body_bytes: 8,
        fingerprint,
    }
}

/// Parameters of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub instance_count: usize,
    pub worker_count: usize,
    /// Number of workers that hold each model.
    pub replica_count: usize,
    /// Number of fatal requests.
    pub fatal_count: usize,
    /// Single workers that end per second for other reasons, and whole racks.
    pub lost_per_s: f64,
    pub racks_lost_per_s: f64,
    /// Approximate number of requests that run on a worker.
    pub open_count: usize,
    /// Maximum number of attempts of one call.
    pub attempt_count: u32,
}

/// Counts from a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub harmless: usize,
    pub harmless_refused: usize,
    pub harmless_unplaced: usize,
    pub worker_ends: usize,
    /// Highest number of sends of one fatal request later than all instances should know of its
    /// third end.
    pub late_sends: usize,
    pub digest_max_len: usize,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    number: u64,
    is_fatal: bool,
    model: usize,
    client_retries: u32,
    attempts: u32,
    instance: usize,
    knew_of_end: bool,
    is_isolated: bool,
    ends_at_ms: i64,
}

struct Worker {
    start: u64,
    back_at_ms: i64,
    open: Vec<Call>,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now_ms: i64,
    instances: Vec<Quarantine>,
    workers: Vec<Worker>,
    waiting: Vec<(i64, Call)>,
    /// Times of the worker ends under each fatal request, and of its sends, in milliseconds.
    ends: HashMap<u64, Vec<i64>>,
    sends: HashMap<u64, Vec<i64>>,
    next: u64,
    outcome: Outcome,
}

/// Simulates a scenario for a time in milliseconds.
pub fn simulate(scenario: Scenario, for_ms: i64) -> Outcome {
    let worker = |number: usize| Worker {
        start: number as u64,
        back_at_ms: 0,
        open: Vec::new(),
    };
    let mut simulation = Simulation {
        scenario,
        rng: StdRng::seed_from_u64(scenario.seed),
        now_ms: 0,
        instances: vec![Quarantine::default(); scenario.instance_count],
        workers: (0..scenario.worker_count).map(worker).collect(),
        waiting: Vec::new(),
        ends: HashMap::new(),
        sends: HashMap::new(),
        next: scenario.worker_count as u64,
        outcome: Outcome::default(),
    };
    for _ in 0..scenario.fatal_count {
        let at_ms = simulation.rng.random_range(0..10_000);
        let call = simulation.call(true);
        simulation.waiting.push((at_ms, call));
    }
    while simulation.now_ms < for_ms {
        simulation.step();
        simulation.now_ms += STEP_MS;
    }
    simulation.outcome.late_sends = simulation.late_sends();
    simulation.outcome
}

impl Simulation {
    fn call(&mut self, is_fatal: bool) -> Call {
        self.next += 1;
        let model_count = self.scenario.worker_count / self.scenario.replica_count;
        Call {
            number: self.next,
            is_fatal,
            model: self.rng.random_range(0..model_count),
            client_retries: 0,
            attempts: 0,
            instance: 0,
            knew_of_end: false,
            is_isolated: false,
            ends_at_ms: 0,
        }
    }

    fn step(&mut self) {
        self.complete_calls();
        self.stop_random_workers();
        // A call takes one second on average.
        let arrivals =
            self.scenario.worker_count * self.scenario.open_count * STEP_MS as usize / 1_000;
        for _ in 0..arrivals {
            let call = self.call(false);
            self.outcome.harmless += 1;
            self.receive(call);
        }
        let now_ms = self.now_ms;
        let due = self.waiting.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        for (_, call) in due.collect::<Vec<_>>() {
            self.receive(call);
        }
        if now_ms % DIGEST_INTERVAL_MS == 0 {
            self.send_digests();
        }
    }

    /// Receives a call at a random instance.
    fn receive(&mut self, mut call: Call) {
        call.instance = self.rng.random_range(0..self.instances.len());
        call.attempts = 0;
        self.send(call);
    }

    /// Sends a call to the least busy worker that may run it, unless the call is quarantined.
    fn send(&mut self, mut call: Call) {
        let suspicion = self.instances[call.instance].suspicion(mark(call.number));
        if suspicion.is_quarantined {
            if call.is_fatal {
                self.retry_later(call);
            } else {
                self.outcome.harmless_refused += 1;
            }
            return;
        }
        let model_count = self.scenario.worker_count / self.scenario.replica_count;
        let now_ms = self.now_ms;
        let holders = (0..self.workers.len()).filter(|worker| {
            worker % model_count == call.model && self.workers[*worker].back_at_ms <= now_ms
        });
        let is_isolated = suspicion.end_count >= 2;
        let workers = &self.workers;
        let holders = holders.filter(|worker| {
            !is_isolated || workers[*worker].open.iter().all(|other| !other.is_isolated)
        });
        let least = holders.min_by_key(|worker| self.workers[*worker].open.len());
        let Some(worker) = least else {
            if is_isolated && !call.is_fatal {
                self.outcome.harmless_unplaced += 1;
            }
            self.retry_later(call);
            return;
        };
        call.is_isolated = is_isolated;
        call.attempts += 1;
        call.knew_of_end = suspicion.end_count > 0;
        let stays_ms = if call.is_fatal {
            100
        } else {
            self.rng.random_range(100..1_900)
        };
        call.ends_at_ms = now_ms + stays_ms;
        self.workers[worker].open.push(call);
        if call.is_fatal {
            self.sends.entry(call.number).or_default().push(now_ms);
        }
    }

    fn retry_later(&mut self, mut call: Call) {
        call.client_retries += 1;
        if call.is_fatal || call.client_retries <= CLIENT_RETRY_MAX_COUNT {
            let at_ms = self.now_ms + self.rng.random_range(200..2_000);
            self.waiting.push((at_ms, call));
        }
    }

    /// Completes the harmless calls that are due, and ends workers whose fatal requests are due.
    fn complete_calls(&mut self) {
        let now_ms = self.now_ms;
        for worker in 0..self.workers.len() {
            let open = &mut self.workers[worker].open;
            let completed: Vec<Call> = open
                .extract_if(.., |call| call.ends_at_ms <= now_ms && !call.is_fatal)
                .collect();
            let is_fatal_due = open.iter().any(|call| call.ends_at_ms <= now_ms);
            for call in completed {
                let quarantine = &mut self.instances[call.instance];
                if quarantine.clear(now_ms, mark(call.number)).is_some() {
                    self.report_to_counters(call);
                }
            }
            if is_fatal_due {
                self.stop_worker(worker);
            }
        }
    }

    fn stop_random_workers(&mut self) {
        let chance = |per_s: f64| (per_s * STEP_MS as f64 / 1_000.0).min(1.0);
        if self.rng.random_bool(chance(self.scenario.lost_per_s)) {
            let worker = self.rng.random_range(0..self.workers.len());
            self.stop_worker(worker);
        }
        if self.rng.random_bool(chance(self.scenario.racks_lost_per_s)) {
            let first = self.rng.random_range(0..self.workers.len());
            for offset in 0..WORKERS_PER_RACK {
                self.stop_worker((first + offset) % self.workers.len());
            }
        }
    }

    /// Ends a worker, and with it all calls that it runs.
    fn stop_worker(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        self.next += 1;
        let start = std::mem::replace(&mut self.workers[worker].start, self.next);
        self.workers[worker].back_at_ms = now_ms + WORKER_RESTART_MS;
        self.outcome.worker_ends += 1;
        for call in std::mem::take(&mut self.workers[worker].open) {
            if call.is_fatal {
                self.ends.entry(call.number).or_default().push(now_ms);
            }
            self.instances[call.instance].ended(now_ms, mark(call.number), start, call.knew_of_end);
            self.report_to_counters(call);
            let end_count = self.instances[call.instance]
                .suspicion(mark(call.number))
                .end_count;
            if call.attempts < self.scenario.attempt_count && end_count < 2 {
                self.send(call);
            } else {
                self.retry_later(call);
            }
        }
    }

    /// Sends what an instance knows about a request to the instances that count its ends.
    fn report_to_counters(&mut self, call: Call) {
        let mark = mark(call.number);
        let Some(update) = self.instances[call.instance].update_for(self.now_ms, mark) else {
            return;
        };
        for offset in 0..COUNTER_COUNT {
            let first = mark.fingerprint.ranking_key() as usize % self.instances.len();
            self.deliver(
                (first + offset) % self.instances.len(),
                std::slice::from_ref(&update),
            );
        }
    }

    fn deliver(&mut self, to: usize, updates: &[SuspectUpdate]) {
        if !self.rng.random_bool(MESSAGE_LOSS_RATIO) {
            for update in updates {
                self.instances[to].apply_update(self.now_ms, update);
            }
        }
    }

    fn send_digests(&mut self) {
        let others: Vec<usize> = (0..self.instances.len()).collect();
        for reporter in 0..self.instances.len() {
            self.instances[reporter].forget(self.now_ms);
            let updates = self.instances[reporter].select_for_digest(self.now_ms, &mut self.rng);
            self.outcome.digest_max_len = self.outcome.digest_max_len.max(updates.len());
            let chosen: Vec<usize> = others
                .sample(&mut self.rng, FAN_OUT_COUNT)
                .copied()
                .collect();
            for to in chosen.into_iter().filter(|to| *to != reporter) {
                self.deliver(to, &updates);
            }
        }
    }

    /// Counts the sends of each fatal request after all instances should know of its third end, and
    /// returns the highest count.
    fn late_sends(&self) -> usize {
        let late = self.sends.iter().map(|(number, sends)| {
            let third = self
                .ends
                .get(number)
                .and_then(|ends| ends.get(END_MAX_COUNT - 1));
            let from_ms = third.map_or(i64::MAX, |at_ms| at_ms + PROPAGATION_MS);
            sends.iter().filter(|at_ms| **at_ms > from_ms).count()
        });
        late.max().unwrap_or(0)
    }
}
