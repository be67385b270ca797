//! The store and workers of a run, each behind a relay that can impair its link.

mod arrivals;
mod operator;
mod releases;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde_json::Value;

use self::operator::DeclaredState;
use self::releases::release_name;
use crate::addresses::link_ip;
use crate::check::bounded::DRAIN_MS;
use crate::crash_requests::CRASH_PART;
use crate::crash_requests::ENDING;
use crate::gateways;
use crate::journal::Journal;
use crate::record::Component;
use crate::record::Event;
use crate::schedule::DOMAINS;
use crate::schedule::KEYS;
use crate::schedule::SERVICES;
use crate::schedule::Size;
use crate::schedule::WITH_MODELS;
use crate::schedule::WORKER_SET_COUNT;
use cranereach_platform::standin::declared::COLD_FOR_MS;
use cranereach_platform::standin::declared::MODELS;
use cranereach_platform::standin::ending::Ending;
use cranereach_platform::standin::store::Store;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_platform::standin::worker::Worker;
use cranereach_platform::workers;
use cranereach_standin::relay::LinkMode;
use cranereach_standin::relay::Relay;

/// Duration of a plain call, in milliseconds.
const CALL_DURATION_MS: u64 = 25;

/// Pauses between two events of a stream, by worker, in milliseconds. Streams of the slow workers
/// are still open when a stopping gateway is out of rotation.
const EVENT_PAUSES_MS: [u64; 3] = [60, 200, 550];

/// Interval of the workers' heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Time after which the store row of a worker without heartbeats is removed, in milliseconds.
const ROW_EXPIRY_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;

/// Interval of the checks for workers that ended on their own, in milliseconds.
const CRASH_CHECK_INTERVAL_MS: u64 = 300;

/// Time for which a leaving worker keeps serving after the drain bound, in milliseconds.
const SERVE_PAST_DRAIN_MS: u64 = 1_500;

/// State of a leaving worker in its store row.
const LEAVING: &str = "draining";

/// The store, the workers and their links.
#[derive(Debug)]
pub struct BackEnds {
    /// The store.
    pub store: Store,
    /// Links of the gateways to the store, by gateway.
    pub store_links: Vec<Relay>,
    /// Addresses at which the gateways reach the store, by gateway.
    pub store_addresses: Vec<SocketAddr>,
    slots: Vec<WorkerSlot>,
    gateway_count: usize,
    declared: Mutex<DeclaredState>,
    /// Number of versions of the software of the workers with models.
    release_count: AtomicUsize,
}

/// A position that is filled by one worker at a time.
#[derive(Debug)]
struct WorkerSlot {
    number: usize,
    service: &'static str,
    /// Version of the software of the workers that start here; none if versions don't matter to
    /// their service.
    software_version: Mutex<Option<String>>,
    start_count: AtomicU64,
    current: Mutex<Option<RunningWorker>>,
    /// All workers that were ever started in this slot.
    started_workers: Mutex<Vec<Worker>>,
}

/// The worker that currently fills a slot.
#[derive(Clone, Debug)]
struct RunningWorker {
    worker: Worker,
    link: Relay,
    /// Links that lead from each gateway to `link`.
    paths: Vec<Relay>,
    state: &'static str,
    cold_until: Instant,
    last_row: Option<Value>,
}

impl BackEnds {
    /// Starts the store and all workers.
    pub async fn start(size: Size) -> std::io::Result<Self> {
        let store = Store::start().await;
        let mut store_links = Vec::new();
        let mut store_addresses = Vec::new();
        for _ in 0..size.gateway_count {
            let (link, address) = start_relay(store.address)?;
            store_links.push(link);
            store_addresses.push(address);
        }
        let service_of = |number: usize| (number / size.worker_count).min(SERVICES.len() - 1);
        let slots = (0..size.slot_count()).map(|number| WorkerSlot {
            number,
            service: SERVICES[service_of(number)],
            software_version: Mutex::new(
                (SERVICES[service_of(number)] == WITH_MODELS)
                    .then(|| release_name(number / size.worker_total())),
            ),
            start_count: AtomicU64::new(0),
            current: Mutex::default(),
            started_workers: Mutex::default(),
        });
        let back_ends = Self {
            store,
            store_links,
            store_addresses,
            slots: slots.collect(),
            gateway_count: size.gateway_count,
            declared: Mutex::new(DeclaredState {
                version: 1,
                moved_to: SERVICES[0],
                revoked: [false; KEYS.len()],
                evacuated: [false; DOMAINS.len()],
            }),
            release_count: AtomicUsize::new(WORKER_SET_COUNT),
        };
        for slot in &back_ends.slots {
            slot.start_worker(Duration::ZERO, size.gateway_count)?;
        }
        back_ends.send_heartbeats();
        back_ends.write_configuration();
        Ok(back_ends)
    }

