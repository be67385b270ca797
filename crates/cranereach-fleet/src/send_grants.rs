//! Grants for sending one request to a worker that all instances together may send only a limited
//! number of requests: a worker that has just started, or one that names a limit.
//!
//! Only the worker's owner grants, and an unused grant expires at once: an instance that gets no
//! answer sends nothing. So the total that all instances send is what owners grant. Unlike
//! elsewhere, no other instance stands in for an owner that does not answer: nothing is granted
//! until its heartbeats have expired. While another owner takes over there may be two, so a new
//! owner grants only half. An instance that hears only a minority of the instances it knows may be
//! the partitioned one: it grants nothing, or a share in proportion to their number.

mod rule;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

pub use self::rule::SendRule;
use crate::load::RANK_COUNT;
use crate::membership::Membership;

/// Time after the query within which a grant must be used, in milliseconds; an owner's answer takes
/// some ten milliseconds.
pub const GRANT_VALID_MS: u64 = 40;

/// Time for which the membership must not have changed before an owner grants its full part, in
/// milliseconds: until all instances know of it.
pub const SETTLED_AFTER_MS: u64 = 2_500;

/// Time after its start during which an instance grants nothing, in milliseconds. If many instances
/// start at once, each hears only some of the others for five rounds of digests, and several would
/// take themselves for the owner.
const STARTUP_HOLD_MS: u64 = 1_250;

/// Share of its grants that an owner reserves for more urgent requests that it has refused.
const URGENT_RESERVE_SHARE: f64 = 0.5;

/// Maximum number of refused queries that an owner remembers per worker.
const REFUSED_MAX_COUNT: usize = 64;

/// Maximum number of grants that an owner remembers per worker; more than any rule counts.
const GRANTED_MAX_COUNT: usize = 4_096;

/// Number of workers from which on an owner removes old entries.
const WORKER_MAX_COUNT: usize = 65_536;

/// Time until the next query is worthwhile if another instance may be the owner, in milliseconds.
const OTHER_OWNER_RETRY_MS: u64 = 250;

/// Minimum time until a refused request may query again, in milliseconds.
const RETRY_MIN_MS: u64 = 50;

/// Maximum time over which the retries of refused instances are spread, in milliseconds: they learn
/// that there is room again at most this late.
const RETRY_SPREAD_MAX_MS: u64 = 5_000;

/// Retries that are scheduled per grant: with fewer, grants stay unused until the next query
/// arrives; with more, most queries are refused.
const QUERIES_PER_GRANT: f64 = 16.0;

/// An owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// One request may be sent now.
    Send,
    /// Nothing is granted until this time has passed, in milliseconds.
    After(u64),
}

/// Role of an instance that is queried as the owner of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ownership {
    /// Another instance owns the worker, or may own it because this one has just started.
    Other,
    /// It ranks first among the instances that it hears, but these are a minority of those that it
    /// knows.
    Minority {
        /// Share of the known instances that it hears.
        share: f64,
        /// Time for which it has heard only a minority, in milliseconds.
        for_ms: u64,
    },
    /// It owns the worker, but another instance owned it until recently or may have: that one has
    /// left, or this one has just started or was partitioned.
    New,
    /// It owns the worker, and all instances know of it.
    Settled,
}

impl Ownership {
    /// Returns the role, for a worker, of an instance that has been up for `up_for_ms`.
    pub fn of(members: &Membership, now_ms: u64, worker: u64, up_for_ms: u64) -> Self {
        if up_for_ms < STARTUP_HOLD_MS || !members.is_own(now_ms, worker) {
            return Self::Other;
        }
        if let Some((share, for_ms)) = members.minority(now_ms) {
            return Self::Minority { share, for_ms };
        }
        let changed_at_ms = members.first_since_ms(now_ms, worker);
        let since_ms = now_ms.saturating_sub(changed_at_ms).min(up_for_ms);
        if since_ms < SETTLED_AFTER_MS {
            Self::New
        } else {
            Self::Settled
        }
    }
}

/// Returns the other instance that owns a worker's grants; none if this one does.
pub fn other_owner(members: &Membership, now_ms: u64, worker: u64) -> Option<Ipv4Addr> {
    members.first_other(now_ms, worker)
}

/// Counts of an owner's answers for one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Queries that it granted.
    pub granted_count: u64,
    /// Queries that it refused.
    pub refused_count: u64,
}

