//! The faults of a run, made from its seed alone.

use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::check::bounded::DRAIN_MS;
use crate::check::bounded::EVACUATION_MS;
use crate::check::bounded::REVOCATION_MS;
use cranereach_platform::standin::store;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_standin::relay::Passage;

/// Time without faults at the start, in milliseconds: callers are served by then.
pub const FAULT_FREE_START_MS: u64 = 3_000;

/// Longest time without faults at the end, in milliseconds: the bound on recovery and
/// as long again to see what is served.
pub const FAULT_FREE_END_MS: u64 = 12_000;

/// Shortest time that a fault lasts, in milliseconds.
const FAULT_MIN_MS: u64 = 200;

/// Time up to which most faults last, in milliseconds.
const FAULT_MAX_MS: u64 = 4_000;

/// Share of the faults that last longer, beside those that are about a bound.
const LONG_SHARE: f64 = 0.2;

/// Time by which these last longer, in milliseconds: beyond every bound, so that whoever
/// was away must not act by what was known before.
const LONG_MS: u64 = EVACUATION_MS;

const _: () = assert!(LONG_MS >= REVOCATION_MS && LONG_MS >= DRAIN_MS);

/// Time within which the faults of a group begin, in milliseconds.
const GROUP_SPREAD_MS: u64 = 300;

/// Pause between two groups of faults, in milliseconds, from and to.
const PAUSE_MS: (u64, u64) = (300, 1_800);

/// Age of the oldest copy that a store comes back from, in milliseconds.
const BACKUP_MAX_AGE_MS: u64 = 8_000;

/// Time from one restore to the next copy, in milliseconds, from and to: two may follow
/// each other before anything has settled.
const RESTORE_INTERVAL_MS: (u64, u64) = (200, 9_000);

/// Most faults that begin together.
const GROUP_MAX_COUNT: usize = 3;

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Gateways.
    pub gateway_count: usize,
    /// Workers of each service.
    pub worker_count: usize,
    /// Callers with a connection each.
    pub caller_count: usize,
}

impl Size {
    /// The usual size.
    pub const SMALL: Self = Self {
        gateway_count: 4,
        worker_count: 3,
        caller_count: 40,
    };

    /// As large as a shared machine bears.
    pub const LARGE: Self = Self {
        gateway_count: 12,
        worker_count: 6,
        caller_count: 96,
    };

    /// Returns how many workers there are of all services.
    pub fn worker_total(&self) -> usize {
        SERVICES.len() * self.worker_count
    }
}

/// Services; each has as many workers.
pub const SERVICES: [&str; 3] = ["plain", "spare", "models"];

/// Failure domains with the region of each.
pub const DOMAINS: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];

/// Keys that callers use; all but the first three may be taken away.
pub const KEYS: [&str; 6] = ["key-0", "key-1", "key-2", "key-3", "key-4", "key-5"];

/// Returns the client account that a key opens.
pub fn account_of(key: usize) -> &'static str {
    if key.is_multiple_of(2) {
        "crews"
    } else {
        "ships"
    }
}

/// First key that may be taken away.
pub const FIRST_REVOCABLE: usize = 3;

/// A fault from outside; [`Step::target`] says whom it strikes, [`Step::for_ms`] how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway gets SIGSTOP, and SIGCONT later.
    Freeze,
    /// A gateway is frozen, and a key is taken away from the others meanwhile; it wakes
    /// up later than the key's bound.
    FreezeOverRevocation,
    /// A gateway gets SIGKILL, and is started later.
    Kill,
    /// A gateway gets SIGTERM, and is started after its end.
    Stop,
    /// A gateway gets SIGHUP.
    Reload,
    /// What the link of a gateway to the store passes.
    StoreLink(Passage),
    /// What the link of all gateways to a worker passes.
    WorkerLink(Passage),
    /// What the store does.
    Store(store::Fault),
    /// The store forgets its history.
    StoreForgets,
    /// The store comes back from a copy that is as old as the fault lasts.
    StoreRestored,
    /// What a worker does with requests.
    Worker(Behaviour),
    /// All workers of a service say that they are full.
    ServiceFull,
    /// A worker ends; another starts in its place, cold.
    WorkerCrashes,
    /// A worker says that it leaves, serves on for its time, and is replaced.
    WorkerLeaves,
    /// The configuration sends a route to another service.
    Move,
    /// A key is taken away.
    Revoke,
    /// The evacuation of a failure domain is asked for, and taken back.
    Evacuate,
    /// Everybody in the region without the store loses it.
    CutRegion,
}

/// A fault and when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since callers began, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
    /// Number of the gateway, worker, service, key or failure domain.
    pub target: usize,
    /// How long it lasts, in milliseconds; what has no end of its own passes it over.
    pub for_ms: u64,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} ms  {:?}, target {}, for {} ms",
            self.at_ms, self.fault, self.target, self.for_ms
        )
    }
}

