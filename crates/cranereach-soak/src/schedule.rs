//! The fault schedule of a run, derived from its seed alone.

mod separate;

use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use self::separate::add_body_ends;
pub use self::separate::add_path_cuts;
pub use self::separate::add_releases;
pub use self::separate::add_restores;
use crate::check::bounded::DRAIN_MS;
use crate::check::bounded::EVACUATION_MS;
use crate::check::bounded::REVOCATION_MS;
use cranereach_platform::standin::ending::Ending;
use cranereach_platform::standin::store;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_standin::relay::LinkMode;

/// Time without faults at the start of a run, in milliseconds, long enough for callers to be
/// served.
pub const FAULT_FREE_START_MS: u64 = 3_000;

/// Longest time without faults at the end of a run, in milliseconds: the bound on recovery and
/// as long again to measure how many requests are served after it.
pub const FAULT_FREE_END_MS: u64 = 12_000;

/// Shortest duration of a fault, in milliseconds.
const FAULT_MIN_MS: u64 = 200;

/// Longest duration of an ordinary fault, in milliseconds.
const FAULT_MAX_MS: u64 = 4_000;

/// Share of faults that are extended by `LONG_MS`, besides the kinds that always are because they
/// test a bound.
const LONG_SHARE: f64 = 0.2;

/// Extra duration of these faults, in milliseconds. It reaches past every bound, so that a gateway
/// that was cut off must not act on the state that it knew before the fault.
const LONG_MS: u64 = EVACUATION_MS;

const _: () = assert!(LONG_MS >= REVOCATION_MS && LONG_MS >= DRAIN_MS);

/// Time span in which the faults of a group begin, in milliseconds.
const GROUP_SPREAD_MS: u64 = 300;

/// Range of the pause between two groups of faults, in milliseconds.
const PAUSE_MS: (u64, u64) = (300, 1_800);

/// Maximum number of faults in a group.
const GROUP_MAX_COUNT: usize = 3;

/// Size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of gateways.
    pub gateway_count: usize,
    /// Number of workers of each service.
    pub worker_count: usize,
    /// Number of callers, each with one connection.
    pub caller_count: usize,
}

impl Size {
    /// Default size.
    pub const SMALL: Self = Self {
        gateway_count: 4,
        worker_count: 3,
        caller_count: 40,
    };

    /// Largest size that a shared machine can carry.
    pub const LARGE: Self = Self {
        gateway_count: 12,
        worker_count: 6,
        caller_count: 96,
    };

    /// Returns the number of workers of all services.
    pub fn worker_total(&self) -> usize {
        SERVICES.len() * self.worker_count
    }

    /// Returns the number of worker slots. The service with models has a second set of workers
    /// beyond those of all services, with another version of their software.
    pub fn slot_count(&self) -> usize {
        self.worker_total() + self.worker_count
    }

    /// Returns the number of callers that take up streams that broke off.
    pub fn resuming_caller_count(&self) -> usize {
        self.caller_count / RESUMING_CALLER_RATIO
    }
}

/// Number of callers for each one that takes up streams.
const RESUMING_CALLER_RATIO: usize = 4;

/// Number of sets of workers of the service with models. Each has a version of its software.
pub const WORKER_SET_COUNT: usize = 2;

/// Service with models.
pub const WITH_MODELS: &str = "models";

/// Services, each with the same number of workers; the one with models comes last.
pub const SERVICES: [&str; 3] = ["plain", "spare", WITH_MODELS];

/// Failure domains, each with its region.
pub const DOMAINS: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];

/// Keys that callers use. Faults may revoke those from `FIRST_REVOCABLE` on.
pub const KEYS: [&str; 6] = ["key-0", "key-1", "key-2", "key-3", "key-4", "key-5"];

/// Returns the client account that a key belongs to.
pub fn account_of(key: usize) -> &'static str {
    if key.is_multiple_of(2) {
        "crews"
    } else {
        "ships"
    }
}

/// Index of the first key that a fault may revoke.
pub const FIRST_REVOCABLE: usize = 3;

/// A fault injected from outside. [`Step::target`] selects what it affects, [`Step::for_ms`] sets
/// its duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Sends SIGSTOP to a gateway, and SIGCONT later.
    Freeze,
    /// Freezes a gateway and revokes a key meanwhile. The gateway resumes after the bound on
    /// revocation has passed.
    FreezeOverRevocation,
    /// Sends SIGKILL to a gateway and restarts it later.
    Kill,
    /// Sends SIGTERM to a gateway and restarts it after it has ended.
    Stop,
    /// Sends SIGHUP to a gateway.
    Reload,
    /// Impairs the link between a gateway and the store.
    StoreLink(LinkMode),
    /// Impairs the link between all gateways and a worker.
    WorkerLink(LinkMode),
    /// Cuts the path between a gateway and a worker.
    PathCut(LinkMode),
    /// Cuts the paths between a gateway and all workers.
    Isolation(LinkMode),
    /// Makes the store misbehave.
    Store(store::Fault),
    /// Makes the store forget its change history.
    StoreForgets,
    /// Restores the store from a backup whose age is the duration of the fault.
    StoreRestored,
    /// Changes how a worker handles requests.
    Worker(Behaviour),
    /// Makes all workers of a service shed requests.
    ServiceFull,
    /// Crashes a worker; a cold one replaces it.
    WorkerCrashes,
    /// Makes a worker announce that it leaves, drain and be replaced.
    WorkerLeaves,
    /// Changes how the bodies of a worker's responses end.
    BodyEnds(Ending),
    /// Replaces a set of workers by others with a new version of their software, one after another.
    Release,
    /// Changes the configuration so that a route leads to another service.
    Move,
    /// Revokes a key.
    Revoke,
    /// Requests the evacuation of a failure domain, and cancels it later.
    Evacuate,
    /// Cuts off from the store all gateways in the region that does not host it.
    CutRegion,
}

