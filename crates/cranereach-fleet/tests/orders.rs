//! Orders to workers that answer late or not at all, or that carry orders out later.
//!
//! Simulates workers under successive lease holders, with random events. No worker may ever have to
//! hold more than its memory or its adapter slots allow.

use std::collections::HashMap;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::ledger::Ledger;
use cranereach_fleet::ledger::OpenOrder;
use cranereach_fleet::ledger::OrderEnd;
use cranereach_fleet::ledger::WorkerRow;
use cranereach_fleet::ledger::WorkerState;
use cranereach_fleet::placement::ModelSize;
use cranereach_fleet::placement::Order;
use cranereach_fleet::placement::Plan;
use cranereach_fleet::store_position::StorePosition;
use cranereach_fleet::worker_view::ModelReplica;

const WORKER_COUNT: usize = 4;
const MODEL_COUNT: usize = 9;
const WEIGHTS_MB: f64 = 220.0;
const ADAPTER_SLOT_COUNT: usize = 3;
const SEED_COUNT: u64 = 150;
const STEP_COUNT: u64 = 2_500;
const LOAD_MS: u64 = 1_000;

/// A simulated worker that records what it was ordered to hold.
#[derive(Default)]
struct Worker {
    sequence: u64,
    replicas: Vec<ModelReplica>,
    in_progress: Option<(u64, Order)>,
    late_orders: Vec<(u64, OpenOrder)>,
    /// Earlier states with their times in milliseconds; reports show one of them.
    history: Vec<(u64, WorkerState)>,
}

fn sizes() -> Vec<ModelSize> {
    let size = |model: usize| ModelSize {
        weights_mb: if model.is_multiple_of(2) { 65.0 } else { 72.0 },
        adapter_mb: 2.0,
        adapter_count: 6,
        load_s: 1.0,
    };
    (0..MODEL_COUNT).map(size).collect()
}

impl Worker {
    fn state(&self) -> WorkerState {
        WorkerState {
            sequence: self.sequence,
            is_busy: self.in_progress.is_some(),
            replicas: self.replicas.clone(),
        }
    }

    /// Checks memory and adapter slots, counting a model that is being loaded.
    fn check(&self, seed: u64) {
        let sizes = sizes();
        let loading_mb = match self.in_progress {
            Some((_, Order::Load(model))) => sizes[usize::from(model)].weights_mb,
            _ => 0.0,
        };
        let held_mb: f64 = self
            .replicas
            .iter()
            .map(|replica| {
                let size = &sizes[usize::from(replica.model)];
                size.weights_mb + size.adapter_mb * replica.adapters.len() as f64
            })
            .sum();
        assert!(
            held_mb + loading_mb <= WEIGHTS_MB,
            "seed {seed}: {held_mb} + {loading_mb} MB"
        );
        let adapters: usize = self
            .replicas
            .iter()
            .map(|replica| replica.adapters.len())
            .sum();
        assert!(
            adapters <= ADAPTER_SLOT_COUNT,
            "seed {seed}: {adapters} adapters"
        );
    }

    fn receive(&mut self, now_ms: u64, open: OpenOrder) -> OrderEnd {
        if open.expected_sequence != self.sequence {
            return OrderEnd::Conflict;
        }
        let is_model = matches!(open.order, Order::Load(_) | Order::Unload(_));
        if is_model && self.in_progress.is_some() {
            return OrderEnd::Conflict;
        }
        self.sequence += 1;
        match open.order {
            Order::Load(_) => self.in_progress = Some((now_ms + LOAD_MS, open.order)),
            Order::Unload(_) => self.in_progress = Some((now_ms + 200, open.order)),
            Order::LoadAdapter((model, adapter)) => {
                let replica = self
                    .replicas
                    .iter_mut()
                    .find(|replica| replica.model == model);
                if let Some(replica) = replica {
                    replica.adapters.push(adapter);
                }
            }
            Order::UnloadAdapter((model, adapter)) => {
                let replica = self
                    .replicas
                    .iter_mut()
                    .find(|replica| replica.model == model);
                if let Some(replica) = replica {
                    replica.adapters.retain(|held| *held != adapter);
                }
            }
        }
        OrderEnd::Taken
    }

