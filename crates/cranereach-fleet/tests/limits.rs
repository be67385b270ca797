//! Limits over simulated fleets: what may be used beyond them, and that what lies
//! within isn't refused, while owners die, are cut off and come back.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::accounts::Limit;
use cranereach_fleet::limits::Decision;
use cranereach_fleet::limits::Grant;
use cranereach_fleet::limits::OwnedLimits;
use cranereach_fleet::limits::PartKey;
use cranereach_fleet::limits::Tolerance;
use cranereach_fleet::limits::Uses;
use cranereach_fleet::limits::Wanted;
use cranereach_fleet::membership::Membership;

const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    excess_share: 0.1,
    allowance: 17_000.0,
};

/// Account that all use.
const ACCOUNT: u64 = 77;

/// Time between two rounds of signs of life, in milliseconds.
const ROUND_MS: u64 = 250;

/// Rounds that a sign of life takes at most to reach another instance.
const SIGN_ROUNDS: u64 = 5;

fn limit(rate_per_s: f64) -> Limit {
    Limit {
        rate_per_s,
        burst: rate_per_s,
        smallest_cost: 200.0,
    }
}

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

/// One instance.
struct Instance {
    members: Membership,
    uses: Uses,
    owned: OwnedLimits,
    down_until_ms: u64,
    started_ms: u64,
}

/// What came of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    run: u64,
    refused: u64,
    unknown: u64,
    asked: u64,
}

/// A fleet whose callers use one account.
struct Fleet {
    instances: Vec<Instance>,
    number_of: HashMap<Ipv4Addr, usize>,
    limit: Limit,
    now_ms: u64,
    /// When how much was run.
    run: VecDeque<(u64, f64)>,
    run_sum: f64,
    /// The most that was run within one window.
    most: f64,
    counts: Counts,
    rng: StdRng,
}

impl Fleet {
    fn start(count: usize, limit: Limit, seed: u64) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            number_of: (0..count).map(|number| (address(number), number)).collect(),
            limit,
            now_ms: 100_000,
            run: VecDeque::new(),
            run_sum: 0.0,
            most: 0.0,
            counts: Counts::default(),
            rng: StdRng::seed_from_u64(seed),
        };
        for number in 0..count {
            let instance = fleet.fresh(number);
            fleet.instances.push(instance);
        }
        fleet
    }

    fn fresh(&self, number: usize) -> Instance {
        let seeds = [address(0), address(1), address(2)];
        Instance {
            members: Membership::new(address(number), &seeds),
            uses: Uses::default(),
            owned: OwnedLimits::default(),
            down_until_ms: 0,
            started_ms: self.now_ms,
        }
    }

    fn is_up(&self, number: usize) -> bool {
        self.now_ms >= self.instances[number].down_until_ms
    }

    /// Ends some instances at once; they start again a while later.
    fn kill(&mut self, share: f64, for_ms: u64) {
        for number in 0..self.instances.len() {
            if self.rng.random_bool(share) {
                self.instances[number] = self.fresh(number);
                self.instances[number].down_until_ms = self.now_ms + for_ms;
                self.instances[number].started_ms = self.now_ms + for_ms;
            }
        }
    }

    /// Spreads signs of life: each instance knows some of each other from a few rounds
    /// ago, as long as that one was up then.
    fn round(&mut self) {
        for number in 0..self.instances.len() {
            if !self.is_up(number) {
                continue;
            }
            for other in 0..self.instances.len() {
                let age_ms = ROUND_MS * self.rng.random_range(0..SIGN_ROUNDS);
                let sign_ms = self.now_ms - age_ms;
                let was_up = sign_ms >= self.instances[other].started_ms;
                if other != number && was_up && self.is_up(other) {
                    let members = &mut self.instances[number].members;
                    members.saw(sign_ms, address(other), false);
                }
            }
            self.instances[number].members.look(self.now_ms);
        }
    }

    /// Lets callers ask for so many units a second for a while.
    fn demand(&mut self, units_per_s: f64, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let mut owed = 0.0;
        while self.now_ms < until_ms {
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(ROUND_MS) {
                self.round();
            }
            owed += units_per_s / 100.0;
            while owed > 0.0 {
                let cost = f64::from(self.rng.random_range(200..5_000_u32));
                owed -= cost;
                self.request(cost);
            }
        }
    }

    /// One request at some instance that is up.
    fn request(&mut self, cost: f64) {
        let number = self.rng.random_range(0..self.instances.len());
        if !self.is_up(number) {
            return;
        }
        let now_ms = self.now_ms;
        let decision = self.instances[number]
            .uses
            .decide(now_ms, ACCOUNT, self.limit, &TOLERANCE, cost);
        let (wanted, held) = match decision {
            Decision::Paid => return self.ran(cost),
            Decision::Beyond(_) => {
                self.counts.refused += 1;
                return;
            }
            Decision::Ask { wanted, held } => (wanted, held),
        };
        let grant = self.ask(number, wanted);
        let uses = &mut self.instances[number].uses;
        match grant {
            Some(Grant::Units(units)) => {
                uses.granted(now_ms, ACCOUNT, held + units, cost);
                self.ran(cost);
            }
            Some(Grant::After(wait_ms)) => {
                uses.give_back(ACCOUNT, held);
                uses.refused(now_ms, ACCOUNT, wait_ms);
                self.counts.refused += 1;
            }
            None => {
                uses.give_back(ACCOUNT, held);
                if uses.may_run_alone(now_ms, ACCOUNT, cost) {
                    self.ran(cost);
                } else {
                    self.counts.unknown += 1;
                }
            }
        }
    }

    /// Asks owners as the gateway does.
    fn ask(&mut self, number: usize, wanted: Wanted) -> Option<Grant> {
        let part_count = TOLERANCE.part_count(self.limit);
        let first: u32 = self.rng.random();
        let mut refusal = None;
        for try_number in 0..3 {
            let part = first.wrapping_add(try_number) % part_count;
            let key = PartKey {
                account: ACCOUNT,
                part,
            };
            let of = &self.instances[number];
            let is_settling = self.now_ms < of.started_ms + 1_500;
            let seed = is_settling.then(|| of.members.seed_owner(self.now_ms, key.owner_key()));
            let owner = seed
                .flatten()
                .unwrap_or_else(|| of.members.owner(self.now_ms, key.owner_key()));
            let owner_number = self.number_of[&owner];
            self.counts.asked += 1;
            if !self.is_up(owner_number) {
                self.instances[number].members.missed(self.now_ms, owner);
                continue;
            }
            self.instances[number].members.answered(owner);
            let asked = &mut self.instances[owner_number];
            let same_for_ms = asked.members.same_for_ms(self.now_ms);
            let up_for_ms = self.now_ms - asked.started_ms;
            let is_settled = same_for_ms.min(up_for_ms) >= 8_000;
            let grant =
                asked
                    .owned
                    .take(self.now_ms, key, self.limit, &TOLERANCE, wanted, is_settled);
            match grant {
                Grant::Units(units) => return Some(Grant::Units(units)),
                refused @ Grant::After(_) => refusal = Some(refused),
            }
            if part_count == 1 {
                break;
            }
        }
        refusal
    }

    fn ran(&mut self, cost: f64) {
        self.counts.run += 1;
        self.run.push_back((self.now_ms, cost));
        self.run_sum += cost;
        while let Some((at_ms, units)) = self.run.front().copied() {
            if at_ms + 8_000 > self.now_ms {
                break;
            }
            self.run_sum -= units;
            self.run.pop_front();
        }
        self.most = self.most.max(self.run_sum);
    }

    /// Forgets what was counted so far.
    fn count_anew(&mut self) {
        self.counts = Counts::default();
    }

    /// Returns the most that was run within a window, as a share of what is tolerated.
    fn most_share(&self) -> f64 {
        self.most / (TOLERANCE.whole(self.limit) + TOLERANCE.excess(self.limit))
    }
}

