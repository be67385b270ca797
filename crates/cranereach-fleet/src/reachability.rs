//! Evidence about the paths to workers, and whose fault a failed connection is: the worker's, this
//! instance's path or that of a peer.
//!
//! An instance that cannot open a connection to a worker asks a peer to open one in its place.
//! Only both results together tell the causes apart: a worker that a peer reaches is well, and the
//! own path to it is cut; a worker that neither reaches is dark. An instance whose paths to most
//! workers are cut is isolated. What it says about workers speaks of itself, so nobody counts it.

mod peers;
mod probes;
mod worker_evidence;

use std::collections::HashMap;
use std::net::Ipv4Addr;

use serde::Deserialize;
use serde::Serialize;

use self::peers::PEER_AVOIDED_MS;
use self::peers::PeerEvidence;
use self::worker_evidence::WorkerEvidence;

/// Time for which evidence about a path counts, in milliseconds.
pub const EVIDENCE_TTL_MS: u64 = 2_000;

/// Time after which evidence is dropped, in milliseconds.
const EVIDENCE_KEPT_MS: u64 = 10_000;

/// Number of workers with evidence above which old evidence is dropped.
const WORKER_MAX_COUNT: usize = 1_024;

/// Time for which a worker must have been silent to count as unreachable for others as well, in
/// milliseconds. A sound worker may be silent for a second and go on.
const SILENCE_MIN_MS: u64 = 1_300;

/// Time for which an own success outweighs the reports of peers, in milliseconds.
const OWN_SUCCESS_OUTWEIGHS_MS: u64 = 1_000;

/// Time within which peers must report a worker as unreachable, in milliseconds: a few rounds of
/// gossip digests.
const REPORT_WINDOW_MS: u64 = 1_500;

/// Minimum number of peers that must report it.
const REPORTER_MIN_COUNT: usize = 2;

/// Number of living peers for each of which one more report is needed.
const PEERS_PER_REPORTER: usize = 20;

/// Number of living peers above which no more reports are needed: in a large fleet only so many
/// digests arrive within the window.
const COUNTED_PEER_MAX_COUNT: usize = 40;

/// Time for which peers are not asked again for a worker that they could not reach, in
/// milliseconds.
const PEERS_NOT_ASKED_AGAIN_MS: u64 = 1_000;

/// Time by which a peer's failure to reach a worker must be newer than another peer's success to
/// count, in milliseconds: peers that are asked at the same time fail later than they succeed.
const PEER_RACE_MS: u64 = 500;

/// Distinct workers that an isolated instance must reach directly before its paths count as healed.
const HEALED_WORKER_COUNT: usize = 2;

/// How a direct attempt to connect to a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing answered in time.
    Silent,
    /// The connection was refused or reset.
    Refused,
}

/// State of the direct path to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// It works, or nothing speaks against it.
    Open,
    /// It is cut: peers reach the worker.
    Cut,
    /// Neither this instance nor a peer reaches the worker.
    Dark,
    /// It fails, and no peer could be asked.
    Unknown,
}

/// Ways by which a connection to a worker is to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathPlan {
    /// Whether idle direct connections may be used.
    pub reuses_direct: bool,
    /// Whether a direct connection is attempted.
    pub tries_direct: bool,
    /// Whether peers are asked.
    pub asks_peers: bool,
}

impl PathPlan {
    /// Opens a new connection by whichever way works, to find out which do.
    pub const NEW_BY_ANY: Self = Self {
        reuses_direct: false,
        tries_direct: true,
        asks_peers: true,
    };
}

/// Share of the workers that an instance reaches, as it reports it to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// Share of the recently tried workers whose direct path works, in percent.
    pub reached_percent: u8,
}

/// All evidence about paths to workers.
///
/// ```
/// use std::net::Ipv4Addr;
///
/// use cranereach_fleet::reachability::ConnectFailure;
/// use cranereach_fleet::reachability::PathState;
/// use cranereach_fleet::reachability::Reachability;
///
/// let mut reachability = Reachability::default();
/// let peer = Ipv4Addr::new(10, 0, 0, 2);
/// reachability.direct_failed(1_000, 7, ConnectFailure::Silent);
/// assert_eq!(reachability.state(1_010, 7), PathState::Unknown);
/// reachability.peer_reached(1_020, 7, peer);
/// assert_eq!(reachability.state(1_030, 7), PathState::Cut);
/// assert!(reachability.is_isolated(1_030));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    workers: HashMap<u64, WorkerEvidence>,
    peers: HashMap<Ipv4Addr, PeerEvidence>,
    /// Last direct failure at any worker, in milliseconds.
    last_failed_ms: Option<u64>,
    /// When a path that was cut last worked again, in milliseconds.
    last_healed_ms: Option<u64>,
}

