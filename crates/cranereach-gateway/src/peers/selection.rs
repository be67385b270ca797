//! Selection of the peers that the next messages go to, and of those to fetch bodies from.

use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use super::Peers;
use crate::recipients::Origin;
use crate::recipients::PeersByDistance;
use cranereach_fleet::first_read::Holder;
use cranereach_fleet::first_read::JoiningInstance;
use cranereach_fleet::first_read::SPREAD_PER_INSTANCE_MS;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::DomainTag;

/// Maximum number of peers that one round of digests goes to, apart from those that need it at
/// once. News that each instance passes to six others reaches nearly all of 1,000 in some six
/// rounds (`tests/gossip_spread.rs`).
pub const FAN_OUT_COUNT: usize = 6;

/// Number of them in this instance's failure domain, where traffic is free.
const OWN_DOMAIN_FAN_OUT_COUNT: usize = 4;

/// Number of additional peers of other failure domains in a slow round: this many of this region
/// and, in every second slow round, as many of other regions.
const SLOW_ROUND_FAR_COUNT: usize = 1;

/// Time for which every round also goes to the relays of other failure domains after news, in
/// milliseconds: three rounds, since one datagram may be lost.
const UPDATE_RELAY_FOR_MS: u64 = 700;

/// Number of silent peers that a slow round retries.
const SILENT_RETRY_COUNT: usize = 1;

/// Number of candidates per lease that its holder sends every digest to.
const LEASE_CANDIDATE_COUNT: usize = 3;

/// Number of peers of this failure domain that list changes are forwarded to. A peer that the
/// changes do not reach is brought up to date after its next digest.
const LIST_OWN_DOMAIN_FAN_OUT_COUNT: usize = 3;

/// Number of peers of this failure domain that one round of proof questions goes to.
const PROOF_OWN_DOMAIN_COUNT: usize = 1;

/// Number of peers of other failure domains that it also goes to: the instances that watch the
/// store may all be in another domain.
const PROOF_OTHER_DOMAIN_COUNT: usize = 1;

/// Share of the rounds in which that peer is of another region: the instances that watch the
/// store may all be there.
const PROOF_OTHER_REGION_RATIO: f64 = 0.25;

/// Peers known to have a newer worker list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holders {
    /// Peers of this failure domain.
    pub near: Vec<Ipv4Addr>,
    /// Peers of other failure domains of this region or, if there are none, of other regions.
    pub far: Vec<Ipv4Addr>,
}

impl Peers {
    /// Lists the living peers known to have a worker list newer than `position`.
    pub fn list_holders(&self, now_ms: u64, position: StorePosition) -> Holders {
        let has_newer = |peer: &Ipv4Addr| {
            let state = self.peer_states.get(peer);
            state.is_some_and(|state| state.list_position > position)
        };
        let by_distance = self.peers_by_distance(now_ms);
        let keep_newer = |peers: Vec<Ipv4Addr>| peers.into_iter().filter(has_newer).collect();
        let near: Vec<Ipv4Addr> = keep_newer(by_distance.near.clone());
        let mut far: Vec<Ipv4Addr> = keep_newer(by_distance.all_in_own_region());
        if far.is_empty() {
            far = keep_newer(by_distance.all_in_other_regions());
        }
        // The peer that advertised its list may not have sent a digest yet.
        let advertiser = self
            .list_advertiser
            .filter(|(_, advertised_position)| *advertised_position > position);
        let advertiser = advertiser.map(|(advertiser, _)| advertiser);
        far.extend(
            advertiser.filter(|advertiser| !near.contains(advertiser) && !far.contains(advertiser)),
        );
        Holders { near, far }
    }

    /// Notes that a peer advertised its worker list, so that the list can be fetched from it.
    pub fn note_list_advertised(&mut self, peer: Ipv4Addr, position: StorePosition) {
        let own_domain = DomainTag::from_key(self.own_domain);
        self.is_domain_relay |= self.members.domain_of(peer) != Some(own_domain);
        if let Some(state) = self.peer_states.get_mut(&peer) {
            state.list_position = position.max(state.list_position);
        }
        self.list_advertiser = Some((peer, position));
    }

    /// Returns the state of an instance that has no list or configuration yet, except for who
    /// holds what it lacks.
    pub fn joining_instance(&self, now_ms: u64, up_for_ms: u64, purpose: &str) -> JoiningInstance {
        JoiningInstance {
            up_for_ms,
            seed_rank: self.members.seed_rank(),
            has_heard: !self.peer_states.is_empty(),
            known_count: self.members.known_count(),
            holder: Holder::Nobody,
            is_domain_relay: self.is_domain_relay,
            rank_in_domain: self.rank_in_domain(now_ms, purpose),
            chance: self.jitter_ratio,
        }
    }

    /// Returns this instance's share, in milliseconds, of the time over which store reads are
    /// spread when all instances may have to read.
    pub fn read_spread_ms(&self) -> u64 {
        let longest_ms = SPREAD_PER_INSTANCE_MS * self.members.known_count() as u64;
        (longest_ms as f64 * self.jitter_ratio) as u64
    }

