//! Connections to workers: direct ones, or through a peer while the direct path fails.
//!
//! [`take`] reuses an idle connection or opens one. A direct attempt that is slow or fails is
//! joined by attempts through peers ([`crate::tunnels`]), and the first connection wins. The
//! results of all attempts are evidence about the paths (see [`cranereach_fleet::reachability`]),
//! which decides how the next connection is opened. [`prober`] finds out when a path is back.

mod prober;

use std::net::Ipv4Addr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt;
use http_body_util::Full;
use tokio::net::TcpStream;
use tokio::sync::Notify;

pub use self::prober::run;
use crate::cold;
use crate::node::Node;
use crate::node::connections::WorkerPool;
use crate::node::lock;
use crate::tunnels;
use crate::tunnels::TunnelError;
use crate::worker_headers::DEFAULT_KEEP_ALIVE_MS;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_fleet::reachability::PathPlan;
use cranereach_fleet::reachability::Reachability;
use cranereach_fleet::topology::Distance;
use cranereach_http::pool::Connection;

/// Timeout for connecting to a worker, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 250;

/// Number of times that a connection attempt is given as long again because this instance itself was
/// too slow to notice its end.
const OWN_DELAY_EXTENSION_MAX_COUNT: usize = 2;

/// Time after which the next path is attempted while an earlier attempt is still open, in
/// milliseconds: several round trips between regions.
const NEXT_PATH_AFTER_MS: u64 = 80;

/// Maximum number of peers that are asked for a tunnel to one worker.
const ASKED_PEER_MAX_COUNT: usize = 5;

/// Number of peers that must have tried in vain to reach a worker before no more are asked.
const PEER_MISS_MAX_COUNT: usize = 2;

/// Minimum time between two suspicions that lead to a probe, in milliseconds.
const SUSPICION_INTERVAL_MS: u64 = 500;

/// Connection to a worker.
pub type WorkerConnection = Connection<Full<Bytes>>;

/// Why no connection to a worker could be opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotConnected {
    /// How the direct attempt failed; none if it was not made or has not ended.
    pub direct: Option<ConnectFailure>,
    /// How a peer failed to reach the worker; none if no peer tried.
    pub peer: Option<ConnectFailure>,
}

/// State of this instance's paths to workers.
#[derive(Debug, Default)]
pub struct WorkerPaths {
    reachability: Mutex<Reachability>,
    /// Worker whose paths are to be probed, since it does not answer.
    suspect: Mutex<Option<Arc<str>>>,
    suspected_at_ms: AtomicU64,
    /// When bytes of a worker last arrived on a direct connection, in milliseconds.
    received_at_ms: AtomicU64,
    /// When this instance became isolated from the workers, in milliseconds; zero if it is not.
    isolated_since_ms: AtomicU64,
    /// Wakes the prober.
    probe_wanted: Notify,
    /// Wakes calls that wait on connections whose path may be cut.
    changed: Notify,
}

impl WorkerPaths {
    /// Reads or changes the evidence.
    pub fn reachability<T>(&self, access: impl FnOnce(&mut Reachability) -> T) -> T {
        access(&mut lock(&self.reachability))
    }

    /// Whether this instance reaches few workers while its peers reach them.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        lock(&self.reachability).is_isolated(now_ms)
    }

    /// Returns for how long this instance has been isolated from the workers, in milliseconds.
    pub fn isolated_for_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.isolated_since_ms.load(Ordering::Acquire);
        (since_ms > 0).then(|| now_ms.saturating_sub(since_ms))
    }

    /// Records that bytes of a worker arrived on a direct connection.
    pub fn note_received(&self, now_ms: u64) {
        self.received_at_ms.fetch_max(now_ms, Ordering::AcqRel);
    }

    /// Records that a worker answered on a direct connection.
    pub fn note_answered(&self, now_ms: u64, worker: &str) {
        self.note_received(now_ms);
        lock(&self.reachability).direct_succeeded(now_ms, worker_key(worker));
    }

    /// Whether nothing has arrived from any worker directly since a time, in milliseconds.
    pub fn is_quiet_since(&self, since_ms: u64) -> bool {
        self.received_at_ms.load(Ordering::Acquire) < since_ms
    }

    /// Requests a probe of the path to a worker that does not answer, unless another probe was
    /// requested just before.
    pub fn suspect(&self, now_ms: u64, worker: &Arc<str>) {
        let before_ms = self.suspected_at_ms.load(Ordering::Acquire);
        if before_ms > 0 && now_ms < before_ms + SUSPICION_INTERVAL_MS {
            return;
        }
        self.suspected_at_ms.store(now_ms, Ordering::Release);
        *lock(&self.suspect) = Some(Arc::clone(worker));
        self.probe_wanted.notify_one();
    }

    /// Whether the direct path to a worker is known to be cut silently.
    pub fn is_silently_cut(&self, now_ms: u64, worker: &str) -> bool {
        lock(&self.reachability).is_silently_cut(now_ms, worker_key(worker))
    }

    /// Waits until the direct path to a worker is known to be cut silently.
    pub async fn until_silently_cut(&self, node: &Node, worker: &str) {
        loop {
            let changed = self.changed.notified();
            if self.is_silently_cut(node.now_ms(), worker) {
                return;
            }
            changed.await;
        }
    }
}