#[test]
fn a_greedy_account_gets_its_limit_and_no_more() {
    for (count, rate_per_s) in [
        (3, 4_200.0),
        (90, 35_000.0),
        (90, 311_000.0),
        (300, 311_000.0),
    ] {
        let mut fleet = Fleet::start(count, limit(rate_per_s), 1);
        fleet.demand(0.5 * rate_per_s, 5_000);
        fleet.demand(8.0 * rate_per_s, 20_000);
        let share = fleet.most_share();
        assert!(share <= 1.0, "{count} instances, {rate_per_s}: {share}");
        let of_limit = fleet.most / TOLERANCE.whole(fleet.limit);
        assert!(
            of_limit >= 0.9,
            "{count} instances, {rate_per_s}: {of_limit}"
        );
    }
}

#[test]
fn what_lies_within_the_limit_is_not_refused() {
    for (count, rate_per_s) in [(3, 60_000.0), (90, 60_000.0), (300, 311_000.0)] {
        let mut fleet = Fleet::start(count, limit(rate_per_s), 2);
        fleet.demand(0.3 * rate_per_s, 4_000);
        fleet.count_anew();
        fleet.demand(0.55 * rate_per_s, 30_000);
        let counts = fleet.counts;
        let refused = (counts.refused + counts.unknown) as f64 / counts.run as f64;
        assert!(
            refused < 0.01,
            "{count} instances, {rate_per_s}: {counts:?}"
        );
    }
}

#[test]
fn owners_that_die_and_come_back_add_less_than_what_is_tolerated() {
    for seed in 0..16 {
        for (share, for_ms) in [(0.2, 3_500), (0.6, 2_000), (1.0, 1_000)] {
            let mut fleet = Fleet::start(90, limit(200_000.0), seed);
            fleet.demand(100_000.0, 5_000);
            fleet.demand(800_000.0, 7_000);
            fleet.kill(share, for_ms);
            fleet.demand(800_000.0, 12_000);
            let most = fleet.most_share();
            assert!(most <= 1.0, "seed {seed}, {share} killed: {most}");
        }
    }
}

