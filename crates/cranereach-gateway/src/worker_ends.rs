//! Determines whether a worker has ended after a connection to it broke.
//!
//! A broken response does not imply that the worker ended: it may have failed only one
//! request, or a network link may be down. Therefore the worker is probed with one connection
//! attempt, which peers repeat if it is slow or fails:
//!
//! - If its machine refuses the connection to all who tried, nothing is listening any more.
//! - If the connection is accepted and stays open, the worker is alive, and the connection is kept
//!   for the next request. If only a peer's connection is, a path of this instance is at fault.
//! - Any other result is inconclusive: a proxy in front of a worker accepts connections in its
//!   place, and a worker resets connections beyond its limit. Then the removal of the worker's row
//!   decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::OnceCell;

use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::worker_headers::DEFAULT_KEEP_ALIVE_MS;
use crate::worker_paths;
use crate::worker_paths::NotConnected;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_fleet::reachability::PathPlan;

/// Delay between the break of a connection and the probe, in milliseconds. An ending process
/// may close its open connections shortly before it stops listening. Retries wait for this delay.
const PROBE_DELAY_MS: u64 = 10;

/// Time for which a new connection must stay open to show that the worker is alive, in
/// milliseconds.
const MIN_OPEN_MS: u64 = 10;

/// Time for which the result of one probe is used for all broken connections to the same worker, in
/// milliseconds. The requests interrupted by one worker's end are noticed at slightly different
/// times.
const PROBE_RESULT_TTL_MS: u64 = 500;

/// Time for which the list of workers is watched for the removal of an unreachable worker, in
/// milliseconds. Rows are removed about 4 s after their workers end.
const DELISTING_TIMEOUT_MS: u64 = 6_000;

/// Interval between two checks of the list, in milliseconds.
const LIST_POLL_INTERVAL_MS: u64 = 100;

/// State of a worker after a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The machine refuses connections: the worker has ended.
    Refused,
    /// The worker kept no connection open, and its row was removed without having been marked as
    /// leaving: the worker has ended.
    Delisted,
    /// The worker accepts connections and keeps them open.
    Alive,
    /// The worker does so for a peer, but this instance's own path to it is cut.
    PathCut,
    /// The end was planned: the row was marked as leaving or already removed.
    Planned,
    /// The worker accepts no connection, or keeps none open, but is still listed: a network link
    /// may be down.
    OutOfReach,
}

impl ProbeResult {
    /// Whether the worker ended unexpectedly.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Refused | Self::Delisted)
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Delisted => "delisted",
            Self::Alive => "alive",
            Self::PathCut => "path_cut",
            Self::Planned => "planned",
            Self::OutOfReach => "out_of_reach",
        }
    }
}

/// One connection attempt to a worker.
#[derive(Debug)]
struct Probe {
    started_at_ms: u64,
    /// Result, once the probe has completed.
    result: Arc<OnceCell<ProbeResult>>,
}

/// Recent probes of workers whose connections broke.
#[derive(Debug, Default)]
pub struct WorkerProbes {
    by_worker: Mutex<HashMap<Arc<str>, Probe>>,
}

/// Determines the state of a worker after a connection to it broke. Waits for the worker's row only
/// if the worker is out of reach.
pub async fn find(node: &Arc<Node>, worker: &Arc<str>) -> ProbeResult {
    let incarnation = incarnation_of(node, worker);
    let found = check(node, worker).await;
    if found == ProbeResult::OutOfReach {
        return wait_for_delisting(node, worker, incarnation).await;
    }
    found
}

/// Determines the state of a worker as far as a probe shows it.
pub async fn check(node: &Arc<Node>, worker: &Arc<str>) -> ProbeResult {
    if !is_expected_to_run(node, worker) {
        return ProbeResult::Planned;
    }
    let result_cell = node.worker_probes.current(node.now_ms(), worker);
    *result_cell.get_or_init(|| probe(node, worker)).await
}

impl WorkerProbes {
    /// Returns the result cell of the current probe of a worker; adds a probe if there is none.
    fn current(&self, now_ms: u64, worker: &Arc<str>) -> Arc<OnceCell<ProbeResult>> {
        let mut probes = lock(&self.by_worker);
        probes.retain(|_, probe| now_ms < probe.started_at_ms + PROBE_RESULT_TTL_MS);
        let probe = probes.entry(Arc::clone(worker)).or_insert_with(|| Probe {
            started_at_ms: now_ms,
            result: Arc::default(),
        });
        Arc::clone(&probe.result)
    }
}

/// Returns the key of a listed worker's current incarnation.
fn incarnation_of(node: &Node, worker: &str) -> Option<u64> {
    let roster = node.roster();
    roster
        .get(worker)
        .map(|known| known.record.incarnation_key())
}

/// Whether a worker is listed and not leaving.
fn is_expected_to_run(node: &Node, worker: &str) -> bool {
    let roster = node.roster();
    roster.get(worker).is_some_and(|known| !known.is_leaving())
}

/// Probes a worker with one connection attempt.
async fn probe(node: &Arc<Node>, worker: &Arc<str>) -> ProbeResult {
    pause(PROBE_DELAY_MS).await;
    let address = node
        .roster()
        .get(worker)
        .map(|known| known.record.address.clone());
    let Some(address) = address else {
        return ProbeResult::Planned;
    };
    let pool = node.pool(worker, &address);
    match worker_paths::open(node, worker, &pool, PathPlan::NEW_BY_ANY).await {
        Ok(connection) => {
            pause(MIN_OPEN_MS).await;
            if connection.is_closed() {
                return ProbeResult::OutOfReach;
            }
            let is_relayed = connection.via().is_some();
            connection.keep_for(DEFAULT_KEEP_ALIVE_MS);
            if is_relayed {
                ProbeResult::PathCut
            } else {
                ProbeResult::Alive
            }
        }
        Err(not_connected) if is_refused_by_all(node, not_connected) => ProbeResult::Refused,
        Err(_) => ProbeResult::OutOfReach,
    }
}

/// Whether the worker's machine refuses connections, as far as can be known: a refusal that only
/// this instance sees says nothing while its paths are cut.
fn is_refused_by_all(node: &Node, not_connected: NotConnected) -> bool {
    let is_own_path_sound = || !node.paths.is_isolated(node.now_ms());
    not_connected.direct == Some(ConnectFailure::Refused)
        && not_connected
            .peer
            .map_or_else(is_own_path_sound, |peer| peer == ConnectFailure::Refused)
}

/// Waits until the row of an unreachable worker is removed or replaced by that of a new
/// incarnation.
async fn wait_for_delisting(node: &Node, worker: &str, incarnation: Option<u64>) -> ProbeResult {
    let until_ms = node.now_ms() + DELISTING_TIMEOUT_MS;
    while node.now_ms() < until_ms {
        if incarnation_of(node, worker) != incarnation {
            return ProbeResult::Delisted;
        }
        if !is_expected_to_run(node, worker) {
            return ProbeResult::Planned;
        }
        pause(LIST_POLL_INTERVAL_MS).await;
    }
    ProbeResult::OutOfReach
}
