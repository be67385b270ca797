//! What is known of the other instances.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use crate::messages::DemandMessage;
use crate::messages::DemandPart;
use crate::messages::Digest;
use crate::messages::EndedLease;
use crate::messages::HeldLease;
use crate::messages::StoreFailure;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::membership::MemberNews;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::roster::worker_key;
use cranereach_fleet::tenure::EndedTerm;

/// Age up to which news of a peer's leases count, in milliseconds.
pub const HEARD_WITHIN_MS: u64 = 1_500;

/// Peers that one round of digests goes to, besides those that need it at once: news
/// that each instance tells six others reach 3,300 in five rounds.
pub const FAN_OUT_COUNT: usize = 6;

/// Those of them that are of the own failure domain, where bytes cost nothing.
const OWN_DOMAIN_COUNT: usize = 3;

/// Silent peers that a slow round tries once more.
const SILENT_COUNT: usize = 1;

/// Candidates for a lease that its holder tells in each round that it holds it.
const CANDIDATE_COUNT: usize = 3;

/// Peers that a holder hears the demand of within one round: with more of them, each
/// tells it in one round of several.
const DEMAND_A_ROUND_COUNT: usize = 64;

/// Rounds in which demand may not be heard before it no longer counts.
const DEMAND_MISSED_COUNT: u64 = 3;

/// Time for which a holder remembers what a peer waits for, in milliseconds: longer
/// than requests wait.
const WAITS_FOR_MS: u64 = 1_200;

/// Time for which a peer's failure to reach the store counts, in milliseconds: some
/// tries of those that try again soon.
const STORE_FAILED_FOR_MS: u64 = 1_500;

/// Instances that must have failed before the store counts as lost: one alone may be
/// cut off.
const STORE_WITNESS_COUNT: usize = 2;

/// Failures to reach the store that are remembered and told at most.
const STORE_FAILURE_MAX_COUNT: usize = 6;

/// Waits that a holder remembers at most.
const WAIT_MAX_COUNT: usize = 4_096;

/// Peers that changes of the list are passed on to: with six, all but one in 400 hear
/// of them; whoever doesn't is behind, and told so by the next digest.
const PASSED_ON_COUNT: usize = 6;

/// Time between two messages that tell one peer that its list is behind, in
/// milliseconds.
const BEHIND_TOLD_EVERY_MS: u64 = 300;

/// What one peer said last.
#[derive(Clone, Debug, Default)]
struct Said {
    heard_at_ms: u64,
    boot: u64,
    count: u64,
    domain: u64,
    holds: Vec<u64>,
    ended: Vec<EndedLease>,
    /// When it was last told that its list is behind, in milliseconds.
    behind_told_at_ms: u64,
}

/// The demand that one peer told.
#[derive(Clone, Debug)]
struct ToldDemand {
    heard_at_ms: u64,
    boot: u64,
    count: u64,
    parts: Vec<DemandPart>,
}

/// All peers.
#[derive(Clone, Debug)]
pub struct Peers {
    own_ip: Ipv4Addr,
    own_domain: u64,
    members: Membership,
    said: HashMap<Ipv4Addr, Said>,
    demand: HashMap<Ipv4Addr, ToldDemand>,
    /// Adapters that peers wait for, by service, model and adapter, and since when, in
    /// milliseconds.
    waits: HashMap<(Ipv4Addr, u64, ModelKey), u64>,
    /// Which instances could not reach the store, and when, in milliseconds.
    store_failed_at_ms: HashMap<Ipv4Addr, u64>,
    /// Who holds each lease, and when it was heard last, by anybody, in milliseconds.
    holders: HashMap<u64, (Ipv4Addr, u64)>,
    /// When a holder itself was heard to hold a lease no more, in milliseconds.
    released_at_ms: HashMap<u64, u64>,
}

