//! Faults that are drawn apart from the others, each kind by a random generator of its own, so that
//! the other faults of a seed stay the same.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::FAULT_FREE_END_MS;
use super::FAULT_FREE_START_MS;
use super::FAULT_MAX_MS;
use super::FAULT_MIN_MS;
use super::Fault;
use super::LONG_MS;
use super::LONG_SHARE;
use super::Size;
use super::Step;
use super::WORKER_SET_COUNT;
use super::pick;
use super::target_count;
use cranereach_platform::standin::ending::Close;
use cranereach_platform::standin::ending::Cut;
use cranereach_platform::standin::ending::CutPlace;
use cranereach_platform::standin::ending::Ending;
use cranereach_platform::standin::ending::Framing;
use cranereach_platform::standin::worker::EVENT_COUNT;
use cranereach_standin::relay::LinkMode;

/// Maximum age of the backup that the store is restored from, in milliseconds.
const BACKUP_MAX_AGE_MS: u64 = 8_000;

/// Range of the time from a restore to the next backup, in milliseconds. Its low end lets two
/// restores follow each other before the gateways have settled.
const RESTORE_INTERVAL_MS: (u64, u64) = (200, 9_000);

/// Mixed into the seed for the ends of bodies.
const BODY_ENDS_SALT: u64 = 0x656e_6473;

/// Range of the pause between two such faults, in milliseconds.
const BODY_ENDS_PAUSE_MS: (u64, u64) = (100, 900);

/// Share of these faults that affect a worker of the service with models, whose answers are
/// streams.
const STREAM_SHARE: f64 = 0.7;

/// Share of these faults in which nothing but the place tells that a body was cut: its end is
/// unmarked, and the connection closes in order inside an event.
const SILENT_CUT_SHARE: f64 = 0.3;

/// What follows such a cut.
const SILENT_CLOSES: [Close; 2] = [Close::Orderly, Close::Crash];

/// Mixed into the seed for cuts of paths.
const PATH_CUTS_SALT: u64 = 0x7061_7468;

/// Range of the pause between two such cuts, in milliseconds.
const PATH_CUTS_PAUSE_MS: (u64, u64) = (500, 2_500);

/// Share of these cuts that cut a gateway off from all workers.
const ISOLATION_SHARE: f64 = 0.4;

/// How a path is cut.
const PATH_CUTS: [LinkMode; 3] = [LinkMode::Refused, LinkMode::Unreachable, LinkMode::Reset];

/// Mixed into the seed for releases.
const RELEASES_SALT: u64 = 0x7265_6c65;

/// Range of the time between two workers of a release, in milliseconds.
const RELEASE_STEP_MS: (u64, u64) = (300, 2_000);

/// Range of the pause between two releases, in milliseconds.
const RELEASE_PAUSE_MS: (u64, u64) = (2_000, 6_000);

/// Ways in which the end of a body is marked, of which one is picked: most often by nothing but
/// the end of the connection.
const FRAMINGS: [Framing; 4] = [
    Framing::Connection,
    Framing::Connection,
    Framing::Explicit,
    Framing::Length,
];

/// Places of a cut with what follows, of which one is picked. `None` is a body that isn't cut. An
/// end that is marked after an event isn't among them: it makes the shorter stream the whole one.
const CUTS: [Option<(CutPlace, Close)>; 8] = [
    None,
    Some((CutPlace::InsideEvent, Close::Declared)),
    Some((CutPlace::InsideEvent, Close::Orderly)),
    Some((CutPlace::InsideEvent, Close::Reset)),
    Some((CutPlace::InsideEvent, Close::Crash)),
    Some((CutPlace::AfterEvent, Close::Orderly)),
    Some((CutPlace::AfterEvent, Close::Reset)),
    Some((CutPlace::AfterEvent, Close::Crash)),
];

/// Adds restores of the store to a schedule.
pub fn add_restores(steps: &mut Vec<Step>, seed: u64, run_ms: u64) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let end_ms = end_ms(run_ms, BACKUP_MAX_AGE_MS);
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

