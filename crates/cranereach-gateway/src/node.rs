//! State shared by all parts of an instance.

mod configuration;
pub mod connections;
mod news;
mod own_delay;
mod retries;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use self::connections::Pools;
use crate::adapter;
use crate::adapter::Adapter;
use crate::evacuations::PassedOver;
use crate::expected_models::ExpectedModels;
use crate::list_transfer;
use crate::messages::LimitGrant;
use crate::messages::Quote;
use crate::messages::SendGrant;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::quarantine::persistence::PersistenceState;
use crate::questions::Questions;
use crate::recent::RecentUpdates;
use crate::recipients::Origin;
use crate::settings::Settings;
use crate::store::Store;
use crate::stream_origins::OriginState;
use crate::unknown_headers::UnknownHeaders;
use crate::worker_ends::WorkerProbes;
use crate::worker_paths::WorkerPaths;
use cranereach_core::overload::withdrawal::Withdrawal;
use cranereach_fleet::brittle::BrittleGrants;
use cranereach_fleet::configuration::Configuration;
use cranereach_fleet::demand::Demand;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::fingerprint::FingerprintKey;
use cranereach_fleet::freshness::Freshness;
use cranereach_fleet::lease_state::EndedTerm;
use cranereach_fleet::limits::AccountUsages;
use cranereach_fleet::limits::OwnedLimits;
use cranereach_fleet::listing::Listing;
use cranereach_fleet::owned::OwnedWorkers;
use cranereach_fleet::prefill_cost::PrefillCosts;
use cranereach_fleet::proof::Proof;
use cranereach_fleet::quarantine::Quarantine;
use cranereach_fleet::retry_window::RetryWindow;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::send_grants::SendGrants;
use cranereach_fleet::service_time::ServiceTimes;
use cranereach_fleet::shortage::Shortages;
use cranereach_fleet::slot_times::SlotTimes;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::Topology;
use cranereach_fleet::unanswered_queries::UnansweredQueries;
use cranereach_fleet::ways::RoundTrips;
use cranereach_http::buffer_budget::BufferBudget;
use cranereach_http::clock::Clock;
use cranereach_http::connector::Connector;
use cranereach_http::intake::Intake;

/// Share of the memory that workers' answers may use while they are held in full.
const ANSWER_MEMORY_SHARE: f64 = 0.2;

/// Changes that this instance's orders have made at workers, to be gossiped to peers.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedChanges {
    /// Adapters that have been loaded: worker key, model and adapter.
    pub adapters: Vec<(u64, ModelKey)>,
    /// Models that are being unloaded: worker key, model.
    pub withheld: Vec<(u64, u16)>,
    /// Models that are being loaded, and when each is expected to be ready, in milliseconds.
    pub loading: HashMap<u16, u64>,
}