/// Reuses an idle connection to a worker, or opens one.
pub async fn take(
    node: &Arc<Node>,
    worker: &Arc<str>,
    address: &str,
) -> Result<WorkerConnection, NotConnected> {
    let now_ms = node.now_ms();
    let pool = node.pool(worker, address);
    let key = worker_key(worker);
    let (plan, idle) = node.paths.reachability(|reachability| {
        let plan = reachability.plan(now_ms, key);
        let idle = pool.take_idle(|via| match via {
            None => plan.reuses_direct,
            Some(peer) => !plan.tries_direct && reachability.may_ask(now_ms, peer),
        });
        (plan, idle)
    });
    match idle {
        Some(connection) => Ok(connection),
        None => open(node, worker, &pool, plan).await,
    }
}

/// Opens a connection to a worker on the first path that works, and records the evidence.
pub async fn open(
    node: &Arc<Node>,
    worker: &Arc<str>,
    pool: &Arc<WorkerPool>,
    plan: PathPlan,
) -> Result<WorkerConnection, NotConnected> {
    let mut next_paths = paths(node, worker, plan).into_iter();
    let mut attempts: FuturesUnordered<BoxFuture<'static, Attempt>> = FuturesUnordered::new();
    let mut not_connected = NotConnected::default();
    let mut miss_count = 0;
    loop {
        let next_path = if miss_count < PEER_MISS_MAX_COUNT {
            next_paths.next()
        } else {
            None
        };
        if let Some(path) = next_path {
            let attempt = attempt(Arc::clone(node), Arc::clone(worker), Arc::clone(pool), path);
            attempts.push(Box::pin(attempt));
        } else if attempts.is_empty() {
            return Err(not_connected);
        }
        // A path isn't slow if it is this instance that is.
        let own_delay_ms = node.own_delay_since_ms(node.now_ms());
        let next_path_in = Duration::from_millis(NEXT_PATH_AFTER_MS + 2 * own_delay_ms);
        match tokio::time::timeout(next_path_in, attempts.next()).await {
            Ok(Some(Attempt::Connected(connection))) => {
                finish_in_background(attempts);
                return Ok(connection);
            }
            Ok(Some(Attempt::DirectFailed(failure))) => not_connected.direct = Some(failure),
            Ok(Some(Attempt::PeerFailed(failure))) => {
                miss_count += usize::from(failure.is_some());
                not_connected.peer = not_connected.peer.or(failure);
            }
            Ok(None) | Err(_) => {}
        }
    }
}

/// Path to a worker.
#[derive(Clone, Copy, Debug)]
enum Path {
    Direct,
    Via(Ipv4Addr),
}

/// Result of an attempt to connect to a worker.
enum Attempt {
    Connected(WorkerConnection),
    DirectFailed(ConnectFailure),
    /// A peer gave no connection; how it failed to reach the worker, if it tried.
    PeerFailed(Option<ConnectFailure>),
}

/// Returns the paths to attempt, in order.
fn paths(node: &Node, worker: &str, plan: PathPlan) -> Vec<Path> {
    let direct = plan.tries_direct.then_some(Path::Direct);
    let asked = if plan.asks_peers {
        askable_peers(node, worker)
    } else {
        Vec::new()
    };
    direct
        .into_iter()
        .chain(asked.into_iter().map(Path::Via))
        .collect()
}

/// Returns the peers that may be asked for a tunnel to a worker. Those in the failure domains of
/// this instance and of the worker come first: through them, a request crosses no more domains than
/// it does directly.
fn askable_peers(node: &Node, worker: &str) -> Vec<Ipv4Addr> {
    let now_ms = node.now_ms();
    let worker_domain = node
        .roster()
        .get(worker)
        .map(|worker| Arc::clone(&worker.record.failure_domain));
    let alive: Vec<_> = node.peers().members().alive_with_domains(now_ms).collect();
    let from_worker = worker_domain
        .as_ref()
        .map(|domain| node.topology.proximity_of(domain));
    let peers = alive.into_iter().map(|(peer, domain)| {
        let own = node.topology.distance_to(domain);
        let workers = from_worker.as_ref().map(|from| from.distance(domain));
        (peer, own.min(workers.unwrap_or(Distance::OtherRegion)))
    });
    node.paths.reachability(|reachability| {
        reachability.choose_peers(now_ms, peers, ASKED_PEER_MAX_COUNT, &mut rand::rng())
    })
}

