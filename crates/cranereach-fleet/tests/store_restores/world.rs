//! Simulated workers, store and instances, the events that disturb them, and the checks.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::listing::Span;
use cranereach_fleet::listing::Verdict;
use cranereach_fleet::purpose::Purpose;
use cranereach_fleet::store_position::StorePosition;

use crate::instance::Instance;
use crate::instance::ListPart;
use crate::store::RowState;
use crate::store::Store;

/// Time after which a worker that is leaving or gone must get nothing, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;

/// Time without disturbance after which the bounds apply to an instance, in milliseconds, as in the
/// platform.
const SETTLE_MS: u64 = 4_000;

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 20;

/// Interval at which instances send gossip digests, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 250;

/// Longest delay of a message between instances, in milliseconds.
const DELAY_MAX_MS: u64 = 60;

/// Longest time that the store takes to answer, in milliseconds.
const STORE_ANSWER_MAX_MS: u64 = 150;

/// Timeout of a read from the store, in milliseconds.
const READ_TIMEOUT_MS: u64 = 900;

/// Time for which an instance that lags behind a peer waits before it fetches what is missing, in
/// milliseconds.
const FETCH_DELAY_MS: u64 = 600;

/// Share of the messages that are lost.
const MESSAGE_LOSS_RATIO: f64 = 0.05;

/// Time for which the store is unavailable before a restore, in milliseconds.
const RESTORE_OUTAGE_MS: u64 = 900;

/// Longest time until workers have rewritten what a restore lost, in milliseconds.
const REWRITE_WITHIN_MS: u64 = 2_000;

/// Time after which the row of a silent worker expires, in milliseconds.
const ROW_EXPIRES_AFTER_MS: u64 = 3_600;

/// Time after a restore for which a restored row doesn't show that its worker is alive, in
/// milliseconds.
const RESTORED_ROWS_HELD_MS: u64 = 6_000;

/// Number of workers.
const WORKER_COUNT: usize = 8;

/// A deliberate fault, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Positions are compared without their eras.
    NoEras,
    /// A restored row clears the mark that a worker is leaving.
    RestoreClearsLeaving,
    /// A restored row makes a worker usable that is gone.
    RestoreRevivesWorker,
}

/// An event that disturbs the simulation. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The store is restored from a backup of the given age.
    Restore(u64),
    /// The store answers no requests for a time.
    StoreUnavailable(u64),
    /// A worker announces that it is leaving, and ends later.
    Leave(u8),
    /// A worker ends without announcing it.
    Crash(u8),
    /// A worker's row is removed at once, without an announcement, and the worker still serves for
    /// a while.
    RowExpires(u8),
    Freeze(u8, u64),
    Partition(u8, u64),
    /// Half of the instances are cut off from all others and from the store.
    PartitionHalf(u64),
    Restart(u8),
}

/// A message between instances, or an answer of the store.
#[derive(Clone, Debug)]
enum Message {
    List(usize, ListPart),
    Digest {
        from: usize,
        era: u64,
        position: StorePosition,
        as_of_ms: Option<u64>,
        departures: Vec<DepartureNews>,
    },
    Fetch(usize, StorePosition),
    Answer {
        started_at_ms: u64,
        part: ListPart,
    },
}

/// An action scheduled for a time.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// A worker writes its row, if its content is still this.
    Write(usize, RowState),
    /// The row of a worker start is removed.
    End(usize, u64),
    /// The worker starts again after the given start.
    Start(usize, u64),
    Restore(u64),
}

/// Actual state of a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Worker {
    start: u64,
    /// Time at which the store last accepted its row, in milliseconds.
    written_at_ms: u64,
    /// Content that its row should have; none if it should have no row.
    row_state: Option<RowState>,
    /// Time from which no connected instance may send to its present start, since the store has
    /// accepted that it leaves or is gone, in milliseconds. If a restore loses that write, the time
    /// is set again when it is rewritten.
    unusable_from_ms: Option<u64>,
}

