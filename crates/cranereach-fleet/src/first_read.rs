//! Where an instance that has just started gets what all instances share: the list of workers and
//! the configuration.
//!
//! The store holds both. If each instance read them there at its start, the bytes read would grow
//! with instances times workers, and a start of all of them would be one burst of reads. So the
//! seed instances that the settings name read one after another, and the others fetch from a peer:
//! one of their own failure domain if any has it, else one from elsewhere, to which the first
//! instance of a domain goes on behalf of the rest. This needs no agreement: an instance that hears
//! from nobody soon reads for itself, and if no peer that it hears has anything, the instances
//! begin to read one by one, at random times.

/// Time without a message from any other instance after which an instance counts as alone, in
/// milliseconds: eight of its own rounds of gossip digests, each answered at once by any peer that
/// receives it. With 1,000 instances started at the same moment, half that time left 88 of them
/// without any message (`tests/first_reads.rs` of cranereach-gateway).
const ALONE_AFTER_MS: u64 = 2_000;

/// Time for which the other instances leave the first read to the seeds, in milliseconds. A small
/// machine reads a list of 10,000 workers in about two seconds, and as long again passes until all
/// of 300 instances have it; with 4 s, three of them would read too.
const SEEDS_HEAD_START_MS: u64 = 6_000;

/// Time for which each seed waits for each one before it, in milliseconds: longer than it takes to
/// read a list of some hundred workers. Instances whose lists came from the same reader can be sent
/// just the changes, however far behind they are.
const SEED_STAGGER_MS: u64 = 400;

/// Time per known instance over which the reads after that are spread, in milliseconds: about
/// sixteen start in a second, however many instances there are.
pub const SPREAD_PER_INSTANCE_MS: u64 = 60;

/// Time for which the first instance of a failure domain lets the relays go first, in milliseconds:
/// the instances to which a peer elsewhere has advertised its list directly. Some instances still
/// know few others, and wrongly take themselves for the first of their domain.
const RELAY_HEAD_START_MS: u64 = 1_000;

/// The same for all other instances of the domain.
const FIRST_IN_DOMAIN_HEAD_START_MS: u64 = 2_500;

/// Time per known instance over which the fetches from elsewhere after that are spread, in
/// milliseconds.
const FAR_SPREAD_PER_INSTANCE_MS: u64 = 10;

/// Nearest peer known to have what an instance lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Holder {
    /// No peer.
    #[default]
    Nobody,
    /// A peer in another failure domain.
    Elsewhere {
        /// Time since any peer was first known to have it, in milliseconds.
        known_for_ms: u64,
    },
    /// A peer in its own failure domain.
    Near,
}

/// What an instance that still lacks the list or the configuration knows of its surroundings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JoiningInstance {
    /// Time since its start, in milliseconds.
    pub up_for_ms: u64,
    /// Seeds that come before it; none if it isn't a seed itself.
    pub seed_rank: Option<u64>,
    /// Whether it has heard from any other instance.
    pub has_heard: bool,
    /// Instances that it knows of.
    pub known_count: usize,
    /// Nearest peer known to have what it lacks.
    pub holder: Holder,
    /// Whether a peer elsewhere has advertised its list to it directly, so that it is to relay the
    /// list to its own failure domain.
    pub is_domain_relay: bool,
    /// Instances of its own failure domain that come before it.
    pub rank_in_domain: u64,
    /// Random number from zero to one, drawn at its start.
    pub chance: f64,
}

/// Where an instance looks now for what it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstSource {
    /// At the store.
    Store,
    /// At a peer in its own failure domain.
    Near,
    /// At a peer elsewhere.
    Far,
    /// Nowhere yet.
    Wait,
}

impl JoiningInstance {
    /// Returns where to look now.
    ///
    /// ```
    /// use cranereach_fleet::first_read::FirstSource;
    /// use cranereach_fleet::first_read::Holder;
    /// use cranereach_fleet::first_read::JoiningInstance;
    ///
    /// let mut joining_instance = JoiningInstance { up_for_ms: 10, ..JoiningInstance::default() };
    /// assert_eq!(joining_instance.source(), FirstSource::Wait);
    /// joining_instance.up_for_ms = 2_000;
    /// assert_eq!(joining_instance.source(), FirstSource::Store, "it hears nobody");
    /// joining_instance.has_heard = true;
    /// joining_instance.holder = Holder::Near;
    /// assert_eq!(joining_instance.source(), FirstSource::Near);
    /// ```
    pub fn source(&self) -> FirstSource {
        if self.holder == Holder::Near {
            return FirstSource::Near;
        }
        if self.may_fetch_far() {
            return FirstSource::Far;
        }
        if self.may_read_store() {
            return FirstSource::Store;
        }
        FirstSource::Wait
    }

    /// Whether it is this instance's turn to fetch from a peer elsewhere.
    fn may_fetch_far(&self) -> bool {
        let Holder::Elsewhere { known_for_ms } = self.holder else {
            return false;
        };
        let others_ms = FIRST_IN_DOMAIN_HEAD_START_MS + self.jitter_ms(FAR_SPREAD_PER_INSTANCE_MS);
        let is_first = self.rank_in_domain == 0 && known_for_ms >= RELAY_HEAD_START_MS;
        self.is_domain_relay || is_first || known_for_ms >= others_ms
    }

    /// Whether it is this instance's turn to read from the store.
    fn may_read_store(&self) -> bool {
        let due_ms = match self.seed_rank {
            Some(rank) => rank * SEED_STAGGER_MS,
            None if self.has_heard => SEEDS_HEAD_START_MS + self.jitter_ms(SPREAD_PER_INSTANCE_MS),
            None => ALONE_AFTER_MS,
        };
        self.up_for_ms >= due_ms
    }

    /// Returns this instance's own delay within a spread over all known instances, in milliseconds.
    fn jitter_ms(&self, per_instance_ms: u64) -> u64 {
        let spread_ms = self.known_count as u64 * per_instance_ms;
        (self.chance * spread_ms as f64) as u64
    }
}
