//! How fast news reach a whole fleet by the choice of whom messages go to: versions of the
//! configuration and the list, holders, members; in one and several regions, with lost
//! datagrams, cuts and instances that die.

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

/// Rounds between two that go to other domains without news, as in `gossip`.
const SLOW_ROUND_EVERY: u64 = 4;

/// Failure domains of each region.
const DOMAIN_COUNT: usize = 5;

/// Share of datagrams that are lost.
const LOST_SHARE: f64 = 0.05;

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

fn number(address: Ipv4Addr) -> usize {
    (u32::from(address) - u32::from(self::address(0))) as usize
}

/// A fleet in which all have heard of all.
struct Fleet {
    peers: Vec<Peers>,
    domains: Vec<u64>,
    /// Instances that no message reaches or leaves, and that nobody knows to be cut off.
    cut: HashSet<usize>,
    round: u64,
    /// Messages that went to another failure domain, and to another region.
    crossed: (usize, usize),
    region_count: usize,
    rng: StdRng,
}

impl Fleet {
    fn start(count: usize, region_count: usize, seed: u64) -> Self {
        let name = |place: usize| format!("z{}", place % (DOMAIN_COUNT * region_count));
        let region = |place: usize| format!("r{}", place % region_count);
        let places = 0..DOMAIN_COUNT * region_count;
        let table: BTreeMap<String, String> =
            places.map(|place| (name(place), region(place))).collect();
        let peers: Vec<Peers> = (0..count)
            .map(|number| {
                let topology = Topology::new(&name(number), &region(number), &table).unwrap();
                Peers::new(address(number), &name(number), &[]).with_topology(&topology)
            })
            .collect();
        let mut fleet = Self {
            domains: peers.iter().map(Peers::own_domain).collect(),
            peers,
            cut: HashSet::new(),
            round: 0,
            crossed: (0, 0),
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

    /// Returns the same fleet, with other chances.
    fn again(&self, seed: u64) -> Self {
        Self {
            peers: self.peers.clone(),
            domains: self.domains.clone(),
            cut: self.cut.clone(),
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

    /// Whether a message gets from one instance to another; counts what crosses.
    fn arrives(&mut self, sender: usize, recipient: usize) -> bool {
        if self.domains[sender] != self.domains[recipient] {
            self.crossed.0 += 1;
        }
        if sender % self.region_count != recipient % self.region_count {
            self.crossed.1 += 1;
        }
        let is_cut = self.cut.contains(&sender) || self.cut.contains(&recipient);
        !self.rng.random_bool(LOST_SHARE) && !is_cut
    }

    /// Returns where news stand that came from one instance to another.
    fn origin(&self, sender: usize, recipient: usize) -> Origin {
        if self.domains[sender] == self.domains[recipient] {
            Origin::OwnDomain
        } else if sender % self.region_count == recipient % self.region_count {
            Origin::OwnRegion
        } else {
            Origin::OtherRegion
        }
    }

    /// Lists whom an instance's digest goes to in this round.
    fn recipients(&mut self, sender: usize) -> Vec<usize> {
        let now_ms = self.now_ms();
        // Instances don't start at one moment.
        let is_slow_round = (self.round + sender as u64).is_multiple_of(SLOW_ROUND_EVERY);
        let recipients = self.peers[sender].recipients(now_ms, is_slow_round, &[]);
        recipients.into_iter().map(number).collect()
    }

    /// Rounds until 99 % of the instances that aren't cut off know what one of them does
    /// that digests carry; `dies` says whether that one falls silent after two rounds.
    fn rounds_to_spread(&mut self, dies: bool) -> u64 {
        let all_count = self.peers.len() - self.cut.len();
        let mut informed = HashSet::from([0]);
        let now_ms = self.now_ms();
        self.peers[0].note_news(now_ms, Origin::Own);
        let begun = self.round;
        for _round in 0..40 {
            if informed.len() * 100 >= all_count * 99 {
                break;
            }
            self.round += 1;
            let now_ms = self.now_ms();
            let mut senders: Vec<usize> = informed.iter().copied().collect();
            senders.sort_unstable();
            for sender in senders {
                if dies && sender == 0 && self.round > begun + 2 {
                    continue;
                }
                for recipient in self.recipients(sender) {
                    if self.arrives(sender, recipient) && informed.insert(recipient) {
                        let origin = self.origin(sender, recipient);
                        self.peers[recipient].note_news(now_ms, origin);
                    }
                }
            }
        }
        self.round - begun
    }

    /// Rounds until all instances that aren't cut off have a change of the list that one
    /// of them has read, which then may die.
    fn rounds_to_list(&mut self, dies: bool) -> u64 {
        let all_count = self.peers.len() - self.cut.len();
        let mut informed = HashSet::from([0]);
        let mut passing = vec![(0, Origin::Own)];
        let begun = self.round;
        for _round in 0..40 {
            // Whoever has news passes them on at once.
            while let Some((sender, origin)) = passing.pop() {
                let now_ms = self.now_ms();
                for recipient in self.peers[sender].list_recipients(now_ms, origin) {
                    let recipient = number(recipient);
                    if self.arrives(sender, recipient) && informed.insert(recipient) {
                        passing.push((recipient, self.origin(sender, recipient)));
                    }
                }
            }
            if informed.len() == all_count {
                break;
            }
            self.round += 1;
            // Digests show who is behind, after a moment.
            for sender in 0..self.peers.len() {
                for recipient in self.recipients(sender) {
                    let is_dead = dies && recipient == 0;
                    let is_behind = !informed.contains(&sender) && informed.contains(&recipient);
                    let is_told = is_behind && !is_dead && self.round > begun + 1;
                    let arrives = self.arrives(sender, recipient);
                    if is_told && arrives && self.arrives(recipient, sender) {
                        informed.insert(sender);
                        passing.push((sender, self.origin(recipient, sender)));
                    }
                }
            }
        }
        self.round - begun
    }

    /// Lets all tell each other who lives.
    fn tell_members(&mut self) {
        self.round += 1;
        let now_ms = self.now_ms();
        for sender in 0..self.peers.len() {
            let digest = Digest {
                members: self.peers[sender].member_updates(now_ms),
                ..self.digest(sender, self.round + 1)
            };
            for recipient in self.recipients(sender) {
                if self.arrives(sender, recipient) {
                    self.peers[recipient].apply_digest(now_ms, address(sender), &digest);
                }
            }
        }
    }

    /// The least share of the others that an instance takes for living.
    fn least_known_share(&self) -> f64 {
        let others = self.peers.len() - self.cut.len() - 1;
        let known = (0..self.peers.len()).filter(|number| !self.cut.contains(number));
        let known = known.map(|number| {
            let alive = self.peers[number].members().alive(self.now_ms());
            alive
                .filter(|address| !self.cut.contains(&self::number(*address)))
                .count()
        });
        known.min().unwrap_or_default() as f64 / others as f64
    }
}

#[test]
fn news_reach_nearly_all_within_a_second_or_two_at_any_size() {
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
        for news in 0..5 {
            let seeded = |is_cut: bool| {
                let mut fleet = fresh.again(news);
                fleet.cut = (1..=count / 5).filter(|_| is_cut).collect();
                fleet
            };
            let rounds = seeded(false).rounds_to_spread(false);
            assert!(
                rounds <= round_max_count,
                "{count}, {region_count}: {rounds}"
            );
            // Whoever began dies after two rounds.
            let rounds = seeded(false).rounds_to_spread(true);
            assert!(
                rounds <= round_max_count + 1,
                "{count}, {region_count}, dies: {rounds}"
            );
            // A fifth that is cut off, and not known to be, costs a round.
            let rounds = seeded(true).rounds_to_spread(false);
            assert!(
                rounds <= round_max_count + 1,
                "{count}, {region_count}, a fifth cut: {rounds}"
            );
        }
    }
}

#[test]
fn a_change_of_the_list_reaches_all_within_a_second_also_from_a_reader_that_dies() {
    for (count, region_count) in [(3, 1), (73, 1), (73, 2), (300, 2), (1_000, 4)] {
        let fresh = Fleet::start(count, region_count, 5);
        for news in 0..6 {
            let mut fleet = fresh.again(news);
            let rounds = fleet.rounds_to_list(news % 2 == 1);
            // A first read is due at 0.4 of the bound, which is 2,000 ms at least.
            assert!(
                rounds * ROUND_MS <= 1_000,
                "{count}, {region_count}: {rounds}"
            );
        }
    }
}

#[test]
fn what_crosses_grows_with_domains_and_not_with_instances() {
    for (count, region_count) in [(73, 2), (300, 2), (600, 2)] {
        let mut fleet = Fleet::start(count, region_count, 7);
        // One change of the list: a gate a domain, and a gate of the other region, with
        // repairs of what got lost.
        fleet.rounds_to_list(false);
        let (_, beyond) = fleet.crossed;
        let rounds = fleet.round as usize + 1;
        assert!(beyond <= 20 + rounds * count / 7, "{count}: {beyond}");
        // At rest: one digest a second to another domain, one in two to another region.
        fleet.crossed = (0, 0);
        for _round in 0..16 {
            fleet.tell_members();
        }
        let (crossed, beyond) = fleet.crossed;
        assert!(crossed <= 4 * count * 3 / 2, "{count}: {crossed}");
        assert!(beyond <= 4 * count / 2 + count, "{count}: {beyond}");
    }
}

#[test]
fn all_know_all_members_though_few_digests_cross_and_again_after_a_cut_of_regions() {
    for (count, region_count) in [(73, 1), (73, 2), (300, 4)] {
        let mut fleet = Fleet::start(count, region_count, 11);
        for _round in 0..60 {
            fleet.tell_members();
        }
        let share = fleet.least_known_share();
        assert!(share >= 0.95, "{count}, {region_count}: {share}");
        // One region loses the others for a while, and comes back.
        let cut = (0..count).filter(|number| number % region_count == 0);
        fleet.cut = if region_count > 1 {
            cut.collect()
        } else {
            HashSet::new()
        };
        for _round in 0..40 {
            fleet.tell_members();
        }
        let share = fleet.least_known_share();
        assert!(share >= 0.95, "{count}, {region_count}, cut: {share}");
        fleet.cut.clear();
        for _round in 0..60 {
            fleet.tell_members();
        }
        let share = fleet.least_known_share();
        assert!(share >= 0.95, "{count}, {region_count}, again: {share}");
    }
}

#[test]
fn proofs_are_asked_for_in_all_regions() {
    let fleet = Fleet::start(60, 2, 13);
    let mut counts = [0; 3];
    for _round in 0..400 {
        for recipient in fleet.peers[0].proof_recipients(0) {
            counts[fleet.origin(0, number(recipient)) as usize] += 1;
        }
    }
    // One near in each round; of the others a quarter beyond.
    assert_eq!(counts.iter().sum::<i32>(), 800);
    assert_eq!(counts[0], 400);
    assert!((50..150).contains(&counts[2]), "{counts:?}");
}
