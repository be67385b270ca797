//! Evacuations in a simulated network with delay, loss, duplicates, freezes, disconnections,
//! restarts and the loss of the instances that watch the store.
//!
//! An instance with a proof that its list is the newest doesn't send to an evacuated domain after
//! the bound, and every instance in contact with the others has such a proof.

mod lists;

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::evacuation::EvacuationList;
use cranereach_fleet::evacuation::Evacuations;
use cranereach_fleet::proof::Proof;
use cranereach_fleet::proof::ProofAnswer;
use cranereach_fleet::proof::ProofQuery;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

/// Time from the operator's request of an evacuation to the last send to the domain, in
/// milliseconds.
const BOUND_MS: u64 = 5_000;

/// Time within which changes take effect without disturbances, in milliseconds.
const CHANGE_MS: u64 = 3_000;

/// Time for which an instance must be undisturbed to count as in contact, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// Time between two rounds of queries and digests, in milliseconds, as in the gateway.
const QUERY_INTERVAL_MS: u64 = 200;

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 20;

/// Number of domains that may be evacuated.
const DOMAIN_COUNT: u64 = 3;

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    Query(usize, ProofQuery),
    Answer(ProofAnswer),
    News(EvacuationList),
    /// The reader's boot number, the time of the read by the reader's clock, and the whole table.
    Read(u64, u64, EvacuationList),
}

/// A simulated instance.
struct Instance {
    proof: Proof,
    known: Evacuations,
    boot: u64,
    started_ms: u64,
    disturbed_at_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    next_query_ms: u64,
    next_read_ms: u64,
    inbox: Vec<Message>,
}

impl Instance {
    fn is_cut(&self, now_ms: u64) -> bool {
        now_ms < self.cut_until_ms
    }

    fn is_calm(&self, now_ms: u64) -> bool {
        now_ms >= self.frozen_until_ms && !self.is_cut(now_ms)
    }
}

/// The simulated instances and the store.
struct World {
    instances: Vec<Instance>,
    delay_max_ms: u64,
    loss_rate: f64,
    now_ms: u64,
    store: EvacuationList,
    /// Time at which the evacuation of each domain was requested, in milliseconds.
    requested_ms: BTreeMap<u64, u64>,
    in_transit: BTreeMap<u64, Vec<(usize, Message)>>,
    rng: StdRng,
}

