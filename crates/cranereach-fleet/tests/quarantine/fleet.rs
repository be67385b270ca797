//! Instances that tell each other of requests, workers that end, callers that come back.

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

/// Time between two digests, in milliseconds.
const DIGEST_EVERY_MS: i64 = 250;

/// Instances that a digest goes to, and that count a request's ends.
const FAN_OUT_COUNT: usize = 6;
const COUNTED_BY_COUNT: usize = 2;

/// Share of messages that are lost.
const LOST_SHARE: f64 = 0.05;

/// Time for which a worker that ended is away, in milliseconds.
const AWAY_MS: i64 = 4_000;

/// Time after which knowledge of a third end counts as gone round, in milliseconds.
const KNOWN_WITHIN_MS: i64 = 3_000;

/// Workers of a rack.
const RACK_COUNT: usize = 5;

/// Times that a caller comes back whose request came to nothing.
const RETURN_MAX_COUNT: u32 = 3;

/// Returns what a request of a number is known by.
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

/// What a world is like.
#[derive(Clone, Copy, Debug)]
pub struct World {
    pub seed: u64,
    pub instance_count: usize,
    pub worker_count: usize,
    /// Workers that hold each model.
    pub replica_count: usize,
    /// Requests that end their workers.
    pub ending_count: usize,
    /// Single workers lost a second, and racks.
    pub lost_per_s: f64,
    pub racks_lost_per_s: f64,
    /// Requests open at a worker, about.
    pub open_count: usize,
    /// Tries of one call.
    pub attempt_count: u32,
}

/// What happened in a world.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub harmless: usize,
    pub harmless_refused: usize,
    pub harmless_apart: usize,
    pub worker_ends: usize,
    /// Sends beyond what may be of the request that was sent most often.
    pub late_sends: usize,
    pub told_most: usize,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    number: u64,
    is_ending: bool,
    model: usize,
    returns: u32,
    tries: u32,
    instance: usize,
    knew_of_end: bool,
    is_apart: bool,
    ends_at_ms: i64,
}

struct Worker {
    start: u64,
    back_at_ms: i64,
    open: Vec<Call>,
}

struct Run {
    world: World,
    rng: StdRng,
    now_ms: i64,
    instances: Vec<Quarantine>,
    workers: Vec<Worker>,
    waiting: Vec<(i64, Call)>,
    /// Ends under each ending request, and its sends: when, in milliseconds.
    ends: HashMap<u64, Vec<i64>>,
    sends: HashMap<u64, Vec<i64>>,
    next: u64,
    outcome: Outcome,
}

/// Plays a world for a time, in milliseconds.
pub fn play(world: World, for_ms: i64) -> Outcome {
    let worker = |number: usize| Worker {
        start: number as u64,
        back_at_ms: 0,
        open: Vec::new(),
    };
    let mut run = Run {
        world,
        rng: StdRng::seed_from_u64(world.seed),
        now_ms: 0,
        instances: vec![Quarantine::default(); world.instance_count],
        workers: (0..world.worker_count).map(worker).collect(),
        waiting: Vec::new(),
        ends: HashMap::new(),
        sends: HashMap::new(),
        next: world.worker_count as u64,
        outcome: Outcome::default(),
    };
    for _ in 0..world.ending_count {
        let at_ms = run.rng.random_range(0..10_000);
        let call = run.call(true);
        run.waiting.push((at_ms, call));
    }
    while run.now_ms < for_ms {
        run.step();
        run.now_ms += STEP_MS;
    }
    run.outcome.late_sends = run.late_sends();
    run.outcome
}

impl Run {
    fn call(&mut self, is_ending: bool) -> Call {
        self.next += 1;
        let model_count = self.world.worker_count / self.world.replica_count;
        Call {
            number: self.next,
            is_ending,
            model: self.rng.random_range(0..model_count),
            returns: 0,
            tries: 0,
            instance: 0,
            knew_of_end: false,
            is_apart: false,
            ends_at_ms: 0,
        }
    }

    fn step(&mut self) {
        self.finish();
        self.lose_workers();
        // Each call stays for a second on the average.
        let arrivals = self.world.worker_count * self.world.open_count * STEP_MS as usize / 1_000;
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
        if now_ms % DIGEST_EVERY_MS == 0 {
            self.tell();
        }
    }

    /// A call comes to some instance.
    fn receive(&mut self, mut call: Call) {
        call.instance = self.rng.random_range(0..self.instances.len());
        call.tries = 0;
        self.send(call);
    }

