//! Workers that say they leave while the store is silent, and workers that ask for rest,
//! beside all that strikes them and the gateways.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::faults;
use crate::faults::Parts;
use crate::faults::pause;
use crate::schedule::CALM_AT_END_MS;
use crate::schedule::CALM_AT_START_MS;
use crate::schedule::Fault;
use crate::schedule::Step;
use cranereach_platform::standin::store;

/// Told apart from the other draws of a run.
const DRAW: u64 = 0x776f_7264_7300;

/// Rests that are drawn, in milliseconds.
const RESTS_MS: [u64; 3] = [700, 2_000, 4_000];

/// Time for which a worker turns everything away, in milliseconds, from and to.
const SHEDS_MS: (u64, u64) = (3_000, 7_000);

/// Time for which the store is silent, in milliseconds, from and to: longer than a leaving
/// worker gets requests of those who have heard it.
const SILENT_MS: (u64, u64) = (4_000, 7_000);

/// Time after the store fell silent at which a worker leaves, in milliseconds.
const LEAVES_AFTER_MS: u64 = 200;

/// Time between two of either, in milliseconds.
const PAUSE_MS: u64 = 2_500;

/// Share of rests among both.
const REST_SHARE: f64 = 0.7;

/// Lets workers leave and rest until the calm at the end of a run.
pub async fn run(seed: u64, run_ms: u64, worker_count: usize, parts: Arc<Parts>) {
    let mut rng = StdRng::seed_from_u64(seed ^ DRAW);
    let end_ms = run_ms.saturating_sub(CALM_AT_END_MS.min(run_ms / 2));
    pause(CALM_AT_START_MS).await;
    while parts.journal.now_ms() < end_ms {
        let place = rng.random_range(0..worker_count);
        let is_rest = rng.random_bool(REST_SHARE);
        let (from_ms, to_ms) = if is_rest { SHEDS_MS } else { SILENT_MS };
        let left_ms = end_ms.saturating_sub(parts.journal.now_ms());
        let for_ms = rng.random_range(from_ms..to_ms).min(left_ms);
        if is_rest {
            let rest_ms = RESTS_MS[rng.random_range(0..RESTS_MS.len())];
            parts.back_ends.ask_for_rest(place, Some(rest_ms));
            pause(for_ms).await;
            parts.back_ends.ask_for_rest(place, None);
        } else {
            leave_unseen(&parts, place, for_ms).await;
        }
        pause(PAUSE_MS).await;
    }
}

/// Lets a worker leave while the store is silent.
async fn leave_unseen(parts: &Parts, place: usize, for_ms: u64) {
    let silent = Step {
        at_ms: parts.journal.now_ms(),
        fault: Fault::Store(store::Fault::Silent),
        target: 0,
        for_ms,
    };
    let leaving = async {
        pause(LEAVES_AFTER_MS).await;
        parts.back_ends.leave(place, &parts.journal).await;
    };
    tokio::join!(faults::strike(parts, silent), leaving);
}