impl Peers {
    /// Makes the list from the seeds.
    pub fn new(own_ip: Ipv4Addr, own_domain: &str, seeds: &[Ipv4Addr]) -> Self {
        Self {
            own_ip,
            own_domain: worker_key(own_domain),
            members: Membership::new(own_ip, seeds),
            said: HashMap::new(),
            demand: HashMap::new(),
            waits: HashMap::new(),
            store_failed_at_ms: HashMap::new(),
            holders: HashMap::new(),
            released_at_ms: HashMap::new(),
        }
    }

    /// Returns the key of this instance's failure domain.
    pub fn own_domain(&self) -> u64 {
        self.own_domain
    }

    /// Returns this instance's address.
    pub fn own_ip(&self) -> Ipv4Addr {
        self.own_ip
    }

    /// Returns which instances live.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns which instances live, to note that one did not answer.
    pub fn members_mut(&mut self) -> &mut Membership {
        &mut self.members
    }

    /// Takes a digest; false if it is an old one.
    pub fn heard(&mut self, now_ms: u64, sender: Ipv4Addr, digest: &Digest) -> bool {
        if sender == self.own_ip {
            return false;
        }
        let said = self.said.get(&sender);
        if said.is_some_and(|said| said.boot == digest.boot && said.count >= digest.count) {
            return false;
        }
        self.members.saw(now_ms, sender, digest.is_leaving);
        if !self.members.is_known(sender) {
            return false;
        }
        self.members.told(now_ms, &digest.members);
        for failure in digest.store_failed.iter().take(STORE_FAILURE_MAX_COUNT) {
            self.note_store_failure(now_ms, failure);
        }
        let before = self.said.remove(&sender).unwrap_or_default();
        let is_given_up = |service: &u64| digest.is_leaving || !digest.holds.contains(service);
        for service in before.holds.iter().filter(|service| is_given_up(service)) {
            self.released_at_ms.insert(*service, now_ms);
        }
        let said = Said {
            heard_at_ms: now_ms,
            boot: digest.boot,
            count: digest.count,
            domain: digest.domain,
            holds: digest.holds.clone(),
            ended: digest.ended.clone(),
            behind_told_at_ms: before.behind_told_at_ms,
        };
        self.said.insert(sender, said);
        self.note_held(now_ms, sender, digest);
        true
    }

    /// Returns the number of a peer's last digest; none before the first.
    pub fn last_count(&self, peer: Ipv4Addr) -> Option<u64> {
        self.said.get(&peer).map(|said| said.count)
    }

    /// Takes a peer's demand; false if it is old or comes from a stranger.
    pub fn heard_demand(&mut self, now_ms: u64, sender: Ipv4Addr, told: &DemandMessage) -> bool {
        let known = self.demand.get(&sender);
        let is_old = known.is_some_and(|known| {
            let is_same_start = known.boot == told.boot;
            is_same_start && known.count >= told.count
        });
        if is_old || !self.members.is_known(sender) {
            return false;
        }
        let demand = ToldDemand {
            heard_at_ms: now_ms,
            boot: told.boot,
            count: told.count,
            parts: told.parts.clone(),
        };
        self.demand.insert(sender, demand);
        for (service, adapter) in &told.waits_for {
            if self.waits.len() < WAIT_MAX_COUNT {
                self.waits.insert((sender, *service, *adapter), now_ms);
            }
        }
        true
    }

    /// Takes out who waits for adapters of a service that are there now.
    pub fn take_answered(
        &mut self,
        now_ms: u64,
        service: u64,
        placed: &[(u64, ModelKey)],
    ) -> HashMap<Ipv4Addr, Vec<(u64, ModelKey)>> {
        self.waits
            .retain(|_, since_ms| now_ms < *since_ms + WAITS_FOR_MS);
        let mut answers: HashMap<Ipv4Addr, Vec<(u64, ModelKey)>> = HashMap::new();
        if self.waits.is_empty() {
            return answers;
        }
        self.waits.retain(|(peer, of_service, adapter), _| {
            let mut there = placed.iter().filter(|(_, key)| key == adapter).peekable();
            let is_answered = *of_service == service && there.peek().is_some();
            if is_answered {
                answers.entry(*peer).or_default().extend(there);
            }
            !is_answered
        });
        answers
    }

