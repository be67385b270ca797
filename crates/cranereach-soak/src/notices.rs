//! Makes workers leave while the store does not answer, or ask for a rest, alongside the scheduled
//! faults.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::faults;
use crate::faults::TestBed;
use crate::faults::pause;
use crate::schedule::FAULT_FREE_END_MS;
use crate::schedule::FAULT_FREE_START_MS;
use crate::schedule::Fault;
use crate::schedule::Step;
use cranereach_platform::standin::store;

/// Mixed into the seed, so that these random draws are independent of others in the run.
const SEED_SALT: u64 = 0x776f_7264_7300;

/// Rests to choose from, in milliseconds.
const RESTS_MS: [u64; 3] = [700, 2_000, 4_000];

/// Range of the time for which a worker sheds all requests, in milliseconds.
const SHEDS_MS: (u64, u64) = (3_000, 7_000);

/// Range of the time for which the store does not answer, in milliseconds. It exceeds the time for
/// which gateways that know that a worker leaves may still send requests to it.
const SILENT_MS: (u64, u64) = (4_000, 7_000);

/// Time from the start of the store outage until a worker leaves, in milliseconds.
const LEAVES_AFTER_MS: u64 = 200;

/// Pause between two of these events, in milliseconds.
const PAUSE_MS: u64 = 2_500;

/// Share of rests among these events.
const REST_SHARE: f64 = 0.7;

/// Makes workers leave or ask for a rest until the fault-free time at the end of a run.
pub async fn run(seed: u64, run_ms: u64, worker_count: usize, test_bed: Arc<TestBed>) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    let end_ms = run_ms.saturating_sub(FAULT_FREE_END_MS.min(run_ms / 2));
    pause(FAULT_FREE_START_MS).await;
    while test_bed.journal.now_ms() < end_ms {
        let slot = rng.random_range(0..worker_count);
        let is_rest = rng.random_bool(REST_SHARE);
        let (from_ms, to_ms) = if is_rest { SHEDS_MS } else { SILENT_MS };
        let remaining_ms = end_ms.saturating_sub(test_bed.journal.now_ms());
        let for_ms = rng.random_range(from_ms..to_ms).min(remaining_ms);
        if is_rest {
            let rest_ms = RESTS_MS[rng.random_range(0..RESTS_MS.len())];
            test_bed.back_ends.set_retry_after(slot, Some(rest_ms));
            pause(for_ms).await;
            test_bed.back_ends.set_retry_after(slot, None);
        } else {
            leave_during_store_outage(&test_bed, slot, for_ms).await;
        }
        pause(PAUSE_MS).await;
    }
}

/// Makes a worker leave while the store does not answer.
async fn leave_during_store_outage(test_bed: &TestBed, slot: usize, for_ms: u64) {
    let outage = Step {
        at_ms: test_bed.journal.now_ms(),
        fault: Fault::Store(store::Fault::Silent),
        target: 0,
        for_ms,
    };
    let leaving = async {
        pause(LEAVES_AFTER_MS).await;
        test_bed.back_ends.leave(slot, &test_bed.journal).await;
    };
    tokio::join!(faults::inject(test_bed, outage), leaving);
}