impl World {
    fn start(count: usize, delay_max_ms: u64, loss_rate: f64, seed: u64) -> Self {
        let mut world = Self {
            instances: Vec::new(),
            delay_max_ms,
            loss_rate,
            now_ms: 100_000,
            store: EvacuationList {
                position: at(1),
                domains: Vec::new(),
            },
            requested_ms: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..count {
            let instance = world.new_instance();
            world.instances.push(instance);
        }
        world
    }

    /// Creates an instance that has just started.
    fn new_instance(&mut self) -> Instance {
        let boot = self.rng.random();
        Instance {
            proof: Proof::new(boot, CHANGE_MS),
            known: Evacuations::default(),
            boot,
            started_ms: self.now_ms - self.rng.random_range(0..50_000),
            disturbed_at_ms: self.now_ms,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            next_query_ms: self.now_ms + self.rng.random_range(0..QUERY_INTERVAL_MS),
            next_read_ms: self.now_ms,
            inbox: Vec::new(),
        }
    }

    /// Lets the operator request the evacuation of a domain, or withdraw the request.
    fn toggle_evacuation(&mut self, domain: u64) {
        let position = at(self.store.position.version + 1);
        let is_withdrawn = self.requested_ms.remove(&domain).is_some();
        if !is_withdrawn {
            self.requested_ms.insert(domain, self.now_ms);
        }
        self.store = self.store.clone().changed(domain, position, is_withdrawn);
    }

    fn send(&mut self, to: usize, message: &Message) {
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.loss_rate));
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..=self.delay_max_ms);
            let due = self.in_transit.entry(self.now_ms + delay_ms).or_default();
            due.push((to, message.clone()));
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let later = self.in_transit.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.in_transit, later);
        for (to, message) in due.into_values().flatten() {
            let instance = &mut self.instances[to];
            if !instance.is_cut(self.now_ms) {
                instance.inbox.push(message);
            }
        }
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            if !instance.is_calm(self.now_ms) {
                instance.disturbed_at_ms = self.now_ms;
            }
            if self.now_ms >= instance.frozen_until_ms {
                self.run(number);
            }
        }
        self.check();
    }

    /// Runs what is due at one instance; messages that waited in its socket come first.
    fn run(&mut self, number: usize) {
        for message in std::mem::take(&mut self.instances[number].inbox) {
            self.receive(number, message);
        }
        let instance = &self.instances[number];
        let now_ms = self.now_ms - instance.started_ms;
        let is_cut = instance.is_cut(self.now_ms);
        // The first two live instances watch the store; the others read it when no peer proves
        // anything newer.
        let before = &self.instances[..number];
        let rank = before
            .iter()
            .filter(|peer| peer.is_calm(self.now_ms))
            .count() as u64;
        let is_due = rank < 2 || now_ms >= instance.proof.read_due_at_ms(rank);
        if is_due && self.now_ms >= instance.next_read_ms {
            let read = Message::Read(instance.boot, now_ms, self.store.clone());
            self.instances[number].next_read_ms = self.now_ms + QUERY_INTERVAL_MS;
            if !is_cut {
                self.send(number, &read);
            }
        }
        let instance = &mut self.instances[number];
        if self.now_ms >= instance.next_query_ms {
            instance.next_query_ms = self.now_ms + QUERY_INTERVAL_MS;
            let question = instance.proof.question(now_ms);
            let news = instance.known.list().clone();
            for _ in 0..2 {
                let peer = self.rng.random_range(0..self.instances.len());
                if !is_cut {
                    self.send(peer, &Message::Query(number, question));
                    self.send(peer, &Message::News(news.clone()));
                }
            }
        }
    }

    fn receive(&mut self, number: usize, message: Message) {
        let instance = &mut self.instances[number];
        let now_ms = self.now_ms - instance.started_ms;
        let known_at_ms = instance.proof.known_at_ms(now_ms);
        match message {
            Message::Query(from, question) => {
                let answer = instance.proof.answer(now_ms, question);
                let news = instance.known.list().clone();
                let is_cut = instance.is_cut(self.now_ms);
                if !is_cut && news.position > question.evacuations_position {
                    self.send(from, &Message::News(news));
                }
                if !is_cut {
                    self.send(from, &Message::Answer(answer));
                }
            }
            Message::Answer(answer) => {
                instance.proof.take(&answer);
            }
            Message::News(list) => {
                let position = list.position;
                let _change = instance.known.take(now_ms, list, known_at_ms, BOUND_MS);
                instance.proof.evacuations_known(position);
            }
            Message::Read(boot, begun_ms, list) if boot == instance.boot => {
                let position = list.position;
                let _change = instance.known.take(now_ms, list, known_at_ms, BOUND_MS);
                instance.proof.evacuations_known(position);
                instance.proof.read(0, begun_ms);
            }
            Message::Read(..) => {}
        }
    }

    /// Iterates over the instances that still send to a domain after the bound.
    fn late_senders(&self) -> impl Iterator<Item = &Instance> {
        let awake = self.instances.iter();
        let awake = awake.filter(|instance| self.now_ms >= instance.frozen_until_ms);
        awake.filter(|instance| {
            let now_ms = self.now_ms - instance.started_ms;
            let mut late = self.requested_ms.iter();
            late.any(|(domain, at_ms)| {
                self.now_ms > at_ms + BOUND_MS && instance.known.may_send(now_ms, *domain)
            })
        })
    }

    /// Checks that no instance sends late although its proof is newer than the request.
    fn check(&self) {
        for sender in self.late_senders() {
            let now_ms = self.now_ms - sender.started_ms;
            let known_at_ms = sender.proof.known_at_ms(now_ms);
            let is_proven = |domain: u64, requested_ms: u64| {
                let known_ms = known_at_ms.map(|at_ms| at_ms + sender.started_ms);
                let is_late = self.now_ms > requested_ms + BOUND_MS;
                is_late
                    && sender.known.may_send(now_ms, domain)
                    && known_ms.is_some_and(|known_ms| known_ms > requested_ms)
            };
            for (domain, requested_ms) in &self.requested_ms {
                let failure = "sends late with a proof that is newer than the request";
                assert!(!is_proven(*domain, *requested_ms), "{failure}");
            }
        }
    }

    /// Checks that no instance in contact sends late.
    fn check_in_contact(&self) {
        let mut late = self.late_senders();
        let found = late.find(|instance| self.now_ms > instance.disturbed_at_ms + CONTACT_MS);
        assert!(
            found.is_none(),
            "an instance in contact sends late at {}",
            self.now_ms
        );
    }
}