    /// Lists the demand that peers told lately.
    pub fn demand(&self, now_ms: u64, round_ms: u64) -> impl Iterator<Item = &DemandPart> {
        let within_ms = HEARD_WITHIN_MS + DEMAND_MISSED_COUNT * self.demand_every_ms(round_ms);
        let known = self.demand.values();
        let recent = known.filter(move |told| now_ms < told.heard_at_ms + within_ms);
        recent.flat_map(|told| &told.parts)
    }

    /// Notes which leases are held.
    fn note_held(&mut self, now_ms: u64, sender: Ipv4Addr, digest: &Digest) {
        let own = digest.holds.iter().filter(|_| !digest.is_leaving);
        let own = own.map(|service| HeldLease {
            service: *service,
            holder: sender,
            age_ms: 0,
        });
        for held in own.chain(digest.held.iter().copied()) {
            let at_ms = now_ms.saturating_sub(held.age_ms);
            let known = self.holders.entry(held.service);
            let known = known.or_insert((held.holder, at_ms));
            if at_ms > known.1 {
                *known = (held.holder, at_ms);
            }
        }
    }

    /// Lists the leases that are heard to be held.
    pub fn held(&self, now_ms: u64) -> Vec<HeldLease> {
        let known = self.holders.iter();
        let recent = known.filter(|(service, (_, at_ms))| {
            let released_ms = self.released_at_ms.get(service).copied();
            // What others told was heard before the holder said otherwise.
            let is_held = released_ms.is_none_or(|released_ms| *at_ms > released_ms);
            is_held && now_ms < at_ms + HEARD_WITHIN_MS
        });
        recent
            .map(|(service, (holder, at_ms))| HeldLease {
                service: *service,
                holder: *holder,
                age_ms: now_ms.saturating_sub(*at_ms),
            })
            .collect()
    }

    /// Whether some peer is heard to hold a lease, directly or through others.
    pub fn hears_holder(&self, now_ms: u64, service: u64) -> bool {
        let held = self.held(now_ms);
        held.iter().any(|held| held.service == service)
    }

    /// Lists the terms of a service's lease that peers say are over.
    pub fn ended_terms(&self, now_ms: u64, service: u64) -> Vec<EndedTerm> {
        let known = self.said.values();
        let heard = known.filter(|said| now_ms < said.heard_at_ms + HEARD_WITHIN_MS);
        let ended = heard.flat_map(|said| {
            let of_service = said.ended.iter().filter(|ended| ended.service == service);
            of_service.map(move |ended| EndedTerm {
                version: ended.version,
                at_ms: said.heard_at_ms.saturating_sub(ended.age_ms),
            })
        });
        ended.collect()
    }

    /// Notes that this instance could not reach the store.
    pub fn store_failed(&mut self, now_ms: u64) {
        let own = StoreFailure {
            address: self.own_ip,
            age_ms: 0,
        };
        self.note_store_failure(now_ms, &own);
    }

    /// Notes that an instance could not reach the store.
    fn note_store_failure(&mut self, now_ms: u64, failure: &StoreFailure) {
        let at_ms = now_ms.saturating_sub(failure.age_ms);
        self.store_failed_at_ms
            .retain(|_, known_ms| now_ms < *known_ms + STORE_FAILED_FOR_MS);
        let known = self.store_failed_at_ms.get_mut(&failure.address);
        if let Some(known_ms) = known {
            *known_ms = at_ms.max(*known_ms);
        } else if self.store_failed_at_ms.len() < STORE_FAILURE_MAX_COUNT {
            self.store_failed_at_ms.insert(failure.address, at_ms);
        }
    }

