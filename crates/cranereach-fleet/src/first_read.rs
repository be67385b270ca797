//! Where an instance that has just started gets what all instances know: the list of
//! workers and the configuration.
//!
//! The store holds both, but were each start to read them there, its bytes would grow
//! with instances times workers, and a start of all would be one burst of reads. So the
//! instances that the settings name read in turn, and the others take over what a
//! neighbour has: one of the own failure domain if one has it, else one from elsewhere,
//! which the first of a domain does for all. Nothing is agreed on: whoever hears nobody
//! reads for itself soon, and where nobody who is heard has anything, the others begin
//! to read by and by, in times drawn by chance.

/// Time without a word from any other instance after which one counts as alone, in
/// milliseconds: eight of its own rounds of digests, each answered at once by whoever
/// hears it. Where 1,000 start at one moment, half that time left 88 of them unheard
/// (`tests/first_reads.rs`).
const ALONE_AFTER_MS: u64 = 2_000;

/// Time for which the others leave the first read to those that the settings name, in
/// milliseconds: a list of 10,000 workers takes a small machine some two seconds, and as
/// long again to reach all of 300 instances, where 4 s would make three of them read.
const SEEDS_HEAD_START_MS: u64 = 6_000;

/// Time by which each of them leaves it to those before it, in milliseconds: more than a
/// list of some hundred workers takes to read. Whoever has a list that came from the same
/// reader can be told its changes, however far behind.
const SEED_STAGGER_MS: u64 = 400;

/// Time over which each known instance spreads the reads that follow, in milliseconds:
/// some sixteen begin a second, however many there are.
pub const SPREAD_EACH_MS: u64 = 60;

/// Time for which the first of a failure domain leaves it to those who are told from
/// elsewhere to fetch there, in milliseconds: some know few others yet, and take
/// themselves for the first.
const RELAY_HEAD_START_MS: u64 = 1_000;

/// The same for all others.
const FIRST_IN_DOMAIN_HEAD_START_MS: u64 = 2_500;

/// Time over which each known instance spreads the fetches from elsewhere that follow,
/// in milliseconds.
const FAR_SPREAD_PER_INSTANCE_MS: u64 = 10;

/// The nearest who is known to have what an instance lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Holder {
    /// Nobody.
    #[default]
    Nobody,
    /// Somebody of another failure domain.
    Elsewhere {
        /// Time since it first heard of anybody, in milliseconds.
        known_for_ms: u64,
    },
    /// Somebody of its own failure domain.
    Near,
}

/// What an instance knows that has nothing yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Newcomer {
    /// Time since its start, in milliseconds.
    pub up_for_ms: u64,
    /// How many of those that the settings of all instances name come before it; none if
    /// they name others alone.
    pub seed_rank: Option<u64>,
    /// Whether it has heard any other instance.
    pub has_heard: bool,
    /// Instances that it knows of.
    pub known_count: usize,
    /// Who is known to have what it lacks.
    pub holder: Holder,
    /// Whether somebody elsewhere told it in particular, so that it can tell its own
    /// failure domain.
    pub is_gate: bool,
    /// Instances of its own failure domain that come before it.
    pub rank_in_domain: u64,
    /// A number from zero to one that it drew at its start.
    pub chance: f64,
}

/// Where an instance that has nothing yet looks now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstSource {
    /// At the store.
    Store,
    /// At a peer of its own failure domain.
    Near,
    /// At a peer elsewhere.
    Far,
    /// Nowhere yet.
    Wait,
}

impl Newcomer {
    /// Says where to look now.
    ///
    /// ```
    /// use cranereach_fleet::first_read::FirstSource;
    /// use cranereach_fleet::first_read::Holder;
    /// use cranereach_fleet::first_read::Newcomer;
    ///
    /// let mut newcomer = Newcomer { up_for_ms: 10, ..Newcomer::default() };
    /// assert_eq!(newcomer.source(), FirstSource::Wait);
    /// newcomer.up_for_ms = 2_000;
    /// assert_eq!(newcomer.source(), FirstSource::Store, "it hears nobody");
    /// newcomer.has_heard = true;
    /// newcomer.holder = Holder::Near;
    /// assert_eq!(newcomer.source(), FirstSource::Near);
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

    /// Whether it is its turn to fetch from elsewhere what somebody has there.
    fn may_fetch_far(&self) -> bool {
        let Holder::Elsewhere { known_for_ms } = self.holder else {
            return false;
        };
        let others_ms = FIRST_IN_DOMAIN_HEAD_START_MS + self.jitter_ms(FAR_SPREAD_PER_INSTANCE_MS);
        let is_first = self.rank_in_domain == 0 && known_for_ms >= RELAY_HEAD_START_MS;
        self.is_gate || is_first || known_for_ms >= others_ms
    }

    /// Whether it is its turn to read at the store.
    fn may_read_store(&self) -> bool {
        let due_ms = match self.seed_rank {
            Some(rank) => rank * SEED_STAGGER_MS,
            None if self.has_heard => SEEDS_HEAD_START_MS + self.jitter_ms(SPREAD_EACH_MS),
            None => ALONE_AFTER_MS,
        };
        self.up_for_ms >= due_ms
    }

    /// Returns its own place in a spread over all known instances, in milliseconds.
    fn jitter_ms(&self, per_instance_ms: u64) -> u64 {
        let spread_ms = self.known_count as u64 * per_instance_ms;
        (self.chance * spread_ms as f64) as u64
    }
}