    /// Selects the recipients of worker list changes that came from `origin`.
    pub fn list_recipients(&self, now_ms: u64, origin: Origin) -> Vec<Ipv4Addr> {
        let by_distance = self.peers_by_distance(now_ms);
        let mut chosen = by_distance.sample_own_domain(LIST_OWN_DOMAIN_FAN_OUT_COUNT);
        chosen.extend(by_distance.choose_relays(&self.topology, origin));
        chosen
    }

    /// Selects the recipients of the next proof question.
    pub fn proof_recipients(&self, now_ms: u64) -> Vec<Ipv4Addr> {
        let by_distance = self.peers_by_distance(now_ms);
        let mut chosen = by_distance.sample_own_domain(PROOF_OWN_DOMAIN_COUNT);
        let far_count = PROOF_OWN_DOMAIN_COUNT + PROOF_OTHER_DOMAIN_COUNT - chosen.len();
        if rand::random_bool(PROOF_OTHER_REGION_RATIO) {
            chosen.extend(by_distance.sample_other_regions(far_count));
        }
        let left_count = PROOF_OWN_DOMAIN_COUNT + PROOF_OTHER_DOMAIN_COUNT - chosen.len();
        chosen.extend(by_distance.sample_other_domains(left_count));
        chosen
    }

    /// Groups the living peers by distance.
    fn peers_by_distance(&self, now_ms: u64) -> PeersByDistance {
        PeersByDistance::of(&self.members, &self.topology, now_ms)
    }

    /// Notes that there is news from `origin`: for the next rounds, digests also go to the
    /// relays of the failure domains that nobody else passes it to.
    pub fn note_news(&mut self, now_ms: u64, origin: Origin) {
        let widest = self.news.filter(|(_, until_ms)| now_ms < *until_ms);
        let widest = widest.map_or(origin, |(before, _)| before.max(origin));
        self.news = Some((widest, now_ms + UPDATE_RELAY_FOR_MS));
    }

    /// Returns a peer of this failure domain that has a version of the configuration or, if
    /// there is none, `advertiser`.
    pub fn configuration_source(
        &self,
        now_ms: u64,
        version: u64,
        advertiser: Ipv4Addr,
    ) -> Ipv4Addr {
        let near = self
            .peers_by_distance(now_ms)
            .near
            .into_iter()
            .filter(|peer| {
                let state = self.peer_states.get(peer);
                state.is_some_and(|state| state.configuration_version >= version)
            });
        near.choose(&mut rand::rng()).unwrap_or(advertiser)
    }

    /// Whether this instance comes first in its failure domain for a purpose: it fetches from
    /// other domains what the others then fetch from it.
    pub fn is_first_in_domain(&self, now_ms: u64, purpose: &str) -> bool {
        self.rank_in_domain(now_ms, purpose) == 0
    }

    /// Returns the number of living instances of this failure domain that come before this one
    /// in the rendezvous hash order of a purpose.
    fn rank_in_domain(&self, now_ms: u64, purpose: &str) -> u64 {
        let own_domain = DomainTag::from_key(self.own_domain);
        let purpose = worker_key(purpose);
        self.members.rank_in(now_ms, purpose, own_domain)
    }

    /// Selects the recipients of the next digest.
    ///
    /// `holds` lists the services whose lease this instance holds or held until a moment ago;
    /// the candidates for these leases get every digest.
    pub fn recipients(&mut self, now_ms: u64, is_slow_round: bool, holds: &[u64]) -> Vec<Ipv4Addr> {
        self.forget(now_ms);
        let by_distance = self.peers_by_distance(now_ms);
        let mut chosen = by_distance.sample_own_domain(OWN_DOMAIN_FAN_OUT_COUNT);
        // Peers of other domains fill up where this domain has too few.
        chosen.extend(by_distance.sample_other_domains(OWN_DOMAIN_FAN_OUT_COUNT - chosen.len()));
        if is_slow_round {
            chosen.extend(by_distance.sample_own_region(SLOW_ROUND_FAR_COUNT));
            self.is_cross_region_round = !self.is_cross_region_round;
            if self.is_cross_region_round {
                chosen.extend(by_distance.sample_other_regions(SLOW_ROUND_FAR_COUNT));
            }
        }
        if let Some((origin, _)) = self.news.filter(|(_, until_ms)| now_ms < *until_ms) {
            chosen.extend(by_distance.choose_relays(&self.topology, origin));
        }
        if !holds.is_empty() {
            chosen.extend(by_distance.sample_each_domain());
        }
        if is_slow_round || chosen.is_empty() {
            let silent = self.members.silent(now_ms);
            chosen.extend(silent.sample(&mut rand::rng(), SILENT_RETRY_COUNT));
        }
        for service in holds {
            chosen.extend(self.members.first(now_ms, *service, LEASE_CANDIDATE_COUNT));
        }
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }
}
