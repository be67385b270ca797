//! Simulates gossip to measure how fast the selection of recipients spreads updates over a whole
//! fleet: configuration versions, worker list changes, lease holders and members; in one and in
//! several regions, with lost datagrams, network partitions and instances that crash.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::topology::Topology;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::peers::Peers;
use cranereach_gateway::recipients::Origin;

/// Time between two rounds of digests, in milliseconds, as in the default settings.
const ROUND_MS: u64 = 250;

/// Interval, in rounds, of the digests that go to other failure domains even without updates, as
/// in the gateway.
const SLOW_ROUND_EVERY: u64 = 4;

/// Number of failure domains in each region.
const DOMAIN_COUNT: usize = 5;

/// Share of datagrams that are lost.
const LOSS_RATE: f64 = 0.05;

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

fn number(address: Ipv4Addr) -> usize {
    (u32::from(address) - u32::from(self::address(0))) as usize
}

/// A fleet in which every instance has received a digest from every other one.
struct Fleet {
    peers: Vec<Peers>,
    domains: Vec<u64>,
    /// Instances that can neither send nor receive; the others do not know that.
    isolated: HashSet<usize>,
    round: u64,
    /// Numbers of messages sent to another failure domain, and to another region.
    crossing_counts: (usize, usize),
    region_count: usize,
    rng: StdRng,
}

impl Fleet {
    fn start(count: usize, region_count: usize, seed: u64) -> Self {
        let domain_name = |index: usize| format!("z{}", index % (DOMAIN_COUNT * region_count));
        let region_name = |index: usize| format!("r{}", index % region_count);
        let indexes = 0..DOMAIN_COUNT * region_count;
        let table: BTreeMap<String, String> = indexes
            .map(|index| (domain_name(index), region_name(index)))
            .collect();
        let peers: Vec<Peers> = (0..count)
            .map(|number| {
                let topology =
                    Topology::new(&domain_name(number), &region_name(number), &table).unwrap();
                Peers::new(address(number), &domain_name(number), &[]).with_topology(&topology)
            })
            .collect();
        let mut fleet = Self {
            domains: peers.iter().map(Peers::own_domain).collect(),
            peers,
            isolated: HashSet::new(),
            round: 0,
            crossing_counts: (0, 0),
            region_count,
            rng: StdRng::seed_from_u64(seed),
        };
        for sender in 0..count {
            let digest = fleet.digest(sender, 1);
            for (other, peers) in fleet.peers.iter_mut().enumerate() {
                if other != sender {
                    peers.apply_digest(0, address(sender), &digest);
                }
            }
        }
        fleet
    }

    /// Returns a copy of the fleet with another random seed.
    fn with_seed(&self, seed: u64) -> Self {
        Self {
            peers: self.peers.clone(),
            domains: self.domains.clone(),
            isolated: self.isolated.clone(),
            rng: StdRng::seed_from_u64(seed),
            ..*self
        }
    }

    fn now_ms(&self) -> u64 {
        self.round * ROUND_MS
    }

    fn digest(&self, sender: usize, count: u64) -> Digest {
        Digest {
            boot: 1,
            count,
            domain: self.domains[sender],
            ..Digest::default()
        }
    }

    /// Simulates the delivery of a message and returns whether it arrives. Counts it if it crosses
    /// failure domains or regions.
    fn delivers(&mut self, sender: usize, recipient: usize) -> bool {
        if self.domains[sender] != self.domains[recipient] {
            self.crossing_counts.0 += 1;
        }
        if sender % self.region_count != recipient % self.region_count {
            self.crossing_counts.1 += 1;
        }
        let is_isolated = self.isolated.contains(&sender) || self.isolated.contains(&recipient);
        !self.rng.random_bool(LOSS_RATE) && !is_isolated
    }

    /// Returns the origin of an update as the recipient sees it.
    fn origin(&self, sender: usize, recipient: usize) -> Origin {
        if self.domains[sender] == self.domains[recipient] {
            Origin::OwnDomain
        } else if sender % self.region_count == recipient % self.region_count {
            Origin::OwnRegion
        } else {
            Origin::OtherRegion
        }
    }

    /// Returns the recipients of an instance's digest in this round.
    fn recipients(&mut self, sender: usize) -> Vec<usize> {
        let now_ms = self.now_ms();
        // Instances start at different times, so their slow rounds are staggered.
        let is_slow_round = (self.round + sender as u64).is_multiple_of(SLOW_ROUND_EVERY);
        let recipients = self.peers[sender].recipients(now_ms, is_slow_round, &[]);
        recipients.into_iter().map(number).collect()
    }

