//! Cells: the units of control, which keep state from growing with the whole fleet.
//!
//! Workers are split by pool and failure domain, and further into parts of at
//! most [`WORKERS_MAX`]. Entry instances are split into groups of at most
//! [`INSTANCES_MAX`] that exchange digests only among themselves.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::membership::rendezvous_weight;
use crate::names::FailureDomain;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::WorkerId;

/// Maximum number of workers in a cell.
pub const WORKERS_MAX: usize = 48;

/// Maximum number of entry instances in a group.
pub const INSTANCES_MAX: usize = 16;

/// Identity of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellId {
    /// Pool of its workers.
    pub pool: PoolName,
    /// Failure domain of its workers.
    pub domain: FailureDomain,
    /// Part of the pool's workers in the domain.
    pub part: u32,
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.pool, self.domain, self.part)
    }
}

/// Returns the cell of a worker, given how many workers share its pool and domain.
///
/// ```
/// use cranereach_core::cell::cell_of;
///
/// let cell = cell_of(&"text".into(), &"d1".into(), &"w1".into(), 4);
/// assert_eq!(cell.part, 0);
/// ```
pub fn cell_of(
    pool: &PoolName,
    domain: &FailureDomain,
    worker: &WorkerId,
    sharing_count: usize,
) -> CellId {
    let parts = sharing_count
        .div_ceil(WORKERS_MAX)
        .max(1)
        .next_power_of_two();
    let part = rendezvous_weight(worker.as_str(), pool.as_str()) % parts as u64;
    CellId {
        pool: pool.clone(),
        domain: domain.clone(),
        part: part as u32,
    }
}

/// Returns cells in the order in which they host a target's replicas.
///
/// The order is the same on every instance. Adjacent cells differ in failure
/// domain where possible.
pub fn hosts_of<'a>(target: &TargetName, cells: &'a [CellId]) -> Vec<&'a CellId> {
    let mut remaining: Vec<&CellId> = cells.iter().collect();
    remaining.sort_by_key(|cell| rendezvous_weight(&cell.to_string(), target.as_str()));
    let mut hosts: Vec<&CellId> = Vec::with_capacity(remaining.len());
    while let Some(next) = next_host(&remaining, &hosts) {
        hosts.push(remaining.remove(next));
    }
    hosts
}

/// Returns the index of the next host, a cell in a failure domain used least so far.
fn next_host(remaining: &[&CellId], hosts: &[&CellId]) -> Option<usize> {
    let domain_use_count = |cell: &CellId| {
        hosts
            .iter()
            .filter(|host| host.domain == cell.domain)
            .count()
    };
    (0..remaining.len()).min_by_key(|&index| domain_use_count(remaining[index]))
}