    fn advance(&mut self, now_ms: u64) {
        if let Some((_, order)) = self.in_progress.filter(|(at_ms, _)| *at_ms <= now_ms) {
            self.in_progress = None;
            match order {
                Order::Load(model) => self.replicas.push(ModelReplica {
                    model,
                    ..ModelReplica::default()
                }),
                Order::Unload(model) => self.replicas.retain(|replica| replica.model != model),
                Order::LoadAdapter(_) | Order::UnloadAdapter(_) => {}
            }
        }
        let due: Vec<(u64, OpenOrder)> = self
            .late_orders
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, open) in due {
            self.receive(now_ms, open);
        }
        self.history.push((now_ms, self.state()));
    }

    fn report(&self, now_ms: u64, lag_ms: u64) -> Option<WorkerState> {
        let shown = self
            .history
            .iter()
            .rev()
            .find(|(at_ms, _)| at_ms + lag_ms <= now_ms);
        shown.map(|(_, state)| state.clone())
    }
}

/// An answer in transit to the lease holder.
enum Answer {
    Report(Option<WorkerState>),
    Order(OrderEnd, u32),
}

#[expect(
    clippy::too_many_lines,
    reason = "one simulation, written as a sequence of steps"
)]
fn run_simulation(seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids: Vec<Arc<str>> = (0..WORKER_COUNT)
        .map(|n| Arc::from(format!("w{n}")))
        .collect();
    let mut workers: Vec<Worker> = (0..WORKER_COUNT).map(|_| Worker::default()).collect();
    let mut ledger = Ledger::default();
    let mut in_transit: Vec<(u64, usize, Answer)> = Vec::new();
    let mut demand: HashMap<ModelKey, f64> = HashMap::new();
    let models = sizes();
    let mut taken_count = 0;
    for step in 0..STEP_COUNT {
        let now_ms = step * 20;
        for worker in &mut workers {
            worker.advance(now_ms);
            worker.check(seed);
        }
        if step % 100 == 0 {
            demand.clear();
            for _ in 0..6 {
                let key = (
                    rng.random_range(0..MODEL_COUNT as u16),
                    rng.random_range(0..5),
                );
                demand.insert(key, rng.random_range(50.0..4_000.0));
            }
        }
        if rng.random_bool(0.002) {
            // Another holder takes over and knows only rows and reports.
            ledger.clear();
            in_transit.clear();
        }
        for (number, worker) in workers.iter().enumerate() {
            // Rows are even older than reports.
            let row = worker
                .report(now_ms, rng.random_range(0..1_500))
                .unwrap_or_default();
            ledger.row(
                now_ms,
                WorkerRow {
                    id: &ids[number],
                    position: StorePosition::new(0, step + 1),
                    started_unix_ms: 0,
                    replicas: row.replicas,
                    copies: Vec::new(),
                    is_serving: true,
                },
            );
        }
        let arrived: Vec<(u64, usize, Answer)> = in_transit
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, number, answer) in arrived {
            match answer {
                Answer::Report(state) => ledger.reported(now_ms, &ids[number], state),
                Answer::Order(end, sent) => ledger.ended(now_ms, &ids[number], end, sent, LOAD_MS),
            }
        }
        let mut sends: Vec<(usize, OpenOrder, u32)> = Vec::new();
        for id in ledger.reports_due(now_ms) {
            let number = ids.iter().position(|known| *known == id).unwrap();
            let report = workers[number].report(now_ms, 100);
            let report = report.filter(|_| rng.random_bool(0.9));
            in_transit.push((
                now_ms + rng.random_range(0..300),
                number,
                Answer::Report(report),
            ));
        }
        for (id, open, sent) in ledger.resends_due(now_ms) {
            sends.push((
                ids.iter().position(|known| *known == id).unwrap(),
                open,
                sent,
            ));
        }
        loop {
            let (names, views) = ledger.views();
            let plan = Plan {
                models: &models,
                weights_mb: WEIGHTS_MB,
                adapter_slot_count: ADAPTER_SLOT_COUNT,
                demand: &demand,
                workers: &views,
            };
            let Some(planned) = plan.next(true) else {
                break;
            };
            let id = &names[planned.worker];
            let Some(open) = ledger.begin(id, planned.order) else {
                break;
            };
            sends.push((ids.iter().position(|known| known == id).unwrap(), open, 1));
        }
        for (number, open, sent) in sends {
            let end = match rng.random_range(0..10) {
                0 => OrderEnd::Unanswered,
                1 => {
                    workers[number].receive(now_ms, open);
                    OrderEnd::Unanswered
                }
                2 => {
                    let at_ms = now_ms + rng.random_range(2_000..12_000);
                    workers[number].late_orders.push((at_ms, open));
                    OrderEnd::Unanswered
                }
                3 => OrderEnd::NotSent,
                _ => workers[number].receive(now_ms, open),
            };
            taken_count += usize::from(end == OrderEnd::Taken);
            let at_ms = now_ms + rng.random_range(0..200);
            in_transit.push((at_ms, number, Answer::Order(end, sent)));
        }
    }
    taken_count
}

