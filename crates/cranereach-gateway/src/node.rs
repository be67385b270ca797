//! What all parts of an instance share.

mod configuration;
mod connections;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use self::connections::Pools;
use crate::adapter;
use crate::adapter::Adapter;
use crate::expected::ExpectedModels;
use crate::list_bodies;
use crate::messages::LimitGrant;
use crate::messages::Quote;
use crate::messages::SendGrant;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::quarantine::lasting::Lasting;
use crate::questions::Questions;
use crate::recent::Recent;
use crate::recipients::Origin;
use crate::settings::Settings;
use crate::store::Store;
use crate::unknown_words::UnknownWords;
use crate::worker_ends::Tries;
use cranereach_fleet::configuration::Configuration;
use cranereach_fleet::demand::Demand;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::fingerprint::FingerprintKey;
use cranereach_fleet::freshness::Freshness;
use cranereach_fleet::limits::OwnedLimits;
use cranereach_fleet::limits::Uses;
use cranereach_fleet::listing::Listing;
use cranereach_fleet::owned::OwnedWorkers;
use cranereach_fleet::pace::Paces;
use cranereach_fleet::proof::Proof;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::retry_window::RetryWindow;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::send_grants::SendGrants;
use cranereach_fleet::service_time::ServiceTimes;
use cranereach_fleet::shortage::Shortages;
use cranereach_fleet::stay::Stays;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::tenure::EndedTerm;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::ways::Ways;
use cranereach_http::clock::Clock;

/// What this instance's orders have changed at workers, for peers.
#[derive(Clone, Debug, Default)]
pub struct Announced {
    /// Adapters that were loaded: worker key, model and adapter.
    pub adapters: Vec<(u64, ModelKey)>,
    /// Models that are being unloaded: worker key, model.
    pub withheld: Vec<(u64, u16)>,
    /// Models that are being loaded, and when each should be there, in milliseconds.
    pub coming: HashMap<u16, u64>,
}