#[test]
fn accounts_within_their_limit_get_through_the_death_of_owners() {
    for seed in 0..4 {
        let mut fleet = Fleet::start(90, limit(60_000.0), seed);
        fleet.demand(30_000.0, 6_000);
        fleet.count_anew();
        fleet.kill(0.2, 3_500);
        fleet.demand(30_000.0, 8_000);
        let counts = fleet.counts;
        let refused = (counts.refused + counts.unknown) as f64 / counts.run as f64;
        assert!(refused < 0.05, "seed {seed}: {counts:?}");
    }
}

#[test]
fn messages_of_an_account_follow_its_requests_and_not_the_fleet() {
    for count in [90, 300, 1_000] {
        let mut fleet = Fleet::start(count, limit(311_000.0), 3);
        fleet.demand(150_000.0, 5_000);
        fleet.count_anew();
        fleet.demand(150_000.0, 3_000);
        let counts = fleet.counts;
        assert!(
            counts.asked <= counts.run + counts.run / 10,
            "{count}: {counts:?}"
        );
        fleet.count_anew();
        // Far beyond the limit, most requests are refused without a question.
        fleet.demand(2_500_000.0, 6_000);
        let counts = fleet.counts;
        let requests = counts.run + counts.refused;
        let asks_per_s = counts.asked as f64 / count as f64 / 6.0;
        assert!(
            asks_per_s < 60.0 && counts.asked < 3 * requests,
            "{count}: {counts:?}"
        );
    }
    let mut at_rest = Fleet::start(90, limit(311_000.0), 4);
    at_rest.demand(0.0, 2_000);
    assert_eq!(at_rest.counts.asked, 0);
}

#[test]
fn a_changed_limit_binds_at_once_and_what_was_held_is_forgotten() {
    let mut fleet = Fleet::start(30, limit(311_000.0), 5);
    fleet.demand(250_000.0, 5_000);
    fleet.limit = limit(20_000.0);
    fleet.demand(250_000.0, 2_000);
    fleet.run.clear();
    fleet.run_sum = 0.0;
    fleet.most = 0.0;
    fleet.demand(250_000.0, 12_000);
    let share = fleet.most_share();
    assert!((0.5..=1.0).contains(&share), "{share}");
    fleet.limit = limit(500_000.0);
    fleet.demand(250_000.0, 1_000);
    fleet.count_anew();
    fleet.demand(250_000.0, 5_000);
    assert!(
        fleet.counts.refused * 50 < fleet.counts.run,
        "{:?}",
        fleet.counts
    );
}

#[test]
fn a_settled_fleet_serves_an_account_from_its_first_request_on() {
    let mut fleet = Fleet::start(90, limit(60_000.0), 6);
    fleet.demand(0.0, 12_000);
    fleet.demand(33_000.0, 3_000);
    let counts = fleet.counts;
    assert!(counts.refused * 50 <= counts.run, "{counts:?}");
}

#[test]
fn units_that_one_request_set_aside_pay_for_no_other() {
    let limit = limit(100_000.0);
    let mut uses = Uses::default();
    let ask = |decision: Decision| match decision {
        Decision::Ask { wanted, held } => (wanted, held),
        other => panic!("{other:?}"),
    };
    let (first, held) = ask(uses.decide(0, ACCOUNT, limit, &TOLERANCE, 1_000.0));
    assert_eq!((first.least, held), (1_000.0, 0.0));
    uses.granted(0, ACCOUNT, 2_900.0, 1_000.0);
    let (second, held) = ask(uses.decide(1, ACCOUNT, limit, &TOLERANCE, 2_000.0));
    assert_eq!((second.least, held), (100.0, 1_900.0));
    let (third, held) = ask(uses.decide(1, ACCOUNT, limit, &TOLERANCE, 2_000.0));
    assert_eq!((third.least, held), (2_000.0, 0.0));
    uses.give_back(ACCOUNT, 1_900.0);
    assert_eq!(
        uses.decide(2, ACCOUNT, limit, &TOLERANCE, 1_900.0),
        Decision::Paid
    );
}

#[test]
fn a_request_beyond_the_whole_limit_is_hopeless_and_one_beyond_the_burst_is_not() {
    let limit = limit(1_000.0);
    let mut uses = Uses::default();
    let hopeless = uses.decide(0, ACCOUNT, limit, &TOLERANCE, 9_001.0);
    assert!(matches!(hopeless, Decision::Beyond(_)), "{hopeless:?}");
    let mut owned = OwnedLimits::default();
    let key = PartKey {
        account: ACCOUNT,
        part: 0,
    };
    let wanted = Wanted {
        least: 5_000.0,
        most: 5_000.0,
    };
    let take = |owned: &mut OwnedLimits, now_ms: u64| {
        owned.take(now_ms, key, limit, &TOLERANCE, wanted, false)
    };
    let first = take(&mut owned, 0);
    let Grant::After(wait_ms) = first else {
        assert_eq!(first, Grant::Units(5_000.0));
        return;
    };
    assert_eq!(take(&mut owned, wait_ms), Grant::Units(5_000.0));
    assert!(matches!(take(&mut owned, wait_ms), Grant::After(_)));
}