/// Adds workers whose responses end without a mark, or before their end.
pub fn add_body_ends(steps: &mut Vec<Step>, seed: u64, run_ms: u64, size: Size) {
    let mut rng = StdRng::seed_from_u64(seed ^ BODY_ENDS_SALT);
    let end_ms = end_ms(run_ms, FAULT_MAX_MS);
    let first_with_models = size.worker_total() - size.worker_count;
    let mut at_ms = FAULT_FREE_START_MS;
    while at_ms < end_ms {
        let first = if rng.random_bool(STREAM_SHARE) {
            first_with_models
        } else {
            0
        };
        steps.push(Step {
            at_ms,
            fault: Fault::BodyEnds(draw_ending(&mut rng)),
            target: rng.random_range(first..size.slot_count()),
            for_ms: rng.random_range(FAULT_MIN_MS..FAULT_MAX_MS),
        });
        at_ms += rng.random_range(BODY_ENDS_PAUSE_MS.0..BODY_ENDS_PAUSE_MS.1);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds cuts of the paths between single gateways and workers.
pub fn add_path_cuts(steps: &mut Vec<Step>, seed: u64, run_ms: u64, size: Size) {
    let mut rng = StdRng::seed_from_u64(seed ^ PATH_CUTS_SALT);
    let end_ms = end_ms(run_ms, FAULT_MAX_MS + LONG_MS);
    let mut at_ms = FAULT_FREE_START_MS;
    while at_ms < end_ms {
        let mode = pick(&mut rng, &PATH_CUTS);
        let fault = if rng.random_bool(ISOLATION_SHARE) {
            Fault::Isolation(mode)
        } else {
            Fault::PathCut(mode)
        };
        let extra_ms = if rng.random_bool(LONG_SHARE) {
            LONG_MS
        } else {
            0
        };
        steps.push(Step {
            at_ms,
            fault,
            target: rng.random_range(0..target_count(fault, size)),
            for_ms: extra_ms + rng.random_range(FAULT_MIN_MS..FAULT_MAX_MS),
        });
        at_ms += rng.random_range(PATH_CUTS_PAUSE_MS.0..PATH_CUTS_PAUSE_MS.1);
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds releases of new versions of the workers' software, in turn to each set of workers.
pub fn add_releases(steps: &mut Vec<Step>, seed: u64, run_ms: u64, size: Size) {
    let mut rng = StdRng::seed_from_u64(seed ^ RELEASES_SALT);
    let end_ms = end_ms(run_ms, 0);
    let mut at_ms = FAULT_FREE_START_MS;
    let mut target = rng.random_range(0..WORKER_SET_COUNT);
    while at_ms < end_ms {
        let for_ms = rng.random_range(RELEASE_STEP_MS.0..RELEASE_STEP_MS.1);
        steps.push(Step {
            at_ms,
            fault: Fault::Release,
            target,
            for_ms,
        });
        target = (target + 1) % WORKER_SET_COUNT;
        let pause_ms = rng.random_range(RELEASE_PAUSE_MS.0..RELEASE_PAUSE_MS.1);
        at_ms += for_ms * size.worker_count as u64 + pause_ms;
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Draws how bodies end.
fn draw_ending(rng: &mut StdRng) -> Ending {
    let event_count = rng.random_range(1..EVENT_COUNT);
    let (framing, cut) = if rng.random_bool(SILENT_CUT_SHARE) {
        let close = pick(rng, &SILENT_CLOSES);
        (Framing::Connection, Some((CutPlace::InsideEvent, close)))
    } else {
        (pick(rng, &FRAMINGS), pick(rng, &CUTS))
    };
    let cut = cut.map(|(place, close)| Cut {
        event_count,
        place,
        close,
    });
    Ending { framing, cut }
}

/// Returns the time until which faults of at most `for_max_ms` may begin, in milliseconds.
fn end_ms(run_ms: u64, for_max_ms: u64) -> u64 {
    let fault_free_ms = FAULT_FREE_END_MS.min(run_ms / 2);
    run_ms.saturating_sub(fault_free_ms + for_max_ms)
}
