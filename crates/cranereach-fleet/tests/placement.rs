//! Loads and unloads of models and adapters that the placement plan orders in small fleets.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::placement::ModelSize;
use cranereach_fleet::placement::Order;
use cranereach_fleet::placement::Plan;
use cranereach_fleet::placement::Planned;
use cranereach_fleet::worker_view::ModelReplica;
use cranereach_fleet::worker_view::WorkerView;

fn replica(model: u16) -> ModelReplica {
    ModelReplica {
        model,
        ..ModelReplica::default()
    }
}

fn loading(model: u16) -> ModelReplica {
    ModelReplica {
        model,
        is_loading: true,
        ..ModelReplica::default()
    }
}

fn worker(replicas: &[ModelReplica]) -> WorkerView {
    WorkerView {
        replicas: replicas.to_vec(),
        is_free: true,
        is_serving: true,
        copies: Vec::new(),
        ..WorkerView::default()
    }
}

/// Returns the next order for models of 100 MB with four adapters each, on workers with 210 MB for
/// weights and two adapter slots.
fn next_order(
    workers: &[WorkerView],
    demand: &[(ModelKey, f64)],
    may_load: bool,
) -> Option<Planned> {
    let models = vec![
        ModelSize {
            weights_mb: 100.0,
            adapter_mb: 1.0,
            adapter_count: 4,
            load_s: 8.0,
        };
        8
    ];
    let demand: HashMap<ModelKey, f64> = demand.iter().copied().collect();
    let plan = Plan {
        models: &models,
        weights_mb: 210.0,
        adapter_slot_count: 2,
        demand: &demand,
        workers,
    };
    plan.next(may_load)
}

#[test]
fn a_model_without_replica_is_loaded_where_there_is_room() {
    let workers = [worker(&[replica(0), replica(1)]), worker(&[replica(0)])];
    let planned = next_order(&workers, &[((3, 0), 100.0)], true).unwrap();
    assert_eq!((planned.worker, planned.order), (1, Order::Load(3)));
    assert!(planned.is_from_store);
    assert_eq!(
        next_order(&workers, &[((3, 0), 100.0)], false),
        None,
        "no load is allowed"
    );
}

#[test]
fn a_local_copy_is_preferred_to_the_weight_store() {
    let mut with_copy = worker(&[replica(0)]);
    with_copy.copies = vec![3];
    let workers = [worker(&[]), with_copy];
    let planned = next_order(&workers, &[((3, 0), 500.0)], false).unwrap();
    assert_eq!((planned.worker, planned.order), (1, Order::Load(3)));
    assert!(!planned.is_from_store);
}

#[test]
fn an_idle_model_is_unloaded_for_a_busy_one() {
    let workers = [
        worker(&[replica(7), replica(1)]),
        worker(&[replica(2), replica(3)]),
    ];
    let demand = [((7, 0), 4_000.0), ((2, 0), 400.0), ((3, 0), 1.0)];
    let planned = next_order(&workers, &demand, true).unwrap();
    assert_eq!((planned.worker, planned.order), (1, Order::Unload(3)));
}

#[test]
fn the_last_ready_replica_stays_while_another_loads() {
    // Guards against unloading the only ready replica of a model under high load because a second
    // one, which is still loading, counts as much as a ready one.
    let workers = [
        worker(&[replica(7), replica(1)]),
        worker(&[loading(7), replica(2)]),
        worker(&[replica(3), replica(4)]),
    ];
    let mut demand: Vec<_> = [1, 2, 3, 4, 7].map(|model| ((model, 0), 900.0)).to_vec();
    demand.push(((0, 0), 3_000.0));
    assert_eq!(next_order(&workers, &demand, true), None);
    // Once it is ready, one of the two may go.
    let mut loaded = workers;
    loaded[1].replicas[0].is_loading = false;
    let planned = next_order(&loaded, &demand, true).unwrap();
    assert_eq!(planned.order, Order::Unload(7));
}

#[test]
fn without_demand_nothing_moves() {
    let workers = [worker(&[replica(0), replica(1)]), worker(&[replica(2)])];
    assert_eq!(next_order(&workers, &[], true), None);
}

#[test]
fn an_adapter_goes_to_a_ready_replica_with_a_free_slot() {
    let full = ModelReplica {
        model: 0,
        adapters: vec![1, 2],
        ..ModelReplica::default()
    };
    let workers = [
        worker(std::slice::from_ref(&full)),
        worker(&[loading(0)]),
        worker(&[replica(0)]),
    ];
    let planned = next_order(&workers, &[((0, 3), 10.0)], true).unwrap();
    assert_eq!(
        (planned.worker, planned.order),
        (2, Order::LoadAdapter((0, 3)))
    );
    // If all slots are taken, the adapter with the least demand is unloaded.
    let demand = [((0, 3), 10.0), ((0, 1), 9.0), ((0, 2), 0.1)];
    let planned = next_order(&[worker(&[full])], &demand, true).unwrap();
    assert_eq!(planned.order, Order::UnloadAdapter((0, 2)));
}