/// An owner's recent answers for one worker.
#[derive(Clone, Debug, Default)]
struct GrantLog {
    /// Times of the grants, in milliseconds.
    granted_at_ms: VecDeque<u64>,
    /// Refused queries: time in milliseconds, and rank.
    refused: VecDeque<(u64, u8)>,
    /// Number of queries refused since the last grant.
    consecutive_refusals: u32,
    counts: GrantCounts,
}

/// Grants of one instance for the workers that it owns.
///
/// ```
/// use cranereach_fleet::send_grants::Ownership;
/// use cranereach_fleet::send_grants::SendAnswer;
/// use cranereach_fleet::send_grants::SendGrants;
/// use cranereach_fleet::send_grants::SendRule;
///
/// let rule = SendRule::of_cold(2.0, 1.5, 5.0);
/// let mut owner = SendGrants::default();
/// let mut ask = |now_ms| owner.ask(now_ms, 7, &[rule], 0, Ownership::Settled);
/// assert_eq!(ask(1_000), SendAnswer::Send);
/// assert_eq!(ask(1_010), SendAnswer::Send);
/// assert_eq!(ask(1_020), SendAnswer::After(1_080));
/// assert_eq!(ask(2_100), SendAnswer::Send);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendGrants {
    by_worker: HashMap<u64, GrantLog>,
}

impl SendGrants {
    /// Answers a query for one request of a rank, zero being the most urgent, to a worker that the
    /// given rules apply to. Without rules the request may be sent.
    pub fn ask(
        &mut self,
        now_ms: u64,
        worker: u64,
        rules: &[SendRule],
        rank: u8,
        ownership: Ownership,
    ) -> SendAnswer {
        if rules.is_empty() {
            return SendAnswer::Send;
        }
        let effective: Vec<SendRule> = rules
            .iter()
            .filter_map(|rule| rule.for_ownership(ownership))
            .collect();
        if effective.len() < rules.len() {
            return SendAnswer::After(OTHER_OWNER_RETRY_MS);
        }
        self.forget(now_ms, worker);
        let log = self.by_worker.entry(worker).or_default();
        log.forget(now_ms, &effective);
        let waits = effective.iter().map(|rule| log.wait_ms(now_ms, rule, rank));
        let Some(wait_ms) = waits.max().flatten() else {
            log.note_granted(now_ms);
            return SendAnswer::Send;
        };
        let spread_ms = log.spread_ms(&effective);
        log.note_refused(now_ms, rank);
        SendAnswer::After((wait_ms + spread_ms).max(RETRY_MIN_MS))
    }

    /// Returns the counts of answers for a worker.
    pub fn counts(&self, worker: u64) -> GrantCounts {
        let log = self.by_worker.get(&worker);
        log.map_or(GrantCounts::default(), |log| log.counts)
    }

    /// Removes workers without recent grants once there are too many entries.
    fn forget(&mut self, now_ms: u64, worker: u64) {
        if self.by_worker.len() >= WORKER_MAX_COUNT && !self.by_worker.contains_key(&worker) {
            let kept_for_ms = RETRY_SPREAD_MAX_MS;
            self.by_worker.retain(|_, log| {
                let last_ms = log.granted_at_ms.back();
                last_ms.is_some_and(|at_ms| now_ms < at_ms + kept_for_ms)
            });
        }
    }
}

impl GrantLog {
    /// Removes what is older than all windows, but keeps the last grant.
    fn forget(&mut self, now_ms: u64, rules: &[SendRule]) {
        let kept_for_ms = rules.iter().map(|rule| rule.window_ms as u64 + 1).max();
        let kept_for_ms = kept_for_ms.unwrap_or(0).max(RETRY_SPREAD_MAX_MS);
        let is_old = |at_ms: u64| now_ms >= at_ms + kept_for_ms;
        while self.granted_at_ms.len() > 1
            && self
                .granted_at_ms
                .front()
                .is_some_and(|at_ms| is_old(*at_ms))
        {
            self.granted_at_ms.pop_front();
        }
        while self
            .refused
            .front()
            .is_some_and(|(at_ms, _)| is_old(*at_ms))
        {
            self.refused.pop_front();
        }
    }

