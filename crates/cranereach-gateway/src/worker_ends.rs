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
const TRY_AFTER_MS: u64 = 10;

/// Time to connect, in milliseconds.
const CONNECT_WITHIN_MS: u64 = 250;

/// Time for which a connection must stay open, in milliseconds, to speak for the worker.
const HELD_FOR_MS: u64 = 10;

/// Time for which one try answers for all connections to the worker that break, in
/// milliseconds: the requests that an end breaks off come to light within some.
const TRIED_FOR_MS: u64 = 500;

/// Time for which the list is looked at for a worker that can't be reached, in
/// milliseconds: rows end some 4 s after their workers.
const LISTED_FOR_MS: u64 = 6_000;

/// Time between two looks at the list, in milliseconds.
const LOOK_EVERY_MS: u64 = 100;

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
struct Try {
    begun_at_ms: u64,
    /// What it found, once it has.
    found: Arc<OnceCell<Found>>,
}

/// Tries of workers whose connections broke lately.
#[derive(Debug, Default)]
pub struct Tries {
    by_worker: Mutex<HashMap<Arc<str>, Try>>,
}

/// Finds out what became of a worker whose connection has just broken: at once, but for
/// workers out of reach, whose row is waited for.
pub async fn find(node: &Node, worker: &Arc<str>) -> Found {
    if !is_meant_to_stay(node, worker) {
        return Found::Planned;
    }
    let start = start_of(node, worker);
    let cell = node.tries.of(node.now_ms(), worker);
    let found = *cell.get_or_init(|| try_it(node, worker)).await;
    if found == Found::OutOfReach {
        return delisted(node, worker, start).await;
    }
    found
}

impl Tries {
    /// Returns the try that answers for a worker now.
    fn of(&self, now_ms: u64, worker: &Arc<str>) -> Arc<OnceCell<Found>> {
        let mut tries = lock(&self.by_worker);
        tries.retain(|_, of| now_ms < of.begun_at_ms + TRIED_FOR_MS);
        let of = tries.entry(Arc::clone(worker)).or_insert_with(|| Try {
            begun_at_ms: now_ms,
            found: Arc::default(),
        });
        Arc::clone(&of.found)
    }
}

/// Returns the key of the start of a worker that is listed.
fn start_of(node: &Node, worker: &str) -> Option<u64> {
    let roster = node.roster();
    roster.get(worker).map(|known| known.record.start_key())
}

/// Whether a worker is listed and doesn't leave.
fn is_meant_to_stay(node: &Node, worker: &str) -> bool {
    let roster = node.roster();
    roster.get(worker).is_some_and(|known| !known.is_leaving())
}

/// Tries to connect to a worker.
async fn try_it(node: &Node, worker: &Arc<str>) -> Found {
    pause(TRY_AFTER_MS).await;
    let address = node
        .roster()
        .get(worker)
        .map(|known| known.record.address.clone());
    let Some(address) = address else {
        return Found::Planned;
    };
    let pool = node.pool(worker, &address);
    let within = Duration::from_millis(CONNECT_WITHIN_MS);
    match tokio::time::timeout(within, pool.make()).await {
        Ok(Ok(connection)) => {
            node.metrics.connections_total.inc();
            pause(HELD_FOR_MS).await;
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
async fn delisted(node: &Node, worker: &str, start: Option<u64>) -> Found {
    let until_ms = node.now_ms() + LISTED_FOR_MS;
    while node.now_ms() < until_ms {
        if start_of(node, worker) != start {
            return Found::Delisted;
        }
        if !is_meant_to_stay(node, worker) {
            return Found::Planned;
        }
        pause(LOOK_EVERY_MS).await;
    }
    Found::OutOfReach
}
