//! Makes workers announce a rate limit for a time, alongside the scheduled faults.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::faults::TestBed;
use crate::faults::pause;
use crate::record::Event;
use crate::schedule::FAULT_FREE_END_MS;
use crate::schedule::FAULT_FREE_START_MS;

/// Mixed into the seed, so that these random draws are independent of others in the run.
const SEED_SALT: u64 = 0x6c69_6d69_7465;

/// Limits to choose from, in requests per second.
const RATES_PER_S: [f64; 3] = [0.5, 1.2, 4.0];

/// Range of the time for which a limit holds, in milliseconds.
const LIMIT_DURATION_MS: (u64, u64) = (8_000, 16_000);

/// Pause between two limits, in milliseconds.
const PAUSE_MS: u64 = 1_500;

/// Index of the service whose workers announce limits. No orders are sent to its workers, so that
/// they get nothing but callers' requests.
const SERVICE: usize = 0;

/// Makes one worker after another announce a limit until the fault-free time at the end of a run.
pub async fn run(seed: u64, run_ms: u64, test_bed: Arc<TestBed>) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    let slots = test_bed.back_ends.slots_of(SERVICE);
    let end_ms = run_ms.saturating_sub(FAULT_FREE_END_MS.min(run_ms / 2));
    pause(FAULT_FREE_START_MS).await;
    while test_bed.journal.now_ms() < end_ms {
        let place = slots[rng.random_range(0..slots.len())];
        let rate_per_s = RATES_PER_S[rng.random_range(0..RATES_PER_S.len())];
        let for_ms = rng.random_range(LIMIT_DURATION_MS.0..LIMIT_DURATION_MS.1);
        let from_ms = test_bed.journal.now_ms();
        let limited_worker = test_bed.back_ends.announce_limit(place, Some(rate_per_s));
        pause(for_ms.min(end_ms.saturating_sub(from_ms))).await;
        if let Some(worker) = limited_worker {
            worker.announce_limit(None);
            test_bed.journal.record_event(Event::Limited {
                worker_id: worker.id,
                place,
                rate_per_s,
                from_ms,
                to_ms: test_bed.journal.now_ms(),
            });
        }
        pause(PAUSE_MS).await;
    }
}