/// Lets the remaining attempts end, since their results are evidence, too. Connections that are not
/// needed are kept for the next call.
fn finish_in_background(mut attempts: FuturesUnordered<BoxFuture<'static, Attempt>>) {
    if attempts.is_empty() {
        return;
    }
    tokio::spawn(async move {
        while let Some(attempt) = attempts.next().await {
            if let Attempt::Connected(connection) = attempt {
                connection.keep_for(DEFAULT_KEEP_ALIVE_MS);
            }
        }
    });
}

/// Attempts one path and records the evidence.
async fn attempt(node: Arc<Node>, worker: Arc<str>, pool: Arc<WorkerPool>, path: Path) -> Attempt {
    match path {
        Path::Direct => match connect_directly(&node, &worker, &pool).await {
            Ok(connection) => Attempt::Connected(connection),
            Err(failure) => Attempt::DirectFailed(failure),
        },
        Path::Via(peer) => through_peer(&node, &worker, &pool, peer).await,
    }
}

/// Makes a direct connection to a worker and records the evidence.
async fn connect_directly(
    node: &Node,
    worker: &str,
    pool: &WorkerPool,
) -> Result<WorkerConnection, ConnectFailure> {
    let stream = connect(node, worker_key(worker), pool).await?;
    cold::note_reached(node, worker);
    let made = pool.make_on(stream, None).await;
    made.map_err(|_closed| ConnectFailure::Refused)
}

/// Opens a direct TCP connection to a worker and records the evidence. A time-out that this instance
/// itself explains is none.
pub async fn connect(
    node: &Node,
    worker: u64,
    pool: &WorkerPool,
) -> Result<TcpStream, ConnectFailure> {
    let connected = connect_within_own_delay(node, pool).await;
    let now_ms = node.now_ms();
    let failure = match connected {
        Ok(Ok(stream)) => {
            node.metrics.connections_total.inc();
            node.paths.note_received(now_ms);
            node.paths
                .reachability(|reachability| reachability.direct_succeeded(now_ms, worker));
            return Ok(stream);
        }
        Ok(Err(_)) => ConnectFailure::Refused,
        Err(_) if node.is_own_delay(CONNECT_TIMEOUT_MS) => return Err(ConnectFailure::Silent),
        Err(_) => ConnectFailure::Silent,
    };
    node.paths
        .reachability(|reachability| reachability.direct_failed(now_ms, worker, failure));
    node.paths.probe_wanted.notify_one();
    Err(failure)
}

/// Opens a TCP connection to a worker. The time-out is extended while this instance itself is slow.
async fn connect_within_own_delay(
    node: &Node,
    pool: &WorkerPool,
) -> Result<std::io::Result<TcpStream>, tokio::time::error::Elapsed> {
    let within = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut connecting = pin!(pool.connect());
    for _extension in 0..OWN_DELAY_EXTENSION_MAX_COUNT {
        let connected = tokio::time::timeout(within, connecting.as_mut()).await;
        if connected.is_ok() || !node.is_own_delay(CONNECT_TIMEOUT_MS) {
            return connected;
        }
    }
    tokio::time::timeout(within, connecting).await
}

/// Opens a connection through a peer and records the evidence.
async fn through_peer(
    node: &Node,
    worker: &Arc<str>,
    pool: &WorkerPool,
    peer: Ipv4Addr,
) -> Attempt {
    let key = worker_key(worker);
    let asked_ms = node.now_ms();
    let opened = tunnels::open(node, peer, key).await;
    let now_ms = node.now_ms();
    match opened {
        Ok(stream) => {
            node.metrics.paths.tunneled_connections_total.inc();
            node.paths
                .reachability(|reachability| reachability.peer_reached(now_ms, key, peer));
            cold::note_reached(node, worker);
            node.paths.probe_wanted.notify_one();
            match pool.make_on(stream, Some(peer)).await {
                Ok(connection) => Attempt::Connected(connection),
                Err(_) => Attempt::PeerFailed(None),
            }
        }
        Err(TunnelError::Worker(failure)) => {
            node.paths
                .reachability(|reachability| reachability.peer_missed(now_ms, key, peer));
            Attempt::PeerFailed(Some(failure))
        }
        Err(TunnelError::Peer(_)) if node.is_own_delay(now_ms.saturating_sub(asked_ms)) => {
            Attempt::PeerFailed(None)
        }
        Err(TunnelError::Declined(_) | TunnelError::Peer(_)) => {
            node.paths
                .reachability(|reachability| reachability.peer_failed(now_ms, peer));
            Attempt::PeerFailed(None)
        }
    }
}
