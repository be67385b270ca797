//! Simulated workers, store and instances, the events that disturb them, and the checks.

mod checks;
mod messages;
mod workers;

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::listing::Span;
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
}
