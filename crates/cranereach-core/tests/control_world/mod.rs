//! Deterministic simulation of a cell: engines, the shared table and instances, driven by one
//! seeded loop.
//!
//! Orders are lost, delayed and duplicated; reports lag; table answers are lost after the write
//! took effect; instances pause between deciding and sending; engines restart empty. The tests
//! check the memory actually used at every step.

mod engine;
mod transport;

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::engine::Engine;
use cranereach_core::control::CellControl;
use cranereach_core::control::ControlAction;
use cranereach_core::control::ControlOptions;
use cranereach_core::control::IntentRow;
use cranereach_core::control::Order;
use cranereach_core::control::OrderEnd;
use cranereach_core::lease::LeaseRow;
use cranereach_core::lease::LeaseView;
use cranereach_core::ledger::ORDER_LIFETIME_MS;
use cranereach_core::ledger::Residence;
use cranereach_core::names::InstanceId;
use cranereach_core::names::TargetName;
use cranereach_core::names::WorkerId;
use cranereach_core::residency::MARGINAL;
use cranereach_core::residency::PlanTarget;
use cranereach_core::residency::PlanWeights;

/// Memory of one engine, in bytes.
pub const CAPACITY_BYTES: u64 = 100;

/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 100;

/// Faults to inject, each as a probability per event or step.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lose_order: f64,
    pub delay_order: f64,
    pub duplicate_order: f64,
    pub pause: f64,
    pub restart_engine: f64,
    pub lose_table_answer: f64,
    pub table_outage: f64,
    pub lose_report: f64,
}

/// No faults.
pub const NO_FAULTS: Faults = Faults {
    lose_order: 0.0,
    delay_order: 0.0,
    duplicate_order: 0.0,
    pause: 0.0,
    restart_engine: 0.0,
    lose_table_answer: 0.0,
    table_outage: 0.0,
    lose_report: 0.0,
};

/// One instance, possibly paused with actions that it has not yet executed.
#[derive(Debug)]
struct Instance {
    control: CellControl,
    clock_offset_ms: u64,
    paused_until_ms: u64,
    pending_actions: Vec<ControlAction>,
    read_at_ms: u64,
    intents_version: u64,
}

/// An order that arrives at its engine later.
#[derive(Debug)]
struct DelayedOrder {
    arrives_at_ms: u64,
    order: Order,
}

/// The simulated cell.
pub struct World {
    pub now_ms: u64,
    pub faults: Faults,
    pub rng: SmallRng,
    pub last_resident_ms: HashMap<TargetName, u64>,
    fenced: bool,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    delayed_orders: Vec<DelayedOrder>,
    lease: (u64, LeaseRow),
    intents: (u64, IntentRow),
    table_down_until_ms: u64,
    targets: Vec<PlanTarget>,
}

