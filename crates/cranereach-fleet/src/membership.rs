//! Gossip membership: which instances of the fleet are alive, as far as this one knows.
//!
//! Every message between instances carries a sample of the members that its sender knows,
//! each with the time since it was last heard from. The most recent time wins, whoever
//! passes it on, so all instances learn of all members while each sends and receives a
//! fixed number of bytes per second. Updates take longer to spread in a larger fleet, so
//! the liveness timeout grows with the number of members.

mod order;

use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use self::order::weight;
use crate::freshness::TRANSIT_ALLOWANCE_MS;
use crate::topology::DomainTag;

/// Base of the liveness timeout, in milliseconds: silence after which a member of a small
/// fleet counts as dead.
const LIVENESS_TIMEOUT_BASE_MS: u64 = 2_500;

/// Amount by which each known member extends the liveness timeout, in milliseconds.
///
/// With six messages of forty-eight members every quarter of a second, a heartbeat reaches
/// 99 % of 300 instances within 5 s (`tests/membership.rs`); the time grows with the number
/// of instances.
const LIVENESS_TIMEOUT_PER_MEMBER_MS: u64 = 15;

/// Multiple of the liveness timeout after which a silent member is forgotten; until then it
/// is still contacted now and then.
const FORGET_TIMEOUT_FACTOR: u64 = 6;

/// Maximum number of members kept: more than twice the intended fleet size.
pub const MEMBER_MAX_COUNT: usize = 8_192;

/// Maximum number of members in one message; further entries of a received message are
/// ignored.
pub const GOSSIPED_MAX_COUNT: usize = 48;

/// Consecutive unanswered requests after which a member is skipped when an owner is chosen:
/// a single one may be due to a lost datagram.
const MISSED_REPLY_LIMIT: u32 = 2;

/// Time for which such a member is skipped, in milliseconds.
const OWNER_SKIP_MS: u64 = 2_000;

/// Time between two calls of [`Membership::refresh`] from which on the process counts as
/// stalled, in milliseconds: four digest rounds, since it is called before each of them.
/// Other instances take over from one that is silent for longer.
const STALL_THRESHOLD_MS: u64 = 1_000;

/// Gossip entry about one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Address of the member.
    pub address: Ipv4Addr,
    /// Failure domain of the member.
    pub domain: DomainTag,
    /// Time since the member was last heard from, as far as the sender knows, in
    /// milliseconds.
    pub age_ms: u32,
    /// Whether the member was shutting down at that time.
    pub is_leaving: bool,
}

/// One member other than this instance.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    domain: DomainTag,
    /// When the member was last heard from, in milliseconds; none for a seed that has not
    /// been heard from yet.
    last_seen_ms: Option<u64>,
    first_known_ms: u64,
    is_leaving: bool,
    /// Consecutive requests that the member did not answer.
    missed_reply_count: u32,
    /// Until when the member is skipped as an owner, in milliseconds.
    skipped_until_ms: u64,
}

/// All known members.
///
/// ```
/// use std::net::Ipv4Addr;
///
/// use cranereach_fleet::membership::Membership;
/// use cranereach_fleet::topology::DomainTag;
///
/// let own = Ipv4Addr::new(10, 0, 0, 1);
/// let other = Ipv4Addr::new(10, 0, 0, 2);
/// let domain = DomainTag::of("a");
/// let mut members = Membership::new(own, domain, &[]);
/// members.heard_from(1_000, other, domain, false);
/// assert_eq!(members.alive(1_100).collect::<Vec<_>>(), [other]);
/// assert_eq!(members.alive(60_000).count(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    own: Ipv4Addr,
    own_domain: DomainTag,
    /// Whether this instance is a seed itself.
    is_seed: bool,
    /// The other seeds.
    seeds: Vec<Ipv4Addr>,
    /// Sum of the address hashes of the members that were alive at the last refresh, and
    /// since when it is unchanged, in milliseconds; none before the first refresh.
    alive_hash_sum: u64,
    unchanged_since_ms: Option<u64>,
    /// Since when this instance has heard only a minority of the members it knows, in
    /// milliseconds.
    minority_since_ms: Option<u64>,
    /// When this instance last heard only a minority, or detected that it had stalled, in
    /// milliseconds.
    last_isolated_ms: u64,
    /// When [`Membership::refresh`] was last called, in milliseconds.
    last_refresh_ms: Option<u64>,
    known: HashMap<Ipv4Addr, Member>,
}

