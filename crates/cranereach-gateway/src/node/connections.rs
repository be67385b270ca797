//! Connection pools for workers.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;

use super::Node;
use super::lock;
use cranereach_http::pool::Pool;

/// Time for which sent bytes may stay unacknowledged before the connection to a worker is
/// broken, in milliseconds.
const WORKER_ACK_TIMEOUT_MS: u64 = 1_200;

/// Connection pools by worker ID.
pub type Pools = HashMap<Arc<str>, Arc<Pool<Full<Bytes>>>>;

impl Node {
    /// Returns the connection pool of a worker.
    pub fn pool(&self, worker: &Arc<str>, address: &str) -> Arc<Pool<Full<Bytes>>> {
        let mut pools = lock(&self.pools);
        let make = || {
            let pool = Pool::new(address).with_connector(&self.worker_connector);
            Arc::new(pool.with_user_timeout_ms(WORKER_ACK_TIMEOUT_MS))
        };
        let pool = pools.entry(Arc::clone(worker)).or_insert_with(make);
        if pool.address() != address {
            // The worker has restarted at another address.
            *pool = make();
        }
        Arc::clone(pool)
    }

    /// Drops the connection pools of workers that are gone.
    pub fn forget_pools(&self, gone: &[Arc<str>]) {
        let mut pools = lock(&self.pools);
        for worker in gone {
            pools.remove(worker);
        }
    }
}
