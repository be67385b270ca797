//! State of the other instances, as known from their messages.

mod demand;
mod selection;

use std::collections::HashMap;
use std::net::Ipv4Addr;

use self::demand::PeerDemand;
use crate::heard_leases::HeardLeases;
use crate::heard_leases::LEASE_NEWS_MAX_AGE_MS;
use crate::messages::Digest;
use crate::messages::EndedLease;
use crate::messages::HeldLease;
use crate::messages::StoreFailure;
use crate::recipients::Origin;
use crate::store_failures::StoreFailures;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::lease_state::EndedTerm;
use cranereach_fleet::membership::MemberUpdate;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::DomainTag;
use cranereach_fleet::topology::Topology;

/// Minimum number of peers heard before the whole fleet can count as just started.
const STARTED_PEERS_MIN_COUNT: usize = 3;

/// Minimum interval between two list updates to one peer whose list is behind, in
/// milliseconds.
const LAGGING_UPDATE_INTERVAL_MS: u64 = 300;

/// Minimum interval between two digests sent in reply to the same joining instance, in
/// milliseconds.
const JOIN_REPLY_PER_PEER_INTERVAL_MS: u64 = 400;

/// Minimum interval between two digests sent in reply to any joining instance, in
/// milliseconds: when the whole fleet starts, the seeds receive digests of all other instances
/// at once.
const JOIN_REPLY_INTERVAL_MS: u64 = 3;

/// Age up to which a peer's word that it has withdrawn, or has not, counts, in milliseconds.
const WITHDRAWAL_NEWS_MAX_AGE_MS: u64 = 5_000;

pub use selection::FAN_OUT_COUNT;
pub use selection::Holders;

/// State of one peer, from its last digest.
#[derive(Clone, Debug, Default)]
struct PeerState {
    heard_at_ms: u64,
    boot: u64,
    /// Peer's uptime at that moment, in milliseconds.
    up_for_ms: u64,
    count: u64,
    configuration_version: u64,
    list_position: StorePosition,
    is_withdrawn: bool,
    holds: Vec<u64>,
    ended: Vec<EndedLease>,
    /// When the peer was last sent list changes because its list was behind, in milliseconds.
    lagging_updated_at_ms: u64,
    /// When the peer was last sent a digest in reply because it had no list, in milliseconds.
    join_reply_at_ms: Option<u64>,
}

/// Returns the share of peers that have withdrawn; `None` if there are no peers.
fn share_of_withdrawn<'a>(
    peers: impl Iterator<Item = (&'a Ipv4Addr, &'a PeerState)>,
) -> Option<f64> {
    let (count, withdrawn_count) = peers.fold((0, 0), |(count, withdrawn_count), (_, state)| {
        (count + 1, withdrawn_count + u32::from(state.is_withdrawn))
    });
    (count > 0).then(|| f64::from(withdrawn_count) / f64::from(count))
}

/// State of all peers.
#[derive(Clone, Debug)]
pub struct Peers {
    own_ip: Ipv4Addr,
    own_domain: u64,
    topology: Topology,
    /// Widest origin of recent news, and the time until which digests also go to the relays of
    /// other failure domains because of it, in milliseconds.
    news: Option<(Origin, u64)>,
    /// Whether the last slow round also went to another region.
    is_cross_region_round: bool,
    members: Membership,
    peer_states: HashMap<Ipv4Addr, PeerState>,
    demand: HashMap<Ipv4Addr, PeerDemand>,
    /// Adapters that peers wait for, by peer, service and adapter, and since when, in
    /// milliseconds.
    waits: HashMap<(Ipv4Addr, u64, ModelKey), u64>,
    /// Instances that recently could not reach the store.
    store_failures: StoreFailures,
    /// Lease holders, as reported by themselves and by others.
    leases: HeardLeases,
    /// When any joining instance was last sent a digest in reply, in milliseconds.
    join_reply_at_ms: Option<u64>,
    /// Whether a peer of another failure domain has advertised its worker list to this
    /// instance.
    is_domain_relay: bool,
    /// Peer that last advertised its worker list, and the list's position.
    list_advertiser: Option<(Ipv4Addr, StorePosition)>,
    /// Random number from zero to one, drawn at the start. It sets when this
    /// instance reads the list or configuration, so that the reads of all instances are spread
    /// over time.
    jitter_ratio: f64,
}