impl Membership {
    /// Creates the membership of an instance that knows only the seeds.
    pub fn new(own: Ipv4Addr, own_domain: DomainTag, seeds: &[Ipv4Addr]) -> Self {
        let is_seed = seeds.contains(&own);
        let seeds: Vec<Ipv4Addr> = seeds.iter().filter(|seed| **seed != own).copied().collect();
        let known = seeds.iter().map(|seed| (*seed, Member::default()));
        Self {
            own,
            own_domain,
            is_seed,
            alive_hash_sum: 0,
            unchanged_since_ms: None,
            minority_since_ms: None,
            last_isolated_ms: 0,
            last_refresh_ms: None,
            known: known.collect(),
            seeds,
        }
    }

    /// Records a message received from the member itself.
    pub fn heard_from(
        &mut self,
        now_ms: u64,
        address: Ipv4Addr,
        domain: DomainTag,
        is_leaving: bool,
    ) {
        let update = MemberUpdate {
            address,
            domain,
            age_ms: 0,
            is_leaving,
        };
        self.note(now_ms, now_ms, &update);
    }

    /// Merges the entries of a received message; returns how many were ignored because the
    /// message had too many.
    pub fn merge(&mut self, now_ms: u64, updates: &[MemberUpdate]) -> usize {
        for update in updates.iter().take(GOSSIPED_MAX_COUNT) {
            let last_seen_ms =
                now_ms.saturating_sub(u64::from(update.age_ms) + TRANSIT_ALLOWANCE_MS);
            if now_ms < last_seen_ms + self.liveness_timeout_ms() {
                self.note(now_ms, last_seen_ms, update);
            }
        }
        updates.len().saturating_sub(GOSSIPED_MAX_COUNT)
    }

    /// Records when a member was last heard from, unless a later time is known.
    fn note(&mut self, now_ms: u64, last_seen_ms: u64, update: &MemberUpdate) {
        let address = update.address;
        let is_full = self.known.len() >= MEMBER_MAX_COUNT;
        if address == self.own || (is_full && !self.known.contains_key(&address)) {
            return;
        }
        let member = self.known.entry(address).or_insert_with(|| Member {
            first_known_ms: now_ms,
            ..Member::default()
        });
        if member
            .last_seen_ms
            .is_none_or(|known_ms| known_ms < last_seen_ms)
        {
            member.last_seen_ms = Some(last_seen_ms);
            member.is_leaving = update.is_leaving;
            member.domain = update.domain;
        }
    }

    /// Returns the liveness timeout: the silence after which a member counts as dead, in
    /// milliseconds.
    pub fn liveness_timeout_ms(&self) -> u64 {
        LIVENESS_TIMEOUT_BASE_MS + LIVENESS_TIMEOUT_PER_MEMBER_MS * self.known.len() as u64
    }

    /// Lists the other members that are alive and not shutting down.
    pub fn alive(&self, now_ms: u64) -> impl Iterator<Item = Ipv4Addr> {
        self.alive_members(now_ms).map(|(address, _)| address)
    }

    /// Lists the same members with their failure domains.
    pub fn alive_with_domains(&self, now_ms: u64) -> impl Iterator<Item = (Ipv4Addr, DomainTag)> {
        self.alive_members(now_ms)
            .map(|(address, member)| (address, member.domain))
    }

    /// Lists the same members with their full records.
    fn alive_members(&self, now_ms: u64) -> impl Iterator<Item = (Ipv4Addr, &Member)> {
        let within_ms = self.liveness_timeout_ms();
        let alive = self.known.iter().filter(move |(_, member)| {
            let at_ms = member.last_seen_ms;
            at_ms.is_some_and(|at_ms| now_ms < at_ms + within_ms) && !member.is_leaving
        });
        alive.map(|(address, member)| (*address, member))
    }

    /// Returns a member's failure domain; none if the member or its domain is unknown.
    pub fn domain_of(&self, address: Ipv4Addr) -> Option<DomainTag> {
        let domain = self.known.get(&address).map(|member| member.domain);
        domain.filter(|domain| domain.is_known())
    }

    /// Whether a member is known, alive or not.
    pub fn is_known(&self, address: Ipv4Addr) -> bool {
        self.known.contains_key(&address)
    }

    /// Counts the known instances, including this one.
    pub fn known_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Lists the members that exceeded the liveness timeout, including seeds never heard
    /// from, so that they can be contacted again.
    pub fn silent(&self, now_ms: u64) -> impl Iterator<Item = Ipv4Addr> {
        let within_ms = self.liveness_timeout_ms();
        let silent = self.known.iter().filter(move |(_, member)| {
            let at_ms = member.last_seen_ms;
            at_ms.is_none_or(|at_ms| now_ms >= at_ms + within_ms)
        });
        silent.map(|(address, _)| *address)
    }

