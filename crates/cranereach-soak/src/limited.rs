//! A worker that names a limit for a while, beside all that strikes it and the gateways.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::faults::Parts;
use crate::faults::pause;
use crate::record::Event;
use crate::schedule::CALM_AT_END_MS;
use crate::schedule::CALM_AT_START_MS;

/// Told apart from the other draws of a run.
const DRAW: u64 = 0x6c69_6d69_7465;

/// Limits that are drawn, in requests a second.
const RATES_PER_S: [f64; 3] = [0.5, 1.2, 4.0];

/// Time for which one holds, in milliseconds, from and to.
const HOLDS_MS: (u64, u64) = (8_000, 16_000);

/// Time between two, in milliseconds.
const PAUSE_MS: u64 = 1_500;

/// Service whose workers name limits: nobody gives them orders, so that callers' requests
/// are all they get.
const SERVICE: usize = 0;

/// Lets one worker after the other name a limit until the calm at the end of a run.
pub async fn run(seed: u64, run_ms: u64, parts: Arc<Parts>) {
    let mut rng = StdRng::seed_from_u64(seed ^ DRAW);
    let places = parts.back_ends.places_of(SERVICE);
    let end_ms = run_ms.saturating_sub(CALM_AT_END_MS.min(run_ms / 2));
    pause(CALM_AT_START_MS).await;
    while parts.journal.now_ms() < end_ms {
        let place = places[rng.random_range(0..places.len())];
        let rate_per_s = RATES_PER_S[rng.random_range(0..RATES_PER_S.len())];
        let for_ms = rng.random_range(HOLDS_MS.0..HOLDS_MS.1);
        let from_ms = parts.journal.now_ms();
        let named = parts.back_ends.name_limit(place, Some(rate_per_s));
        pause(for_ms.min(end_ms.saturating_sub(from_ms))).await;
        if let Some(worker) = named {
            worker.name_limit(None);
            parts.journal.event(Event::Limited {
                worker_id: worker.id,
                place,
                rate_per_s,
                from_ms,
                to_ms: parts.journal.now_ms(),
            });
        }
        pause(PAUSE_MS).await;
    }
}
