//! Assignment of a target's replicas to the cells of its pool.
//!
//! Every lease holder computes from the reports in the digests which cells hold
//! the target already and which one adds the next replica. Because all holders
//! get the same result, no two cells load the same cold target, and replicas are
//! spread over failure domains.

use std::collections::HashMap;

use crate::cell::CellId;
use crate::cell::hosts_of;
use crate::names::TargetName;

/// Wait for a target without replicas after which one more cell may load it, in ms.
const NEXT_CELL_AFTER_MS: u64 = 8_000;

/// Replicas of a target and free memory over all cells of its pool.
#[derive(Clone, Debug, Default)]
pub struct TargetPlacement<'a> {
    /// Replicas in each cell that has any.
    pub replicas: HashMap<&'a CellId, usize>,
    /// Cells that hold its base, for an adapter; empty for others.
    pub base_cells: Vec<&'a CellId>,
    /// Largest free memory on a single worker of each cell, in bytes.
    pub free_bytes: HashMap<&'a CellId, u64>,
    /// Memory that the target needs, in bytes, including its base if that is not resident anywhere.
    pub needed_bytes: u64,
    /// Wait of the oldest request, in milliseconds.
    pub oldest_wait_ms: u64,
}

/// Position of a cell in a target's order of cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellPlace {
    /// Replicas in cells before this one.
    pub replicas_before: usize,
    /// Replicas in all other cells.
    pub replicas_elsewhere: usize,
    /// Whether this cell may add the next replica.
    pub may_add_replica: bool,
}

/// Returns a cell's position in a target's order of cells.
///
/// For an adapter, `ordered_by` is its base, so that adapters follow their base.
/// For all other targets it is the target itself.
///
/// ```
/// use cranereach_core::cell::CellId;
/// use cranereach_core::residency::split::{cell_place, TargetPlacement};
///
/// let cell = CellId { pool: "text".into(), domain: "d1".into(), part: 0 };
/// let place = cell_place(&"m".into(), &TargetPlacement::default(), &[cell.clone()], &cell);
/// assert!(place.may_add_replica);
/// ```
pub fn cell_place(
    ordered_by: &TargetName,
    placement: &TargetPlacement<'_>,
    cells: &[CellId],
    cell: &CellId,
) -> CellPlace {
    let hosts = hosts_of(ordered_by, cells);
    let replicas = |host: &CellId| placement.replicas.get(host).copied().unwrap_or_default();
    let own_rank = hosts
        .iter()
        .position(|host| *host == cell)
        .unwrap_or(hosts.len());
    let replicas_before = hosts.iter().take(own_rank).map(|host| replicas(host)).sum();
    let total: usize = hosts.iter().map(|host| replicas(host)).sum();
    let has_base =
        |host: &&&CellId| placement.base_cells.is_empty() || placement.base_cells.contains(*host);
    let fits = |host: &CellId| {
        placement
            .free_bytes
            .get(host)
            .is_some_and(|free| *free >= placement.needed_bytes)
    };
    // Prefers cells with enough free memory, then those with the fewest replicas.
    let next = hosts
        .iter()
        .filter(has_base)
        .min_by_key(|host| (!fits(host), replicas(host)));
    let is_next = next.is_some_and(|next| *next == cell);
    let has_waited = total == 0
        && own_rank as u64 <= placement.oldest_wait_ms / NEXT_CELL_AFTER_MS
        && placement.oldest_wait_ms >= NEXT_CELL_AFTER_MS;
    CellPlace {
        replicas_before,
        replicas_elsewhere: total - replicas(cell),
        may_add_replica: is_next || has_waited,
    }
}