    /// Returns the rounds until an update carried by digests has spread from instance 0 to 99 % of
    /// the instances that are not isolated. If `source_crashes`, instance 0 sends nothing after
    /// two rounds.
    fn rounds_until_spread(&mut self, source_crashes: bool) -> u64 {
        let reachable_count = self.peers.len() - self.isolated.len();
        let mut informed = HashSet::from([0]);
        let now_ms = self.now_ms();
        self.peers[0].note_news(now_ms, Origin::Own);
        let start_round = self.round;
        for _round in 0..40 {
            if informed.len() * 100 >= reachable_count * 99 {
                break;
            }
            self.round += 1;
            let now_ms = self.now_ms();
            let mut senders: Vec<usize> = informed.iter().copied().collect();
            senders.sort_unstable();
            for sender in senders {
                if source_crashes && sender == 0 && self.round > start_round + 2 {
                    continue;
                }
                for recipient in self.recipients(sender) {
                    if self.delivers(sender, recipient) && informed.insert(recipient) {
                        let origin = self.origin(sender, recipient);
                        self.peers[recipient].note_news(now_ms, origin);
                    }
                }
            }
        }
        self.round - start_round
    }

    /// Returns the rounds until all instances that are not isolated have a list change that
    /// instance 0 has read. If `source_crashes`, instance 0 announces the change once and then
    /// does not answer instances that lack it.
    fn rounds_until_list_spread(&mut self, source_crashes: bool) -> u64 {
        let reachable_count = self.peers.len() - self.isolated.len();
        let mut informed = HashSet::from([0]);
        let mut relaying = vec![(0, Origin::Own)];
        let start_round = self.round;
        for _round in 0..40 {
            // Each instance relays the change as soon as it receives it.
            while let Some((sender, origin)) = relaying.pop() {
                let now_ms = self.now_ms();
                for recipient in self.peers[sender].list_recipients(now_ms, origin) {
                    let recipient = number(recipient);
                    if self.delivers(sender, recipient) && informed.insert(recipient) {
                        relaying.push((recipient, self.origin(sender, recipient)));
                    }
                }
            }
            if informed.len() == reachable_count {
                break;
            }
            self.round += 1;
            // Digests show which instances lack the change; from the second round on, the
            // recipients of such a digest send it.
            for sender in 0..self.peers.len() {
                for recipient in self.recipients(sender) {
                    let is_crashed = source_crashes && recipient == 0;
                    let is_behind = !informed.contains(&sender) && informed.contains(&recipient);
                    let is_updated = is_behind && !is_crashed && self.round > start_round + 1;
                    let arrives = self.delivers(sender, recipient);
                    if is_updated && arrives && self.delivers(recipient, sender) {
                        informed.insert(sender);
                        relaying.push((sender, self.origin(recipient, sender)));
                    }
                }
            }
        }
        self.round - start_round
    }

    /// Runs one round in which all instances send digests with their member updates.
    fn exchange_members(&mut self) {
        self.round += 1;
        let now_ms = self.now_ms();
        for sender in 0..self.peers.len() {
            let digest = Digest {
                members: self.peers[sender].member_updates(now_ms),
                ..self.digest(sender, self.round + 1)
            };
            for recipient in self.recipients(sender) {
                if self.delivers(sender, recipient) {
                    self.peers[recipient].apply_digest(now_ms, address(sender), &digest);
                }
            }
        }
    }

    /// Returns the minimum, over all instances, of the share of the others that it takes for alive.
    /// Isolated instances do not count.
    fn min_known_share(&self) -> f64 {
        let others = self.peers.len() - self.isolated.len() - 1;
        let known = (0..self.peers.len()).filter(|number| !self.isolated.contains(number));
        let known = known.map(|number| {
            let alive = self.peers[number].members().alive(self.now_ms());
            alive
                .filter(|address| !self.isolated.contains(&self::number(*address)))
                .count()
        });
        known.min().unwrap_or_default() as f64 / others as f64
    }
}

