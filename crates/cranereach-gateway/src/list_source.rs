//! When this instance has to learn the list of workers anew, and where.
//!
//! [`Freshness`] says when. The first few in rank read the store; the others, and
//! whoever has no list yet ([`Newcomer`]), look at a peer that knows more before they
//! read for themselves. So what the store is asked doesn't grow with the fleet.
//!
//! [`Freshness`]: cranereach_fleet::freshness::Freshness

use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use crate::list_bodies::FetchOutcome;
use crate::node::Node;
use crate::node::lock;
use crate::node::pause;
use crate::peers::Holders;
use crate::roster_sync;
use crate::store_pace;
use cranereach_fleet::first_read::FirstSource;
use cranereach_fleet::first_read::Holder;
use cranereach_fleet::first_read::Newcomer;
use cranereach_fleet::store_position::StorePosition;

/// Longest pause between two looks whether a read is due, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Time by which a pause may last longer before the process counts as stalled,
/// in milliseconds.
const STALL_MIN_MS: u64 = 500;

/// Instances that read the store when they have to, whatever peers know.
const STORE_READER_COUNT: u64 = 3;

/// Time for which a peer that had nothing to give, or failed, isn't asked again, in
/// milliseconds.
const SKIP_PEER_FOR_MS: u64 = 400;

/// Fetches in a row that may fail before the store is read.
const FAILED_FETCHES_MAX_COUNT: u32 = 6;

/// Purpose that instances are ranked for.
const PURPOSE: &str = "list of workers";

/// Where the list is to be learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// At the store.
    Store,
    /// At a peer.
    Peer(Ipv4Addr),
}

/// Finds out where to learn the list next.
#[derive(Clone, Debug, Default)]
pub struct Finder {
    /// Whether a peer was asked since the last read of the store.
    has_asked_peer: bool,
    failed_count: u32,
    skipped: Vec<(Ipv4Addr, u64)>,
    holder_known_since_ms: Option<u64>,
}

impl Finder {
    /// Waits until this instance has to learn the list, and says where; drops workers
    /// that have lapsed meanwhile.
    pub async fn next(&mut self, node: &Node) -> Source {
        loop {
            let now_ms = node.now_ms();
            roster_sync::drop_lapsed(node, now_ms);
            if let Some(source) = self.source(node, now_ms) {
                return source;
            }
            pause(POLL_INTERVAL_MS).await;
            if node.now_ms() > now_ms + POLL_INTERVAL_MS + STALL_MIN_MS {
                // What waited in the socket meanwhile looks fresher than it is.
                lock(&node.list).distrust();
            }
        }
    }

    /// Notes how a fetch from a peer ended.
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

    /// Notes that the store was read, with success or without.
    pub fn has_read(&mut self) {
        self.has_asked_peer = false;
        self.failed_count = 0;
    }

    /// Says where to learn the list now; none if that isn't due.
    fn source(&mut self, node: &Node, now_ms: u64) -> Option<Source> {
        let rank = rank(node);
        let is_left_to_others = store_pace::is_left_to_others(node, rank);
        let source = if node.list_position().is_none() {
            let first = self.first_source(node, now_ms);
            // Who reads first for all may be just who is turned away.
            first.or(is_left_to_others.then_some(Source::Store))
        } else {
            // Those who try a lost store may be just those whom it turns away: the others
            // don't wait for their own turn.
            self.next_source(node, now_ms, if is_left_to_others { 0 } else { rank })
        };
        let is_held_back = source == Some(Source::Store)
            && is_left_to_others
            && !store_pace::tries_now(node, POLL_INTERVAL_MS);
        source.filter(|_| !is_held_back)
    }

    /// Says where an instance of a rank that has a list is to learn the next.
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

    /// Says where to look for the first list now.
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
        let newcomer = Newcomer {
            holder,
            ..peers.newcomer(now_ms, PURPOSE)
        };
        drop(peers);
        if self.failed_count >= FAILED_FETCHES_MAX_COUNT {
            return Some(Source::Store);
        }
        match newcomer.source() {
            FirstSource::Store => Some(Source::Store),
            FirstSource::Near => near.map(Source::Peer),
            FirstSource::Far => far.map(Source::Peer),
            FirstSource::Wait => None,
        }
    }

    /// Chooses one by chance, other than those that had nothing to give lately.
    fn choose_peer(&mut self, now_ms: u64, peers: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        self.skipped.retain(|(_, until_ms)| now_ms < *until_ms);
        let skipped = &self.skipped;
        let candidates = peers
            .iter()
            .filter(|peer| skipped.iter().all(|(of, _)| of != *peer));
        candidates.copied().choose(&mut rand::rng())
    }
}

/// Returns when an instance of a rank has to read the list; notes how old it is.
fn due_at_ms(node: &Node, now_ms: u64, rank: u64) -> u64 {
    let list = lock(&node.list);
    let age_ms = list.age_ms(now_ms).unwrap_or(now_ms);
    node.metrics.list_age_ms.set(age_ms as i64);
    let due_at_ms = list.read_due_at_ms(rank);
    let is_restored = list.restored_at_ms().is_some();
    drop(list);
    if is_restored && rank >= STORE_READER_COUNT {
        // Those who read tell the others; should none of them reach the store, these
        // follow by and by.
        due_at_ms + node.peers().read_spread_ms()
    } else {
        due_at_ms
    }
}

/// Returns how many instances come before this one.
fn rank(node: &Node) -> u64 {
    node.peers().rank(node.now_ms(), PURPOSE)
}
