//! State shared by all components of an entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use slog::Logger;
use tokio::sync::Notify;
use xtra::Address;

use crate::dispatch_actor::DispatchActor;
use crate::metrics::Metrics;
use crate::platform::table::Table;
use crate::settings::Settings;
use crate::upstream::Upstreams;
use cranereach_core::config::CONFIRMATION_TIMEOUT_MS;
use cranereach_core::config::ConfigState;
use cranereach_core::drain::Drain;
use cranereach_core::drain::Phase;
use cranereach_core::membership::Membership;
use cranereach_core::names::InstanceId;
use cranereach_core::names::RequestId;
use cranereach_core::retry_budget::RetryBudget;
use cranereach_core::snapshot::Snapshot;
use cranereach_http::clock::Clock;
use cranereach_http::clock::new_boot_number;
use cranereach_wire::peer::PeerKey;
use cranereach_wire::platform::ListedInstance;

/// A peer on the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Id of the peer.
    pub id: InstanceId,
    /// Address for peer traffic, UDP and TCP.
    pub address: SocketAddr,
}

/// Body of the active configuration, kept for peers that don't have it yet.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    /// BLAKE3 hash of the body, in hex.
    pub hash: String,
    /// Content of the body.
    pub body: Bytes,
}

/// State shared by all components.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Logger of the process.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Number of this boot; higher than that of earlier boots.
    pub boot_id: u64,
    /// Key that seals messages between peers.
    pub peer_key: PeerKey,
    /// Connection pools of the upstreams.
    pub upstreams: Upstreams,
    /// Client of the table.
    pub table: Table,
    /// Address of the dispatch actor, which admits, orders and routes requests.
    pub dispatcher: Address<DispatchActor>,
    /// Wakes the configuration synchronization when the body of a newer head is missing.
    pub config_body_missing: Notify,
    /// Notified when a graceful shutdown is requested.
    pub drain_requested: Notify,
    /// Retry budget for requests to upstreams.
    pub retry_budget: Mutex<RetryBudget>,
    /// Body of the active configuration.
    pub held_body: Mutex<HeldBody>,
    membership: Mutex<Membership>,
    listed: RwLock<Arc<Vec<ListedInstance>>>,
    snapshot: RwLock<Arc<Snapshot>>,
    config: Mutex<ConfigState>,
    drain: Mutex<Drain>,
    in_flight_count: AtomicUsize,
    request_count: AtomicU64,
}

/// Guard that counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight_count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex, ignoring poisoning by a panic in another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Creates the shared state of an instance.
    pub fn new(settings: Settings, log: Logger, dispatcher: Address<DispatchActor>) -> Self {
        let clock = Clock::start();
        let secret = settings.peers.secret.clone().unwrap_or_default();
        Self {
            clock,
            log,
            metrics: Metrics::new(),
            boot_id: new_boot_number(),
            peer_key: PeerKey::derive(&secret),
            upstreams: Upstreams::default(),
            table: Table::new(&settings.platform.table),
            dispatcher,
            config_body_missing: Notify::new(),
            drain_requested: Notify::new(),
            retry_budget: Mutex::default(),
            held_body: Mutex::default(),
            membership: Mutex::new(Membership::new(settings.instance.id.clone())),
            listed: RwLock::default(),
            snapshot: RwLock::default(),
            config: Mutex::new(ConfigState::new(clock.now_ms())),
            drain: Mutex::default(),
            in_flight_count: AtomicUsize::new(0),
            request_count: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the id of this instance.
    pub fn own_id(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// Returns the current time, in milliseconds since the start of the process.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the active configuration.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the active configuration.
    pub fn set_snapshot(&self, snapshot: Snapshot) {
        self.metrics.config_version.set(snapshot.version as i64);
        *self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    /// Returns the platform's instance list, as last read.
    pub fn listed(&self) -> Arc<Vec<ListedInstance>> {
        Arc::clone(&self.listed.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the platform's instance list.
    pub fn set_instance_list(&self, listed: Vec<ListedInstance>) {
        *self.listed.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(listed);
    }

    /// Locks and returns the membership view of the other entry instances.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Locks and returns the state of the configuration's version.
    pub fn config(&self) -> MutexGuard<'_, ConfigState> {
        lock(&self.config)
    }

    /// Whether this instance has recent enough confirmation that its configuration is
    /// the current one.
    pub fn may_serve(&self) -> bool {
        let now_ms = self.now_ms();
        let membership = self.membership();
        let listed_count = membership.listed_count();
        let heard_count = membership.heard_count(now_ms, CONFIRMATION_TIMEOUT_MS);
        drop(membership);
        self.config().may_serve(now_ms, listed_count, heard_count)
    }

    /// Whether the load balancer should send callers to this instance; also updates the
    /// metric.
    pub fn is_ready(&self) -> bool {
        let is_ready = self.phase() == Phase::Serving && self.may_serve();
        self.metrics.is_ready.set(i64::from(is_ready));
        is_ready
    }

    /// Requests a graceful shutdown; further requests have no effect.
    pub fn request_drain(&self) {
        lock(&self.drain).ask(self.now_ms());
        self.drain_requested.notify_waiters();
    }

    /// Returns the phase of the graceful shutdown.
    pub fn phase(&self) -> Phase {
        let in_flight_count = self.in_flight_count.load(Ordering::Acquire);
        lock(&self.drain).phase(self.now_ms(), in_flight_count, self.settings.drain.limit_ms)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlight {
        self.in_flight_count.fetch_add(1, Ordering::AcqRel);
        InFlight {
            shared: Arc::clone(self),
        }
    }

    /// Returns a new request id, unique within this boot.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.request_count.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the external name of a request, unique across instances and boots.
    pub fn request_name(&self, request: RequestId) -> String {
        format!("{}-{:x}-{:x}", self.own_id(), self.boot_id, request.0)
    }
}
