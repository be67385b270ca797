//! Connection pools for workers.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;

use super::Node;
use super::lock;
use cranereach_http::meter::Side;
use cranereach_http::pool::Pool;

/// Time for which a worker may acknowledge nothing before a connection to it is broken, in
/// milliseconds: longer than a sound worker is silent.
pub const WORKER_SILENT_MAX_MS: u64 = 2_500;

/// Pool of connections to one worker.
pub type WorkerPool = Pool<Full<Bytes>>;

/// Connection pools by worker ID.
pub type Pools = HashMap<Arc<str>, Arc<WorkerPool>>;

impl Node {
    /// Returns the connection pool of a worker.
    pub fn pool(&self, worker: &Arc<str>, address: &str) -> Arc<WorkerPool> {
        let mut pools = lock(&self.pools);
        let make = || {
            let pool = Pool::new(address).with_connector(&self.worker_connector);
            let pool = pool.with_silent_max_ms(WORKER_SILENT_MAX_MS);
            Arc::new(pool.with_meter(self.intake.meter(), Side::Workers))
        };
        let pool = pools.entry(Arc::clone(worker)).or_insert_with(make);
        if pool.address() != address {
            // The worker has restarted at another address.
            *pool = make();
        }
        Arc::clone(pool)
    }

    /// Returns the identity and the connection pool of the listed worker with a key.
    pub fn pool_by_key(&self, worker: u64) -> Option<(Arc<str>, Arc<WorkerPool>)> {
        let (id, address) = {
            let roster = self.roster();
            let record = &roster.by_key(worker)?.record;
            (Arc::clone(&record.id), record.address.clone())
        };
        let pool = self.pool(&id, &address);
        Some((id, pool))
    }

    /// Drops the connection pools of workers that are gone.
    pub fn forget_pools(&self, gone: &[Arc<str>]) {
        let mut pools = lock(&self.pools);
        for worker in gone {
            pools.remove(worker);
        }
    }
}
