//! Queries for a proof that came before this instance had one, see [`crate::proof`].
//!
//! An instance that gets a proof answers the recent ones. After a start of the whole fleet the first
//! proof so reaches all instances within a few round trips instead of rounds of queries.

use std::collections::VecDeque;

use crate::proof::ProofQuery;

/// Time for which a query is kept, in milliseconds. A later answer would prove an old moment only,
/// and the peer has asked again since.
const KEPT_FOR_MS: u64 = 1_000;

/// Maximum number of queries that are kept.
const MAX_COUNT: usize = 64;

/// A query that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Waiting<P> {
    peer: P,
    query: ProofQuery,
    expires_at_ms: u64,
}

/// Queries of peers, each identified by a `P`, that could not be answered yet.
///
/// ```
/// use cranereach_fleet::proof::Proof;
/// use cranereach_fleet::unanswered_queries::UnansweredQueries;
///
/// let query = Proof::new(1, 3_000).question(0);
/// let mut unanswered = UnansweredQueries::default();
/// unanswered.record(100, "peer", query);
/// assert_eq!(unanswered.take(200), [("peer", query)]);
/// assert!(unanswered.take(200).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct UnansweredQueries<P> {
    waiting: VecDeque<Waiting<P>>,
}

impl<P> Default for UnansweredQueries<P> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<P: PartialEq> UnansweredQueries<P> {
    /// Records a query that arrived at `now_ms`. It replaces an earlier one of the same peer, or the
    /// oldest one if there are too many.
    pub fn record(&mut self, now_ms: u64, peer: P, query: ProofQuery) {
        self.waiting.retain(|waiting| waiting.peer != peer);
        if self.waiting.len() == MAX_COUNT {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting {
            peer,
            query,
            expires_at_ms: now_ms + KEPT_FOR_MS,
        });
    }

    /// Removes all queries, and returns those that are still to be answered.
    pub fn take(&mut self, now_ms: u64) -> Vec<(P, ProofQuery)> {
        let waiting = self.waiting.drain(..);
        let recent = waiting.filter(|waiting| now_ms < waiting.expires_at_ms);
        recent
            .map(|waiting| (waiting.peer, waiting.query))
            .collect()
    }
}
