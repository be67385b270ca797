//! Splits the demand for a target over the cells of its pool.
//!
//! Every holder computes the same split from the digests, so that no two cells
//! load the same cold target and hot ones spread over failure domains.

use super::worth::SLOT_PART;
use crate::cell::CellId;
use crate::cell::hosts_of;
use crate::names::TargetName;

/// Wait after which the next cell in order loads a target too, in ms.
const NEXT_CELL_AFTER_MS: u64 = 5_000;

/// One cell's part of the demand for a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellDemand {
    /// Requests that would run at once on this cell.
    pub concurrent_count: f64,
    /// Whether this cell is to load the target for those who wait.
    pub serves_waiting: bool,
}

/// Returns a cell's part of a target's demand.
///
/// The nth replica belongs to the nth cell in the target's order of hosts.
///
/// ```
/// use cranereach_core::cell::CellId;
/// use cranereach_core::residency::split::cell_demand;
///
/// let cell = CellId { pool: "text".into(), domain: "d1".into(), part: 0 };
/// let part = cell_demand(&"m".into(), 5.0, 0, &[cell.clone()], &cell, 16);
/// assert_eq!(part.concurrent_count, 5.0);
/// assert!(part.serves_waiting);
/// ```
pub fn cell_demand(
    target: &TargetName,
    total_count: f64,
    oldest_wait_ms: u64,
    cells: &[CellId],
    cell: &CellId,
    slot_count: u32,
) -> CellDemand {
    let hosts = hosts_of(target, cells);
    let Some(place) = hosts.iter().position(|host| *host == cell) else {
        return CellDemand {
            concurrent_count: 0.0,
            serves_waiting: false,
        };
    };
    let per_replica = (f64::from(slot_count) * SLOT_PART).max(1.0);
    let mut concurrent_count = 0.0;
    let mut start_count = per_replica * place as f64;
    while start_count < total_count {
        concurrent_count += (total_count - start_count).min(per_replica);
        start_count += per_replica * hosts.len() as f64;
    }
    let serves_waiting = place as u64 <= oldest_wait_ms / NEXT_CELL_AFTER_MS;
    CellDemand {
        concurrent_count,
        serves_waiting,
    }
}