    /// Sends a call to a worker unless it is quarantined.
    fn send(&mut self, mut call: Call) {
        let suspicion = self.instances[call.instance].suspicion(mark(call.number));
        if suspicion.is_quarantined {
            if call.is_ending {
                self.come_back(call);
            } else {
                self.outcome.harmless_refused += 1;
            }
            return;
        }
        let model_count = self.world.worker_count / self.world.replica_count;
        let now_ms = self.now_ms;
        let holders = (0..self.workers.len()).filter(|worker| {
            worker % model_count == call.model && self.workers[*worker].back_at_ms <= now_ms
        });
        let is_apart = suspicion.end_count >= 2;
        let workers = &self.workers;
        let holders = holders.filter(|worker| {
            !is_apart || workers[*worker].open.iter().all(|other| !other.is_apart)
        });
        let least = holders.min_by_key(|worker| self.workers[*worker].open.len());
        let Some(worker) = least else {
            if is_apart && !call.is_ending {
                self.outcome.harmless_apart += 1;
            }
            self.come_back(call);
            return;
        };
        call.is_apart = is_apart;
        call.tries += 1;
        call.knew_of_end = suspicion.end_count > 0;
        let stays_ms = if call.is_ending {
            100
        } else {
            self.rng.random_range(100..1_900)
        };
        call.ends_at_ms = now_ms + stays_ms;
        self.workers[worker].open.push(call);
        if call.is_ending {
            self.sends.entry(call.number).or_default().push(now_ms);
        }
    }

    fn come_back(&mut self, mut call: Call) {
        call.returns += 1;
        if call.is_ending || call.returns <= RETURN_MAX_COUNT {
            let at_ms = self.now_ms + self.rng.random_range(200..2_000);
            self.waiting.push((at_ms, call));
        }
    }

    /// Ends what is due: answers, and workers under requests that end them.
    fn finish(&mut self) {
        let now_ms = self.now_ms;
        for worker in 0..self.workers.len() {
            let open = &mut self.workers[worker].open;
            let done: Vec<Call> = open
                .extract_if(.., |call| call.ends_at_ms <= now_ms && !call.is_ending)
                .collect();
            let is_its_end = open.iter().any(|call| call.ends_at_ms <= now_ms);
            for call in done {
                let known = &mut self.instances[call.instance];
                if known.clear(now_ms, mark(call.number)).is_some() {
                    self.report(call);
                }
            }
            if is_its_end {
                self.end(worker);
            }
        }
    }

    fn lose_workers(&mut self) {
        let chance = |per_s: f64| (per_s * STEP_MS as f64 / 1_000.0).min(1.0);
        if self.rng.random_bool(chance(self.world.lost_per_s)) {
            let worker = self.rng.random_range(0..self.workers.len());
            self.end(worker);
        }
        if self.rng.random_bool(chance(self.world.racks_lost_per_s)) {
            let first = self.rng.random_range(0..self.workers.len());
            for place in 0..RACK_COUNT {
                self.end((first + place) % self.workers.len());
            }
        }
    }

    /// A worker ends with all that it runs.
    fn end(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        self.next += 1;
        let start = std::mem::replace(&mut self.workers[worker].start, self.next);
        self.workers[worker].back_at_ms = now_ms + AWAY_MS;
        self.outcome.worker_ends += 1;
        for call in std::mem::take(&mut self.workers[worker].open) {
            if call.is_ending {
                self.ends.entry(call.number).or_default().push(now_ms);
            }
            self.instances[call.instance].ended(now_ms, mark(call.number), start, call.knew_of_end);
            self.report(call);
            let end_count = self.instances[call.instance]
                .suspicion(mark(call.number))
                .end_count;
            if call.tries < self.world.attempt_count && end_count < 2 {
                self.send(call);
            } else {
                self.come_back(call);
            }
        }
    }

    /// Tells those who count a request's ends.
    fn report(&mut self, call: Call) {
        let mark = mark(call.number);
        let Some(news) = self.instances[call.instance].update_for(self.now_ms, mark) else {
            return;
        };
        for place in 0..COUNTED_BY_COUNT {
            let first = mark.fingerprint.ranking_key() as usize % self.instances.len();
            self.pass(
                (first + place) % self.instances.len(),
                std::slice::from_ref(&news),
            );
        }
    }

    fn pass(&mut self, to: usize, news: &[SuspectUpdate]) {
        if !self.rng.random_bool(LOST_SHARE) {
            for of in news {
                self.instances[to].apply_update(self.now_ms, of);
            }
        }
    }

    fn tell(&mut self) {
        let others: Vec<usize> = (0..self.instances.len()).collect();
        for reporter in 0..self.instances.len() {
            self.instances[reporter].forget(self.now_ms);
            let news = self.instances[reporter].select_for_digest(self.now_ms, &mut self.rng);
            self.outcome.told_most = self.outcome.told_most.max(news.len());
            let chosen: Vec<usize> = others
                .sample(&mut self.rng, FAN_OUT_COUNT)
                .copied()
                .collect();
            for to in chosen.into_iter().filter(|to| *to != reporter) {
                self.pass(to, &news);
            }
        }
    }

    /// Counts the sends of each ending request later than its third end can be known, and
    /// returns the most.
    fn late_sends(&self) -> usize {
        let late = self.sends.iter().map(|(number, sends)| {
            let third = self
                .ends
                .get(number)
                .and_then(|ends| ends.get(END_MAX_COUNT - 1));
            let from_ms = third.map_or(i64::MAX, |at_ms| at_ms + KNOWN_WITHIN_MS);
            sends.iter().filter(|at_ms| **at_ms > from_ms).count()
        });
        late.max().unwrap_or(0)
    }
}
