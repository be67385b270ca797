//! What happens in a world, and the deliberate faults.

use super::STREAM_MAX_MS;

/// A deliberate fault, to show that the world finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Nobody is told an origin.
    TellsNobody,
    /// Notes of streams that began before the service became mixed are not told.
    TellsNoEarlierNotes,
    /// Notes are told even if there is only one version.
    TellsAlways,
    /// Only one holder is told and asked.
    OneHolder,
    /// An unknown origin counts as any version.
    GuessesUnknown,
    /// A version is forgotten as soon as no worker has it.
    ForgetsVersions,
    /// An instance that has just started asks nobody.
    TrustsItsStart,
    /// A list that is not current counts as current.
    TrustsStaleLists,
    /// A later try is noted under its own key.
    NewKeyPerTry,
    /// A stream may begin at a version that is not listed everywhere yet.
    BeginsAnywhere,
    /// Nobody reads the history that is kept in the store.
    ReadsNoHistory,
    /// A history counts however short the time is that it proves.
    TrustsYoungHistory,
}

/// What happens in a world.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub instance_count: usize,
    pub worker_count: u64,
    /// Time between two replaced workers of a release; zero for none.
    pub release_step_ms: u64,
    pub release_at_ms: u64,
    /// Whether workers of a second version serve beside the first all the time.
    pub is_side_by_side: bool,
    /// Restarts of instances in a minute.
    pub restarts_per_minute: u64,
    /// Instances cut off in a minute, each for some seconds.
    pub cuts_per_minute: u64,
    pub loss_ratio: f64,
    /// Largest age of lists in calm.
    pub list_lag_max_ms: u64,
    /// Shortest and longest time that a stream runs.
    pub stream_ms: (u64, u64),
    /// When the store is out, from and to. Meanwhile two workers start again with another version,
    /// serve, and are lost before their rows can be written; zero for never.
    pub outage_ms: (u64, u64),
    /// Whether instances keep the history of versions in the store.
    pub keeps_history: bool,
    /// Time between two moments at which all instances are killed; zero for none.
    pub all_restart_every_ms: u64,
    /// Whether the store is restored from a copy some seconds old at each of them.
    pub restores_store: bool,
    /// Share of the streams that break off.
    pub broken_ratio: f64,
    /// From when on take-ups are judged.
    pub judged_from_ms: u64,
    pub duration_ms: u64,
}

impl Plan {
    /// A rolling release in a fleet with faults of all kinds.
    pub fn release(instance_count: usize) -> Self {
        let fault_count = (instance_count as u64 / 4).clamp(1, 20);
        Self {
            instance_count,
            worker_count: 12,
            release_step_ms: 2_000,
            release_at_ms: 25_000,
            is_side_by_side: false,
            restarts_per_minute: fault_count,
            cuts_per_minute: fault_count,
            loss_ratio: 0.05,
            list_lag_max_ms: 800,
            stream_ms: (200, STREAM_MAX_MS),
            outage_ms: (0, 0),
            keeps_history: false,
            all_restart_every_ms: 0,
            restores_store: false,
            broken_ratio: 0.3,
            judged_from_ms: 25_000,
            duration_ms: 65_000,
        }
    }

    /// Two versions side by side, with the same faults.
    pub fn side_by_side(instance_count: usize) -> Self {
        Self {
            is_side_by_side: true,
            release_step_ms: 0,
            judged_from_ms: 0,
            duration_ms: 45_000,
            ..Self::release(instance_count)
        }
    }

    /// A release that replaces all workers within seconds.
    pub fn swift(instance_count: usize) -> Self {
        Self {
            release_step_ms: 250,
            duration_ms: 50_000,
            ..Self::release(instance_count)
        }
    }

    /// One version; only datagrams are lost and lists late.
    pub fn calm(instance_count: usize) -> Self {
        Self {
            release_step_ms: 0,
            restarts_per_minute: 0,
            cuts_per_minute: 0,
            judged_from_ms: 0,
            ..Self::release(instance_count)
        }
    }
}