/// Makes the schedule of a run of `run_ms`; the same arguments make the same one.
///
/// ```
/// use cranereach_soak::schedule;
/// use cranereach_soak::schedule::Size;
///
/// let steps = schedule::from_seed(7, 30_000, Size::SMALL);
/// assert_eq!(steps, schedule::from_seed(7, 30_000, Size::SMALL));
/// ```
pub fn from_seed(seed: u64, run_ms: u64, size: Size) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let fault_free_ms = FAULT_FREE_END_MS.min(run_ms / 2);
    let end_ms = run_ms.saturating_sub(fault_free_ms + FAULT_MAX_MS);
    let mix = pick(&mut rng, &MIXES);
    let mut steps = Vec::new();
    let mut at_ms = FAULT_FREE_START_MS;
    while at_ms < end_ms {
        for _ in 0..rng.random_range(1..=GROUP_MAX_COUNT) {
            let kind = pick(&mut rng, mix);
            let fault = pick(&mut rng, kind);
            let is_always_long = matches!(fault, Fault::Evacuate | Fault::FreezeOverRevocation);
            let is_long = is_always_long || rng.random_bool(LONG_SHARE);
            let extra_ms = if is_long { LONG_MS } else { 0 };
            steps.push(Step {
                at_ms: at_ms + rng.random_range(0..GROUP_SPREAD_MS),
                fault,
                target: rng.random_range(0..target_count(fault, size)),
                for_ms: extra_ms + rng.random_range(FAULT_MIN_MS..FAULT_MAX_MS),
            });
        }
        at_ms += rng.random_range(PAUSE_MS.0..PAUSE_MS.1);
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Adds restores of the store to a schedule; they are drawn apart, so that its other faults
/// stay what they are.
pub fn add_restores(steps: &mut Vec<Step>, seed: u64, run_ms: u64) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let fault_free_ms = FAULT_FREE_END_MS.min(run_ms / 2);
    let end_ms = run_ms.saturating_sub(fault_free_ms + BACKUP_MAX_AGE_MS);
    let mut at_ms = FAULT_FREE_START_MS;
    while at_ms < end_ms {
        let for_ms = rng.random_range(FAULT_MIN_MS..BACKUP_MAX_AGE_MS);
        steps.push(Step {
            at_ms,
            fault: Fault::StoreRestored,
            target: 0,
            for_ms,
        });
        at_ms += for_ms + rng.random_range(RESTORE_INTERVAL_MS.0..RESTORE_INTERVAL_MS.1);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Returns how many there are whom a fault can strike.
fn target_count(fault: Fault, size: Size) -> usize {
    match fault {
        Fault::Freeze
        | Fault::FreezeOverRevocation
        | Fault::Kill
        | Fault::Stop
        | Fault::Reload
        | Fault::StoreLink(_) => size.gateway_count,
        Fault::WorkerLink(_) | Fault::Worker(_) | Fault::WorkerCrashes | Fault::WorkerLeaves => {
            size.worker_total()
        }
        Fault::ServiceFull => SERVICES.len(),
        Fault::Revoke => KEYS.len() - FIRST_REVOCABLE,
        Fault::Evacuate => DOMAINS.len(),
        Fault::Store(_)
        | Fault::StoreForgets
        | Fault::StoreRestored
        | Fault::Move
        | Fault::CutRegion => 1,
    }
}

/// Draws one of several.
fn pick<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

/// Faults of one kind, one of which is drawn.
type FaultKind = &'static [Fault];

const CRASHES: FaultKind = &[Fault::Freeze, Fault::FreezeOverRevocation, Fault::Kill];

const STOPS: FaultKind = &[Fault::Stop, Fault::Stop, Fault::Reload];

const OPERATOR_CHANGES: FaultKind = &[Fault::Move, Fault::Revoke, Fault::Evacuate];

const LEAVING: FaultKind = &[Fault::WorkerLeaves];

const STORE_LINKS: FaultKind = &[
    Fault::StoreLink(Passage::Cut),
    Fault::StoreLink(Passage::Held),
    Fault::StoreLink(Passage::OneWay),
    Fault::StoreLink(Passage::Slow),
    Fault::CutRegion,
];

const STORES: FaultKind = &[
    Fault::Store(store::Fault::Busy),
    Fault::Store(store::Fault::Silent),
    Fault::Store(store::Fault::Slow),
    Fault::Store(store::Fault::LostWrites),
    Fault::StoreForgets,
];

const WORKER_LINKS: FaultKind = &[
    Fault::WorkerLink(Passage::Cut),
    Fault::WorkerLink(Passage::Held),
    Fault::WorkerLink(Passage::OneWay),
    Fault::WorkerLink(Passage::Slow),
];

const WORKERS: FaultKind = &[
    Fault::Worker(Behaviour::Hangs),
    Fault::Worker(Behaviour::LosesAnswers),
    Fault::Worker(Behaviour::BreaksOff),
    Fault::Worker(Behaviour::AnswersAnother),
    Fault::Worker(Behaviour::SendsExtra),
    Fault::Worker(Behaviour::Sheds),
    Fault::ServiceFull,
    Fault::WorkerCrashes,
];

/// Kinds that a run draws from: all, what is planned beside workers that fail, the store
/// under gateways that come and go, workers.
const MIXES: [&[FaultKind]; 4] = [
    &[
        CRASHES,
        STOPS,
        OPERATOR_CHANGES,
        LEAVING,
        STORE_LINKS,
        STORES,
        WORKER_LINKS,
        WORKERS,
    ],
    &[
        STOPS,
        STOPS,
        OPERATOR_CHANGES,
        OPERATOR_CHANGES,
        LEAVING,
        WORKERS,
    ],
    &[
        CRASHES,
        STOPS,
        STORE_LINKS,
        STORES,
        OPERATOR_CHANGES,
        LEAVING,
    ],
    &[CRASHES, WORKER_LINKS, WORKERS, WORKERS, LEAVING],
];