    /// Returns the time until a rule has room for a request of a rank, in milliseconds; none if it
    /// has room now.
    fn wait_ms(&self, now_ms: u64, rule: &SendRule, rank: u8) -> Option<u64> {
        let window_ms = rule.window_ms.ceil() as u64;
        let from_ms = (now_ms + 1).saturating_sub(window_ms);
        let first = self.granted_at_ms.partition_point(|at_ms| *at_ms < from_ms);
        let granted_count = self.granted_at_ms.len() - first;
        let reserved_max_count = (rule.count as f64 * URGENT_RESERVE_SHARE) as usize;
        let reserved_count = self
            .more_urgent_count(from_ms, rank)
            .min(reserved_max_count);
        if granted_count + reserved_count < rule.count {
            return None;
        }
        // The window has room once the oldest of the last `count` grants leaves it; reserved room
        // may be released at any time.
        let index = self.granted_at_ms.len().checked_sub(rule.count.max(1));
        let oldest_ms = index.and_then(|index| self.granted_at_ms.get(index));
        let free_ms = oldest_ms.map_or(now_ms, |at_ms| at_ms + window_ms);
        Some(free_ms.saturating_sub(now_ms))
    }

    /// Returns by how much the instance that is refused now should retry later than the first one
    /// that was refused, in milliseconds, so that retries do not all come at once.
    fn spread_ms(&self, rules: &[SendRule]) -> u64 {
        let interval_ms = rules
            .iter()
            .map(|rule| rule.window_ms / rule.count.max(1) as f64)
            .fold(0.0, f64::max);
        let spread_ms = f64::from(self.consecutive_refusals) * interval_ms / QUERIES_PER_GRANT;
        spread_ms.min(RETRY_SPREAD_MAX_MS as f64) as u64
    }

    /// Records a grant.
    fn note_granted(&mut self, now_ms: u64) {
        if self.granted_at_ms.len() >= GRANTED_MAX_COUNT {
            self.granted_at_ms.pop_front();
        }
        self.granted_at_ms.push_back(now_ms);
        self.consecutive_refusals = 0;
        self.counts.granted_count += 1;
    }

    /// Records a refused query; at capacity it replaces a less urgent one, so that many waiting
    /// requests do not hide urgent ones.
    fn note_refused(&mut self, now_ms: u64, rank: u8) {
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        self.counts.refused_count += 1;
        if self.refused.len() >= REFUSED_MAX_COUNT {
            let less_urgent = self
                .refused
                .iter()
                .position(|(_, other_rank)| *other_rank > rank);
            let Some(index) = less_urgent else { return };
            self.refused.remove(index);
        }
        self.refused.push_back((now_ms, rank));
    }

    /// Counts the queries that were refused since `from_ms` and are more urgent than a rank.
    fn more_urgent_count(&self, from_ms: u64, rank: u8) -> usize {
        let refused = self.refused.iter();
        refused
            .filter(|(at_ms, other_rank)| *at_ms >= from_ms && *other_rank < rank)
            .count()
    }
}

/// Times until which this instance does not query the owner of a worker, by rank: a grant that is
/// refused to one rank may be reserved for a more urgent one.
///
/// ```
/// use cranereach_fleet::send_grants::AskPause;
///
/// let mut pause = AskPause::default();
/// pause.refused_until(1, 5_000);
/// assert!(pause.may_ask(4_000, 0));
/// assert!(!pause.may_ask(4_000, 1));
/// assert!(!pause.may_ask(4_000, 2));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AskPause {
    until_ms: [u64; RANK_COUNT],
}

impl AskPause {
    /// Records that the worker's owner grants nothing to a rank and those less urgent, or does not
    /// answer, until the given time.
    pub fn refused_until(&mut self, rank: usize, at_ms: u64) {
        for until_ms in &mut self.until_ms[rank.min(RANK_COUNT - 1)..] {
            *until_ms = at_ms;
        }
    }

    /// Records that no rank is to query the owner before the given time; a later time that is known
    /// holds.
    pub fn postponed_until(&mut self, at_ms: u64) {
        for until_ms in &mut self.until_ms {
            *until_ms = at_ms.max(*until_ms);
        }
    }

    /// Returns whether a query was ever refused or unanswered.
    pub fn was_refused(&self) -> bool {
        self.until_ms.iter().any(|until_ms| *until_ms > 0)
    }

    /// Returns whether it is worthwhile to query the owner for a rank.
    pub fn may_ask(&self, now_ms: u64, rank: usize) -> bool {
        now_ms >= self.ask_at_ms(rank)
    }

    /// Returns the time from which it is worthwhile to query the owner for a rank, in milliseconds.
    pub fn ask_at_ms(&self, rank: usize) -> u64 {
        self.until_ms[rank.min(RANK_COUNT - 1)]
    }
}
