//! Simulates the start of all instances at once, of some next to running ones, and of a single
//! one. Bounds how often the worker list is read from the store, how often it is fetched from
//! another failure domain, and how long it takes until all instances have it.

mod starts;

use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use cranereach_fleet::first_read::FirstSource;
use cranereach_fleet::first_read::Holder;
use cranereach_fleet::first_read::JoiningInstance;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::topology::DomainTag;
use cranereach_gateway::messages::Digest;
use cranereach_gateway::peers::Peers;
use cranereach_gateway::recipients::Origin;

/// Number of failure domains.
const DOMAIN_COUNT: usize = 5;

/// Number of instances that the settings of all instances name as seeds.
const SEED_COUNT: usize = 3;

/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 50;

/// Time between two rounds of digests, in milliseconds, as in the default settings.
const ROUND_MS: u64 = 250;

/// Interval, in rounds, of the digests that also go to other failure domains, as in the gateway.
const SLOW_ROUND_EVERY: u64 = 4;

/// Share of datagrams that are lost.
const LOSS_RATE: f64 = 0.02;

/// Time that a small machine takes to read the list from the store, in milliseconds.
const STORE_READ_MS: u64 = 2_000;

/// Time that a small machine takes to fetch the list from a peer, in milliseconds.
const FETCH_MS: u64 = 800;

/// Maximum number of whole lists that one instance sends at the same time, as in the gateway.
const CONCURRENT_WHOLE_LISTS_MAX_COUNT: usize = 3;

/// Time for which a peer that is busy or down is not asked again, in milliseconds, as in the
/// gateway.
const SKIP_PEER_FOR_MS: u64 = 400;

/// Maximum number of store reads, and of lists fetched from another failure domain, when all
/// instances of a fleet of any size start. Fleets of 1,000 instances needed 3 to 8 reads and 21 to
/// 40 such fetches.
const STORE_READ_MAX_COUNT: usize = 20;
const CROSS_DOMAIN_MAX_COUNT: usize = 80;

/// Purpose by which instances are ranked, as in the gateway.
const PURPOSE: &str = "list of workers";

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + number as u32)
}

fn number(address: Ipv4Addr) -> usize {
    (u32::from(address) - u32::from(self::address(0))) as usize
}

fn domain(number: usize) -> String {
    format!("z{}", number % DOMAIN_COUNT)
}

/// Progress of an instance in getting the list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Searching,
    ReadingStore { until_ms: u64 },
    Fetching { until_ms: u64, from: usize },
    HasList,
}

/// A simulated instance.
struct Instance {
    peers: Peers,
    started_at_ms: u64,
    boot: u64,
    digest_count: u64,
    state: State,
    holder_known_at_ms: Option<u64>,
    skipped_peers: Vec<(Ipv4Addr, u64)>,
}

/// A simulated fleet in which datagrams get lost.
struct Fleet {
    now_ms: u64,
    instances: Vec<Instance>,
    is_store_down: bool,
    are_seeds_down: bool,
    store_read_count: usize,
    cross_domain_count: usize,
    rng: StdRng,
}

fn start(number: usize, count: usize, now_ms: u64, boot: u64) -> Instance {
    let seeds: Vec<Ipv4Addr> = (0..SEED_COUNT.min(count)).map(address).collect();
    Instance {
        peers: Peers::new(address(number), &domain(number), &seeds),
        started_at_ms: now_ms,
        boot,
        digest_count: 0,
        state: State::Searching,
        holder_known_at_ms: None,
        skipped_peers: Vec::new(),
    }
}