impl World {
    /// Creates a world of two engines and three instances, whose clocks differ.
    pub fn new(seed: u64, fenced: bool, faults: Faults) -> Self {
        let ids: Vec<WorkerId> = (0..2)
            .map(|number| WorkerId::from(format!("w{number}")))
            .collect();
        let options = ControlOptions {
            policy: &MARGINAL,
            weights: PlanWeights::default(),
            loads_per_s: 50.0,
            loads_at_once_count: 4,
        };
        let instance = |number: u64| {
            let own = InstanceId::from(format!("i{number}"));
            let clock_offset_ms = number * 777_000;
            let mut control = CellControl::new(own, fenced, options, clock_offset_ms);
            control.set_workers(&ids, CAPACITY_BYTES);
            Instance {
                control,
                clock_offset_ms,
                paused_until_ms: 0,
                pending_actions: Vec::new(),
                read_at_ms: 0,
                intents_version: 0,
            }
        };
        Self {
            now_ms: 0,
            faults,
            rng: SmallRng::seed_from_u64(seed),
            last_resident_ms: HashMap::new(),
            fenced,
            engines: ids.iter().map(|id| Engine::new(id.clone())).collect(),
            instances: (0..3).map(instance).collect(),
            delayed_orders: Vec::new(),
            lease: (0, LeaseRow::default()),
            intents: (0, IntentRow::default()),
            table_down_until_ms: 0,
            targets: (0..6).map(target).collect(),
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.change_demand();
        self.inject_faults();
        self.deliver_delayed_orders();
        for engine in &mut self.engines {
            engine.complete_due(self.now_ms);
        }
        for index in 0..self.instances.len() {
            self.run_instance(index);
        }
        // Instances see this state of the engines in the next step, so reports lag by one step.
        self.engines.iter_mut().for_each(Engine::refresh_report);
        self.record_resident();
    }

    /// Returns the memory used by the fullest engine, in bytes.
    pub fn max_used_bytes(&self) -> u64 {
        self.engines
            .iter()
            .map(Engine::used_bytes)
            .max()
            .unwrap_or(0)
    }

    /// Makes the table unavailable until a point in time.
    pub fn table_down_until(&mut self, until_ms: u64) {
        self.table_down_until_ms = until_ms;
    }

    /// Pauses each instance that currently acts as the lease holder.
    pub fn pause_holder(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        let acting = self
            .instances
            .iter_mut()
            .filter(|instance| instance.control.acting_epoch().is_some());
        acting.for_each(|instance| instance.paused_until_ms = until_ms);
    }

    /// Returns the number of instances whose lease currently allows them to send orders to engines
    /// that do not check fences.
    pub fn acting_count(&self) -> usize {
        let holds_lease = |instance: &&Instance| {
            instance
                .control
                .lease()
                .may_order(self.now_ms + instance.clock_offset_ms, false)
                .is_some()
        };
        self.instances.iter().filter(holds_lease).count()
    }

    /// Sets the demand to a single target.
    pub fn request_only(&mut self, index: usize) {
        for (number, target) in self.targets.iter_mut().enumerate() {
            target.waiting_count = u32::from(number == index);
            target.oldest_wait_ms = 1_000;
            target.concurrent_count = 0.0;
        }
    }

    /// Returns whether a target is resident on any engine.
    pub fn is_resident(&self, index: usize) -> bool {
        let name = &self.targets[index].target;
        let holds_resident = |engine: &Engine| {
            engine
                .occupants
                .get(name)
                .is_some_and(|(occupant, _)| occupant.residence == Residence::Resident)
        };
        self.engines.iter().any(holds_resident)
    }

    /// Changes the demand at random, except in a world that loses no reports.
    fn change_demand(&mut self) {
        for target in &mut self.targets {
            target.oldest_wait_ms += if target.waiting_count > 0 { STEP_MS } else { 0 };
            if self.faults.lose_report > 0.0 && self.rng.random_bool(0.02) {
                target.waiting_count = self.rng.random_range(0..3);
                target.oldest_wait_ms = self.rng.random_range(0..5_000);
                target.concurrent_count = self.rng.random_range(0.0..20.0);
                target.used_at_ms = self.now_ms;
            }
        }
    }

    /// Pauses instances, restarts engines and starts table outages at random.
    fn inject_faults(&mut self) {
        for instance in &mut self.instances {
            if self.rng.random_bool(self.faults.pause) {
                instance.paused_until_ms = self.now_ms + self.rng.random_range(500..15_000);
            }
        }
        for engine in &mut self.engines {
            if self.rng.random_bool(self.faults.restart_engine) {
                *engine = Engine::new(engine.id.clone());
                engine.boot_id = self.rng.random();
            }
        }
        if self.rng.random_bool(self.faults.table_outage) {
            self.table_down_until_ms = self.now_ms + self.rng.random_range(1_000..40_000);
        }
    }

    /// Delivers the delayed orders that are due.
    fn deliver_delayed_orders(&mut self) {
        let now_ms = self.now_ms;
        let (due, delayed_orders): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_orders)
            .into_iter()
            .partition(|delayed| delayed.arrives_at_ms <= now_ms);
        self.delayed_orders = delayed_orders;
        for DelayedOrder { order, .. } in due {
            self.deliver_order(&order);
        }
    }

