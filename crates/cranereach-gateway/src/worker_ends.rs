//! Whether a worker whose connection broke has ended.
//!
//! Answers break off without an end too: a worker fails one request, a link is cut. So
//! the worker is tried once: if its machine refuses the connection, nothing listens
//! there any more. If it takes the connection and keeps it, that one is kept for the next
//! request. Anything else says nothing: what stands before a worker takes connections for
//! it, a worker resets those beyond its limit. There the end of its row tells.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::OnceCell;

use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::worker_words::REST_UNSAID_MS;
use cranereach_http::pool::ConnectError;

/// Time from the break of a connection to the try, in milliseconds: a process that ends
/// may close its open connections a little before it stops listening. Repeats wait for it.
const PROBE_DELAY_MS: u64 = 10;

/// Time to connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Time for which a connection must stay open, in milliseconds, to speak for the worker.
const MIN_OPEN_MS: u64 = 10;

/// Time for which one try answers for all connections to the worker that break, in
/// milliseconds: the requests that an end breaks off come to light within some.
const PROBE_RESULT_TTL_MS: u64 = 500;

/// Time for which the list is looked at for a worker that can't be reached, in
/// milliseconds: rows end some 4 s after their workers.
const DELISTING_TIMEOUT_MS: u64 = 6_000;

/// Time between two looks at the list, in milliseconds.
const LIST_POLL_INTERVAL_MS: u64 = 100;

/// What became of a worker whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Its machine refuses connections: it has ended.
    Refused,
    /// It took no connection for long, and its row ended without its leaving: it has
    /// ended.
    Delisted,
    /// It takes connections and keeps them.
    Alive,
    /// It was to end: its row said so, or was gone.
    Planned,
    /// It takes no connection, or none for long, and is still listed: a link may be cut.
    OutOfReach,
}

impl Found {
    /// Whether the worker ended without having been meant to.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Refused | Self::Delisted)
    }

    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Delisted => "delisted",
            Self::Alive => "alive",
            Self::Planned => "planned",
            Self::OutOfReach => "out_of_reach",
        }
    }
}

/// One try of a worker.
#[derive(Debug)]
struct Probe {
    started_at_ms: u64,
    /// What it found, once it has.
    result: Arc<OnceCell<Found>>,
}

/// Tries of workers whose connections broke lately.
#[derive(Debug, Default)]
pub struct Tries {
    by_worker: Mutex<HashMap<Arc<str>, Probe>>,
}

/// Finds out what became of a worker whose connection has just broken: at once, but for
/// workers out of reach, whose row is waited for.
pub async fn find(node: &Node, worker: &Arc<str>) -> Found {
    if !is_expected_to_run(node, worker) {
        return Found::Planned;
    }
    let incarnation = incarnation_of(node, worker);
    let result_cell = node.tries.current(node.now_ms(), worker);
    let found = *result_cell.get_or_init(|| probe(node, worker)).await;
    if found == Found::OutOfReach {
        return wait_for_delisting(node, worker, incarnation).await;
    }
    found
}

impl Tries {
    /// Returns the try that answers for a worker now.
    fn current(&self, now_ms: u64, worker: &Arc<str>) -> Arc<OnceCell<Found>> {
        let mut probes = lock(&self.by_worker);
        probes.retain(|_, probe| now_ms < probe.started_at_ms + PROBE_RESULT_TTL_MS);
        let probe = probes.entry(Arc::clone(worker)).or_insert_with(|| Probe {
            started_at_ms: now_ms,
            result: Arc::default(),
        });
        Arc::clone(&probe.result)
    }
}

/// Returns the key of the start of a worker that is listed.
fn incarnation_of(node: &Node, worker: &str) -> Option<u64> {
    let roster = node.roster();
    roster.get(worker).map(|known| known.record.start_key())
}

/// Whether a worker is listed and doesn't leave.
fn is_expected_to_run(node: &Node, worker: &str) -> bool {
    let roster = node.roster();
    roster.get(worker).is_some_and(|known| !known.is_leaving())
}

/// Tries to connect to a worker.
async fn probe(node: &Node, worker: &Arc<str>) -> Found {
    pause(PROBE_DELAY_MS).await;
    let address = node
        .roster()
        .get(worker)
        .map(|known| known.record.address.clone());
    let Some(address) = address else {
        return Found::Planned;
    };
    let pool = node.pool(worker, &address);
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    match tokio::time::timeout(connect_timeout, pool.make()).await {
        Ok(Ok(connection)) => {
            node.metrics.connections_total.inc();
            pause(MIN_OPEN_MS).await;
            if connection.is_closed() {
                return Found::OutOfReach;
            }
            connection.keep_for(REST_UNSAID_MS);
            Found::Alive
        }
        Ok(Err(ConnectError::Refused(error))) if error.kind() == ErrorKind::ConnectionRefused => {
            Found::Refused
        }
        Ok(Err(_)) | Err(_) => Found::OutOfReach,
    }
}

/// Waits for the end of the row of a worker that takes no connection, or for that of its
/// next start.
async fn wait_for_delisting(node: &Node, worker: &str, incarnation: Option<u64>) -> Found {
    let until_ms = node.now_ms() + DELISTING_TIMEOUT_MS;
    while node.now_ms() < until_ms {
        if incarnation_of(node, worker) != incarnation {
            return Found::Delisted;
        }
        if !is_expected_to_run(node, worker) {
            return Found::Planned;
        }
        pause(LIST_POLL_INTERVAL_MS).await;
    }
    Found::OutOfReach
}
