//! Whom of the peers this instance tells next, and whom it asks for bodies.

use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;

use super::Peers;
use crate::recipients::Origin;
use crate::recipients::PeersByDistance;
use cranereach_fleet::first_read::Holder;
use cranereach_fleet::first_read::Newcomer;
use cranereach_fleet::first_read::SPREAD_EACH_MS;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::DomainTag;

/// Peers that one round of digests goes to at most, besides those that need it at once:
/// news that each instance tells six others reach nearly all of 1,000 in some six rounds
/// (`tests/spreading.rs`).
pub const FAN_OUT_COUNT: usize = 6;

/// Those of them that are of the own failure domain, where bytes cost nothing.
const OWN_DOMAIN_FAN_OUT_COUNT: usize = 4;

/// Peers of other failure domains that a slow round goes to besides: of the own region,
/// and of other regions, to which every second one goes.
const SLOW_ROUND_FAR_COUNT: usize = 1;

/// Time for which each round also goes to the gates of other domains after news, in
/// milliseconds: three rounds, since one datagram may be lost.
const UPDATE_RELAY_FOR_MS: u64 = 700;

/// Silent peers that a slow round tries once more.
const SILENT_RETRY_COUNT: usize = 1;

/// Candidates for a lease that its holder tells in each round that it holds it.
const LEASE_CANDIDATE_COUNT: usize = 3;

/// Peers of the own failure domain that changes of the list are passed on to; whoever
/// none of them reaches is behind, and told so by the next digest.
const LIST_OWN_DOMAIN_FAN_OUT_COUNT: usize = 3;

/// Peers of the own failure domain that one round of questions for proof goes to.
const PROOF_OWN_DOMAIN_COUNT: usize = 1;

/// Peers of other failure domains that it goes to besides: whoever watches the store
/// may be in none but another.
const PROOF_OTHER_DOMAIN_COUNT: usize = 1;

/// Share of the rounds in which that one is of another region: all who watch may be
/// there.
const PROOF_OTHER_REGION_RATIO: f64 = 0.25;

/// Peers that were heard to have a newer list of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holders {
    /// Of the own failure domain.
    pub near: Vec<Ipv4Addr>,
    /// Of the own region, or if none is there, of others.
    pub far: Vec<Ipv4Addr>,
}

impl Peers {
    /// Lists the living peers that were heard to have a newer list of workers than one of
    /// a position.
    pub fn list_holders(&self, now_ms: u64, position: StorePosition) -> Holders {
        let has_newer = |peer: &Ipv4Addr| {
            let state = self.peer_states.get(peer);
            state.is_some_and(|state| state.list_position > position)
        };
        let by_distance = self.peers_by_distance(now_ms);
        let of = |peers: Vec<Ipv4Addr>| peers.into_iter().filter(has_newer).collect();
        let near: Vec<Ipv4Addr> = of(by_distance.near.clone());
        let mut far: Vec<Ipv4Addr> = of(by_distance.all_in_own_region());
        if far.is_empty() {
            far = of(by_distance.all_in_other_regions());
        }
        // Whoever told of its list may not have been heard otherwise.
        let advertiser = self.list_advertiser.filter(|(_, told)| *told > position);
        let advertiser = advertiser.map(|(advertiser, _)| advertiser);
        far.extend(
            advertiser.filter(|advertiser| !near.contains(advertiser) && !far.contains(advertiser)),
        );
        Holders { near, far }
    }

    /// Notes that a peer told of its list: it can be asked for it.
    pub fn told_list(&mut self, peer: Ipv4Addr, position: StorePosition) {
        let own_domain = DomainTag::from_key(self.own_domain);
        self.is_gate |= self.members.domain_of(peer) != Some(own_domain);
        if let Some(state) = self.peer_states.get_mut(&peer) {
            state.list_position = position.max(state.list_position);
        }
        self.list_advertiser = Some((peer, position));
    }

    /// Returns what an instance that has nothing yet goes by, but for who has what it
    /// lacks.
    pub fn newcomer(&self, now_ms: u64, purpose: &str) -> Newcomer {
        Newcomer {
            up_for_ms: now_ms,
            seed_rank: self.members.seed_rank(),
            has_heard: !self.peer_states.is_empty(),
            known_count: self.members.known_count(),
            holder: Holder::Nobody,
            is_gate: self.is_gate,
            rank_in_domain: self.rank_in_domain(now_ms, purpose),
            chance: self.chance,
        }
    }

    /// Returns this instance's part of the time over which reads of the store are spread
    /// that all may have to do, in milliseconds.
    pub fn read_spread_ms(&self) -> u64 {
        let longest_ms = SPREAD_EACH_MS * self.members.known_count() as u64;
        (longest_ms as f64 * self.chance) as u64
    }

    /// Chooses whom changes of the list of workers go to that came from somewhere.
    pub fn list_recipients(&self, now_ms: u64, origin: Origin) -> Vec<Ipv4Addr> {
        let by_distance = self.peers_by_distance(now_ms);
        let mut chosen = by_distance.sample_own_domain(LIST_OWN_DOMAIN_FAN_OUT_COUNT);
        chosen.extend(by_distance.choose_relays(&self.topology, origin));
        chosen
    }

    /// Chooses whom the next question for proof goes to.
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

    /// Sorts the others that live by distance.
    fn peers_by_distance(&self, now_ms: u64) -> PeersByDistance {
        PeersByDistance::of(&self.members, &self.topology, now_ms)
    }

    /// Notes that there are news to be told, and where they came from: the gates of the
    /// domains that hear of them from nobody else get the next rounds, too.
    pub fn note_news(&mut self, now_ms: u64, origin: Origin) {
        let widest = self.news.filter(|(_, until_ms)| now_ms < *until_ms);
        let widest = widest.map_or(origin, |(before, _)| before.max(origin));
        self.news = Some((widest, now_ms + UPDATE_RELAY_FOR_MS));
    }

    /// Returns the peer of the own failure domain, or else `teller`, to fetch a version
    /// of the configuration from.
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

    /// Whether this instance comes first in its failure domain in the order for a
    /// purpose: it fetches from elsewhere what the others then have from it.
    pub fn is_first_in_domain(&self, now_ms: u64, purpose: &str) -> bool {
        self.rank_in_domain(now_ms, purpose) == 0
    }

    /// Counts the instances of this one's failure domain that come before it in the
    /// order for a purpose.
    fn rank_in_domain(&self, now_ms: u64, purpose: &str) -> u64 {
        let own_domain = DomainTag::from_key(self.own_domain);
        let purpose = worker_key(purpose);
        self.members.rank_in(now_ms, purpose, own_domain)
    }

    /// Chooses whom the next digest goes to.
    ///
    /// `holds` names the services whose lease this instance holds: the candidates
    /// for them hear of it in each round.
    pub fn recipients(&mut self, now_ms: u64, is_slow_round: bool, holds: &[u64]) -> Vec<Ipv4Addr> {
        self.forget(now_ms);
        let by_distance = self.peers_by_distance(now_ms);
        let mut chosen = by_distance.sample_own_domain(OWN_DOMAIN_FAN_OUT_COUNT);
        // Where the own domain has few, others make up for them.
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