/// State shared by all parts of an instance.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Failure domains and regions, as seen from this instance.
    pub topology: Topology,
    /// The platform's adapter.
    pub adapter: &'static Adapter,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// What this instance takes in.
    pub intake: Arc<Intake>,
    /// Memory for workers' answers that are held in full before they are passed on.
    pub answer_budget: Arc<BufferBudget>,
    /// Whether this instance is not ready because it turns callers away.
    pub withdrawal: Mutex<Withdrawal>,
    /// Opens connections to workers.
    pub worker_connector: Connector,
    /// The platform's store.
    pub store: Store,
    /// Key for the fingerprints of requests.
    pub fingerprint_key: FingerprintKey,
    /// This instance's paths to workers.
    pub paths: WorkerPaths,
    /// Recent probes of workers whose connections broke.
    pub worker_probes: WorkerProbes,
    /// Headers in workers' answers that this build does not recognize.
    pub unknown_headers: UnknownHeaders,
    /// Requests during which workers ended.
    pub quarantine: Mutex<Quarantine>,
    /// Whether the quarantined requests kept in the store have been read.
    pub persistence: PersistenceState,
    /// Random ID of this process start.
    pub boot: u64,
    /// Wakes tasks that wait for a worker holding the model or adapter they need.
    pub roster_changed: Notify,
    /// Number of digests made since the start.
    pub digest_count: AtomicU64,
    /// Wakes the digest sender.
    pub digest_wanted: Notify,
    /// Wakes the demand sender when a request waits for something that no worker holds.
    pub demand_wanted: Notify,
    /// Adapters that local requests wait for: service, model and adapter.
    pub waits_for: Mutex<HashSet<(u64, ModelKey)>>,
    /// Models that local requests lacked since lease holders were last notified: service, model.
    pub lacks: Mutex<HashSet<(u64, u16)>>,
    /// Lease holders' answers on when such models are expected to be loaded.
    pub expected_models: Mutex<ExpectedModels>,
    /// Wakes tasks that wait for these answers.
    pub expected_changed: Notify,
    /// Wakes the controller.
    pub controller_wanted: Notify,
    /// Rows of the worker list, and the changes that peers are sent.
    pub listing: Mutex<Listing>,
    /// Freshness of the worker list, whose rows are in `listing`.
    pub list: Mutex<Freshness>,
    /// Proof that the configuration in force was recently the newest.
    pub proof: Mutex<Proof>,
    /// Queries of peers that came before this instance had a proof.
    pub unanswered_proof_queries: Mutex<UnansweredQueries<SocketAddr>>,
    /// Domains whose evacuation was requested while nobody knew them.
    pub passed_over: PassedOver,
    /// State for sending whole worker lists to peers.
    pub list_sending: list_transfer::ListSending,
    /// Wakes the sender of worker list changes.
    pub list_update_wanted: Notify,
    /// Widest origin of the list changes still to be sent; `None` if none are pending.
    pub list_origin: Mutex<Option<Origin>>,
    /// Workers whose rows say that they are leaving or gone: key, position.
    pub recent_leaving: Mutex<RecentUpdates<(u64, StorePosition)>>,
    /// Workers that have announced their own departure.
    pub recent_departures: Mutex<RecentUpdates<DepartureNews>>,
    /// Body of the configuration in force as sent to peers, without API keys.
    pub configuration_body: Mutex<Bytes>,
    /// That body, and its compressed form; empty until a peer first asks for it.
    pub packed_configuration: Mutex<(Bytes, Bytes)>,
    configuration: Mutex<Option<Arc<Configuration>>>,
    roster: Mutex<Roster>,
    prefill_costs: Mutex<PrefillCosts>,
    slot_times: Mutex<SlotTimes>,
    service_times: Mutex<ServiceTimes>,
    /// Recent refusals, by what was short, from which callers' retry delays follow.
    pub shortages: Mutex<Shortages>,
    demand: Mutex<HashMap<Arc<str>, Demand>>,
    peers: Mutex<Peers>,
    announced: Mutex<HashMap<Arc<str>, AnnouncedChanges>>,
    retries: Mutex<HashMap<Arc<str>, RetryWindow>>,
    pools: Mutex<Pools>,
    /// Requests at the workers that this instance owns.
    pub owned_workers: Mutex<OwnedWorkers>,
    /// Pending questions to owners of workers.
    pub questions: Questions<Quote>,
    /// Round-trip times to owners of workers, by distance.
    pub round_trips: Mutex<RoundTrips>,
    /// Parts of accounts' limits that this instance owns.
    pub owned_limits: Mutex<OwnedLimits>,
    /// This instance's usage of accounts' limits.
    pub account_usages: Mutex<AccountUsages>,
    /// Pending questions to owners of limits.
    pub limit_questions: Questions<LimitGrant>,
    /// Send grants for the cold or rate-limited workers that this instance owns.
    pub send_grants: Mutex<SendGrants>,
    /// Send grants for the brittle workers that this instance owns.
    pub brittle_grants: Mutex<BrittleGrants>,
    /// Pending questions to owners of such workers.
    pub grant_questions: Questions<SendGrant>,
    /// Where streams began.
    pub origins: OriginState,
    /// UDP socket for messages to peers; unset before the start.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Leases whose term has ended at this instance, by service key.
    pub ended_leases: Mutex<HashMap<u64, EndedTerm>>,
    /// Whether the worker list is being fetched from a peer.
    pub is_fetching_list: AtomicBool,
    /// Whether a configuration is being fetched from a peer.
    pub is_fetching_configuration: AtomicBool,
    /// Interrupts a wait for a new configuration at the store, which may never be answered
    /// after an outage or a restore.
    pub configuration_wanted: Notify,
    /// Wakes tasks that wait for a newer configuration.
    pub configuration_changed: Notify,
    /// Newest configuration version that any peer has reported.
    pub configuration_heard: AtomicU64,
    own_ip: Ipv4Addr,
    is_stopping: AtomicBool,
    clock: Clock,
}

/// Locks a mutex, ignoring poisoning.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps for a number of milliseconds.
pub async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