impl Peers {
    /// Creates the state from the seeds, for an instance that knows no failure domain but its
    /// own: all others count as another region.
    pub fn new(own_ip: Ipv4Addr, own_domain: &str, seeds: &[Ipv4Addr]) -> Self {
        Self {
            own_ip,
            own_domain: worker_key(own_domain),
            topology: Topology::of_domain(own_domain),
            news: None,
            // Random, so that instances that start together don't cross regions in the same
            // rounds.
            is_cross_region_round: rand::random(),
            members: Membership::new(own_ip, DomainTag::of(own_domain), seeds),
            peer_states: HashMap::new(),
            demand: HashMap::new(),
            waits: HashMap::new(),
            store_failures: StoreFailures::default(),
            leases: HeardLeases::default(),
            join_reply_at_ms: None,
            is_domain_relay: false,
            list_advertiser: None,
            jitter_ratio: rand::random(),
        }
    }

    /// Sets the table of failure domains and regions.
    #[must_use]
    pub fn with_topology(mut self, topology: &Topology) -> Self {
        self.topology = topology.clone();
        self
    }

    /// Returns the key of this instance's failure domain.
    pub fn own_domain(&self) -> u64 {
        self.own_domain
    }

    /// Returns this instance's address.
    pub fn own_ip(&self) -> Ipv4Addr {
        self.own_ip
    }

    /// Returns the membership: which instances are alive.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns the membership for changes, such as noting that an instance did not answer.
    pub fn members_mut(&mut self) -> &mut Membership {
        &mut self.members
    }

    /// Applies a digest; returns false if it is outdated.
    pub fn apply_digest(&mut self, now_ms: u64, sender: Ipv4Addr, digest: &Digest) -> bool {
        if sender == self.own_ip {
            return false;
        }
        let state = self.peer_states.get(&sender);
        if state.is_some_and(|state| state.boot == digest.boot && state.count >= digest.count) {
            return false;
        }
        let domain = DomainTag::from_key(digest.domain);
        self.members
            .heard_from(now_ms, sender, domain, digest.is_leaving);
        if !self.members.is_known(sender) {
            return false;
        }
        self.members.merge(now_ms, &digest.members);
        self.store_failures.merge(now_ms, &digest.store_failed);
        let before = self.peer_states.remove(&sender).unwrap_or_default();
        let is_released = |service: &u64| digest.is_leaving || !digest.holds.contains(service);
        for service in before.holds.iter().filter(|service| is_released(service)) {
            self.leases.note_released(now_ms, *service);
        }
        let state = PeerState {
            heard_at_ms: now_ms,
            boot: digest.boot,
            up_for_ms: digest.up_for_ms,
            count: digest.count,
            configuration_version: digest.configuration_version,
            list_position: digest.list_position,
            is_withdrawn: digest.is_withdrawn,
            holds: digest.holds.clone(),
            ended: digest.ended.clone(),
            lagging_updated_at_ms: before.lagging_updated_at_ms,
            join_reply_at_ms: before.join_reply_at_ms,
        };
        self.peer_states.insert(sender, state);
        self.leases.merge_digest(now_ms, sender, digest);
        true
    }

    /// Whether all peers heard have started within a time, as after a power failure of the
    /// whole fleet.
    pub fn have_all_started_within(&self, now_ms: u64, within_ms: u64) -> bool {
        let mut heard = self.peer_states.values();
        self.peer_states.len() >= STARTED_PEERS_MIN_COUNT
            && heard.all(|state| state.up_for_ms + now_ms < within_ms + state.heard_at_ms)
    }

    /// Returns the share of the peers heard of late that have withdrawn because of overload: of those
    /// in this failure domain, if there are any, since they get callers in its place.
    pub fn withdrawn_share(&self, now_ms: u64) -> f64 {
        let own_domain = DomainTag::from_key(self.own_domain);
        let heard = || {
            let states = self.peer_states.iter();
            states.filter(|(_, state)| now_ms < state.heard_at_ms + WITHDRAWAL_NEWS_MAX_AGE_MS)
        };
        let is_near = |peer: &Ipv4Addr| self.members.domain_of(*peer) == Some(own_domain);
        let near = share_of_withdrawn(heard().filter(|(peer, _)| is_near(peer)));
        near.or_else(|| share_of_withdrawn(heard()))
            .unwrap_or_default()
    }

    /// Returns the sequence number of a peer's last digest; `None` before the first.
    pub fn last_digest_count(&self, peer: Ipv4Addr) -> Option<u64> {
        self.peer_states.get(&peer).map(|state| state.count)
    }