#[test]
fn updates_reach_nearly_all_instances_within_ten_rounds_at_any_fleet_size() {
    for (count, region_count, round_max_count) in [
        (3, 1, 4),
        (60, 1, 8),
        (73, 2, 8),
        (300, 1, 8),
        (300, 4, 8),
        (1_000, 1, 9),
        (1_000, 4, 9),
    ] {
        let fresh = Fleet::start(count, region_count, 3);
        for seed in 0..5 {
            let seeded_fleet = |is_partitioned: bool| {
                let mut fleet = fresh.with_seed(seed);
                fleet.isolated = (1..=count / 5).filter(|_| is_partitioned).collect();
                fleet
            };
            let rounds = seeded_fleet(false).rounds_until_spread(false);
            assert!(
                rounds <= round_max_count,
                "{count}, {region_count}: {rounds}"
            );
            // The source of the update crashes after two rounds.
            let rounds = seeded_fleet(false).rounds_until_spread(true);
            assert!(
                rounds <= round_max_count + 1,
                "{count}, {region_count}, source crashes: {rounds}"
            );
            // An undetected partition of a fifth of the fleet costs one more round.
            let rounds = seeded_fleet(true).rounds_until_spread(false);
            assert!(
                rounds <= round_max_count + 1,
                "{count}, {region_count}, a fifth isolated: {rounds}"
            );
        }
    }
}

#[test]
fn a_list_change_reaches_all_within_a_second_even_if_its_reader_crashes() {
    for (count, region_count) in [(3, 1), (73, 1), (73, 2), (300, 2), (1_000, 4)] {
        let fresh = Fleet::start(count, region_count, 5);
        for seed in 0..6 {
            let mut fleet = fresh.with_seed(seed);
            let rounds = fleet.rounds_until_list_spread(seed % 2 == 1);
            // The first read is due after 0.4 of the bound, which is at least 2,000 ms.
            assert!(
                rounds * ROUND_MS <= 1_000,
                "{count}, {region_count}: {rounds}"
            );
        }
    }
}

#[test]
fn traffic_between_domains_and_regions_is_bounded() {
    for (count, region_count) in [(73, 2), (300, 2), (600, 2)] {
        let mut fleet = Fleet::start(count, region_count, 7);
        // One list change: one relay for each domain, and one for the other region, plus the
        // repair of lost messages.
        fleet.rounds_until_list_spread(false);
        let (_, cross_region) = fleet.crossing_counts;
        let rounds = fleet.round as usize + 1;
        assert!(
            cross_region <= 20 + rounds * count / 7,
            "{count}: {cross_region}"
        );
        // Without updates: one digest a second to another domain, every second one of them to
        // another region.
        fleet.crossing_counts = (0, 0);
        for _round in 0..16 {
            fleet.exchange_members();
        }
        let (cross_domain, cross_region) = fleet.crossing_counts;
        assert!(cross_domain <= 4 * count * 3 / 2, "{count}: {cross_domain}");
        assert!(
            cross_region <= 4 * count / 2 + count,
            "{count}: {cross_region}"
        );
    }
}

#[test]
fn members_are_known_everywhere_also_after_a_region_partition() {
    for (count, region_count) in [(73, 1), (73, 2), (300, 4)] {
        let mut fleet = Fleet::start(count, region_count, 11);
        for _round in 0..60 {
            fleet.exchange_members();
        }
        let share = fleet.min_known_share();
        assert!(share >= 0.95, "{count}, {region_count}: {share}");
        // One region is partitioned from the others for a while, then reconnects.
        let first_region = (0..count).filter(|number| number % region_count == 0);
        fleet.isolated = if region_count > 1 {
            first_region.collect()
        } else {
            HashSet::new()
        };
        for _round in 0..40 {
            fleet.exchange_members();
        }
        let share = fleet.min_known_share();
        assert!(
            share >= 0.95,
            "{count}, {region_count}, partitioned: {share}"
        );
        fleet.isolated.clear();
        for _round in 0..60 {
            fleet.exchange_members();
        }
        let share = fleet.min_known_share();
        assert!(
            share >= 0.95,
            "{count}, {region_count}, reconnected: {share}"
        );
    }
}

#[test]
fn proofs_are_requested_in_all_regions() {
    let fleet = Fleet::start(60, 2, 13);
    let mut counts = [0; 3];
    for _round in 0..400 {
        for recipient in fleet.peers[0].proof_recipients(0) {
            counts[fleet.origin(0, number(recipient)) as usize] += 1;
        }
    }
    // One of the own domain in each round; about a quarter of the others from other regions.
    assert_eq!(counts.iter().sum::<i32>(), 800);
    assert_eq!(counts[0], 400);
    assert!((50..150).contains(&counts[2]), "{counts:?}");
}