/// What all parts share.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Failure domains and regions, as seen from here.
    pub topology: Topology,
    /// The platform's adapter.
    pub adapter: &'static Adapter,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// The platform's store.
    pub store: Store,
    /// Key of the fingerprints of requests.
    pub fingerprint_key: FingerprintKey,
    /// Tries of workers whose connections broke.
    pub tries: Tries,
    /// What workers say of themselves that isn't read.
    pub unknown_words: UnknownWords,
    /// Requests under which workers ended.
    pub quarantine: Mutex<Quarantine>,
    /// Whether those kept in the store are known here.
    pub lasting: Lasting,
    /// Number of this start.
    pub boot: u64,
    /// Wakes whoever waits for a worker that holds something.
    pub roster_changed: Notify,
    /// Digests made since the start.
    pub digest_count: AtomicU64,
    /// Wakes the sender of digests.
    pub digest_wanted: Notify,
    /// Wakes the sender of demand: a request waits for what nobody holds.
    pub demand_wanted: Notify,
    /// Adapters that requests wait for here: service, model and adapter.
    pub waits_for: Mutex<HashSet<(u64, ModelKey)>>,
    /// Models that requests lacked here since holders were told last: service, model.
    pub lacks: Mutex<HashSet<(u64, u16)>>,
    /// What holders say of such models.
    pub expected: Mutex<ExpectedModels>,
    /// Wakes whoever waits for a holder's word on them.
    pub expected_changed: Notify,
    /// Wakes the controller.
    pub controller_wanted: Notify,
    /// Rows of the list of workers, and what peers are told of them.
    pub listing: Mutex<Listing>,
    /// How fresh the list of workers is.
    pub list: Mutex<Freshness>,
    /// What can be proved of the configuration.
    pub proof: Mutex<Proof>,
    /// What sending whole lists to peers needs.
    pub list_sending: list_bodies::ListSending,
    /// Wakes the sender of changes of the list.
    pub list_update_wanted: Notify,
    /// Where the changes came from that it is to tell; none once it has.
    pub list_origin: Mutex<Option<Origin>>,
    /// Workers read as leaving or gone: key, position.
    pub recent_leaving: Mutex<Recent<(u64, StorePosition)>>,
    /// Workers that were heard to leave by their own word.
    pub recent_departures: Mutex<Recent<DepartureNews>>,
    /// Body of the configuration in force, as peers are told it: without keys.
    pub configuration_body: Mutex<Bytes>,
    /// That body, and the same packed; empty until a peer first asks for it.
    pub packed_configuration: Mutex<(Bytes, Bytes)>,
    configuration: Mutex<Option<Arc<Configuration>>>,
    roster: Mutex<Roster>,
    paces: Mutex<Paces>,
    stays: Mutex<Stays>,
    service_times: Mutex<ServiceTimes>,
    /// What callers were refused for want of lately.
    pub shortages: Mutex<Shortages>,
    demand: Mutex<HashMap<Arc<str>, Demand>>,
    peers: Mutex<Peers>,
    announced: Mutex<HashMap<Arc<str>, Announced>>,
    retries: Mutex<HashMap<Arc<str>, RetryWindow>>,
    pools: Mutex<Pools>,
    /// Requests at the workers that this instance owns.
    pub owned: Mutex<OwnedWorkers>,
    /// Questions to owners that wait for answers.
    pub questions: Questions<Quote>,
    /// How long owners' answers take, by distance.
    pub ways: Mutex<Ways>,
    /// Parts of accounts' limits that this instance owns.
    pub owned_limits: Mutex<OwnedLimits>,
    /// What this instance uses of accounts' limits.
    pub uses: Mutex<Uses>,
    /// Questions to owners of limits that wait for answers.
    pub limit_questions: Questions<LimitGrant>,
    /// What was granted for workers that get only so many requests and that this instance
    /// owns.
    pub send_grants: Mutex<SendGrants>,
    /// Questions to owners of such workers that wait for answers.
    pub grant_questions: Questions<SendGrant>,
    /// Socket that peers are told by; none before the start.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Leases whose term is over here, by the key of their service.
    pub ended_leases: Mutex<HashMap<u64, EndedTerm>>,
    /// Whether the list of workers is being fetched from a peer.
    pub is_fetching_list: AtomicBool,
    /// Whether a configuration is being fetched from a peer.
    pub is_fetching_configuration: AtomicBool,
    /// Ends a wait for the configuration that may never be answered.
    pub configuration_wanted: Notify,
    /// Wakes whoever waits for a newer configuration.
    pub configuration_changed: Notify,
    /// Newest version of the configuration that some peer has told of.
    pub configuration_heard: AtomicU64,
    own_ip: Ipv4Addr,
    is_stopping: AtomicBool,
    clock: Clock,
}

/// Locks a mutex, also after a panic elsewhere.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits.
pub async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

impl Node {
    /// Makes the shared part of an instance; none if there is no such adapter.
    pub fn new(settings: Settings, log: Logger) -> Option<Self> {
        let adapter = adapter::find(&settings.platform.adapter)?;
        let own_ip = match settings.listen.peers.ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let seeds = settings.peers.seeds.iter();
        let seeds = seeds.filter_map(|seed| seed.split(':').next()?.parse().ok());
        let seeds: Vec<Ipv4Addr> = seeds.collect();
        let boot = rand::random();
        // Settings were checked when they were read.
        let topology = settings.instance.topology().ok()?;
        let peers = Peers::new(own_ip, &settings.instance.failure_domain, &seeds);
        let metrics = Metrics::new();
        Some(Self {
            peers: Mutex::new(peers.within(&topology)),
            topology,
            adapter,
            store: Store::new(&settings.platform.store, adapter, &log, &metrics),
            log,
            metrics,
            fingerprint_key: FingerprintKey::new(&settings.peers.fingerprint_secret),
            tries: Tries::default(),
            unknown_words: UnknownWords::default(),
            quarantine: Mutex::default(),
            lasting: Lasting::default(),
            boot,
            roster_changed: Notify::new(),
            digest_count: AtomicU64::new(0),
            digest_wanted: Notify::new(),
            demand_wanted: Notify::new(),
            waits_for: Mutex::default(),
            lacks: Mutex::default(),
            expected: Mutex::default(),
            expected_changed: Notify::new(),
            controller_wanted: Notify::new(),
            listing: Mutex::default(),
            list: Mutex::new(Freshness::new(settings.bounds.drain_ms)),
            proof: Mutex::new(Proof::new(boot, settings.bounds.configuration_ms)),
            list_sending: list_bodies::ListSending::default(),
            list_update_wanted: Notify::new(),
            list_origin: Mutex::default(),
            recent_leaving: Mutex::default(),
            recent_departures: Mutex::default(),
            configuration_body: Mutex::default(),
            packed_configuration: Mutex::default(),
            configuration: Mutex::default(),
            roster: Mutex::default(),
            paces: Mutex::default(),
            stays: Mutex::default(),
            service_times: Mutex::default(),
            shortages: Mutex::default(),
            demand: Mutex::default(),
            announced: Mutex::default(),
            retries: Mutex::default(),
            pools: Mutex::default(),
            owned: Mutex::default(),
            questions: Questions::default(),
            ways: Mutex::default(),
            owned_limits: Mutex::default(),
            uses: Mutex::default(),
            limit_questions: Questions::default(),
            send_grants: Mutex::default(),
            grant_questions: Questions::default(),
            peer_socket: OnceLock::new(),
            ended_leases: Mutex::default(),
            is_fetching_list: AtomicBool::new(false),
            is_fetching_configuration: AtomicBool::new(false),
            configuration_wanted: Notify::new(),
            configuration_changed: Notify::new(),
            configuration_heard: AtomicU64::new(0),
            own_ip,
            is_stopping: AtomicBool::new(false),
            clock: Clock::start(),
            settings,
        })
    }