    /// Lists the instances that could not reach the store lately.
    pub fn store_failures(&self, now_ms: u64) -> Vec<StoreFailure> {
        let known = self.store_failed_at_ms.iter();
        let recent = known.filter(|(_, at_ms)| now_ms < **at_ms + STORE_FAILED_FOR_MS);
        recent
            .map(|(address, at_ms)| StoreFailure {
                address: *address,
                age_ms: now_ms.saturating_sub(*at_ms),
            })
            .collect()
    }

    /// Whether others say that they can't reach the store.
    pub fn is_store_lost(&self, now_ms: u64) -> bool {
        let failures = self.store_failures(now_ms);
        let others = failures.iter().filter(|of| of.address != self.own_ip);
        others.count() >= STORE_WITNESS_COUNT
    }

    /// Counts the instances that come before this one in an order of their own for
    /// each purpose.
    pub fn rank(&self, now_ms: u64, purpose: &str) -> u64 {
        self.members.rank(now_ms, worker_key(purpose))
    }

    /// Chooses whom changes of the list of workers go to.
    pub fn list_recipients(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let alive = self.members.alive(now_ms);
        alive.sample(&mut rand::rng(), PASSED_ON_COUNT)
    }

    /// Whether a peer whose list is behind is to be told so now; notes that it is.
    pub fn may_tell_behind(&mut self, now_ms: u64, peer: Ipv4Addr) -> bool {
        let Some(said) = self.said.get_mut(&peer) else {
            return false;
        };
        let may_tell = now_ms >= said.behind_told_at_ms + BEHIND_TOLD_EVERY_MS;
        if may_tell {
            said.behind_told_at_ms = now_ms;
        }
        may_tell
    }

    /// Returns the time between two messages of demand, in milliseconds: a holder
    /// hears every instance.
    pub fn demand_every_ms(&self, round_ms: u64) -> u64 {
        let rounds = self.members.known_count().div_ceil(DEMAND_A_ROUND_COUNT);
        round_ms * rounds as u64
    }

    /// Lists the other instances that are heard to hold a lease.
    pub fn holders(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let mut holders: Vec<Ipv4Addr> = self.held(now_ms).iter().map(|held| held.holder).collect();
        holders.retain(|holder| *holder != self.own_ip);
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Chooses whom the next digest goes to.
    ///
    /// `holds` names the services whose lease this instance holds: the candidates
    /// for them hear of it in each round.
    pub fn recipients(&mut self, now_ms: u64, is_slow_round: bool, holds: &[u64]) -> Vec<Ipv4Addr> {
        self.forget(now_ms);
        let mut rng = rand::rng();
        let is_near = |address: &Ipv4Addr| {
            let said = self.said.get(address);
            said.is_some_and(|said| said.domain == self.own_domain)
        };
        let alive = self.members.alive(now_ms);
        let (near, far): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = alive.partition(is_near);
        let near_count = near
            .len()
            .min(OWN_DOMAIN_COUNT.max(FAN_OUT_COUNT.saturating_sub(far.len())));
        let mut chosen = near.into_iter().sample(&mut rng, near_count);
        let far_count = FAN_OUT_COUNT - chosen.len();
        chosen.extend(far.into_iter().sample(&mut rng, far_count));
        if is_slow_round || chosen.is_empty() {
            let silent = self.members.silent(now_ms);
            chosen.extend(silent.sample(&mut rng, SILENT_COUNT));
        }
        for service in holds {
            chosen.extend(self.members.first(now_ms, *service, CANDIDATE_COUNT));
        }
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// Forgets what is old.
    fn forget(&mut self, now_ms: u64) {
        self.members.forget(now_ms);
        let members = &self.members;
        self.said.retain(|address, _| members.is_known(*address));
        self.demand.retain(|address, _| members.is_known(*address));
    }

    /// Chooses what a digest tells of other members.
    pub fn member_news(&self, now_ms: u64) -> Vec<MemberNews> {
        self.members.sample(now_ms, &mut rand::rng())
    }
}
