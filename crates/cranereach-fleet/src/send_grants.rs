//! The right to send one request to a worker that may be sent only so many by all instances
//! together: it has just started, or names a limit.
//!
//! The right is granted by the worker's owner alone, and lapses at once if it isn't used:
//! whoever gets no answer sends nothing. So what all instances send is what owners grant.
//! Nobody stands in for an owner that doesn't answer, as others do elsewhere: until its
//! signs of life have ended, nothing is granted. While another one takes over there may
//! be two, so that a new one grants half. An instance that hears only a minority of those
//! it knows may be the one that is cut off: it grants nothing, or a share by their number.

mod rule;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

pub use self::rule::SendRule;
use crate::load::RANK_COUNT;
use crate::membership::Membership;

/// Time after its question in which a grant must be used, in milliseconds: an owner's
/// answer comes within some ten.
pub const USE_WITHIN_MS: u64 = 40;

/// Time for which the members must have been the same, in milliseconds, for an owner to
/// grant its whole part: until all know of it.
pub const SETTLED_AFTER_MS: u64 = 2_500;

/// Time after its start in which an instance grants nothing, in milliseconds: where many
/// start at once, each hears only some of the others for five rounds of digests, and
/// several would take themselves for the first.
const STARTUP_HOLD_MS: u64 = 1_250;

/// Share of its grants that an owner keeps for more urgent requests that it refused.
const URGENT_RESERVE_SHARE: f64 = 0.5;

/// Refused questions of a worker that an owner remembers at most.
const REFUSED_MAX_COUNT: usize = 64;

/// Grants of a worker that an owner remembers at most: more than any rule counts.
const GRANTED_MAX_COUNT: usize = 4_096;

/// Workers that an owner remembers at most.
const WORKER_MAX_COUNT: usize = 65_536;

/// Time until it is worth asking again where somebody else may be the owner, in
/// milliseconds.
const OTHER_OWNER_RETRY_MS: u64 = 250;

/// Shortest time until a refused request may ask again, in milliseconds.
const RETRY_MIN_MS: u64 = 50;

/// Longest time by which refused instances are spread, in milliseconds: so late they learn
/// at most that there is room again.
const RETRY_SPREAD_MAX_MS: u64 = 5_000;

/// Questions for each grant to which refused instances are spread: with fewer, grants lie
/// idle until one comes; with more, most questions are in vain.
const QUERIES_PER_GRANT: f64 = 16.0;

/// What an owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// One request may be sent, at once.
    Send,
    /// None until after a time, in milliseconds.
    After(u64),
}

/// What an instance is for a worker that is asked as its owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ownership {
    /// Somebody else owns the worker, or may: this one has just started.
    Other,
    /// It is the first of those that it hears, a minority of those that it knows.
    Minority {
        /// Their share.
        share: f64,
        /// Time for which it has heard a minority, in milliseconds.
        for_ms: u64,
    },
    /// Another one owned the worker until lately, or may have: it went, this one has just
    /// started, or was cut off.
    New,
    /// All know of it.
    Settled,
}

impl Ownership {
    /// Returns what an instance that has been up for a time is for a worker.
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

/// What an owner did for one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Requests that it granted.
    pub granted_count: u64,
    /// Questions that it refused.
    pub refused_count: u64,
}

/// What an owner granted for one worker within a window.
#[derive(Clone, Debug, Default)]
struct GrantLog {
    /// When, in milliseconds.
    granted_at_ms: VecDeque<u64>,
    /// Questions that were refused: when, in milliseconds, and of which rank.
    refused: VecDeque<(u64, u8)>,
    /// Questions that were refused since the last grant.
    consecutive_refusals: u32,
    counts: GrantCounts,
}