pub struct World {
    pub violations: Vec<String>,
    /// Whether a worker that is known to be gone must get nothing for however long a restored row
    /// lists it.
    pub checks_gone_always: bool,
    now_ms: u64,
    store: Store,
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    in_flight: BTreeMap<u64, Vec<(usize, Message)>>,
    scheduled: BTreeMap<u64, Vec<Action>>,
    mutant: Mutant,
    rng: StdRng,
}

impl World {
    pub fn start(seed: u64, instance_count: usize, mutant: Mutant) -> Self {
        let mut world = Self {
            violations: Vec::new(),
            checks_gone_always: false,
            now_ms: 100_000,
            store: Store::default(),
            instances: Vec::new(),
            workers: vec![Worker::default(); WORKER_COUNT],
            in_flight: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            mutant,
            rng: StdRng::seed_from_u64(seed),
        };
        for worker in 0..WORKER_COUNT {
            world.start_worker(worker);
        }
        let start = |_| Instance::start(world.now_ms, mutant);
        world.instances = (0..instance_count).map(start).collect();
        world
    }

    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    pub fn apply_event(&mut self, event: Event) {
        let now_ms = self.now_ms;
        let instance_count = self.instances.len();
        let instance_of = |index: u8| usize::from(index) % instance_count;
        let worker_of = |index: u8| usize::from(index) % WORKER_COUNT;
        match event {
            Event::Restore(age_ms) => {
                self.disturb_store(RESTORE_OUTAGE_MS);
                self.schedule(RESTORE_OUTAGE_MS, Action::Restore(age_ms));
            }
            Event::StoreUnavailable(for_ms) => self.disturb_store(for_ms),
            Event::Leave(index) => self.announce_leaving(worker_of(index)),
            Event::Crash(index) => self.end_worker(worker_of(index), ROW_EXPIRES_AFTER_MS),
            Event::RowExpires(index) => self.end_worker(worker_of(index), 0),
            Event::Freeze(index, for_ms) => {
                self.instances[instance_of(index)].frozen_until_ms = now_ms + for_ms;
            }
            Event::Partition(index, for_ms) => {
                self.instances[instance_of(index)].partitioned_until_ms = now_ms + for_ms;
            }
            Event::PartitionHalf(for_ms) => {
                for instance in self.instances.iter_mut().step_by(2) {
                    instance.partitioned_until_ms = now_ms + for_ms;
                }
            }
            Event::Restart(index) => {
                self.instances[instance_of(index)] = Instance::start(now_ms, self.mutant);
            }
        }
    }

    fn schedule(&mut self, after_ms: u64, action: Action) {
        self.scheduled
            .entry(self.now_ms + after_ms)
            .or_default()
            .push(action);
    }

    fn disturb_store(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        self.store.unavailable_until_ms = self.store.unavailable_until_ms.max(until_ms);
        self.store.disturbed_at_ms = self.store.disturbed_at_ms.max(until_ms);
    }

    fn start_worker(&mut self, worker: usize) {
        let start = self.workers[worker].start + 1;
        let row_state = RowState {
            start,
            leaves: false,
        };
        self.workers[worker] = Worker {
            start,
            written_at_ms: self.now_ms,
            row_state: Some(row_state),
            unusable_from_ms: None,
        };
        self.write(worker);
    }

    /// Writes the content that a worker's row should have, as soon as the store is available.
    fn write(&mut self, worker: usize) {
        let row_state = self.workers[worker].row_state;
        if self.store.is_unavailable(self.now_ms) {
            let wait_ms =
                self.store.unavailable_until_ms - self.now_ms + self.rng.random_range(0..800);
            let start = self.workers[worker].start;
            let action = row_state.map_or(Action::End(worker, start), |row_state| {
                Action::Write(worker, row_state)
            });
            self.schedule(wait_ms, action);
            return;
        }
        self.store.write(worker, row_state);
        self.workers[worker].written_at_ms = self.now_ms;
        let announces_end = row_state.is_none_or(|row_state| row_state.leaves);
        if announces_end {
            let ends_ms = &mut self.workers[worker].unusable_from_ms;
            ends_ms.get_or_insert(self.now_ms + DRAIN_MS);
        }
    }