/// A disturbance or an action of the operator.
#[derive(Clone, Copy, Debug)]
enum Event {
    ToggleEvacuation(u64),
    Freeze(u64),
    Cut(u64),
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..DOMAIN_COUNT).prop_map(Event::ToggleEvacuation),
        2 => (500_u64..12_000).prop_map(Event::Freeze),
        2 => (500_u64..12_000).prop_map(Event::Cut),
        1 => Just(Event::Restart),
    ]
}

impl World {
    fn apply(&mut self, number: usize, event: Event) {
        let until_ms = |for_ms: u64| self.now_ms + for_ms;
        match event {
            Event::ToggleEvacuation(domain) => self.toggle_evacuation(domain),
            Event::Freeze(for_ms) => {
                self.instances[number].frozen_until_ms = until_ms(for_ms);
            }
            Event::Cut(for_ms) => self.instances[number].cut_until_ms = until_ms(for_ms),
            Event::Restart => self.instances[number] = self.new_instance(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn an_instance_with_a_proof_stops_within_the_bound(
        seed in any::<u64>(),
        delay_max_ms in 2_u64..6_000,
        loss_rate in 0.0..0.5,
        events in prop::collection::vec((0_u64..2_500, 0_usize..9, event()), 1..40),
    ) {
        let mut world = World::start(9, delay_max_ms, loss_rate, seed);
        for (pause_ms, number, event) in events {
            for _step in 0..pause_ms / STEP_MS {
                world.step();
            }
            world.apply(number, event);
        }
        for _step in 0..500 {
            world.step();
        }
    }

    #[test]
    fn no_instance_in_contact_sends_after_the_bound(
        seed in any::<u64>(),
        loss_rate in 0.0..0.04,
        events in prop::collection::vec((0_u64..2_500, 0_usize..9, event()), 1..30),
    ) {
        let mut world = World::start(9, 8, loss_rate, seed);
        for (pause_ms, number, event) in events {
            for _step in 0..pause_ms / STEP_MS {
                world.step();
                world.check_in_contact();
            }
            world.apply(number, event);
        }
        for _step in 0..500 {
            world.step();
            world.check_in_contact();
        }
    }
}

#[test]
fn no_instance_in_contact_sends_late_at_any_size_even_with_both_watchers_lost() {
    for (count, seed) in [(3, 1), (73, 2), (300, 3)] {
        let mut world = World::start(count, 8, 0.03, seed);
        for step in 0..1_500 {
            world.step();
            world.check_in_contact();
            match step {
                300 => world.apply(0, Event::ToggleEvacuation(1)),
                // Right after the request, before any instance has read it.
                301 => world.apply(0, Event::Cut(30_000)),
                302 => world.apply(1, Event::Freeze(30_000)),
                700 => world.apply(2, Event::ToggleEvacuation(1)),
                1_000 => world.apply(2, Event::ToggleEvacuation(2)),
                _ => {}
            }
        }
        let stopped = world
            .instances
            .iter()
            .filter(|instance| !instance.known.is_listed(1));
        assert!(stopped.count() >= count - 2, "the withdrawal is known");
    }
}