#[test]
fn no_worker_is_ordered_beyond_its_memory_or_slots() {
    let taken: usize = (0..SEED_COUNT).map(run_simulation).sum();
    assert!(
        taken > 20 * SEED_COUNT as usize,
        "too few orders were taken: {taken}"
    );
}

/// Returns a ledger that has seen only the row of one empty worker.
fn ledger_of_one() -> (Arc<str>, Ledger) {
    let id: Arc<str> = Arc::from("w");
    let mut ledger = Ledger::default();
    let row = WorkerRow {
        id: &id,
        position: StorePosition::new(0, 1),
        started_unix_ms: 0,
        replicas: Vec::new(),
        copies: Vec::new(),
        is_serving: true,
    };
    ledger.row(0, row);
    (id, ledger)
}

#[test]
fn a_worker_gets_no_order_before_a_report() {
    let (id, mut ledger) = ledger_of_one();
    assert_eq!(ledger.begin(&id, Order::Load(0)), None);
    assert_eq!(ledger.reports_due(0), [Arc::clone(&id)]);
    ledger.reported(
        0,
        &id,
        Some(WorkerState {
            sequence: 7,
            ..WorkerState::default()
        }),
    );
    let open = ledger.begin(&id, Order::Load(0)).unwrap();
    assert_eq!(open.expected_sequence, 7);
    assert_eq!(
        ledger.begin(&id, Order::Load(1)),
        None,
        "one order at a time"
    );
}

#[test]
fn an_unanswered_order_is_resent_unchanged() {
    let (id, mut ledger) = ledger_of_one();
    ledger.reports_due(0);
    ledger.reported(0, &id, Some(WorkerState::default()));
    let open = ledger.begin(&id, Order::Load(3)).unwrap();
    ledger.ended(10, &id, OrderEnd::Unanswered, 1, LOAD_MS);
    assert!(ledger.resends_due(11).is_empty());
    assert_eq!(ledger.resends_due(1_000), [(Arc::clone(&id), open, 2)]);
    ledger.ended(1_010, &id, OrderEnd::Conflict, 2, LOAD_MS);
    assert_eq!(
        ledger.reports_due(2_000),
        [id],
        "the worker took the first send, so a report is due"
    );
}

#[test]
fn an_adapter_is_announced_once_its_load_was_taken_and_had_time() {
    let id: Arc<str> = Arc::from("w");
    let mut ledger = Ledger::default();
    ledger.row(
        0,
        WorkerRow {
            id: &id,
            position: StorePosition::new(0, 1),
            started_unix_ms: 0,
            replicas: vec![ModelReplica {
                model: 2,
                adapters: vec![1],
                ..ModelReplica::default()
            }],
            copies: Vec::new(),
            is_serving: true,
        },
    );
    ledger.reports_due(0);
    let state = WorkerState {
        replicas: vec![ModelReplica {
            model: 2,
            adapters: vec![1],
            ..ModelReplica::default()
        }],
        ..WorkerState::default()
    };
    ledger.reported(0, &id, Some(state));
    let announced = |ledger: &mut Ledger, now_ms| -> Vec<u16> {
        let adapters = ledger.adapters(now_ms);
        adapters
            .into_iter()
            .map(|(_, (_, adapter))| adapter)
            .collect()
    };
    assert_eq!(announced(&mut ledger, 0), [1]);
    ledger.begin(&id, Order::LoadAdapter((2, 5))).unwrap();
    // Guards against requests that reach the worker before the adapter and are refused.
    assert_eq!(announced(&mut ledger, 10), [1], "the order is in transit");
    ledger.ended(20, &id, OrderEnd::Taken, 1, 1_000);
    assert_eq!(announced(&mut ledger, 21), [1], "the worker is loading it");
    assert_eq!(announced(&mut ledger, 200), [1, 5]);
}
