//! Simulated fleet: instances that gossip about requests, workers that end, and callers that retry.
//!
//! A fatal request is one under which each worker that runs it ends; all others are harmless.
//! Prompts have parts if the scenario says so ([`super::prompts`]); requests are then fatal because
//! of a part that they share.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::calls::Call;
use super::calls::request_key;
use super::prompts::Prompt;
use super::prompts::Prompts;
use super::scenario::Outcome;
use super::scenario::Scenario;
use cranereach_fleet::quarantine::END_MAX_COUNT;
use cranereach_fleet::quarantine::KnownEnds;
use cranereach_fleet::quarantine::PROGRESS_MS;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::quarantine::RequestKeys;
use cranereach_fleet::quarantine::SuspectKey;

/// Time of one step, in milliseconds.
pub const STEP_MS: i64 = 50;

/// Interval at which instances send gossip digests, in milliseconds.
const DIGEST_INTERVAL_MS: i64 = 250;

/// Time for which a worker that ended is down, in milliseconds.
const WORKER_RESTART_MS: i64 = 4_000;

/// Time after which all instances are expected to know of a third end, in milliseconds.
const PROPAGATION_MS: i64 = 3_000;

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 5;

/// Maximum number of times that a caller repeats a harmless request that failed.
const CLIENT_RETRY_MAX_COUNT: u32 = 3;

struct Worker {
    start: u64,
    back_at_ms: i64,
    open: Vec<Call>,
}

