//! Handles a restore of the platform's store from a backup.
//!
//! A restored store has lost its latest changes and assigns their versions again, so its era, a
//! generation number, rises by one. All that this instance keeps of the store is moved into the
//! new era at once ([`enter`]), whether it learns of the era from the store or from a peer.

use std::sync::Arc;

use slog::info;

use crate::departures;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::quarantine::persistence;
use crate::recipients::Origin;
use cranereach_fleet::freshness::OUTAGE_RECOVERY_MS;

/// Purpose for which instances are ranked: the first in rank rewrites the rows that this system
/// had stored. The text is hashed into the rank, so all instances must use the same one.
const RANK_PURPOSE: &str = "written again";

/// Enters each new era of the store until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        node.store.eras().wait_for_new_era().await;
        enter(&node);
        // By then the other writers have rewritten what the restored store has lost.
        pause(OUTAGE_RECOVERY_MS).await;
        let is_first = node.peers().rank(node.now_ms(), RANK_PURPOSE) == 0;
        if is_first && persistence::has_requests_to_store(&node) {
            persistence::persist(Arc::clone(&node)).await;
        }
    }
}

/// Moves this instance's knowledge of the store into the newest era, unless it is already there.
pub fn enter(node: &Node) {
    let era = node.store.eras().newest();
    let now_ms = node.now_ms();
    let is_restored = {
        let mut list = lock(&node.list);
        list.enter_era(now_ms, era) && list.restored_at_ms().is_some()
    };
    lock(&node.proof).enter_era(now_ms, era);
    let leaving = node.roster().enter_era(now_ms, era);
    departures::queue_for_gossip(node, now_ms, &leaving);
    if is_restored {
        info!(node.log, "store restored"; "era" => era,
            "list_position" => %node.list_position(), "leaving" => leaving.len());
        // Watches that are open at the store still wait for changes of the previous era.
        node.configuration_wanted.notify_one();
        node.controller_wanted.notify_one();
        node.gossip_news(Origin::Own);
    }
}