    /// Lists the leases known to be held.
    pub fn held(&self, now_ms: u64) -> Vec<HeldLease> {
        self.leases.held(now_ms)
    }

    /// Whether some peer is known to hold a lease, from its own digest or from others'.
    pub fn knows_holder(&self, now_ms: u64, service: u64) -> bool {
        let held = self.held(now_ms);
        held.iter().any(|held| held.service == service)
    }

    /// Lists the terms of a service's lease that peers report as ended.
    pub fn ended_terms(&self, now_ms: u64, service: u64) -> Vec<EndedTerm> {
        let known = self.peer_states.values();
        let heard = known.filter(|state| now_ms < state.heard_at_ms + LEASE_NEWS_MAX_AGE_MS);
        let ended = heard.flat_map(|state| {
            let of_service = state.ended.iter().filter(|ended| ended.service == service);
            of_service.map(move |ended| EndedTerm {
                position: ended.position,
                at_ms: state.heard_at_ms.saturating_sub(ended.age_ms),
            })
        });
        ended.collect()
    }

    /// Notes that this instance could not reach the store.
    pub fn store_failed(&mut self, now_ms: u64) {
        self.store_failures.note(now_ms, self.own_ip, 0);
    }

    /// Lists the instances that recently could not reach the store.
    pub fn store_failures(&self, now_ms: u64) -> Vec<StoreFailure> {
        self.store_failures.recent(now_ms)
    }

    /// Whether other instances report that they can't reach the store.
    pub fn is_store_lost(&self, now_ms: u64) -> bool {
        self.store_failures.is_lost(now_ms, self.own_ip)
    }

    /// Returns the number of living instances that come before this one in the rendezvous hash
    /// order of a purpose.
    pub fn rank(&self, now_ms: u64, purpose: &str) -> u64 {
        self.members.rank(now_ms, worker_key(purpose))
    }

    /// Whether a peer whose list is behind may be sent list changes now; if so, notes that it
    /// is.
    pub fn may_update_lagging_peer(&mut self, now_ms: u64, peer: Ipv4Addr) -> bool {
        let Some(state) = self.peer_states.get_mut(&peer) else {
            return false;
        };
        let may_update = now_ms >= state.lagging_updated_at_ms + LAGGING_UPDATE_INTERVAL_MS;
        if may_update {
            state.lagging_updated_at_ms = now_ms;
        }
        may_update
    }

    /// Whether a joining instance may be sent a digest in reply now; if so, notes that it is.
    pub fn may_reply_to_joining(&mut self, now_ms: u64, joining_instance: Ipv4Addr) -> bool {
        let Some(state) = self.peer_states.get_mut(&joining_instance) else {
            return false;
        };
        let is_due = |at_ms: Option<u64>, every_ms: u64| {
            at_ms.is_none_or(|at_ms| now_ms >= at_ms + every_ms)
        };
        let may_reply_to_joining = is_due(state.join_reply_at_ms, JOIN_REPLY_PER_PEER_INTERVAL_MS)
            && is_due(self.join_reply_at_ms, JOIN_REPLY_INTERVAL_MS);
        if may_reply_to_joining {
            state.join_reply_at_ms = Some(now_ms);
            self.join_reply_at_ms = Some(now_ms);
        }
        may_reply_to_joining
    }

    /// Lists the other instances known to hold a lease.
    pub fn holders(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let mut holders: Vec<Ipv4Addr> = self.held(now_ms).iter().map(|held| held.holder).collect();
        holders.retain(|holder| *holder != self.own_ip);
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Drops the state of members that are no longer known.
    fn forget(&mut self, now_ms: u64) {
        self.members.forget(now_ms);
        self.members.refresh(now_ms);
        let members = &self.members;
        self.peer_states
            .retain(|address, _| members.is_known(*address));
        self.demand.retain(|address, _| members.is_known(*address));
    }

    /// Samples the members that a digest reports.
    pub fn member_updates(&self, now_ms: u64) -> Vec<MemberUpdate> {
        self.members.sample(now_ms, &mut rand::rng())
    }

    /// Samples the members that a digest reports to a joining instance of a failure domain.
    pub fn member_updates_for(&self, now_ms: u64, domain: DomainTag) -> Vec<MemberUpdate> {
        self.members.sample_for(now_ms, domain, &mut rand::rng())
    }
}