    /// Writes the workers' store rows that have changed, as their heartbeats would.
    pub fn send_heartbeats(&self) {
        for slot in &self.slots {
            let mut current = lock(&slot.current);
            if let Some(running) = current.as_mut() {
                let row = running.row(slot);
                if running.last_row.as_ref() != Some(&row) {
                    self.store.put("servers", &running.worker.id, &row);
                    running.last_row = Some(row);
                }
            }
        }
    }

    /// Sends heartbeats until dropped.
    pub async fn run_heartbeats(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
            self.send_heartbeats();
        }
    }

    /// Sets how the worker in a slot handles requests.
    pub fn set_behaviour(&self, number: usize, behaviour: Behaviour) {
        if let Some(running) = lock(&self.slots[number].current).as_ref() {
            running.worker.set(behaviour);
        }
    }

    /// Sets how the bodies of the responses of the worker in a slot end.
    pub fn end_bodies(&self, number: usize, ending: Ending) {
        if let Some(running) = lock(&self.slots[number].current).as_ref() {
            running.worker.end_bodies(ending);
        }
    }

    /// Makes the worker in a slot announce a rate limit, or none. Returns the worker, if there
    /// is one.
    pub fn announce_limit(&self, number: usize, rate_per_s: Option<f64>) -> Option<Worker> {
        let current = lock(&self.slots[number].current);
        let worker = &current.as_ref()?.worker;
        let rate = rate_per_s.map(|rate| rate.to_string());
        worker.announce_limit(rate.as_deref());
        Some(worker.clone())
    }

    /// Makes the worker in a slot shed all requests and ask for a rest by `Retry-After`: a time in
    /// which it is to get no requests. `None` makes it serve again.
    pub fn set_retry_after(&self, number: usize, rest_ms: Option<u64>) {
        if let Some(running) = lock(&self.slots[number].current).as_ref() {
            let rest = rest_ms.map(|rest_ms| (rest_ms as f64 / 1_000.0).to_string());
            running.worker.set_retry_after(rest.as_deref());
            let behaviour = match rest_ms {
                Some(_) => Behaviour::Sheds,
                None => Behaviour::Serves,
            };
            running.worker.set(behaviour);
        }
    }

    /// Returns the numbers of all slots.
    pub fn all_slots(&self) -> Vec<usize> {
        (0..self.slots.len()).collect()
    }

    /// Returns the numbers of a service's slots.
    pub fn slots_of(&self, service: usize) -> Vec<usize> {
        let slots = self.slots.iter();
        let of_service = slots.filter(|slot| slot.service == SERVICES[service]);
        of_service.map(|slot| slot.number).collect()
    }

    /// Sets what the link to the worker in a slot passes.
    pub fn set_worker_link(&self, number: usize, mode: LinkMode) {
        if let Some(running) = lock(&self.slots[number].current).as_ref() {
            running.link.set(mode);
        }
    }

    /// Sets what the path from a gateway to the worker in a slot passes.
    pub fn set_path(&self, gateway: usize, number: usize, mode: LinkMode) {
        if let Some(running) = lock(&self.slots[number].current).as_ref() {
            running.paths[gateway].set(mode);
        }
    }

    /// Ends a worker as a crash would, and starts a cold replacement after `down_ms`.
    pub async fn crash(&self, number: usize, down_ms: u64, journal: &Journal) {
        let slot = &self.slots[number];
        let Some(running) = lock(&slot.current).take() else {
            return;
        };
        running.worker.end();
        let expires_at = tokio::time::Instant::now() + Duration::from_millis(ROW_EXPIRY_MS);
        tokio::time::sleep(Duration::from_millis(down_ms)).await;
        self.start_replacement(slot, journal);
        tokio::time::sleep_until(expires_at).await;
        self.store.remove("servers", &running.worker.id);
    }

    /// Replaces workers that crashed while running a request, until dropped.
    pub async fn replace_ended(&self, journal: &Journal) {
        loop {
            tokio::time::sleep(Duration::from_millis(CRASH_CHECK_INTERVAL_MS)).await;
            let replacing = self
                .slots
                .iter()
                .map(|slot| self.replace_if_ended(slot, journal));
            join_all(replacing).await;
        }
    }

    /// Replaces the worker in a slot if it has ended on its own.
    async fn replace_if_ended(&self, slot: &WorkerSlot, journal: &Journal) {
        let ended = lock(&slot.current).take_if(|running| running.worker.has_ended());
        let Some(running) = ended else { return };
        let from_ms = journal.now_ms().saturating_sub(CRASH_CHECK_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(ROW_EXPIRY_MS)).await;
        self.store.remove("servers", &running.worker.id);
        self.start_replacement(slot, journal);
        journal.record_disturbance(Component::Worker(slot.number), false, from_ms);
    }

    /// Makes a worker leave in an orderly way, and replaces it.
    pub async fn leave(&self, number: usize, journal: &Journal) {
        let slot = &self.slots[number];
        let worker = {
            let mut current = lock(&slot.current);
            let Some(running) = current
                .as_mut()
                .filter(|running| running.state == workers::READY)
            else {
                return;
            };
            running.state = LEAVING;
            running.worker.announce_leaving();
            running.worker.clone()
        };
        self.send_heartbeats();
        journal.record_event(Event::Leaves {
            worker_id: worker.id.clone(),
            at_ms: journal.now_ms(),
        });
        let remaining_ms = DRAIN_MS + SERVE_PAST_DRAIN_MS;
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
        let was_present = {
            let mut current = lock(&slot.current);
            let left = current.take_if(|running| running.worker.id == worker.id);
            left.is_some()
        };
        if was_present {
            worker.end();
            self.store.remove("servers", &worker.id);
            self.start_replacement(slot, journal);
        }
    }

    /// Starts a cold replacement in a slot.
    fn start_replacement(&self, slot: &WorkerSlot, journal: &Journal) {
        let cold_for = Duration::from_millis(COLD_FOR_MS);
        match slot.start_worker(cold_for, self.gateway_count) {
            Ok(worker_id) => journal.record_event(Event::Cold {
                worker_id,
                at_ms: journal.now_ms(),
            }),
            Err(error) => eprintln!(
                "replacement of worker {} cannot start: {error}",
                slot.number
            ),
        }
        self.send_heartbeats();
    }
}