impl Reachability {
    /// Records that a worker answered on a direct connection, or accepted one.
    pub fn direct_succeeded(&mut self, now_ms: u64, worker: u64) {
        let was_isolated = self.is_isolated(now_ms);
        if self.state(now_ms, worker) == PathState::Cut {
            self.last_healed_ms = Some(now_ms);
        }
        let evidence = self.worker_entry(now_ms, worker);
        evidence.succeeded_ms = Some(now_ms);
        evidence.failed_ms = None;
        evidence.failing_since_ms = None;
        evidence.peer_missed_ms = None;
        evidence.reported_ms.clear();
        if was_isolated {
            self.clear_if_healed(now_ms);
        }
    }

    /// Drops all direct failures once enough workers were reached after the last one.
    fn clear_if_healed(&mut self, now_ms: u64) {
        let last_failed_ms = self.last_failed_ms.unwrap_or(0);
        if self.reached_count(now_ms, last_failed_ms) < HEALED_WORKER_COUNT {
            return;
        }
        for evidence in self.workers.values_mut() {
            if evidence.state(now_ms) == PathState::Cut {
                evidence.failed_ms = None;
                evidence.failing_since_ms = None;
            }
        }
    }

    /// Records that a direct connection to a worker could not be opened, or broke.
    pub fn direct_failed(&mut self, now_ms: u64, worker: u64, failure: ConnectFailure) {
        self.last_failed_ms = Some(now_ms);
        let evidence = self.worker_entry(now_ms, worker);
        let is_continued = evidence
            .failed_ms
            .is_some_and(|at_ms| now_ms < at_ms + EVIDENCE_TTL_MS);
        if !is_continued {
            evidence.failing_since_ms = Some(now_ms);
        }
        evidence.failed_ms = Some(now_ms);
        evidence.is_silent = failure == ConnectFailure::Silent;
    }

    /// Records that a peer opened a connection to a worker for this instance.
    pub fn peer_reached(&mut self, now_ms: u64, worker: u64, peer: Ipv4Addr) {
        let evidence = self.worker_entry(now_ms, worker);
        evidence.peer_reached_ms = Some(now_ms);
        let missed_ms = evidence.peer_missed_ms.unwrap_or(0);
        let missed_by = evidence.missed_by.take();
        if let Some(evidence) = self.peers.get_mut(&peer) {
            evidence.avoided_until_ms = 0;
            evidence.doubted_until_ms = 0;
        }
        // The worker is well, so the failure says something about that peer's own path.
        if let Some(other) = missed_by.filter(|other| *other != peer)
            && now_ms < missed_ms + PEER_RACE_MS
        {
            self.peer_failed(now_ms, other);
        }
    }

    /// Records that a peer could not reach a worker for this instance.
    pub fn peer_missed(&mut self, now_ms: u64, worker: u64, peer: Ipv4Addr) {
        let evidence = self.worker_entry(now_ms, worker);
        let reached_ms = evidence.peer_reached_ms.unwrap_or(0);
        let was_reached = reached_ms > 0 && now_ms < reached_ms + PEER_RACE_MS;
        evidence.peer_missed_ms = Some(now_ms);
        evidence.missed_by = Some(peer);
        let known = self.peers.entry(peer).or_default();
        known.doubted_until_ms = now_ms + PEER_AVOIDED_MS;
        if was_reached {
            self.peer_failed(now_ms, peer);
        }
    }

    /// Takes a peer's report that it can't reach a worker. Returns whether enough peers report it
    /// to believe them; `alive_count` is the number of living peers.
    pub fn take_unreachable_report(
        &mut self,
        now_ms: u64,
        worker: u64,
        peer: Ipv4Addr,
        alive_count: usize,
    ) -> bool {
        if self.reaches_few(now_ms, peer) {
            return false;
        }
        let evidence = self.worker_entry(now_ms, worker);
        let reached_ms = evidence.succeeded_ms;
        if reached_ms.is_some_and(|at_ms| now_ms < at_ms + OWN_SUCCESS_OUTWEIGHS_MS) {
            return false;
        }
        let reported_ms = &mut evidence.reported_ms;
        reported_ms.retain(|_, at_ms| now_ms < *at_ms + REPORT_WINDOW_MS);
        reported_ms.insert(peer, now_ms);
        reported_ms.len() >= required_reporter_count(alive_count)
    }

    /// Returns the state of the direct path to a worker.
    pub fn state(&self, now_ms: u64, worker: u64) -> PathState {
        let evidence = self.workers.get(&worker);
        evidence.map_or(PathState::Open, |evidence| evidence.state(now_ms))
    }

    /// Whether a worker counts as unreachable for all instances: it is dark, and either refuses
    /// connections or has been silent for longer than a sound worker is.
    pub fn is_dark_for_all(&self, now_ms: u64, worker: u64) -> bool {
        let Some(evidence) = self.workers.get(&worker) else {
            return false;
        };
        let failing_since_ms = evidence.failing_since_ms.unwrap_or(now_ms);
        let has_lasted = now_ms >= failing_since_ms + SILENCE_MIN_MS;
        evidence.state(now_ms) == PathState::Dark
            && (!evidence.is_silent || has_lasted)
            && self.reaches_most(now_ms)
    }

