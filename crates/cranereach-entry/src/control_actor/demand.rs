//! Aggregates demand over all entry instances, from their digests.

use std::collections::HashMap;

use super::residents::Residents;
use crate::dispatch_actor::DispatchDigest;
use cranereach_core::cell::CellId;
use cranereach_core::declarations::Model;
use cranereach_core::demand::TargetDemand;
use cranereach_core::names::InstanceId;
use cranereach_core::names::TargetName;
use cranereach_core::residency::PlanTarget;
use cranereach_core::residency::split::TargetPlacement;
use cranereach_core::residency::split::cell_place;
use cranereach_core::snapshot::Snapshot;

/// Age at which a peer's demand is discarded, in milliseconds.
const PEER_DEMAND_EXPIRY_MS: u64 = 3_000;

/// Demand for one target, summed over all instances.
#[derive(Clone, Copy, Debug, Default)]
struct TotalDemand {
    concurrent_count: f64,
    waiting_count: u32,
    oldest_wait_ms: u64,
}

/// Demand for one target as last received from a peer.
#[derive(Clone, Debug)]
struct PeerDemand {
    demand: TargetDemand,
    received_at_ms: u64,
}

/// Demand of this instance and its peers.
#[derive(Debug, Default)]
pub(super) struct DemandTracker {
    own: HashMap<TargetName, TargetDemand>,
    used_at_ms: HashMap<TargetName, u64>,
    peers: HashMap<TargetName, HashMap<InstanceId, PeerDemand>>,
}

impl DemandTracker {
    /// Replaces this instance's own demand and discards expired demand of peers.
    pub(super) fn set_own(&mut self, now_ms: u64, digest: DispatchDigest) {
        self.own = digest
            .demand
            .into_iter()
            .map(|demand| (demand.target.clone(), demand))
            .collect();
        for (target, at_ms) in digest.used_at_ms {
            self.record_use(&target, at_ms);
        }
        for by_peer in self.peers.values_mut() {
            by_peer.retain(|_, entry| {
                now_ms.saturating_sub(entry.received_at_ms) < PEER_DEMAND_EXPIRY_MS
            });
        }
        self.peers.retain(|_, by_peer| !by_peer.is_empty());
    }

    /// Replaces a peer's demand for a target.
    pub(super) fn set_peer(&mut self, now_ms: u64, sender: &InstanceId, demand: TargetDemand) {
        if demand.waiting_count > 0 || demand.concurrent_count > 0.1 {
            self.record_use(&demand.target, now_ms);
        }
        let by_peer = self.peers.entry(demand.target.clone()).or_default();
        by_peer.insert(
            sender.clone(),
            PeerDemand {
                demand,
                received_at_ms: now_ms,
            },
        );
    }

    /// Returns the targets of a cell's pool, with their demand and replica counts, as
    /// input for the residency plan.
    pub(super) fn targets(
        &self,
        now_ms: u64,
        snapshot: &Snapshot,
        cell: &CellId,
        residents: &Residents,
    ) -> Vec<PlanTarget> {
        let cells = residents.cells_of(&cell.pool);
        let free_bytes = residents.free_bytes();
        let models = snapshot
            .models
            .values()
            .filter(|model| model.pool == cell.pool);
        models
            .map(|model| {
                let total = self.total(now_ms, &model.name);
                let placement = TargetPlacement {
                    replicas: residents.replicas(&model.name),
                    base_cells: model.base.as_ref().map_or_else(Vec::new, |base| {
                        residents.replicas(base).into_keys().collect()
                    }),
                    free_bytes: free_bytes.clone(),
                    needed_bytes: needed_bytes(snapshot, model, residents),
                    oldest_wait_ms: total.oldest_wait_ms,
                };
                let place = cell_place(
                    model.base.as_ref().unwrap_or(&model.name),
                    &placement,
                    &cells,
                    cell,
                );
                PlanTarget {
                    target: model.name.clone(),
                    memory_bytes: model.memory_bytes,
                    base: model.base.clone(),
                    concurrent_count: total.concurrent_count,
                    waiting_count: total.waiting_count,
                    oldest_wait_ms: total.oldest_wait_ms,
                    used_at_ms: self
                        .used_at_ms
                        .get(&model.name)
                        .copied()
                        .unwrap_or_default(),
                    replicas_before: place.replicas_before,
                    replicas_elsewhere: place.replicas_elsewhere,
                    may_add_replica: place.may_add_replica,
                }
            })
            .collect()
    }

    /// Sums the demand of this instance and its peers for a target.
    fn total(&self, now_ms: u64, target: &TargetName) -> TotalDemand {
        let is_fresh = |entry: &&PeerDemand| {
            now_ms.saturating_sub(entry.received_at_ms) < PEER_DEMAND_EXPIRY_MS
        };
        let peers = self
            .peers
            .get(target)
            .into_iter()
            .flat_map(HashMap::values)
            .filter(is_fresh)
            .map(|entry| &entry.demand);
        let mut total = TotalDemand::default();
        for demand in self.own.get(target).into_iter().chain(peers) {
            total.concurrent_count += f64::from(demand.concurrent_count);
            total.waiting_count += demand.waiting_count;
            total.oldest_wait_ms = total.oldest_wait_ms.max(u64::from(demand.oldest_wait_ms));
        }
        total
    }

    /// Records when a target was last requested.
    fn record_use(&mut self, target: &TargetName, at_ms: u64) {
        let used_at_ms = self.used_at_ms.entry(target.clone()).or_default();
        *used_at_ms = at_ms.max(*used_at_ms);
    }
}

/// Returns the memory that one more replica needs, in bytes.
///
/// Includes the base model if no worker holds it.
fn needed_bytes(snapshot: &Snapshot, model: &Model, residents: &Residents) -> u64 {
    let has_base = model
        .base
        .as_ref()
        .is_some_and(|base| !residents.replicas(base).is_empty());
    if has_base {
        model.memory_bytes
    } else {
        snapshot.memory_with_base_bytes(&model.name)
    }
}