    /// Drops members that have been silent for several times the liveness timeout; seeds
    /// are kept.
    pub fn forget(&mut self, now_ms: u64) {
        let after_ms = self.liveness_timeout_ms() * FORGET_TIMEOUT_FACTOR;
        let seeds = &self.seeds;
        self.known.retain(|address, member| {
            let at_ms = member.last_seen_ms.unwrap_or(member.first_known_ms);
            now_ms < at_ms + after_ms || seeds.contains(address)
        });
    }

    /// Picks a random sample of member entries for the next message.
    pub fn sample<R: Rng>(&self, now_ms: u64, rng: &mut R) -> Vec<MemberUpdate> {
        self.updates(now_ms).sample(rng, GOSSIPED_MAX_COUNT)
    }

    /// Lists the entries of all members heard from within the liveness timeout.
    fn updates(&self, now_ms: u64) -> impl Iterator<Item = MemberUpdate> {
        let within_ms = self.liveness_timeout_ms();
        self.known.iter().filter_map(move |(address, member)| {
            let age_ms = now_ms.saturating_sub(member.last_seen_ms?);
            (age_ms < within_ms).then_some(MemberUpdate {
                address: *address,
                domain: member.domain,
                age_ms: age_ms as u32,
                is_leaving: member.is_leaving,
            })
        })
    }

    /// Picks the entries for an instance of a failure domain that has just started: members
    /// of that domain come first.
    pub fn sample_for<R: Rng>(
        &self,
        now_ms: u64,
        domain: DomainTag,
        rng: &mut R,
    ) -> Vec<MemberUpdate> {
        let (near, far): (Vec<MemberUpdate>, Vec<MemberUpdate>) = self
            .updates(now_ms)
            .partition(|update| update.domain == domain);
        let mut chosen = near.into_iter().sample(rng, GOSSIPED_MAX_COUNT);
        let left_count = GOSSIPED_MAX_COUNT - chosen.len();
        chosen.extend(far.into_iter().sample(rng, left_count));
        chosen
    }

    /// Updates the time since when the set of live members is unchanged, and detects stalls
    /// of this process and isolation from the majority; called before each digest round.
    pub fn refresh(&mut self, now_ms: u64) {
        let alive = self.alive(now_ms).map(|address| weight(0, address));
        let sum = alive.fold(0, u64::wrapping_add);
        if sum != self.alive_hash_sum || self.unchanged_since_ms.is_none() {
            self.alive_hash_sum = sum;
            self.unchanged_since_ms = Some(now_ms);
        }
        if self.has_stalled(now_ms) {
            self.last_isolated_ms = now_ms;
        }
        self.last_refresh_ms = Some(now_ms);
        if self.hears_minority(now_ms) {
            self.minority_since_ms.get_or_insert(now_ms);
            self.last_isolated_ms = now_ms;
        } else {
            self.minority_since_ms = None;
        }
    }

    /// Whether the last refresh is so long ago that other instances may have taken over.
    fn has_stalled(&self, now_ms: u64) -> bool {
        self.last_refresh_ms
            .is_some_and(|at_ms| now_ms > at_ms + STALL_THRESHOLD_MS)
    }

    /// Whether this instance hears from at most half of the known members, itself included.
    fn hears_minority(&self, now_ms: u64) -> bool {
        let heard_count = self.alive(now_ms).count() + 1;
        heard_count * 2 <= self.known_count()
    }

    /// Returns the share of the known members that this instance hears from, and for how
    /// long that has been a minority, in milliseconds; none if it is a majority.
    pub fn minority(&self, now_ms: u64) -> Option<(f64, u64)> {
        if !self.hears_minority(now_ms) {
            return None;
        }
        let heard_count = self.alive(now_ms).count() + 1;
        let share = heard_count as f64 / self.known_count() as f64;
        let since_ms = self.minority_since_ms.unwrap_or(now_ms);
        Some((share, now_ms.saturating_sub(since_ms)))
    }

    /// Returns for how long the set of live members is unchanged, in milliseconds.
    pub fn unchanged_for_ms(&self, now_ms: u64) -> u64 {
        self.unchanged_since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Records that a member answered a request.
    pub fn reply_received(&mut self, address: Ipv4Addr) {
        if let Some(member) = self.known.get_mut(&address) {
            member.missed_reply_count = 0;
        }
    }

    /// Records that a member did not answer a request; after several in a row it is skipped
    /// as an owner for a while.
    pub fn reply_missed(&mut self, now_ms: u64, address: Ipv4Addr) {
        let Some(member) = self.known.get_mut(&address) else {
            return;
        };
        member.missed_reply_count += 1;
        if member.missed_reply_count >= MISSED_REPLY_LIMIT {
            member.missed_reply_count = 0;
            member.skipped_until_ms = now_ms + OWNER_SKIP_MS;
        }
    }
}
