//! Evidence about peers: which of them may be asked for a connection to a worker, and in what order.

use std::net::Ipv4Addr;

use rand::Rng;
use rand::seq::SliceRandom;

use super::EVIDENCE_KEPT_MS;
use super::ReachReport;
use super::Reachability;
use crate::topology::Distance;

/// Number of peers with evidence above which old evidence is dropped.
const PEER_MAX_COUNT: usize = 8_192;

/// Share of the tried workers that a peer must reach to be believed and asked, in percent.
const REACHED_MIN_PERCENT: u8 = 50;

/// Time for which a peer's report of its own reach counts, in milliseconds.
const REACH_REPORT_TTL_MS: u64 = 2_000;

/// Time for which a peer that did not open a connection to a worker is not asked, in milliseconds.
pub(super) const PEER_AVOIDED_MS: u64 = 1_000;

/// Evidence about one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerEvidence {
    /// When it last reported its own reach, in milliseconds, and what it reported; none if its
    /// release does not report it and opens no connections for others.
    pub(super) report: Option<(u64, ReachReport)>,
    /// Until when it is not asked, in milliseconds.
    pub(super) avoided_until_ms: u64,
    /// Until when it is asked last, since it failed to reach a worker, in milliseconds.
    pub(super) doubted_until_ms: u64,
}

impl Reachability {
    /// Records that a peer did not try to open a connection: it is isolated itself, has no room or
    /// did not answer.
    pub fn peer_failed(&mut self, now_ms: u64, peer: Ipv4Addr) {
        let evidence = self.peers.entry(peer).or_default();
        evidence.avoided_until_ms = now_ms + PEER_AVOIDED_MS;
    }

    /// Takes a peer's report of its own reach; none if its release does not report it.
    pub fn take_reach_report(&mut self, now_ms: u64, peer: Ipv4Addr, report: Option<ReachReport>) {
        if self.peers.len() >= PEER_MAX_COUNT && !self.peers.contains_key(&peer) {
            self.peers.retain(|_, known| {
                let heard_ms = known.report.map_or(0, |(at_ms, _)| at_ms);
                now_ms < heard_ms + EVIDENCE_KEPT_MS
            });
        }
        let evidence = self.peers.entry(peer).or_default();
        evidence.report = report.map(|report| (now_ms, report));
    }

    /// Whether a peer has recently reported that it reaches few workers itself.
    pub(super) fn reaches_few(&self, now_ms: u64, peer: Ipv4Addr) -> bool {
        let report = self.peers.get(&peer).and_then(|evidence| evidence.report);
        report.is_some_and(|(at_ms, report)| {
            now_ms < at_ms + REACH_REPORT_TTL_MS && report.reached_percent < REACHED_MIN_PERCENT
        })
    }

    /// Whether a peer may be asked to open connections: its release does so, it does not report
    /// that it reaches few workers, and it did not fail recently.
    pub fn may_ask(&self, now_ms: u64, peer: Ipv4Addr) -> bool {
        let Some(evidence) = self.peers.get(&peer) else {
            return false;
        };
        let is_avoided = now_ms < evidence.avoided_until_ms;
        evidence.report.is_some() && !is_avoided && !self.reaches_few(now_ms, peer)
    }

    /// Chooses peers to open a connection: those that did not fail to reach a worker first, and the
    /// nearest of these. Equal ones come in random order, so that the load is spread.
    pub fn choose_peers<R: Rng>(
        &self,
        now_ms: u64,
        peers: impl Iterator<Item = (Ipv4Addr, Distance)>,
        count: usize,
        rng: &mut R,
    ) -> Vec<Ipv4Addr> {
        let mut askable: Vec<(Ipv4Addr, Distance)> = peers
            .filter(|(peer, _)| self.may_ask(now_ms, *peer))
            .collect();
        askable.shuffle(rng);
        askable.sort_by_key(|(peer, distance)| (self.is_doubted(now_ms, *peer), *distance));
        let Some((first, nearest)) = askable.first().copied() else {
            return Vec::new();
        };
        // A whole failure domain may be cut, so the next one is of another domain if possible.
        let is_elsewhere = |(_, distance): &(Ipv4Addr, Distance)| *distance != nearest;
        let second = askable.iter().position(is_elsewhere).unwrap_or(0);
        let (second, _) = askable[second];
        let rest = askable.iter().map(|(peer, _)| *peer);
        let rest = rest.filter(|peer| *peer != first && *peer != second);
        let mut chosen = vec![first, second];
        chosen.dedup();
        chosen.extend(rest);
        chosen.truncate(count);
        chosen
    }

    /// Whether a peer recently failed to reach a worker.
    fn is_doubted(&self, now_ms: u64, peer: Ipv4Addr) -> bool {
        let evidence = self.peers.get(&peer);
        evidence.is_some_and(|evidence| now_ms < evidence.doubted_until_ms)
    }
}