impl RunningWorker {
    /// Returns the worker's store row.
    fn row(&self, slot: &WorkerSlot) -> Value {
        let cold = self.cold_until.saturating_duration_since(Instant::now());
        let (domain, _region) = gateways::domain_and_region_of(slot.number);
        self.worker
            .row_in(slot.service, domain, self.state, cold.as_millis() as u64)
    }
}

impl WorkerSlot {
    /// Starts a worker in this slot that is cold for `cold_for`, and returns its ID.
    fn start_worker(&self, cold_for: Duration, gateway_count: usize) -> std::io::Result<String> {
        let start = self.start_count.fetch_add(1, Ordering::Relaxed);
        let id = format!("w-{}-{start}", self.number);
        let mut worker = Worker::start(&id);
        worker.enable_strict_mode(CALL_DURATION_MS);
        worker.crash_on_path_word(ENDING);
        worker.crash_on_prompt_part(Some(CRASH_PART));
        worker.set_event_pause_ms(EVENT_PAUSES_MS[self.number % EVENT_PAUSES_MS.len()]);
        if let Some(version) = lock(&self.software_version).clone() {
            worker.set_software_version(Value::from(version));
        }
        if self.service == WITH_MODELS {
            let first = self.number % MODELS.len();
            worker.hold(&[MODELS[first], MODELS[(first + 1) % MODELS.len()]]);
        }
        let (link, address) = start_relay(worker.address)?;
        worker.address = address;
        let mut paths = Vec::new();
        for gateway in 0..gateway_count {
            let from = SocketAddr::from((link_ip(gateway), address.port()));
            let (path, _from) = Relay::start(from, &address.to_string())?;
            paths.push(path);
        }
        lock(&self.started_workers).push(worker.clone());
        *lock(&self.current) = Some(RunningWorker {
            worker,
            link,
            paths,
            state: workers::READY,
            cold_until: Instant::now() + cold_for,
            last_row: None,
        });
        Ok(id)
    }
}

/// Starts a relay to an address; returns it with the address that it listens on.
fn start_relay(to: SocketAddr) -> std::io::Result<(Relay, SocketAddr)> {
    Relay::start((Ipv4Addr::LOCALHOST, 0).into(), &to.to_string())
}

/// Locks a mutex, ignoring poisoning by a panic in another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