pub struct Simulation {
    scenario: Scenario,
    pub rng: StdRng,
    pub now_ms: i64,
    pub instances: Vec<Quarantine>,
    workers: Vec<Worker>,
    waiting: Vec<(i64, Call)>,
    /// Times of the worker ends under each fatal request, and of its sends, in milliseconds.
    ends: HashMap<u64, Vec<i64>>,
    sends: HashMap<u64, Vec<i64>>,
    next: u64,
    pub outcome: Outcome,
    pub prompts: Option<Prompts>,
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
        prompts: scenario.prompts.map(Prompts::new),
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
    if let Some(prompts) = &simulation.prompts {
        simulation.outcome.prompts = prompts.outcome();
    }
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
            known_ends: KnownEnds::default(),
            is_isolated: false,
            sent_at_ms: 0,
            ends_at_ms: 0,
            prompt: Prompt::default(),
            received_ms: self.now_ms,
        }
    }

    fn step(&mut self) {
        self.record_progress();
        self.complete_calls();
        self.stop_random_workers();
        // A call takes one second on average.
        let arrivals =
            self.scenario.worker_count * self.scenario.open_count * STEP_MS as usize / 1_000;
        for _ in 0..arrivals {
            let mut call = self.call(false);
            if let Some(prompts) = &self.prompts {
                call.prompt = prompts.sound(call.number, &mut self.rng);
                call.is_fatal = prompts.is_fatal(&call.prompt, self.now_ms, &mut self.rng);
            }
            self.outcome.harmless += usize::from(!call.is_fatal);
            self.receive(call);
        }
        self.receive_poison_prompts();
        self.change_instances();
        let now_ms = self.now_ms;
        let due = self.waiting.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        for (_, call) in due.collect::<Vec<_>>() {
            self.receive(call);
        }
        if now_ms % DIGEST_INTERVAL_MS == 0 {
            self.send_digests();
        }
    }

    /// Receives the requests with poison parts that come in a step.
    fn receive_poison_prompts(&mut self) {
        let due = self.prompts.as_mut();
        let due = due.map_or(0, |prompts| prompts.poison_due(self.now_ms, STEP_MS));
        for _ in 0..due {
            let mut call = self.call(false);
            if let Some(prompts) = &self.prompts {
                call.prompt = prompts.poison(call.number, &mut self.rng);
                call.is_fatal = prompts.is_fatal(&call.prompt, self.now_ms, &mut self.rng);
            }
            self.receive(call);
        }
    }

    /// Starts instances anew, which then know nothing.
    fn change_instances(&mut self) {
        let Some(prompts) = &self.prompts else {
            return;
        };
        if let Some(instance) = prompts.restarted(self.now_ms, self.instances.len()) {
            self.instances[instance] = Quarantine::default();
        }
    }

    /// Receives a call at a random instance.
    fn receive(&mut self, mut call: Call) {
        call.instance = self.rng.random_range(0..self.instances.len());
        call.attempts = 0;
        if let Some(prompts) = &mut self.prompts
            && call.client_retries == 0
        {
            prompts.note_sound(&call.prompt, call.received_ms, false);
        }
        self.send(call);
    }

    /// Returns whether a call that is quarantined for a part may be sent as a probe.
    fn is_probe(&mut self, call: &Call, part: SuspectKey) -> bool {
        let prober = part.fingerprint.ranking_key() as usize % self.instances.len();
        call.instance == prober && self.instances[prober].begin_probe(self.now_ms, part)
    }

    /// Returns the keys of a call: its content, then the parts of its prompt.
    fn keys(call: &Call) -> Vec<SuspectKey> {
        let parts = call.prompt.parts().iter();
        let parts = parts.flat_map(|part| [SuspectKey::part(*part), SuspectKey::late_part(*part)]);
        std::iter::once(request_key(call.number))
            .chain(parts)
            .collect()
    }

    /// Sends a call to the least busy worker that may run it, unless the call is quarantined.
    fn send(&mut self, mut call: Call) {
        let judgement = self.instances[call.instance].judge(&RequestKeys {
            content: Some(request_key(call.number)),
            parts: call.prompt.parts(),
        });
        let suspicion = judgement.content;
        if suspicion.is_quarantined {
            if call.is_fatal {
                self.retry_later(call);
            } else {
                self.outcome.harmless_refused += 1;
            }
            return;
        }
        if let Some(part) = judgement.quarantined_part
            && !self.is_probe(&call, part)
        {
            if let Some(prompts) = &mut self.prompts {
                prompts.note_refused(&call.prompt);
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
        call.known_ends = judgement.known_ends;
        let stays_ms = if call.is_fatal {
            self.prompts.as_ref().map_or(100, Prompts::ends_after_ms)
        } else {
            self.rng.random_range(100..1_900)
        };
        call.sent_at_ms = now_ms;
        call.ends_at_ms = now_ms + stays_ms;
        self.workers[worker].open.push(call);
        if call.is_fatal {
            self.sends.entry(call.number).or_default().push(now_ms);
        }
        let is_cut = self.is_cut(call.instance);
        if let Some(prompts) = &mut self.prompts {
            prompts.note_sent(&call.prompt, now_ms, is_cut);
        }
    }

    fn retry_later(&mut self, mut call: Call) {
        call.client_retries += 1;
        let is_persistent = call.is_fatal && self.prompts.is_none();
        if is_persistent || call.client_retries <= CLIENT_RETRY_MAX_COUNT {
            let at_ms = self.now_ms + self.rng.random_range(200..2_000);
            self.waiting.push((at_ms, call));
        }
    }

    /// Clears the parts of the calls that have written for long enough.
    fn record_progress(&mut self) {
        let now_ms = self.now_ms;
        let exonerates = self.prompts.as_ref().is_some_and(Prompts::exonerates);
        let is_due = |call: &&Call| {
            let written_ms = now_ms - call.sent_at_ms;
            written_ms > 0 && written_ms % PROGRESS_MS as i64 == 0
        };
        let open = self.workers.iter().flat_map(|worker| &worker.open);
        let due: Vec<Call> = open
            .filter(is_due)
            .filter(|_| exonerates)
            .copied()
            .collect();
        for call in due {
            for part in call.prompt.parts() {
                let key = SuspectKey::part(*part);
                let quarantine = &mut self.instances[call.instance];
                let cleared = quarantine.clear_as_of(now_ms, key, call.sent_at_ms);
                if cleared.is_some() {
                    self.report_to_counters(call.instance, key);
                }
            }
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
                let exonerates = self.prompts.as_ref().is_none_or(Prompts::exonerates);
                for key in Self::keys(&call) {
                    if key.is_part() && !exonerates {
                        continue;
                    }
                    let quarantine = &mut self.instances[call.instance];
                    if quarantine.clear(now_ms, key).is_some() {
                        self.report_to_counters(call.instance, key);
                    }
                }
                if let Some(prompts) = &mut self.prompts
                    && call.client_retries == 0
                    && call.attempts == 1
                {
                    prompts.note_sound(&call.prompt, call.received_ms, true);
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
        let mut ended_parts = Vec::new();
        for call in std::mem::take(&mut self.workers[worker].open) {
            if call.is_fatal {
                self.ends.entry(call.number).or_default().push(now_ms);
                ended_parts.extend(call.prompt.poison_parts());
            }
            let keys = RequestKeys {
                content: Some(request_key(call.number)),
                parts: call.prompt.parts(),
            };
            let instance = &mut self.instances[call.instance];
            let new_keys =
                instance.request_ended(now_ms, &keys, start, call.known_ends, call.phase(now_ms));
            for key in new_keys {
                self.report_to_counters(call.instance, key);
            }
            let end_count = self.instances[call.instance]
                .suspicion(request_key(call.number))
                .end_count;
            if call.attempts < self.scenario.attempt_count && end_count < 2 {
                self.send(call);
            } else {
                self.retry_later(call);
            }
        }
        if let Some(prompts) = &mut self.prompts {
            prompts.note_ends(ended_parts, now_ms);
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
