//! Readiness of an instance that turns connections away.
//!
//! The platform asks each second and takes an instance out after two answers that it isn't ready. An
//! instance that turns connections away withdraws for long enough to be taken out, so that callers
//! are sent to others in the first place. While many of its peers turn connections away as well,
//! nobody gains by that, and it stays.

/// Time for which connections must be turned away before the instance withdraws, in milliseconds.
const WITHDRAW_AFTER_MS: u64 = 150;

/// Pause without a connection turned away that ends such a time, in milliseconds.
const CALM_MS: u64 = 500;

/// Duration of the first withdrawal, in milliseconds: the platform notices it after two checks.
const FIRST_MS: u64 = 3_000;

/// Longest withdrawal, in milliseconds.
const LONGEST_MS: u64 = 12_000;

/// Time after a return within which another withdrawal lasts twice as long, in milliseconds.
const SOON_AGAIN_MS: u64 = 8_000;

/// Share by which a withdrawal is prolonged at random, so that instances that withdrew at the same
/// time return one after another.
const JITTER_SHARE: f64 = 0.3;

/// Share of the peers above which an instance does not withdraw, since they would have to take its
/// callers.
const WITHDRAWN_PEER_MAX_SHARE: f64 = 0.3;

/// Pressure below which the instance returns.
const RETURN_PRESSURE: f64 = 0.8;

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The instance has withdrawn.
    Withdrawn,
    /// The instance is ready again.
    Returned,
}

/// State of an instance at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Time, in milliseconds.
    pub now_ms: u64,
    /// Whether connections have been turned away since the last observation.
    pub has_turned_away: bool,
    /// Load in relation to what the instance bears.
    pub pressure: f64,
    /// Share of the peers that have withdrawn.
    pub withdrawn_peer_share: f64,
    /// Random number from zero to one.
    pub chance: f64,
}

/// Whether an instance has withdrawn.
///
/// ```
/// use cranereach_core::overload::withdrawal::Observation;
/// use cranereach_core::overload::withdrawal::Withdrawal;
///
/// let mut withdrawal = Withdrawal::default();
/// let mut observation = Observation {
///     now_ms: 0,
///     has_turned_away: true,
///     pressure: 1.2,
///     withdrawn_peer_share: 0.0,
///     chance: 0.0,
/// };
/// for _sample in 0..5 {
///     observation.now_ms += 100;
///     withdrawal.update(observation);
/// }
/// assert!(withdrawal.is_withdrawn());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawal {
    /// Since when connections are turned away, in milliseconds.
    turning_away_since_ms: Option<u64>,
    /// When the last one was, in milliseconds.
    last_turned_away_ms: Option<u64>,
    is_withdrawn: bool,
    /// Earliest time of the return, in milliseconds.
    until_ms: u64,
    returned_at_ms: Option<u64>,
    duration_ms: u64,
}

impl Withdrawal {
    /// Whether the instance has withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }

    /// Updates the state; returns what changed.
    pub fn update(&mut self, observation: Observation) -> Option<Change> {
        self.note_turned_away(observation);
        if self.is_withdrawn {
            self.return_if_due(observation)
        } else {
            self.withdraw_if_due(observation)
        }
    }

    /// Notes since when connections are turned away.
    fn note_turned_away(&mut self, observation: Observation) {
        let now_ms = observation.now_ms;
        if observation.has_turned_away {
            self.turning_away_since_ms.get_or_insert(now_ms);
            self.last_turned_away_ms = Some(now_ms);
        } else if self.is_calm(now_ms) {
            self.turning_away_since_ms = None;
        }
    }

    /// Whether no connection was turned away lately.
    fn is_calm(&self, now_ms: u64) -> bool {
        self.last_turned_away_ms
            .is_none_or(|at_ms| now_ms >= at_ms + CALM_MS)
    }

    /// Withdraws if connections have been turned away for a while.
    fn withdraw_if_due(&mut self, observation: Observation) -> Option<Change> {
        let now_ms = observation.now_ms;
        let since_ms = self.turning_away_since_ms?;
        let has_lasted = self.last_turned_away_ms >= Some(since_ms + WITHDRAW_AFTER_MS);
        if !has_lasted || observation.withdrawn_peer_share > WITHDRAWN_PEER_MAX_SHARE {
            return None;
        }
        let is_soon_again = self
            .returned_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + SOON_AGAIN_MS);
        self.duration_ms = if is_soon_again {
            (self.duration_ms * 2).min(LONGEST_MS)
        } else {
            FIRST_MS
        };
        let jitter_ms = (self.duration_ms as f64 * JITTER_SHARE * observation.chance) as u64;
        self.until_ms = now_ms + self.duration_ms + jitter_ms;
        self.is_withdrawn = true;
        Some(Change::Withdrawn)
    }

    /// Returns once the time has passed and there is room again.
    fn return_if_due(&mut self, observation: Observation) -> Option<Change> {
        let now_ms = observation.now_ms;
        let has_room = observation.pressure < RETURN_PRESSURE && self.is_calm(now_ms);
        // Work that isn't the callers' may use the processor or the link for good.
        let is_overdue = now_ms >= self.until_ms + LONGEST_MS;
        if now_ms < self.until_ms || !(has_room || is_overdue) {
            return None;
        }
        self.is_withdrawn = false;
        self.turning_away_since_ms = None;
        self.returned_at_ms = Some(now_ms);
        Some(Change::Returned)
    }
}
