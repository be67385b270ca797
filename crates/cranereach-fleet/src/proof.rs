//! Proof that the configuration in force, and with it the list of failure domains to be evacuated,
//! was the newest one a bounded time ago.
//!
//! A revoked key must be refused everywhere after a bounded time, even on an instance that is
//! partitioned or was suspended. So an instance accepts keys only while it knows a recent moment,
//! on its own clock, at which nothing newer existed. It learns such a moment from the store or by
//! querying a peer. A peer's answer proves the moment at which the query was sent, minus the age
//! that the peer reports. Delays of the query or the answer, on the network or in a socket buffer,
//! can make that moment look older than it is, but never newer.

use serde::Deserialize;
use serde::Serialize;

use crate::freshness::Freshness;
use crate::freshness::OUTAGE_RECOVERY_MS;
use crate::store_position::StorePosition;

/// Share of the bound within which a proof is accepted. The rest covers a delayed store: its change
/// feed may stall for a second before the connection breaks.
const PROVEN_SHARE: f64 = 0.8;

/// A query for a peer's proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofQuery {
    /// Number of the sender's process start.
    pub boot: u64,
    /// When it is sent, in milliseconds of the sender's clock.
    pub asked_at_ms: u64,
    /// Position of the evacuations that the sender knows.
    pub evacuations_position: StorePosition,
}

/// A peer's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAnswer {
    /// The query, unchanged.
    pub question: ProofQuery,
    /// Version in force at the peer.
    pub version: u64,
    /// Era of the store that the peer knows.
    pub era: u64,
    /// Position of the evacuations that the peer knows.
    pub evacuations_position: StorePosition,
    /// Time since these versions were known to be the newest, in milliseconds; none if the peer
    /// does not know.
    pub age_ms: Option<u64>,
}

/// One instance's proof of how recent its configuration is.
///
/// ```
/// use cranereach_fleet::proof::Proof;
///
/// let mut watcher = Proof::new(1, 3_000);
/// watcher.record_version(7);
/// watcher.read(0, 1_000);
/// let mut other = Proof::new(2, 3_000);
/// other.record_version(7);
/// let answer = watcher.answer(1_200, other.question(90_000));
/// // The proof counts from the time of the query, however late the answer arrives.
/// assert!(other.take(&answer));
/// assert!(other.is_proven(93_000, 5_000));
/// assert!(!other.is_proven(93_800, 5_000));
/// ```
#[derive(Clone, Debug)]
pub struct Proof {
    boot: u64,
    version: u64,
    era: u64,
    /// Time until which a store that was restored from a backup may still lack the writes that it
    /// lost, in milliseconds.
    settles_at_ms: u64,
    evacuations_position: StorePosition,
    freshness: Freshness,
}

impl Proof {
    /// Creates the state of an instance that knows nothing yet.
    ///
    /// `bound_ms` is the time within which a change must be in force; it determines how often the
    /// store is read.
    pub fn new(boot: u64, bound_ms: u64) -> Self {
        Self {
            boot,
            version: 0,
            era: 0,
            settles_at_ms: 0,
            evacuations_position: StorePosition::default(),
            freshness: Freshness::new(bound_ms),
        }
    }

    /// Records the version in force. A moment at which nothing newer than an earlier version
    /// existed counts for this version as well.
    pub fn record_version(&mut self, version: u64) {
        self.version = version.max(self.version);
    }

    /// Records the position of the evacuations that are known.
    pub fn evacuations_known(&mut self, position: StorePosition) {
        self.evacuations_position = position.max(self.evacuations_position);
    }

    /// Begins an era of the store, after it was restored from a backup. Earlier proofs stay valid:
    /// nothing newer existed then. But the backup may lack the operator's last writes, so the store
    /// proves nothing until they have been written again.
    ///
    /// An instance that has just started can't know when the era began: it waits equally long,
    /// unless a peer proves more.
    pub fn enter_era(&mut self, now_ms: u64, era: u64) {
        if era > self.era {
            self.era = era;
            self.settles_at_ms = now_ms + OUTAGE_RECOVERY_MS;
        }
    }

    /// Returns whether the restored store may still lack the writes that it lost.
    pub fn is_settling(&self, now_ms: u64) -> bool {
        now_ms < self.settles_at_ms
    }

    /// Records that the store, in an answer of the given era, had nothing newer at a moment.
    pub fn read(&mut self, era: u64, as_of_ms: u64) {
        if era == self.era && as_of_ms >= self.settles_at_ms {
            self.freshness.confirm(as_of_ms);
        }
    }

    /// Creates a query to a peer.
    pub fn question(&self, now_ms: u64) -> ProofQuery {
        ProofQuery {
            boot: self.boot,
            asked_at_ms: now_ms,
            evacuations_position: self.evacuations_position,
        }
    }

    /// Answers a peer's query.
    pub fn answer(&self, now_ms: u64, question: ProofQuery) -> ProofAnswer {
        ProofAnswer {
            question,
            version: self.version,
            era: self.era,
            evacuations_position: self.evacuations_position,
            age_ms: self.freshness.age_ms(now_ms),
        }
    }

    /// Applies an answer; returns whether it proves a later moment than was known.
    ///
    /// Ignored are answers to a query from before the last start, which used another clock, answers
    /// about newer versions, which must be fetched first, and answers from an earlier era.
    pub fn take(&mut self, answer: &ProofAnswer) -> bool {
        let is_own = answer.question.boot == self.boot;
        let Some(age_ms) = answer.age_ms else {
            return false;
        };
        let is_behind = answer.version > self.version
            || answer.evacuations_position > self.evacuations_position;
        let is_of_era = answer.era == self.era;
        if !is_own || is_behind || !is_of_era || age_ms > answer.question.asked_at_ms {
            return false;
        }
        let as_of_ms = answer.question.asked_at_ms - age_ms;
        let is_later = self.freshness.is_older_than(as_of_ms);
        if is_later {
            self.freshness.confirm(as_of_ms);
        }
        is_later
    }

    /// Returns the last moment at which nothing newer is known to have existed, in milliseconds.
    pub fn known_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.age_ms(now_ms).map(|age_ms| now_ms - age_ms)
    }

    /// Returns the time since that moment, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness.age_ms(now_ms)
    }

    /// Returns when this instance reads the store unless it learns of a later moment before.
    pub fn read_due_at_ms(&self, rank: u64) -> u64 {
        self.freshness.read_due_at_ms(rank)
    }

    /// Returns whether keys may be accepted, if a revoked key must be refused within `bound_ms`.
    pub fn is_proven(&self, now_ms: u64, bound_ms: u64) -> bool {
        let within_ms = (bound_ms as f64 * PROVEN_SHARE) as u64;
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms < within_ms)
    }

    /// Returns whether a newer configuration may exist that must already be in force everywhere; if
    /// so, a refusal that is based on the known configuration is not certain.
    pub fn may_be_behind(&self, now_ms: u64, bound_ms: u64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= bound_ms)
    }
}
