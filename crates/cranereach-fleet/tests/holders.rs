//! Compares candidates from the index of workers by model with a scan of all workers.

mod workers;

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::workers::record;
use self::workers::routing_request;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::roster::Roster;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker::Worker;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

const MODELS: [&str; 4] = ["a", "b", "c", "d"];
const WORKER_COUNT: usize = 8;

/// Returns what a scan of all workers finds for a model.
fn scan_all(roster: &Roster, model: &str) -> Result<Vec<Arc<str>>, NoWorker> {
    let (holders, others): (Vec<_>, Vec<_>) = roster.workers().partition(|worker| {
        let mut held = worker.record.models.iter();
        held.any(|held| held.name.as_ref() == model)
    });
    let is_ready = |worker: &&Worker| !worker.is_leaving();
    let has_holder = !holders.is_empty();
    let holders: Vec<&Worker> = holders.into_iter().filter(is_ready).collect();
    let others: Vec<&Worker> = others.into_iter().filter(is_ready).collect();
    let mut ids: Vec<Arc<str>> = holders
        .iter()
        .map(|worker| Arc::clone(&worker.record.id))
        .collect();
    ids.sort_unstable();
    match (ids.is_empty(), others.is_empty()) {
        (false, _) => Ok(ids),
        (true, false) => Err(NoWorker::NoModel),
        (true, true) if has_holder => Err(NoWorker::Leaving),
        (true, true) => Err(NoWorker::None),
    }
}

#[test]
fn the_model_index_finds_the_same_workers_as_a_full_scan() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut outcome_counts = [0, 0, 0];
    for _world in 0..60 {
        let mut roster = Roster::default();
        for version in 1..60 {
            let id = format!("w-{}", rng.random_range(0..WORKER_COUNT));
            if rng.random_bool(0.3) {
                roster.remove(at(version), &id);
            } else {
                let held = MODELS.iter().filter(|_| rng.random_bool(0.3));
                let held: Vec<(&str, &[&str])> =
                    held.map(|model| (*model, [].as_slice())).collect();
                let mut record = record(&id, &held);
                record.is_leaving = rng.random_bool(0.2);
                // Some restart under the same identity.
                record.started_unix_ms = rng.random_range(0..2);
                roster.put(at(version), record);
            }
            for model in MODELS {
                let routing_request = routing_request(Some((model, None)));
                let candidates =
                    roster.candidates(0, &routing_request, None, WORKER_COUNT, &mut rng);
                let candidates = candidates.map(|mut ids| {
                    ids.sort_unstable();
                    ids
                });
                let expected = scan_all(&roster, model);
                outcome_counts[match expected {
                    Ok(_) => 0,
                    Err(NoWorker::NoModel) => 1,
                    Err(_) => 2,
                }] += 1;
                assert_eq!(candidates, expected);
            }
        }
    }
    assert!(
        outcome_counts.iter().all(|count| *count > 100),
        "{outcome_counts:?}"
    );
}