    /// Whether at least as many workers answer this instance as fail to. An instance that reaches
    /// few, and whose peers reach few, can't tell whether the workers or the paths fail.
    fn reaches_most(&self, now_ms: u64) -> bool {
        let is_failing = |evidence: &&WorkerEvidence| evidence.state(now_ms) != PathState::Open;
        let failing_count = self.workers.values().filter(is_failing).count();
        self.reached_count(now_ms, 0) >= failing_count
    }

    /// Whether this instance reaches few workers while peers reach them: more paths are cut than
    /// worked since the first of them failed.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        let (cut_count, reached_count) = self.cut_and_reached(now_ms);
        cut_count > reached_count
    }

    /// Counts the workers whose path is cut, and those that answered since the first of these paths
    /// failed.
    fn cut_and_reached(&self, now_ms: u64) -> (usize, usize) {
        if self
            .last_failed_ms
            .is_none_or(|at_ms| now_ms >= at_ms + EVIDENCE_TTL_MS)
        {
            return (0, 0);
        }
        let all = self.workers.values();
        let cut = all.filter(|evidence| evidence.state(now_ms) == PathState::Cut);
        let (cut_count, since_ms) = cut.fold((0, u64::MAX), |(count, since_ms), evidence| {
            let failing_since_ms = evidence.failing_since_ms.unwrap_or(u64::MAX);
            (count + 1, since_ms.min(failing_since_ms))
        });
        (cut_count, self.reached_count(now_ms, since_ms))
    }

    /// Counts the workers that were last reached directly, after a time.
    fn reached_count(&self, now_ms: u64, since_ms: u64) -> usize {
        let all = self.workers.values();
        all.filter(|evidence| evidence.has_succeeded_after(now_ms, since_ms))
            .count()
    }

    /// Returns how a connection to a worker is to be had.
    pub fn plan(&self, now_ms: u64, worker: u64) -> PathPlan {
        let evidence = self.workers.get(&worker);
        let state = self.state(now_ms, worker);
        let reached_ms = evidence.and_then(|evidence| evidence.succeeded_ms);
        let is_isolated = self.is_isolated(now_ms);
        let was_reached_since = reached_ms >= self.last_failed_ms;
        if state == PathState::Cut || (is_isolated && !was_reached_since) {
            return PathPlan {
                reuses_direct: !self.is_silent(now_ms),
                tries_direct: false,
                asks_peers: true,
            };
        }
        let peer_missed_ms = evidence.and_then(|evidence| evidence.peer_missed_ms);
        let were_asked =
            peer_missed_ms.is_some_and(|at_ms| now_ms < at_ms + PEERS_NOT_ASKED_AGAIN_MS);
        PathPlan {
            reuses_direct: true,
            tries_direct: true,
            asks_peers: !(state == PathState::Dark && were_asked),
        }
    }

    /// Whether paths are cut silently, so that idle connections can't be told from dead ones.
    fn is_silent(&self, now_ms: u64) -> bool {
        let mut all = self.workers.values();
        all.any(|evidence| evidence.is_silent && evidence.state(now_ms) == PathState::Cut)
    }

    /// Whether the direct path to a worker is cut silently, so that an answer on an open connection
    /// is not to be expected soon.
    pub fn is_silently_cut(&self, now_ms: u64, worker: u64) -> bool {
        let is_cut = self.state(now_ms, worker) == PathState::Cut || self.is_isolated(now_ms);
        is_cut && self.is_silent(now_ms)
    }

    /// Drops the evidence about a worker that is gone.
    pub fn forget(&mut self, worker: u64) {
        self.workers.remove(&worker);
    }

    /// Returns the share of workers that this instance reaches, to be reported to peers. Dark
    /// workers don't count: nobody reaches them.
    pub fn report(&self, now_ms: u64) -> ReachReport {
        let (cut_count, reached_count) = self.cut_and_reached(now_ms);
        let tried_count = (cut_count + reached_count).max(1);
        ReachReport {
            reached_percent: (100 - 100 * cut_count / tried_count) as u8,
        }
    }

    /// Returns the entry of a worker. Drops old evidence if there is too much.
    fn worker_entry(&mut self, now_ms: u64, worker: u64) -> &mut WorkerEvidence {
        if self.workers.len() >= WORKER_MAX_COUNT && !self.workers.contains_key(&worker) {
            self.workers
                .retain(|_, evidence| now_ms < evidence.newest_ms() + EVIDENCE_KEPT_MS);
        }
        self.workers.entry(worker).or_default()
    }
}

/// Returns the number of peers that must report a worker as unreachable.
fn required_reporter_count(alive_count: usize) -> usize {
    REPORTER_MIN_COUNT + alive_count.min(COUNTED_PEER_MAX_COUNT) / PEERS_PER_REPORTER
}