/// What one instance granted for the workers that it owns.
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
    /// Answers a question for one request of a rank, zero the most urgent, to a worker to
    /// which some rules apply; where there is none, it may be sent.
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
        let granted = self.by_worker.entry(worker).or_default();
        granted.forget(now_ms, &effective);
        let waits = effective
            .iter()
            .map(|rule| granted.wait_ms(now_ms, rule, rank));
        let Some(wait_ms) = waits.max().flatten() else {
            granted.note_granted(now_ms);
            return SendAnswer::Send;
        };
        let spread_ms = granted.spread_ms(&effective);
        granted.note_refused(now_ms, rank);
        SendAnswer::After((wait_ms + spread_ms).max(RETRY_MIN_MS))
    }

    /// Returns what was done for a worker.
    pub fn counts(&self, worker: u64) -> GrantCounts {
        let granted = self.by_worker.get(&worker);
        granted.map_or(GrantCounts::default(), |granted| granted.counts)
    }

    /// Forgets workers that nothing was granted for lately, when there are too many.
    fn forget(&mut self, now_ms: u64, worker: u64) {
        if self.by_worker.len() >= WORKER_MAX_COUNT && !self.by_worker.contains_key(&worker) {
            let kept_for_ms = RETRY_SPREAD_MAX_MS;
            self.by_worker.retain(|_, granted| {
                let last_ms = granted.granted_at_ms.back();
                last_ms.is_some_and(|at_ms| now_ms < at_ms + kept_for_ms)
            });
        }
    }
}

impl GrantLog {
    /// Forgets what is older than all windows; the last grant is kept.
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

    /// Returns the time until a rule has room for a request of a rank, in milliseconds;
    /// none if it has.
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
        // The oldest of the last so many makes way; room that is kept comes up any time.
        let index = self.granted_at_ms.len().checked_sub(rule.count.max(1));
        let oldest_ms = index.and_then(|index| self.granted_at_ms.get(index));
        let free_ms = oldest_ms.map_or(now_ms, |at_ms| at_ms + window_ms);
        Some(free_ms.saturating_sub(now_ms))
    }

    /// Returns by how much the instance that is refused now comes back later than the
    /// first one, in milliseconds: they come one after the other, not all at once.
    fn spread_ms(&self, rules: &[SendRule]) -> u64 {
        let interval_ms = rules
            .iter()
            .map(|rule| rule.window_ms / rule.count.max(1) as f64)
            .fold(0.0, f64::max);
        let spread_ms = f64::from(self.consecutive_refusals) * interval_ms / QUERIES_PER_GRANT;
        spread_ms.min(RETRY_SPREAD_MAX_MS as f64) as u64
    }

    /// Remembers a grant.
    fn note_granted(&mut self, now_ms: u64) {
        if self.granted_at_ms.len() >= GRANTED_MAX_COUNT {
            self.granted_at_ms.pop_front();
        }
        self.granted_at_ms.push_back(now_ms);
        self.consecutive_refusals = 0;
        self.counts.granted_count += 1;
    }

    /// Remembers a refused question; where there are too many, in place of a less urgent
    /// one: those that wait in numbers must not hide the urgent ones.
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

    /// Counts the questions refused from a time on that are more urgent than a rank.
    fn more_urgent_count(&self, from_ms: u64, rank: u8) -> usize {
        let refused = self.refused.iter();
        refused
            .filter(|(at_ms, other_rank)| *at_ms >= from_ms && *other_rank < rank)
            .count()
    }
}

/// Until when this instance doesn't ask for a worker's grants, by rank: what is refused to
/// one may be kept for a more urgent one.
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
    /// Notes that the worker's owner grants nothing, or doesn't answer, until a time for a
    /// rank, and for those less urgent.
    pub fn refused_until(&mut self, rank: usize, at_ms: u64) {
        for until_ms in &mut self.until_ms[rank.min(RANK_COUNT - 1)..] {
            *until_ms = at_ms;
        }
    }

    /// Whether its owner was ever asked in vain.
    pub fn was_refused(&self) -> bool {
        self.until_ms.iter().any(|until_ms| *until_ms > 0)
    }

    /// Whether it is worth asking its owner for a rank.
    pub fn may_ask(&self, now_ms: u64, rank: usize) -> bool {
        now_ms >= self.ask_at_ms(rank)
    }

    /// Returns from when it is worth asking its owner for a rank, in milliseconds.
    pub fn ask_at_ms(&self, rank: usize) -> u64 {
        self.until_ms[rank.min(RANK_COUNT - 1)]
    }
}