    /// Returns this instance's address.
    pub fn own_ip(&self) -> Ipv4Addr {
        self.own_ip
    }

    /// Returns the port that all instances hear each other on.
    pub fn peer_port(&self) -> u16 {
        self.settings.listen.peers.port()
    }

    /// Returns now, in milliseconds since the start; time for which the machine was
    /// suspended counts.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the instant of a time in milliseconds, for timers.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        self.clock.instant(at_ms)
    }

    /// Returns what is known of workers.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Returns how fast workers read prompts.
    pub fn paces(&self) -> MutexGuard<'_, Paces> {
        lock(&self.paces)
    }

    /// Returns how long answers keep a slot.
    pub fn stays(&self) -> MutexGuard<'_, Stays> {
        lock(&self.stays)
    }

    /// Returns how long calls of plain services run.
    pub fn service_times(&self) -> MutexGuard<'_, ServiceTimes> {
        lock(&self.service_times)
    }

    /// Returns what is known of peers.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the position of the store that the list of workers is complete at.
    pub fn list_position(&self) -> StorePosition {
        lock(&self.listing).position()
    }

    /// Returns the demand seen here, by service.
    pub fn demand(&self) -> MutexGuard<'_, HashMap<Arc<str>, Demand>> {
        lock(&self.demand)
    }

    /// Returns what this instance's orders did, by service.
    pub fn announced(&self) -> MutexGuard<'_, HashMap<Arc<str>, Announced>> {
        lock(&self.announced)
    }

    /// Notes a request to a service in the bound of repeats.
    pub fn note_request(&self, service: &Arc<str>) {
        let now_ms = self.now_ms();
        let bounds = self.settings.bounds;
        let mut retries = lock(&self.retries);
        let window = retries.entry(Arc::clone(service)).or_insert_with(|| {
            RetryWindow::new(
                bounds.retry_ratio,
                bounds.retry_allowance_count,
                (bounds.retry_window_s * 1_000.0) as u64,
            )
        });
        window.request(now_ms);
    }

    /// Spends one repeat towards a service, if the bound allows it.
    pub fn spend_repeat(&self, service: &str) -> bool {
        let now_ms = self.now_ms();
        let instance_count = self.peers().members().known_count();
        let mut retries = lock(&self.retries);
        let window = retries.get_mut(service);
        window.is_some_and(|window| window.spend(now_ms, instance_count))
    }

    /// Whether a stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Tells peers news at once that came from somewhere.
    pub fn tell_news(&self, origin: Origin) {
        self.peers().note_news(self.now_ms(), origin);
        self.digest_wanted.notify_one();
    }

    /// Tells peers at once that the list of workers has changed, or is known to be the
    /// newest, as whoever stands at `origin` told.
    pub fn tell_list(&self, origin: Origin) {
        let mut widest = lock(&self.list_origin);
        *widest = Some(widest.map_or(origin, |before| before.max(origin)));
        self.list_update_wanted.notify_one();
    }

    /// Asks for a stop.
    pub fn ask_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.tell_news(Origin::Own);
        self.controller_wanted.notify_one();
    }
}
