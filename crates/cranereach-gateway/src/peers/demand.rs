//! Demand that peers report, and what their requests wait for.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use super::Peers;
use crate::heard_leases::LEASE_NEWS_MAX_AGE_MS;
use crate::messages::DemandMessage;
use crate::messages::DemandPart;
use cranereach_fleet::demand::ModelKey;

/// Maximum number of peers that send their demand to a lease holder in one round; with more
/// peers, each sends it only once in several rounds.
const DEMAND_SENDERS_PER_ROUND_COUNT: usize = 64;

/// Intervals for which a peer's demand may go unheard before it no longer counts.
const DEMAND_MISSED_MAX_COUNT: u64 = 3;

/// Time for which a lease holder remembers what a peer waits for, in milliseconds: longer than
/// requests wait.
const WAIT_EXPIRES_AFTER_MS: u64 = 1_200;

/// Maximum number of waits that a lease holder remembers.
const WAIT_MAX_COUNT: usize = 4_096;

/// Demand reported by one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerDemand {
    heard_at_ms: u64,
    boot: u64,
    count: u64,
    parts: Vec<DemandPart>,
}

impl Peers {
    /// Applies a peer's demand; returns false if it is outdated or its sender is not a known
    /// member.
    pub fn apply_demand(
        &mut self,
        now_ms: u64,
        sender: Ipv4Addr,
        reported: &DemandMessage,
    ) -> bool {
        let known = self.demand.get(&sender);
        let is_old = known.is_some_and(|known| {
            let is_same_start = known.boot == reported.boot;
            is_same_start && known.count >= reported.count
        });
        if is_old || !self.members.is_known(sender) {
            return false;
        }
        let demand = PeerDemand {
            heard_at_ms: now_ms,
            boot: reported.boot,
            count: reported.count,
            parts: reported.parts.clone(),
        };
        self.demand.insert(sender, demand);
        for (service, adapter) in &reported.waits_for {
            if self.waits.len() < WAIT_MAX_COUNT {
                self.waits.insert((sender, *service, *adapter), now_ms);
            }
        }
        true
    }

    /// Removes the waits for adapters of a service that are now loaded, and returns these
    /// adapters by waiting peer.
    pub fn take_satisfied_waits(
        &mut self,
        now_ms: u64,
        service: u64,
        placed: &[(u64, ModelKey)],
    ) -> HashMap<Ipv4Addr, Vec<(u64, ModelKey)>> {
        self.waits
            .retain(|_, since_ms| now_ms < *since_ms + WAIT_EXPIRES_AFTER_MS);
        let mut answers: HashMap<Ipv4Addr, Vec<(u64, ModelKey)>> = HashMap::new();
        if self.waits.is_empty() {
            return answers;
        }
        self.waits.retain(|(peer, of_service, adapter), _| {
            let mut loaded = placed.iter().filter(|(_, key)| key == adapter).peekable();
            let is_answered = *of_service == service && loaded.peek().is_some();
            if is_answered {
                answers.entry(*peer).or_default().extend(loaded);
            }
            !is_answered
        });
        answers
    }

    /// Lists the demand that peers have reported recently.
    pub fn demand(&self, now_ms: u64, round_ms: u64) -> impl Iterator<Item = &DemandPart> {
        let within_ms =
            LEASE_NEWS_MAX_AGE_MS + DEMAND_MISSED_MAX_COUNT * self.demand_every_ms(round_ms);
        let known = self.demand.values();
        let recent = known.filter(move |reported| now_ms < reported.heard_at_ms + within_ms);
        recent.flat_map(|reported| &reported.parts)
    }

    /// Returns the interval between two demand messages, in milliseconds; it grows with the
    /// fleet, since every instance sends its demand to the lease holder.
    pub fn demand_every_ms(&self, round_ms: u64) -> u64 {
        let rounds = self
            .members
            .known_count()
            .div_ceil(DEMAND_SENDERS_PER_ROUND_COUNT);
        round_ms * rounds as u64
    }
}