/// A fault with its start, target and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Start, in milliseconds since callers began.
    pub at_ms: u64,
    /// Fault.
    pub fault: Fault,
    /// Index of the gateway, worker, path, set of workers, service, revocable key or failure domain.
    /// The path of a gateway to a worker has the index `worker * gateway_count + gateway`.
    pub target: usize,
    /// Duration, in milliseconds; for a release the time between two workers. Faults without a
    /// duration, such as a reload, ignore it.
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

/// Returns the schedule of a run of `run_ms`. The same arguments always give the same schedule.
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

/// Adds the faults of [`from_seed`] to a schedule.
pub fn add_faults(steps: &mut Vec<Step>, seed: u64, run_ms: u64, size: Size) {
    steps.extend(from_seed(seed, run_ms, size));
    steps.sort_by_key(|step| step.at_ms);
}

/// Returns the number of possible targets of a fault.
fn target_count(fault: Fault, size: Size) -> usize {
    match fault {
        Fault::Freeze
        | Fault::FreezeOverRevocation
        | Fault::Kill
        | Fault::Stop
        | Fault::Reload
        | Fault::StoreLink(_)
        | Fault::Isolation(_) => size.gateway_count,
        Fault::PathCut(_) => size.gateway_count * size.worker_total(),
        Fault::WorkerLink(_) | Fault::Worker(_) | Fault::WorkerCrashes | Fault::WorkerLeaves => {
            size.worker_total()
        }
        Fault::BodyEnds(_) => size.slot_count(),
        Fault::Release => WORKER_SET_COUNT,
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

/// Picks one of the choices at random.
fn pick<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

/// Faults of one kind, from which one is picked.
type FaultKind = &'static [Fault];

const CRASHES: FaultKind = &[Fault::Freeze, Fault::FreezeOverRevocation, Fault::Kill];

const STOPS: FaultKind = &[Fault::Stop, Fault::Stop, Fault::Reload];

const OPERATOR_CHANGES: FaultKind = &[Fault::Move, Fault::Revoke, Fault::Evacuate];

const LEAVING: FaultKind = &[Fault::WorkerLeaves];

const STORE_LINK_FAULTS: FaultKind = &[
    Fault::StoreLink(LinkMode::Cut),
    Fault::StoreLink(LinkMode::Held),
    Fault::StoreLink(LinkMode::OneWay),
    Fault::StoreLink(LinkMode::Slow),
    Fault::CutRegion,
];

const STORE_FAULTS: FaultKind = &[
    Fault::Store(store::Fault::Busy),
    Fault::Store(store::Fault::Silent),
    Fault::Store(store::Fault::Slow),
    Fault::Store(store::Fault::LostWrites),
    Fault::StoreForgets,
];

const WORKER_LINK_FAULTS: FaultKind = &[
    Fault::WorkerLink(LinkMode::Cut),
    Fault::WorkerLink(LinkMode::Held),
    Fault::WorkerLink(LinkMode::OneWay),
    Fault::WorkerLink(LinkMode::Slow),
];

const WORKER_FAULTS: FaultKind = &[
    Fault::Worker(Behaviour::Hangs),
    Fault::Worker(Behaviour::LosesAnswers),
    Fault::Worker(Behaviour::BreaksOff),
    Fault::Worker(Behaviour::AnswersAnother),
    Fault::Worker(Behaviour::SendsExtra),
    Fault::Worker(Behaviour::Sheds),
    Fault::ServiceFull,
    Fault::WorkerCrashes,
];

/// Sets of fault kinds, one of which a run uses: all kinds; planned operations with failing
/// workers; store faults with gateways that crash and restart; worker faults.
const MIXES: [&[FaultKind]; 4] = [
    &[
        CRASHES,
        STOPS,
        OPERATOR_CHANGES,
        LEAVING,
        STORE_LINK_FAULTS,
        STORE_FAULTS,
        WORKER_LINK_FAULTS,
        WORKER_FAULTS,
    ],
    &[
        STOPS,
        STOPS,
        OPERATOR_CHANGES,
        OPERATOR_CHANGES,
        LEAVING,
        WORKER_FAULTS,
    ],
    &[
        CRASHES,
        STOPS,
        STORE_LINK_FAULTS,
        STORE_FAULTS,
        OPERATOR_CHANGES,
        LEAVING,
    ],
    &[
        CRASHES,
        WORKER_LINK_FAULTS,
        WORKER_FAULTS,
        WORKER_FAULTS,
        LEAVING,
    ],
];
