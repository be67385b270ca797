//! Decides when this instance has to refresh its worker list, and from where.
//!
//! [`Freshness`] says when. The instances that rank first read the store; the others, and
//! those without a list ([`JoiningInstance`]), fetch it from a peer that has a newer one before
//! they fall back to the store. So the load on the store doesn't grow with the fleet.
//!
//! [`Freshness`]: cranereach_fleet::freshness::Freshness

use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use crate::list_transfer::FetchOutcome;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::peers::Holders;
use crate::roster_sync;
use crate::store_backoff;
use cranereach_fleet::first_read::FirstSource;
use cranereach_fleet::first_read::Holder;
use cranereach_fleet::first_read::JoiningInstance;
use cranereach_fleet::store_position::StorePosition;

/// Interval between two checks whether a refresh is due, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Excess duration of a sleep from which the process counts as stalled, in milliseconds.
const STALL_MIN_MS: u64 = 500;

/// Number of instances that read the store when a refresh is due, without asking peers first.
const STORE_READER_COUNT: u64 = 3;

/// Time for which a peer that had nothing newer, or failed, isn't asked again, in
/// milliseconds.
const SKIP_PEER_FOR_MS: u64 = 400;

/// Consecutive failed fetches after which the store is read instead.
const FAILED_FETCHES_MAX_COUNT: u32 = 6;

/// Purpose that instances are ranked for.
const PURPOSE: &str = "list of workers";

/// Source to refresh the list from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer.
    Peer(Ipv4Addr),
}

/// Selects when and from where to refresh the list.
#[derive(Clone, Debug, Default)]
pub struct ListSourceSelector {
    /// Whether a peer was asked since the last read of the store.
    has_asked_peer: bool,
    failed_count: u32,
    skipped: Vec<(Ipv4Addr, u64)>,
    holder_known_since_ms: Option<u64>,
}

impl ListSourceSelector {
    /// Waits until a refresh is due and returns its source; meanwhile drops workers whose rows
    /// have lapsed.
    pub async fn next(&mut self, node: &Node) -> Source {
        loop {
            let now_ms = node.now_ms();
            roster_sync::drop_lapsed(node, now_ms);
            if let Some(source) = self.source(node, now_ms) {
                return source;
            }
            pause(POLL_INTERVAL_MS).await;
            if node.now_ms() > now_ms + POLL_INTERVAL_MS + STALL_MIN_MS {
                // Messages that waited in the socket meanwhile would seem fresher than they
                // are.
                lock(&node.list).invalidate();
            }
        }
    }

    /// Notes the result of a fetch from a peer.
    pub fn fetched(&mut self, now_ms: u64, peer: Ipv4Addr, outcome: FetchOutcome) {
        self.has_asked_peer = true;
        match outcome {
            FetchOutcome::Updated => self.failed_count = 0,
            FetchOutcome::NothingNew => {}
            FetchOutcome::Failed => self.failed_count += 1,
        }
        if outcome != FetchOutcome::Updated {
            self.skipped.push((peer, now_ms + SKIP_PEER_FOR_MS));
        }
    }

    /// Notes that the store was read, successfully or not.
    pub fn note_store_read(&mut self) {
        self.has_asked_peer = false;
        self.failed_count = 0;
    }

    /// Returns the source to refresh from now; `None` if no refresh is due.
    fn source(&mut self, node: &Node, now_ms: u64) -> Option<Source> {
        let rank = rank(node);
        let is_deferring_retries = store_backoff::is_deferring_retries(node, rank);
        let source = if node.list_position().is_none() {
            let first = self.first_source(node, now_ms);
            // The store may be refusing exactly the instances that would read it first.
            first.or(is_deferring_retries.then_some(Source::Store))
        } else {
            // The store may be refusing exactly the few instances that try it during an
            // outage, so the others don't wait for their turn by rank.
            self.next_source(node, now_ms, if is_deferring_retries { 0 } else { rank })
        };
        let is_held_back = source == Some(Source::Store)
            && is_deferring_retries
            && !store_backoff::should_probe(node, POLL_INTERVAL_MS);
        source.filter(|_| !is_held_back)
    }

    /// Returns the source for an instance that already has a list; `None` if no refresh is
    /// due.
    fn next_source(&mut self, node: &Node, now_ms: u64, rank: u64) -> Option<Source> {
        if now_ms < due_at_ms(node, now_ms, rank) {
            self.has_asked_peer = false;
            return None;
        }
        if rank < STORE_READER_COUNT || self.has_asked_peer {
            return Some(Source::Store);
        }
        let holders = node.peers().list_holders(now_ms, node.list_position());
        let peer = self.choose_peer(now_ms, &holders.near);
        Some(peer.map_or(Source::Store, Source::Peer))
    }

    /// Returns the source for an instance that has no list yet; `None` if it is to wait.
    fn first_source(&mut self, node: &Node, now_ms: u64) -> Option<Source> {
        let peers = node.peers();
        let Holders { near, far } = peers.list_holders(now_ms, StorePosition::default());
        let is_known = !near.is_empty() || !far.is_empty();
        let near = self.choose_peer(now_ms, &near);
        let far = self.choose_peer(now_ms, &far);
        let holder = if near.is_some() {
            Holder::Near
        } else if is_known {
            let since_ms = *self.holder_known_since_ms.get_or_insert(now_ms);
            Holder::Elsewhere {
                known_for_ms: now_ms - since_ms,
            }
        } else {
            Holder::Nobody
        };
        let joining_instance = JoiningInstance {
            holder,
            ..peers.joining_instance(now_ms, node.up_for_ms(), PURPOSE)
        };
        drop(peers);
        if self.failed_count >= FAILED_FETCHES_MAX_COUNT {
            return Some(Source::Store);
        }
        match joining_instance.source() {
            FirstSource::Store => Some(Source::Store),
            FirstSource::Near => near.map(Source::Peer),
            FirstSource::Far => far.map(Source::Peer),
            FirstSource::Wait => None,
        }
    }

    /// Selects a random peer, except those that recently had nothing newer or failed.
    fn choose_peer(&mut self, now_ms: u64, peers: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        self.skipped.retain(|(_, until_ms)| now_ms < *until_ms);
        let skipped = &self.skipped;
        let candidates = peers.iter().filter(|peer| {
            skipped
                .iter()
                .all(|(skipped_peer, _)| skipped_peer != *peer)
        });
        candidates.copied().choose(&mut rand::rng())
    }
}

/// Returns when an instance of a rank has to refresh the list; also exports the list's age as
/// a metric.
fn due_at_ms(node: &Node, now_ms: u64, rank: u64) -> u64 {
    let list = lock(&node.list);
    let age_ms = list.age_ms(now_ms).unwrap_or_else(|| node.up_for_ms());
    node.metrics.list_age_ms.set(age_ms as i64);
    let due_at_ms = list.read_due_at_ms(rank);
    let is_restored = list.restored_at_ms().is_some();
    drop(list);
    if is_restored && rank >= STORE_READER_COUNT {
        // The instances that read the store update the others. Should none of them reach it,
        // the others read it too, spread over time.
        due_at_ms + node.peers().read_spread_ms()
    } else {
        due_at_ms
    }
}

/// Returns the number of living instances that rank before this one.
fn rank(node: &Node) -> u64 {
    node.peers().rank(node.now_ms(), PURPOSE)
}