    fn announce_leaving(&mut self, worker: usize) {
        let Some(row_state) = self.workers[worker]
            .row_state
            .filter(|row_state| !row_state.leaves)
        else {
            return;
        };
        self.workers[worker].row_state = Some(RowState {
            leaves: true,
            ..row_state
        });
        self.write(worker);
        let serves_ms = self.rng.random_range(2_500..6_000);
        self.schedule(serves_ms, Action::End(worker, row_state.start));
        self.schedule(serves_ms + 1_500, Action::Start(worker, row_state.start));
    }

    /// Ends a worker whose row is removed after a time in milliseconds.
    fn end_worker(&mut self, worker: usize, row_after_ms: u64) {
        let Some(row_state) = self.workers[worker]
            .row_state
            .filter(|row_state| !row_state.leaves)
        else {
            return;
        };
        self.workers[worker].row_state = None;
        self.schedule(row_after_ms, Action::End(worker, row_state.start));
        let back_ms = row_after_ms + self.rng.random_range(2_500..6_000);
        self.schedule(back_ms, Action::Start(worker, row_state.start));
    }

    fn restore(&mut self, age_ms: u64) {
        self.store.restore(self.now_ms, age_ms);
        self.store.disturbed_at_ms = self.store.disturbed_at_ms.max(self.now_ms);
        for worker in 0..WORKER_COUNT {
            let row = self.store.row(worker);
            let row_state = self.workers[worker].row_state;
            if row == row_state {
                continue;
            }
            self.workers[worker].unusable_from_ms = None;
            if let Some(row_state) = row_state {
                let after_ms = self.rng.random_range(0..=REWRITE_WITHIN_MS);
                self.schedule(after_ms, Action::Write(worker, row_state));
            } else {
                let start = self.workers[worker].start;
                self.schedule(ROW_EXPIRES_AFTER_MS, Action::End(worker, start));
            }
        }
    }