#[test]
fn an_adapter_that_the_model_lacks_is_never_ordered() {
    let workers = [worker(&[replica(0)])];
    assert_eq!(next_order(&workers, &[((0, 9), 10.0)], false), None);
}

#[test]
fn workers_that_are_busy_or_leave_get_no_order() {
    let mut busy = worker(&[]);
    busy.is_free = false;
    let mut leaving = worker(&[]);
    leaving.is_serving = false;
    assert_eq!(next_order(&[busy, leaving], &[((1, 0), 900.0)], true), None);
}

#[test]
fn a_replica_goes_to_the_less_busy_worker() {
    // Two workers have room, but one of them is busier with its model.
    let workers = [
        worker(&[replica(6)]),
        worker(&[replica(5)]),
        worker(&[replica(7), replica(4)]),
    ];
    let demand = [((7, 0), 900.0), ((6, 0), 800.0), ((5, 0), 100.0)];
    let planned = next_order(&workers, &demand, true).unwrap();
    assert_eq!((planned.worker, planned.order), (1, Order::Load(7)));
}

#[test]
fn models_that_share_a_worker_need_more_replicas_than_those_apart() {
    let apart = [worker(&[replica(6)]), worker(&[replica(7)]), worker(&[])];
    let together = [worker(&[replica(6), replica(7)]), worker(&[]), worker(&[])];
    // A worker with only one of the models would be idle most of the time.
    let demand = [((6, 0), 250.0), ((7, 0), 250.0)];
    let is_replicated = |workers: &[WorkerView]| {
        let mut workers = workers.to_vec();
        for view in &mut workers {
            view.copies = vec![6, 7];
        }
        next_order(&workers, &demand, false).is_some()
    };
    assert!(!is_replicated(&apart));
    assert!(is_replicated(&together));
}

/// Returns the adapter load that the plan is expected to order, by a reference implementation that
/// looks at every worker for each adapter.
fn expected_adapter_load(
    workers: &[WorkerView],
    demand: &HashMap<ModelKey, f64>,
) -> Option<(usize, ModelKey)> {
    let mut wanted: Vec<(ModelKey, f64)> = demand.iter().map(|(key, rate)| (*key, *rate)).collect();
    wanted.sort_by(|left, right| right.1.total_cmp(&left.1).then(left.0.cmp(&right.0)));
    wanted.into_iter().find_map(|((model, adapter), _)| {
        let all = workers.iter().enumerate();
        let holders = all.filter_map(|(index, worker)| {
            let replica = worker
                .replicas
                .iter()
                .find(|replica| replica.model == model)?;
            let is_holder = worker.carries_demand() && replica.is_ready();
            is_holder.then_some((index, worker, replica))
        });
        let holders: Vec<_> = holders.collect();
        if holders
            .iter()
            .any(|(_, _, replica)| replica.adapters.contains(&adapter))
        {
            return None;
        }
        let free = holders.iter().filter(|(_, worker, _)| worker.is_free);
        let count = |worker: &WorkerView| -> usize {
            worker
                .replicas
                .iter()
                .map(|replica| replica.adapters.len())
                .sum()
        };
        let (index, worker, _) = free.min_by_key(|(_, worker, _)| count(worker))?;
        (count(worker) < 2).then_some((*index, (model, adapter)))
    })
}

#[test]
fn adapter_loads_match_the_reference_implementation() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut ordered = 0;
    for _case in 0..300 {
        let workers: Vec<WorkerView> = (0..30)
            .map(|_| {
                let first = rng.random_range(0..8_u16);
                let mut replicas = vec![replica(first), replica((first + 1) % 8)];
                replicas[0].adapters = (1..=4).filter(|_| rng.random_bool(0.2)).take(1).collect();
                replicas[0].is_loading = rng.random_bool(0.1);
                replicas[1].is_unloading = rng.random_bool(0.1);
                WorkerView {
                    is_free: rng.random_bool(0.7),
                    is_serving: rng.random_bool(0.9),
                    is_evacuated: rng.random_bool(0.1),
                    ..worker(&replicas)
                }
            })
            .collect();
        let demand: Vec<(ModelKey, f64)> = (0..12)
            .map(|_| {
                (
                    (rng.random_range(0..8), rng.random_range(1..=4)),
                    rng.random(),
                )
            })
            .collect();
        let by_key: HashMap<ModelKey, f64> = demand.iter().copied().collect();
        if let Some((index, key)) = expected_adapter_load(&workers, &by_key) {
            let planned = next_order(&workers, &demand, true).unwrap();
            assert_eq!(
                (planned.worker, planned.order),
                (index, Order::LoadAdapter(key))
            );
            ordered += 1;
        }
    }
    assert!(ordered > 200, "{ordered}");
}
