//! Gossip about instances in a simulated network with loss, delay, disconnections and restarts.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use cranereach_fleet::membership::GOSSIPED_MAX_COUNT;
use cranereach_fleet::membership::MEMBER_MAX_COUNT;
use cranereach_fleet::membership::MemberUpdate;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::topology::DomainTag;
use cranereach_fleet::topology::Topology;

/// Time between two rounds, in milliseconds, as in the default settings.
const ROUND_MS: u64 = 250;

/// Live peers that an instance gossips to in one round.
const FAN_OUT_COUNT: usize = 6;

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

/// Failure domains of the fleet, and the region of each.
const DOMAINS: [(&str, &str); 4] = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")];

/// Returns the failure domain of an instance.
fn domain(number: usize) -> DomainTag {
    DomainTag::of(DOMAINS[number % DOMAINS.len()].0)
}

/// Simulated instances that gossip about each other.
struct Fleet {
    members: Vec<Membership>,
    is_up: Vec<bool>,
    /// Instances that no message reaches or leaves.
    cut: HashSet<usize>,
    now_ms: u64,
    loss_rate: f64,
    rng: StdRng,
}

impl Fleet {
    fn start(count: usize, loss_rate: f64, seed: u64) -> Self {
        let seeds = [address(0), address(1), address(2)];
        Self {
            members: (0..count)
                .map(|number| Membership::new(address(number), domain(number), &seeds))
                .collect(),
            is_up: vec![true; count],
            cut: HashSet::new(),
            now_ms: 0,
            loss_rate,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Lets each instance gossip to some others.
    fn round(&mut self) {
        self.now_ms += ROUND_MS;
        for sender in 0..self.members.len() {
            if !self.is_up[sender] || self.cut.contains(&sender) {
                continue;
            }
            let instance = &self.members[sender];
            let mut recipients: Vec<Ipv4Addr> = instance
                .alive(self.now_ms)
                .sample(&mut self.rng, FAN_OUT_COUNT);
            recipients.extend(instance.silent(self.now_ms).sample(&mut self.rng, 1));
            let news = instance.sample(self.now_ms, &mut self.rng);
            for recipient in recipients {
                self.send_gossip(sender, recipient, &news);
            }
        }
        for member in &mut self.members {
            member.forget(self.now_ms);
        }
    }

    fn send_gossip(&mut self, sender: usize, recipient: Ipv4Addr, news: &[MemberUpdate]) {
        let recipient = (u32::from(recipient) - u32::from(address(0))) as usize;
        let is_lost = self.rng.random_bool(self.loss_rate);
        if is_lost || !self.is_up[recipient] || self.cut.contains(&recipient) {
            return;
        }
        let delay_ms = self.rng.random_range(0..50);
        let instance = &mut self.members[recipient];
        instance.heard_from(self.now_ms, address(sender), domain(sender), false);
        instance.merge(self.now_ms + delay_ms, news);
    }

    /// Returns the number of rounds until 99 % of the other live instances agree on whether a
    /// member is alive.
    fn rounds_until(&mut self, number: usize, is_alive: bool, round_max_count: usize) -> usize {
        for round in 0..round_max_count {
            let observers = (0..self.members.len())
                .filter(|observer| *observer != number && self.is_up[*observer])
                .filter(|observer| !self.cut.contains(observer));
            let agreements: Vec<bool> = observers
                .map(|observer| {
                    let mut alive = self.members[observer].alive(self.now_ms);
                    alive.any(|known| known == address(number)) == is_alive
                })
                .collect();
            let agreeing_count = agreements.iter().filter(|agrees| **agrees).count();
            if agreeing_count as f64 >= 0.99 * agreements.len() as f64 {
                return round;
            }
            self.round();
        }
        round_max_count
    }
}

#[test]
fn three_hundred_instances_discover_each_other_and_detect_failures() {
    let mut fleet = Fleet::start(300, 0.05, 1);
    for _round in 0..40 {
        fleet.round();
    }
    let known = fleet
        .members
        .iter()
        .map(|instance| instance.alive(fleet.now_ms).count());
    let least = known.min().unwrap_or_default();
    assert!(least >= 296, "{least} of 299 known");
    // One instance dies: the others detect it within the liveness time-out.
    fleet.is_up[77] = false;
    let within_ms = fleet.members[0].liveness_timeout_ms();
    let round_count = fleet.rounds_until(77, false, 80);
    assert!(
        round_count as u64 * ROUND_MS <= within_ms + 2_000,
        "{round_count}"
    );
    // It restarts and knows only its seeds.
    fleet.is_up[77] = true;
    fleet.members[77] = Membership::new(address(77), domain(77), &[address(0), address(1)]);
    let round_count = fleet.rounds_until(77, true, 40);
    assert!(round_count <= 20, "{round_count} rounds");
    // A tenth of the fleet is cut off for some seconds and rejoins.
    fleet.cut = (100..130).collect();
    for _round in 0..60 {
        fleet.round();
    }
    fleet.cut.clear();
    let round_count = fleet.rounds_until(115, true, 100);
    assert!(round_count <= 60, "{round_count} rounds");
}

#[test]
fn instances_agree_on_owners_and_keys_are_spread() {
    let mut fleet = Fleet::start(60, 0.05, 2);
    for _round in 0..40 {
        fleet.round();
    }
    let mut key_counts = vec![0; 60];
    for key in 0..240_u64 {
        let owner = fleet.members[0].owner(fleet.now_ms, key);
        let agree = fleet.members.iter();
        let agree = agree.filter(|instance| instance.owner(fleet.now_ms, key) == owner);
        assert!(agree.count() >= 58, "{key}");
        key_counts[(u32::from(owner) - u32::from(address(0))) as usize] += 1;
    }
    assert!(key_counts.iter().max() <= Some(&14), "{key_counts:?}");
    let ranks: HashSet<u64> = fleet
        .members
        .iter()
        .map(|instance| instance.rank(fleet.now_ms, 5))
        .collect();
    assert!(ranks.len() >= 58, "{}", ranks.len());
}

/// Returns the topology of the fleet as seen from the first domain.
fn topology() -> Topology {
    let listed = DOMAINS.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    Topology::new(DOMAINS[0].0, DOMAINS[0].1, &BTreeMap::from(listed)).unwrap()
}

#[test]
fn owners_are_in_the_domain_of_their_workers_or_else_in_its_region() {
    let mut fleet = Fleet::start(60, 0.05, 4);
    for _round in 0..40 {
        fleet.round();
    }
    let topology = topology();
    let number_of = |address: Ipv4Addr| (u32::from(address) - u32::from(self::address(0))) as usize;
    for (place, (name, _)) in DOMAINS.iter().enumerate() {
        let proximity = topology.proximity_of(name);
        let mut key_counts = [0; 60];
        for key in 0..120_u64 {
            let owner = fleet.members[0].owner_near(fleet.now_ms, key, &proximity);
            assert_eq!(number_of(owner) % DOMAINS.len(), place, "{key}");
            key_counts[number_of(owner)] += 1;
            let agree = fleet.members.iter();
            let agree = agree
                .filter(|instance| instance.owner_near(fleet.now_ms, key, &proximity) == owner);
            assert!(agree.count() >= 56, "{key}");
        }
        assert!(key_counts.iter().max() <= Some(&24), "{key_counts:?}");
    }
    // A whole domain dies: the other domain of its region owns its workers.
    for number in (0..60).filter(|number| number % DOMAINS.len() == 2) {
        fleet.is_up[number] = false;
    }
    let within_ms = fleet.members[0].liveness_timeout_ms() + 2_000;
    for _round in 0..within_ms / ROUND_MS {
        fleet.round();
    }
    for key in 0..120 {
        let owner = fleet.members[0].owner_near(fleet.now_ms, key, &topology.proximity_of("c"));
        assert_eq!(number_of(owner) % DOMAINS.len(), 3, "{key}");
    }
    // Then the other domain dies too: any live instance may own the workers.
    for number in (0..60).filter(|number| number % DOMAINS.len() == 3) {
        fleet.is_up[number] = false;
    }
    for _round in 0..within_ms / ROUND_MS {
        fleet.round();
    }
    for proximity in [topology.proximity_of("c"), topology.proximity_of("nowhere")] {
        let owners: HashSet<Ipv4Addr> = (0..120)
            .map(|key| fleet.members[0].owner_near(fleet.now_ms, key, &proximity))
            .collect();
        assert!(owners.len() > 15, "{}", owners.len());
    }
}

#[test]
fn the_newest_heartbeat_determines_the_domain_of_a_member() {
    let mut members = Membership::new(address(0), domain(0), &[address(1)]);
    assert_eq!(members.domain_of(address(1)), None, "not heard yet");
    let news = |domain: DomainTag, age_ms: u32| MemberUpdate {
        address: address(1),
        domain,
        age_ms,
        is_leaving: false,
    };
    members.merge(10_000, &[news(domain(1), 500)]);
    assert_eq!(members.domain_of(address(1)), Some(domain(1)));
    // Its address has been taken over by an instance in another domain.
    members.heard_from(11_000, address(1), domain(2), false);
    members.merge(11_100, &[news(domain(1), 1_600)]);
    assert_eq!(members.domain_of(address(1)), Some(domain(2)));
    let sampled = members.sample(11_200, &mut rand::rng());
    assert_eq!(sampled[0].domain, domain(2));
}

/// Guards against an instance that has just started counting as settled, and granting whole limits, or
/// as stalled, because its clock doesn't start at zero.
#[test]
fn an_instance_that_has_just_started_has_neither_settled_nor_stalled() {
    let started_at_ms = 3_600_000;
    let mut members = Membership::new(address(0), domain(0), &[]);
    assert_eq!(members.unchanged_for_ms(started_at_ms), 0);
    members.refresh(started_at_ms);
    assert_eq!(members.unchanged_for_ms(started_at_ms + 200), 200);
    assert!(members.first_since_ms(started_at_ms + 200, 1) < started_at_ms);
}

#[test]
fn an_owner_that_does_not_answer_is_skipped_for_a_while() {
    let mut members = Membership::new(address(0), domain(0), &[]);
    for number in 1..10 {
        members.heard_from(1_000, address(number), domain(number), false);
    }
    let key = (0..1_000).find(|key| members.owner(1_000, *key) != address(0));
    let key = key.unwrap();
    let first = members.owner(1_000, key);
    members.reply_missed(1_000, first);
    assert_eq!(members.owner(1_000, key), first, "one answer may get lost");
    members.reply_received(first);
    members.reply_missed(1_000, first);
    assert_eq!(members.owner(1_000, key), first);
    members.reply_missed(1_000, first);
    assert_ne!(members.owner(1_000, key), first);
    assert_eq!(members.owner(3_100, key), first);
    members.heard_from(1_200, first, domain(0), true);
    assert_ne!(members.owner(1_200, key), first, "it is stopping");
}

proptest! {
    #[test]
    fn gossip_never_makes_a_heartbeat_look_more_recent(
        updates in prop::collection::vec((1_usize..20, 0_u32..20_000), 1..200)
    ) {
        let mut members = Membership::new(address(0), domain(0), &[]);
        let now_ms = 100_000;
        let mut youngest = [u64::MAX; 20];
        for (number, age_ms) in updates {
            youngest[number] = youngest[number].min(u64::from(age_ms));
            let news = MemberUpdate {
                address: address(number),
                domain: domain(number),
                age_ms,
                is_leaving: false,
            };
            prop_assert_eq!(members.merge(now_ms, &[news]), 0);
        }
        let later_ms = now_ms + 1_000;
        let within_ms = members.liveness_timeout_ms();
        for alive in members.alive(later_ms) {
            let number = (u32::from(alive) - u32::from(address(0))) as usize;
            prop_assert!(youngest[number] + 1_000 < within_ms);
        }
        for news in members.sample(later_ms, &mut rand::rng()) {
            let number = (u32::from(news.address) - u32::from(address(0))) as usize;
            prop_assert!(u64::from(news.age_ms) >= youngest[number] + 1_000);
        }
    }
}

#[test]
fn members_beyond_the_message_limit_are_dropped() {
    let mut members = Membership::new(address(0), domain(0), &[]);
    let news = |count: usize| -> Vec<MemberUpdate> {
        (1..=count)
            .map(|number| MemberUpdate {
                address: address(number),
                domain: domain(number),
                age_ms: 0,
                is_leaving: false,
            })
            .collect()
    };
    assert_eq!(members.merge(0, &news(10_000)), 10_000 - GOSSIPED_MAX_COUNT);
    assert_eq!(members.known_count(), GOSSIPED_MAX_COUNT + 1);
    for number in 0..2 * MEMBER_MAX_COUNT {
        members.heard_from(0, address(number), domain(number), false);
    }
    assert!(members.known_count() <= MEMBER_MAX_COUNT + 1);
}