    fn run_scheduled(&mut self) {
        let later = self.scheduled.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.scheduled, later);
        for action in due.into_values().flatten() {
            match action {
                Action::Restore(age_ms) => self.restore(age_ms),
                Action::Start(worker, start) => {
                    let state = &self.workers[worker];
                    if state.start == start && state.row_state.is_none() {
                        self.start_worker(worker);
                    }
                }
                Action::Write(worker, row_state) => {
                    if self.workers[worker].row_state == Some(row_state) {
                        self.write(worker);
                    }
                }
                Action::End(worker, start) => {
                    if self.workers[worker].start == start {
                        self.workers[worker].row_state = None;
                        self.write(worker);
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.run_scheduled();
        self.store.keep_backup(self.now_ms);
        self.deliver();
        for number in 0..self.instances.len() {
            let now_ms = self.now_ms;
            let instance = &mut self.instances[number];
            if now_ms < instance.frozen_until_ms || now_ms < instance.partitioned_until_ms {
                instance.disturbed_at_ms = now_ms;
            }
            if now_ms < instance.frozen_until_ms {
                continue;
            }
            instance.tick(now_ms);
            self.read_if_due(number);
            self.send_digest_if_due(number);
            self.check_routing(number);
        }
    }

    fn is_partitioned(&self, number: usize) -> bool {
        self.now_ms < self.instances[number].partitioned_until_ms
    }

    /// Reads the list from the store if that is due.
    fn read_if_due(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        let rank = number as u64;
        if now_ms < instance.read_pending_until_ms
            || now_ms < instance.freshness.read_due_at_ms(rank)
        {
            return;
        }
        instance.read_pending_until_ms = now_ms + READ_TIMEOUT_MS;
        if self.is_partitioned(number) || self.store.is_unavailable(now_ms) {
            return;
        }
        let after = self.instances[number].listing.position();
        let knows_era = self.mutant == Mutant::NoEras || after.era == self.store.era;
        let changes = self.store.changes(after);
        let changes = changes.filter(|_| !after.is_none() && knows_era);
        let part = ListPart {
            from: after,
            position: self.store.position(),
            span: Span::Changes,
            is_whole: changes.is_none(),
            rows: changes.unwrap_or_else(|| self.store.all_rows()),
            as_of_ms: now_ms,
        };
        let started_at_ms = self.instances[number].started_at_ms;
        let takes_ms = self.rng.random_range(5..STORE_ANSWER_MAX_MS);
        self.enqueue(
            number,
            takes_ms,
            Message::Answer {
                started_at_ms,
                part,
            },
        );
    }

    fn enqueue(&mut self, to: usize, after_ms: u64, message: Message) {
        let at_ms = self.now_ms + after_ms;
        self.in_flight.entry(at_ms).or_default().push((to, message));
    }

    fn send_message(&mut self, from: usize, to: usize, after_ms: u64, message: Message) {
        if self.is_partitioned(from) || self.rng.random_bool(MESSAGE_LOSS_RATIO) {
            return;
        }
        let delay_ms = after_ms + self.rng.random_range(1..=DELAY_MAX_MS);
        self.enqueue(to, delay_ms, message);
    }

    fn random_peers(&mut self, number: usize, count: usize) -> Vec<usize> {
        let others = (0..self.instances.len()).filter(|other| *other != number);
        others.sample(&mut self.rng, count)
    }

    /// Sends a digest of what it knows to some peers, four times a second.
    fn send_digest_if_due(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        if now_ms < instance.next_digest_ms {
            return;
        }
        instance.next_digest_ms = now_ms + DIGEST_INTERVAL_MS;
        let age_ms = instance.freshness.age_ms(now_ms);
        let digest = Message::Digest {
            from: number,
            era: instance.era,
            position: instance.listing.position(),
            as_of_ms: age_ms.map(|age_ms| now_ms - age_ms),
            departures: instance
                .gossiped_departures
                .iter()
                .map(|(_, news)| *news)
                .collect(),
        };
        for other in self.random_peers(number, 4) {
            self.send_message(number, other, 0, digest.clone());
        }
    }

    fn gossip_list(&mut self, number: usize) {
        let Some(part) = self.instances[number].part(self.now_ms, None) else {
            return;
        };
        for other in self.random_peers(number, 4) {
            self.send_message(number, other, 0, Message::List(number, part.clone()));
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (to, message) in due.into_values().flatten() {
            if self.now_ms < self.instances[to].frozen_until_ms {
                // The message waits in the socket.
                let wait_ms = self.instances[to].frozen_until_ms - self.now_ms;
                self.enqueue(to, wait_ms, message);
            } else if !self.is_partitioned(to) {
                self.receive(to, message);
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Answer {
                started_at_ms,
                part,
            } => {
                let instance = &mut self.instances[to];
                let is_late = part.position.era < instance.era;
                if started_at_ms != instance.started_at_ms || is_late {
                    return;
                }
                instance.read_pending_until_ms = 0;
                instance.apply(now_ms, &part);
                self.gossip_list(to);
            }
            Message::List(from, part) => self.receive_list(to, from, &part),
            Message::Fetch(from, since) => {
                if let Some(part) = self.instances[to].part(now_ms, Some(since)) {
                    self.send_message(to, from, 0, Message::List(to, part));
                }
            }
            Message::Digest {
                from,
                era,
                position,
                as_of_ms,
                departures,
            } => {
                let instance = &mut self.instances[to];
                instance.observe_era(now_ms, era);
                instance.observe_departures(now_ms, &departures);
                let own = instance.listing.position();
                if let Some(as_of_ms) = as_of_ms
                    && position == own
                    && position.era >= instance.era
                {
                    instance.freshness.confirm(as_of_ms);
                }
                if position > own {
                    self.send_message(to, from, FETCH_DELAY_MS, Message::Fetch(to, own));
                }
            }
        }
    }

    fn receive_list(&mut self, to: usize, from: usize, part: &ListPart) {
        let instance = &mut self.instances[to];
        let own = instance.listing.position();
        let fits = if part.is_whole {
            part.position >= own
        } else {
            instance.listing.judge(part.from, part.position, part.span) == Verdict::Applies
        };
        if !fits {
            if part.position > own {
                self.send_message(to, from, 0, Message::Fetch(to, own));
            }
            return;
        }
        if instance.apply(self.now_ms, part) {
            self.gossip_list(to);
        }
    }

    /// Whether an instance and the store have been undisturbed for long enough.
    fn is_connected(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let since_ms = instance.disturbed_at_ms.max(self.store.disturbed_at_ms);
        self.now_ms >= since_ms.max(instance.started_at_ms) + SETTLE_MS
    }

    /// Whether an instance itself has been undisturbed for long enough, whatever happened to the
    /// store.
    fn is_steady(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let since_ms = instance.disturbed_at_ms.max(instance.started_at_ms);
        self.now_ms >= since_ms + SETTLE_MS
    }

    /// Checks for each worker that an instance uses it only if it may, and lists it if it must.
    fn check_routing(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let is_connected = self.is_connected(number);
        for worker in 0..WORKER_COUNT {
            let id = format!("w{worker}");
            let instance = &self.instances[number];
            let actual = self.workers[worker];
            let is_usable = instance
                .roster
                .barred(now_ms, &id, Purpose::Call, 1)
                .is_none();
            let listed = instance.roster.get(&id);
            let start = listed.map(|known| known.record.started_unix_ms);
            let mut violation = None;
            if is_usable
                && instance
                    .known_leaving
                    .contains(&(worker, start.unwrap_or(0)))
            {
                violation = Some("uses a worker start that it knew to be leaving");
            }
            let has_ended =
                start.is_some_and(|start| start != actual.start || actual.row_state.is_none());
            let known_gone = instance
                .known_gone
                .contains_key(&(worker, start.unwrap_or(0)));
            let is_forbidden = self.checks_gone_always
                || instance.era == self.store.era
                    && now_ms < self.store.restored_at_ms + RESTORED_ROWS_HELD_MS;
            if is_usable && has_ended && known_gone && is_forbidden && self.is_steady(number) {
                violation = Some("uses a worker start that it knew to be gone");
            }
            let ends_ms = actual.unusable_from_ms.unwrap_or(u64::MAX);
            if is_usable && is_connected && start == Some(actual.start) && now_ms > ends_ms {
                violation = Some("uses a worker beyond the bound");
            }
            let is_due_ms = actual.written_at_ms + DRAIN_MS;
            let is_listed = self.store.row(worker) == actual.row_state;
            let serves = actual.row_state.is_some_and(|row_state| !row_state.leaves) && is_listed;
            if serves && is_connected && now_ms > is_due_ms && start != Some(actual.start) {
                violation = Some("doesn't list a worker");
            }
            if let Some(what) = violation
                && self.violations.len() < 5
            {
                let position = self.instances[number].listing.position();
                self.violations.push(format!(
                    "{now_ms} ms: instance {number} at {position} {what}: {id}, {actual:?}"
                ));
            }
        }
    }

    /// Checks that each instance would use each worker that serves.
    pub fn check_all_serve(&mut self) {
        for (worker, actual) in self.workers.iter().enumerate() {
            let is_new = self.now_ms < actual.written_at_ms + DRAIN_MS;
            if is_new || actual.row_state.is_none_or(|row_state| row_state.leaves) {
                continue;
            }
            for (number, instance) in self.instances.iter().enumerate() {
                let id = format!("w{worker}");
                let barred = instance.roster.barred(self.now_ms, &id, Purpose::Call, 1);
                if let Some(why) = barred {
                    self.violations.push(format!(
                        "instance {number} doesn't use {id} at the end: {why:?}"
                    ));
                }
            }
        }
    }
}