impl Fleet {
    fn start(count: usize, seed: u64) -> Self {
        Self {
            now_ms: 0,
            instances: (0..count)
                .map(|number| start(number, count, 0, 1))
                .collect(),
            is_store_down: false,
            are_seeds_down: false,
            store_read_count: 0,
            cross_domain_count: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn is_down(&self, number: usize) -> bool {
        self.are_seeds_down && number < SEED_COUNT
    }

    fn digest(&mut self, sender: usize, joining_instance: Option<usize>) -> Digest {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[sender];
        instance.digest_count += 1;
        let members = match joining_instance {
            Some(joining_instance) => {
                let domain = DomainTag::of(&domain(joining_instance));
                instance.peers.member_updates_for(now_ms, domain)
            }
            None => instance.peers.member_updates(now_ms),
        };
        Digest {
            boot: instance.boot,
            count: instance.digest_count,
            domain: instance.peers.own_domain(),
            list_position: StorePosition::new(0, u64::from(instance.state == State::HasList)),
            members,
            ..Digest::default()
        }
    }

    /// Sends a digest, which may get lost. The recipient may answer with a digest of its own if the
    /// sender lacks the list.
    fn send_digest(&mut self, sender: usize, recipient: usize, digest: &Digest) {
        if self.is_down(recipient) || self.rng.random_bool(LOSS_RATE) {
            return;
        }
        let now_ms = self.now_ms;
        let peers = &mut self.instances[recipient].peers;
        let is_new = peers.apply_digest(now_ms, address(sender), digest);
        if is_new
            && digest.list_position.is_none()
            && peers.may_reply_to_joining(now_ms, address(sender))
        {
            let reply = self.digest(recipient, Some(sender));
            if !self.rng.random_bool(LOSS_RATE) {
                let joining_instance = &mut self.instances[sender].peers;
                joining_instance.apply_digest(now_ms, address(recipient), &reply);
            }
        }
    }

    /// Sends the digests of all instances whose round is due; an instance sends its first one when
    /// it starts.
    fn send_digests(&mut self) {
        let steps = ROUND_MS / STEP_MS;
        for sender in 0..self.instances.len() {
            let up_for_ms = self.now_ms - self.instances[sender].started_at_ms;
            let step = up_for_ms / STEP_MS + sender as u64 % steps;
            let is_first = up_for_ms == 0;
            if self.is_down(sender) || !(is_first || step.is_multiple_of(steps)) {
                continue;
            }
            let is_slow_round = (step / steps).is_multiple_of(SLOW_ROUND_EVERY);
            let digest = self.digest(sender, None);
            let now_ms = self.now_ms;
            let peers = &mut self.instances[sender].peers;
            for recipient in peers.recipients(now_ms, is_slow_round, &[]) {
                self.send_digest(sender, number(recipient), &digest);
            }
        }
    }

    fn origin(sender: usize, recipient: usize) -> Origin {
        if domain(sender) == domain(recipient) {
            Origin::OwnDomain
        } else {
            Origin::OwnRegion
        }
    }

    /// Announces that an instance has the list, without rows: those of a large list do not fit.
    fn announce_list(&mut self, sender: usize, origin: Origin) {
        let now_ms = self.now_ms;
        let recipients = self.instances[sender].peers.list_recipients(now_ms, origin);
        for recipient in recipients.into_iter().map(number) {
            if !self.is_down(recipient) && !self.rng.random_bool(LOSS_RATE) {
                let peers = &mut self.instances[recipient].peers;
                peers.note_list_advertised(address(sender), StorePosition::new(0, 1));
            }
        }
    }

    /// Completes a read or fetch of an instance that is due; starts one if it has none.
    fn advance(&mut self, number: usize) {
        match self.instances[number].state {
            State::HasList => return,
            State::ReadingStore { until_ms } | State::Fetching { until_ms, .. } => {
                if self.now_ms >= until_ms {
                    let has_failed = self.is_store_down
                        && matches!(self.instances[number].state, State::ReadingStore { .. });
                    let from = match self.instances[number].state {
                        State::Fetching { from, .. } => Self::origin(from, number),
                        _ => Origin::Own,
                    };
                    let state = if has_failed {
                        State::Searching
                    } else {
                        State::HasList
                    };
                    self.instances[number].state = state;
                    if !has_failed {
                        self.announce_list(number, from);
                    }
                }
                return;
            }
            State::Searching => {}
        }
        let (source, near, far) = self.select_source(number);
        match source {
            FirstSource::Wait => {}
            FirstSource::Store => {
                self.store_read_count += 1;
                let until_ms = self.now_ms + STORE_READ_MS;
                self.instances[number].state = State::ReadingStore { until_ms };
            }
            FirstSource::Near => self.start_fetch(number, near),
            FirstSource::Far => {
                self.start_fetch(number, far);
            }
        }
    }

    /// Selects the source of the list for an instance, as the gateway does.
    fn select_source(
        &mut self,
        number: usize,
    ) -> (FirstSource, Option<Ipv4Addr>, Option<Ipv4Addr>) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        let holders = instance
            .peers
            .list_holders(now_ms, StorePosition::default());
        instance
            .skipped_peers
            .retain(|(_, until_ms)| now_ms < *until_ms);
        let skipped_peers = &instance.skipped_peers;
        let rng = &mut self.rng;
        let mut choose_peer = |peers: &[Ipv4Addr]| {
            let candidates = peers.iter().copied();
            let candidates = candidates.filter(|peer| {
                skipped_peers
                    .iter()
                    .all(|(skipped_peer, _)| skipped_peer != peer)
            });
            candidates.choose(rng)
        };
        let (near, far) = (choose_peer(&holders.near), choose_peer(&holders.far));
        let is_known = !holders.near.is_empty() || !holders.far.is_empty();
        let holder = if near.is_some() {
            Holder::Near
        } else if is_known {
            let since_ms = *instance.holder_known_at_ms.get_or_insert(now_ms);
            Holder::Elsewhere {
                known_for_ms: now_ms - since_ms,
            }
        } else {
            Holder::Nobody
        };
        let joining_instance = JoiningInstance {
            holder,
            ..instance
                .peers
                .joining_instance(now_ms, now_ms - instance.started_at_ms, PURPOSE)
        };
        (joining_instance.source(), near, far)
    }

    /// Starts to fetch the list from a peer, or marks the peer to be skipped if it is down or
    /// already sends the maximum number of lists.
    fn start_fetch(&mut self, number: usize, peer: Option<Ipv4Addr>) {
        let Some(peer) = peer else { return };
        let from = self::number(peer);
        let is_fetching_there = |instance: &Instance| matches!(instance.state, State::Fetching { from: current, .. } if current == from);
        let fetches = self
            .instances
            .iter()
            .filter(|other| is_fetching_there(other));
        let now_ms = self.now_ms;
        if fetches.count() >= CONCURRENT_WHOLE_LISTS_MAX_COUNT || self.is_down(from) {
            let until_ms = now_ms + SKIP_PEER_FOR_MS;
            self.instances[number].skipped_peers.push((peer, until_ms));
            return;
        }
        self.cross_domain_count += usize::from(domain(number) != domain(from));
        let until_ms = now_ms + FETCH_MS;
        self.instances[number].state = State::Fetching { until_ms, from };
    }

    /// Runs until all running instances have the list or `timeout_ms` has passed; returns the time
    /// taken, in milliseconds.
    fn run_until_all_have_list(&mut self, timeout_ms: u64) -> u64 {
        let started_ms = self.now_ms;
        while self.now_ms < started_ms + timeout_ms {
            self.send_digests();
            for number in 0..self.instances.len() {
                if !self.is_down(number) {
                    self.advance(number);
                }
            }
            let mut running = (0..self.instances.len()).filter(|number| !self.is_down(*number));
            if running.all(|number| self.instances[number].state == State::HasList) {
                break;
            }
            self.now_ms += STEP_MS;
        }
        self.now_ms - started_ms
    }

    fn has_list_count(&self) -> usize {
        let holders = self
            .instances
            .iter()
            .filter(|instance| instance.state == State::HasList);
        holders.count()
    }

    /// Restarts some instances and resets the counters.
    fn restart(&mut self, numbers: impl Iterator<Item = usize>) {
        let count = self.instances.len();
        for number in numbers {
            self.instances[number] = start(number, count, self.now_ms, 2);
        }
        (self.store_read_count, self.cross_domain_count) = (0, 0);
    }
}