impl Node {
    /// Creates the shared state of an instance; `None` if the settings name an unknown
    /// adapter.
    pub fn new(settings: Settings, worker_connector: Connector, log: Logger) -> Option<Self> {
        let adapter = adapter::find(&settings.platform.adapter)?;
        let own_ip = match settings.listen.peers.ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let seeds = settings.peers.seeds.iter();
        let seeds = seeds.filter_map(|seed| seed.split(':').next()?.parse().ok());
        let seeds: Vec<Ipv4Addr> = seeds.collect();
        let boot = rand::random();
        // The topology was validated when the settings were read.
        let topology = settings.instance.topology().ok()?;
        let peers = Peers::new(own_ip, &settings.instance.failure_domain, &seeds);
        let metrics = Metrics::new();
        let clock = Clock::start();
        let resources = settings.resources.resources();
        let intake = Arc::new(Intake::new(resources, clock));
        let answer_bytes = resources.memory_bytes as f64 * ANSWER_MEMORY_SHARE;
        Some(Self {
            peers: Mutex::new(peers.with_topology(&topology)),
            topology,
            adapter,
            store: Store::new(&settings.platform.store, adapter, &log, &metrics)
                .with_meter(intake.meter()),
            intake,
            answer_budget: Arc::new(BufferBudget::new(answer_bytes as u64)),
            withdrawal: Mutex::default(),
            log,
            metrics,
            worker_connector,
            fingerprint_key: FingerprintKey::new(&settings.peers.fingerprint_secret),
            paths: WorkerPaths::default(),
            worker_probes: WorkerProbes::default(),
            unknown_headers: UnknownHeaders::default(),
            quarantine: Mutex::default(),
            persistence: PersistenceState::default(),
            boot,
            roster_changed: Notify::new(),
            digest_count: AtomicU64::new(0),
            digest_wanted: Notify::new(),
            demand_wanted: Notify::new(),
            waits_for: Mutex::default(),
            lacks: Mutex::default(),
            expected_models: Mutex::default(),
            expected_changed: Notify::new(),
            controller_wanted: Notify::new(),
            listing: Mutex::default(),
            list: Mutex::new(Freshness::new(settings.bounds.drain_ms)),
            proof: Mutex::new(Proof::new(boot, settings.bounds.configuration_ms)),
            unanswered_proof_queries: Mutex::default(),
            passed_over: PassedOver::default(),
            list_sending: list_transfer::ListSending::default(),
            list_update_wanted: Notify::new(),
            list_origin: Mutex::default(),
            recent_leaving: Mutex::default(),
            recent_departures: Mutex::default(),
            configuration_body: Mutex::default(),
            packed_configuration: Mutex::default(),
            configuration: Mutex::default(),
            roster: Mutex::default(),
            prefill_costs: Mutex::default(),
            slot_times: Mutex::default(),
            service_times: Mutex::default(),
            shortages: Mutex::default(),
            demand: Mutex::default(),
            announced: Mutex::default(),
            retries: Mutex::default(),
            pools: Mutex::default(),
            owned_workers: Mutex::default(),
            questions: Questions::default(),
            round_trips: Mutex::default(),
            owned_limits: Mutex::default(),
            account_usages: Mutex::default(),
            limit_questions: Questions::default(),
            send_grants: Mutex::default(),
            brittle_grants: Mutex::default(),
            grant_questions: Questions::default(),
            origins: OriginState::default(),
            peer_socket: OnceLock::new(),
            ended_leases: Mutex::default(),
            is_fetching_list: AtomicBool::new(false),
            is_fetching_configuration: AtomicBool::new(false),
            configuration_wanted: Notify::new(),
            configuration_changed: Notify::new(),
            configuration_heard: AtomicU64::new(0),
            own_ip,
            is_stopping: AtomicBool::new(false),
            clock,
            settings,
        })
    }

    /// Returns this instance's IP address.
    pub fn own_ip(&self) -> Ipv4Addr {
        self.own_ip
    }

    /// Returns the port on which all instances listen for each other.
    pub fn peer_port(&self) -> u16 {
        self.settings.listen.peers.port()
    }

    /// Returns the current time of this process's clock, in milliseconds. It includes time for
    /// which the machine was suspended.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the time since the start, in milliseconds, including time for which the machine was
    /// suspended.
    pub fn up_for_ms(&self) -> u64 {
        self.clock.up_for_ms()
    }

    /// Converts a time in milliseconds to an instant for timers.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        self.clock.instant(at_ms)
    }

    /// Returns the known workers.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Returns the learned cost of prefill.
    pub fn prefill_costs(&self) -> MutexGuard<'_, PrefillCosts> {
        lock(&self.prefill_costs)
    }

    /// Returns how long responses occupy a batch slot.
    pub fn slot_times(&self) -> MutexGuard<'_, SlotTimes> {
        lock(&self.slot_times)
    }

    /// Returns how long calls of plain services run.
    pub fn service_times(&self) -> MutexGuard<'_, ServiceTimes> {
        lock(&self.service_times)
    }

    /// Returns the state of the peers.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Returns the store position at which the worker list is complete.
    pub fn list_position(&self) -> StorePosition {
        lock(&self.listing).position()
    }

    /// Returns the demand seen by this instance, by service.
    pub fn demand(&self) -> MutexGuard<'_, HashMap<Arc<str>, Demand>> {
        lock(&self.demand)
    }

    /// Returns the changes made by this instance's orders, by service.
    pub fn announced(&self) -> MutexGuard<'_, HashMap<Arc<str>, AnnouncedChanges>> {
        lock(&self.announced)
    }
}
