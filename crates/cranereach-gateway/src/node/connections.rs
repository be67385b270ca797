//! Connections to workers.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;

use super::Node;
use super::lock;
use cranereach_http::pool::Pool;

/// Time after which unconfirmed bytes break a worker's connection, in milliseconds.
const WORKER_ACK_TIMEOUT_MS: u64 = 1_200;

/// Connections to each worker, by its identity.
pub type Pools = HashMap<Arc<str>, Arc<Pool<Full<Bytes>>>>;

impl Node {
    /// Returns the connections to a worker.
    pub fn pool(&self, worker: &Arc<str>, address: &str) -> Arc<Pool<Full<Bytes>>> {
        let mut pools = lock(&self.pools);
        let make = || Arc::new(Pool::new(address).with_silence_max_ms(WORKER_ACK_TIMEOUT_MS));
        let pool = pools.entry(Arc::clone(worker)).or_insert_with(make);
        if pool.address() != address {
            // It started again elsewhere.
            *pool = make();
        }
        Arc::clone(pool)
    }

    /// Forgets the connections to workers that are gone.
    pub fn forget_pools(&self, gone: &[Arc<str>]) {
        let mut pools = lock(&self.pools);
        for worker in gone {
            pools.remove(worker);
        }
    }
}