    /// Delivers an order to its engine and returns how it ended.
    fn deliver_order(&mut self, order: &Order) -> OrderEnd {
        let (now_ms, fenced) = (self.now_ms, self.fenced);
        let engine = self
            .engines
            .iter_mut()
            .find(|engine| engine.id == order.worker);
        engine.map_or(OrderEnd::Unknown, |engine| {
            engine.handle_order(now_ms, order, fenced)
        })
    }

    /// Runs one instance unless it is paused.
    fn run_instance(&mut self, index: usize) {
        if self.now_ms < self.instances[index].paused_until_ms {
            return;
        }
        // Actions decided before a pause are executed after it.
        let pending_actions = std::mem::take(&mut self.instances[index].pending_actions);
        self.execute(index, pending_actions);
        self.read_lease(index);
        self.deliver_reports(index);
        let view = LeaseView {
            is_owner: self
                .instances
                .iter()
                .position(|other| self.now_ms >= other.paused_until_ms)
                == Some(index),
            holder_heard: self.holder_is_running(),
            checks_fences: self.fenced,
            leaving: false,
            nonce: self.rng.random(),
        };
        let mut actions = Vec::new();
        let instance = &mut self.instances[index];
        let own_ms = self.now_ms + instance.clock_offset_ms;
        instance
            .control
            .tick(own_ms, &view, &self.targets, &mut actions);
        if self.rng.random_bool(self.faults.pause) {
            self.instances[index].paused_until_ms =
                self.now_ms + self.rng.random_range(100..ORDER_LIFETIME_MS / 2);
            self.instances[index].pending_actions = actions;
            return;
        }
        self.execute(index, actions);
    }

    /// Returns whether the holder named in the lease row is running, not paused.
    fn holder_is_running(&self) -> bool {
        let name = |number: usize| InstanceId::from(format!("i{number}"));
        let holder =
            (0..self.instances.len()).find(|&number| self.lease.1.holder == Some(name(number)));
        holder.is_some_and(|number| self.now_ms >= self.instances[number].paused_until_ms)
    }

    /// Returns whether the table is available.
    fn table_is_up(&self) -> bool {
        self.now_ms >= self.table_down_until_ms
    }

    /// Reads the lease row every two seconds.
    fn read_lease(&mut self, index: usize) {
        let is_up = self.table_is_up();
        let instance = &mut self.instances[index];
        if is_up && self.now_ms >= instance.read_at_ms + 2_000 {
            instance.read_at_ms = self.now_ms;
            let (version, row) = &self.lease;
            instance.control.lease_mut().row_read(
                self.now_ms + instance.clock_offset_ms,
                *version,
                row,
            );
        }
    }

    /// Delivers the engines' lagging reports to an instance; some get lost.
    fn deliver_reports(&mut self, index: usize) {
        for number in 0..self.engines.len() {
            if self.rng.random_bool(self.faults.lose_report) {
                continue;
            }
            let report = self.engines[number].report.clone();
            let worker = self.engines[number].id.clone();
            let instance = &mut self.instances[index];
            let own_ms = self.now_ms + instance.clock_offset_ms;
            instance
                .control
                .apply_report(own_ms, &worker, &report, 4, &mut Vec::new());
        }
    }

    /// Records the resident targets, so that tests can check that some were loaded.
    fn record_resident(&mut self) {
        for engine in &self.engines {
            for (name, (occupant, _)) in &engine.occupants {
                if occupant.residence == Residence::Resident {
                    self.last_resident_ms.insert(name.clone(), self.now_ms);
                }
            }
        }
    }
}

/// Creates a target; most pairs of targets fill an engine.
fn target(number: u64) -> PlanTarget {
    PlanTarget {
        target: TargetName::from(format!("m{number}")),
        memory_bytes: 30 + 10 * (number % 4),
        base: None,
        concurrent_count: 0.0,
        waiting_count: 0,
        oldest_wait_ms: 0,
        used_at_ms: 0,
        replicas_before: 0,
        replicas_elsewhere: 0,
        may_add_replica: true,
    }
}
