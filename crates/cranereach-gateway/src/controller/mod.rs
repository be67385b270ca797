//! Holds the leases of engine services and directs which models their workers load.
//!
//! There is one lease per service. Its holder plans from the list of workers and from the demand
//! that all instances report. [`lease`] maintains the lease row in the store; [`orders`] sends
//! orders to workers and requests their reports.

mod lease;
mod orders;
mod view;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc;

use self::lease::Candidacy;
use self::orders::Completion;
use self::orders::OrderSender;
use crate::node::AnnouncedChanges;
use crate::node::Node;
use crate::node::pause;
use crate::peer_updates;
use cranereach_core::token_bucket::TokenBucket;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::demand::ModelKey;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::lease_state::LeaseState;
use cranereach_fleet::ledger::Ledger;
use cranereach_fleet::placement::Plan;
use cranereach_fleet::pressure::Pressure;
use cranereach_fleet::pressure::WantedModel;
use cranereach_fleet::worker_view::WorkerView;
use cranereach_http::clock::STARTED_AT_MS;

/// Time between two rounds of the control loop, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 100;

/// Minimum time between two rounds, in milliseconds.
const ROUND_MIN_INTERVAL_MS: u64 = 15;

/// Delay of the first round after the start, in milliseconds, during which digests of peers
/// arrive.
const START_DELAY_MS: u64 = 400;

/// Time for which the list of workers must not have grown before planning begins, in
/// milliseconds.
///
/// While the list is still filling, models seem to be missing whose workers are not on it yet.
const LIST_STABLE_FOR_MS: u64 = 2_000;

/// Number of loads from the weight store that may start at once.
const LOAD_BURST_COUNT: f64 = 2.0;

/// Time between two log lines with the inputs of the plan, in milliseconds.
const PLAN_LOG_INTERVAL_MS: u64 = 1_000;

/// Maximum number of models that such a log line names.
const LOGGED_MODEL_MAX_COUNT: usize = 8;

/// Maximum number of new orders in one round.
const ROUND_ORDER_MAX_COUNT: usize = 16;

/// Maximum number of adapters that a lease holder announces to peers.
const ANNOUNCED_ADAPTER_MAX_COUNT: usize = 512;

/// Controller of one service: its lease and what the lease holder knows.
#[derive(Debug)]
struct ServiceController {
    service: Arc<str>,
    lease_state: LeaseState,
    candidacy: Candidacy,
    ledger: Ledger,
    load_budget: TokenBucket,
    was_ordering: bool,
    is_first_term: bool,
    stable_since_ms: u64,
    worker_count: usize,
    plan_logged_at_ms: u64,
}

/// Runs the control loop until the process ends.
pub async fn run(node: Arc<Node>) {
    pause(START_DELAY_MS).await;
    let (completion_sender, mut completions) = mpsc::unbounded_channel();
    let mut sender = OrderSender::new(Arc::clone(&node), completion_sender);
    let mut controllers: HashMap<Arc<str>, ServiceController> = HashMap::new();
    loop {
        while let Ok(completion) = completions.try_recv() {
            if let Some(controller) = controllers.get_mut(&completion.service) {
                controller.apply_result(&node, completion);
            }
        }
        add_missing_controllers(&node, &mut controllers);
        for controller in controllers.values_mut() {
            lease::advance(
                &node,
                &mut controller.lease_state,
                &mut controller.candidacy,
                &controller.service,
            )
            .await;
            controller.run_round(&node, &mut sender);
        }
        pause(ROUND_MIN_INTERVAL_MS).await;
        let round_interval = Duration::from_millis(ROUND_INTERVAL_MS);
        tokio::select! {
            _wanted = node.controller_wanted.notified() => {}
            _elapsed = tokio::time::sleep(round_interval) => {}
            completion = completions.recv() => {
                if let Some(completion) = completion
                    && let Some(controller) = controllers.get_mut(&completion.service)
                {
                    controller.apply_result(&node, completion);
                }
            }
        }
    }
}

/// Adds a controller for each engine service of the configuration that has none.
fn add_missing_controllers(node: &Node, controllers: &mut HashMap<Arc<str>, ServiceController>) {
    let Some(configuration) = node.configuration() else {
        return;
    };
    for service in configuration.services.values() {
        if let Some(engine) = &service.engine
            && !controllers.contains_key(&service.name)
        {
            let controller = ServiceController::new(node, Arc::clone(&service.name), engine);
            controllers.insert(Arc::clone(&service.name), controller);
        }
    }
}

impl ServiceController {
    /// Creates a controller that does not hold its lease.
    fn new(node: &Node, service: Arc<str>, engine: &Engine) -> Self {
        let settings = &node.settings;
        Self {
            lease_state: LeaseState::new(&settings.instance.id, settings.bounds.lease_ms),
            candidacy: Candidacy::default(),
            ledger: Ledger::default(),
            load_budget: TokenBucket::new(
                engine.loads_per_s * 0.95,
                LOAD_BURST_COUNT,
                node.now_ms(),
            ),
            was_ordering: false,
            is_first_term: true,
            stable_since_ms: STARTED_AT_MS,
            worker_count: 0,
            plan_logged_at_ms: 0,
            service,
        }
    }

    /// Records the result of an order or of a report request in the ledger.
    fn apply_result(&mut self, node: &Node, completion: Completion) {
        let now_ms = node.now_ms();
        match completion.end {
            orders::End::Report(state) => self.ledger.reported(now_ms, &completion.worker, state),
            orders::End::Order(end, sent_count) => {
                let load_ms = self.load_ms(node, &completion);
                self.ledger
                    .ended(now_ms, &completion.worker, end, sent_count, load_ms);
            }
        }
    }

    /// Returns an upper bound of the load time of the order's model, in milliseconds: the time of a
    /// load from the weight store.
    fn load_ms(&self, node: &Node, completion: &Completion) -> u64 {
        let service = node.service(&self.service);
        let engine = service.as_ref().and_then(|service| service.engine.as_ref());
        let model = engine.and_then(|engine| engine.models.get(usize::from(completion.model)));
        model.map_or(1_000, |model| (model.load_s * 1_000.0) as u64)
    }

    /// Runs one round: plans and sends orders if the lease permits it now.
    fn run_round(&mut self, node: &Arc<Node>, sender: &mut OrderSender) {
        let now_ms = node.now_ms();
        let is_ordering = self.lease_state.may_order(now_ms);
        if is_ordering != self.was_ordering {
            info!(node.log, "lease"; "service" => self.service.as_ref(),
                "held" => is_ordering, "token" => self.lease_state.token(now_ms));
            node.metrics.leases_held.set(i64::from(is_ordering));
            self.was_ordering = is_ordering;
            self.ledger.clear();
            if !self.is_first_term {
                // The previous holder may have started loads just now, so the load budget starts
                // empty.
                self.load_budget.drain(now_ms);
            }
            self.is_first_term = false;
        }
        if !is_ordering {
            if node.announced().remove(&self.service).is_some() {
                self.set_missing_metric(node, 0);
                node.digest_wanted.notify_one();
            }
            return;
        }
        let Some(service) = node.service(&self.service) else {
            return;
        };
        let Some(engine) = &service.engine else {
            return;
        };
        view::update_ledger(node, &service.name, engine, &mut self.ledger);
        for worker in self.ledger.reports_due(now_ms) {
            sender.request_report(&self.service, &worker);
        }
        for (worker, open_order, sent_count) in self.ledger.resends_due(now_ms) {
            sender.send_order(
                &self.lease_state,
                &self.service,
                engine,
                &worker,
                open_order,
                sent_count,
            );
        }
        if self.is_list_stable(node, now_ms) {
            self.plan(node, engine, sender);
            // The plan may want workers that were never asked for a report.
            for worker in self.ledger.reports_due(now_ms) {
                sender.request_report(&self.service, &worker);
            }
        }
        self.announce(node, engine);
    }

    /// Returns whether the list of workers has stopped growing. Growth delays planning only
    /// shortly after the start.
    fn is_list_stable(&mut self, node: &Node, now_ms: u64) -> bool {
        let worker_count = node.roster().of_service(&self.service).count();
        if self.worker_count < worker_count
            && node.up_for_ms() < START_DELAY_MS + 2 * LIST_STABLE_FOR_MS
        {
            self.stable_since_ms = now_ms;
        }
        self.worker_count = worker_count;
        worker_count > 0 && now_ms >= self.stable_since_ms + LIST_STABLE_FOR_MS
    }

    /// Plans and sends the resulting orders.
    fn plan(&mut self, node: &Arc<Node>, engine: &Engine, sender: &mut OrderSender) {
        let now_ms = node.now_ms();
        let demand = view::demand(node, now_ms, &self.service);
        let models = view::model_sizes(engine);
        if now_ms >= self.plan_logged_at_ms + PLAN_LOG_INTERVAL_MS {
            self.plan_logged_at_ms = now_ms;
            self.log_plan_inputs(node, engine, &demand);
        }
        let (ids, mut workers) = view::workers(node, &self.ledger);
        for _order in 0..ROUND_ORDER_MAX_COUNT {
            let plan = Plan {
                models: &models,
                weights_mb: engine.weights_mb,
                adapter_slot_count: engine.adapter_slot_count as usize,
                demand: &demand,
                workers: &workers,
            };
            let Some(planned) = plan.next(self.load_budget.has_token(now_ms)) else {
                return;
            };
            let id = Arc::clone(&ids[planned.worker]);
            if let Some(open_order) = self.ledger.begin(&id, planned.order) {
                if planned.is_from_store {
                    self.load_budget.take(now_ms);
                }
                sender.send_order(&self.lease_state, &self.service, engine, &id, open_order, 1);
            }
            // Only the view of the worker that got the order has changed.
            let worker = &mut workers[planned.worker];
            if let Some(view) = self.ledger.view(&id) {
                let is_evacuated = worker.is_evacuated;
                *worker = WorkerView {
                    is_evacuated,
                    ..view
                };
            }
        }
    }

    /// Logs the inputs of the plan and updates the metric of missing models.
    fn log_plan_inputs(&self, node: &Node, engine: &Engine, demand: &HashMap<ModelKey, f64>) {
        let (_ids, workers) = view::workers(node, &self.ledger);
        let pressure = Pressure::of(engine.models.len(), demand, &workers);
        let (most, mean) = pressure.levels();
        let all = pressure.most_wanted(engine.models.len());
        let missing_count = all
            .iter()
            .filter(|candidate| candidate.ready_count == 0)
            .count();
        self.set_missing_metric(node, missing_count);
        let wanted = &all[..all.len().min(LOGGED_MODEL_MAX_COUNT)];
        let wanted: Vec<String> = wanted
            .iter()
            .map(|candidate| {
                let name = engine
                    .models
                    .get(candidate.model)
                    .map_or("", |model| &model.name);
                let WantedModel {
                    demand,
                    ready_count,
                    loading_count,
                    level,
                    ..
                } = candidate;
                format!("{name} {demand:.2} {ready_count}+{loading_count} {level:.2}")
            })
            .collect();
        info!(node.log, "plan"; "service" => self.service.as_ref(),
            "workers" => workers.iter().filter(|worker| worker.carries_demand()).count(),
            "level_most" => format!("{most:.2}"), "level_mean" => format!("{mean:.2}"),
            "missing" => missing_count, "wanted" => wanted.join(", "));
    }

    /// Sets the metric of models that no worker serves. It is zero on instances that do not hold
    /// the lease.
    fn set_missing_metric(&self, node: &Node, count: usize) {
        let missing = &node.metrics.models_missing;
        let service_gauge = missing.with_label_values(&[self.service.as_ref()]);
        service_gauge.set(count as i64);
    }

    /// Announces to peers, and applies to this instance's own roster, what the orders changed.
    fn announce(&mut self, node: &Node, engine: &Engine) {
        let mut announced = AnnouncedChanges {
            adapters: self.unlisted_adapters(node, engine),
            withheld: Vec::new(),
            loading: self.ledger.loading(node.now_ms()),
        };
        let unloads = self.ledger.unloading();
        announced.withheld = unloads.map(|(id, model)| (worker_key(id), model)).collect();
        let now_ms = node.now_ms();
        peer_updates::apply_orders(node, now_ms, &announced.adapters, &announced.withheld);
        peer_updates::notify_placed(node, worker_key(&self.service), &announced.adapters);
        let mut all_announced = node.announced();
        let previous = all_announced.insert(Arc::clone(&self.service), announced.clone());
        drop(all_announced);
        let Some(previous) = previous else {
            node.digest_wanted.notify_one();
            return;
        };
        if previous.adapters.len() != announced.adapters.len() {
            node.roster_changed.notify_waiters();
        }
        if previous.withheld != announced.withheld {
            node.roster_changed.notify_waiters();
            node.digest_wanted.notify_one();
        }
    }

    /// Returns the adapters that were loaded but do not appear in the list of workers yet.
    fn unlisted_adapters(&mut self, node: &Node, engine: &Engine) -> Vec<(u64, ModelKey)> {
        let adapters = self.ledger.adapters(node.now_ms());
        let roster = node.roster();
        let is_listed = |id: &str, (model, adapter): ModelKey| {
            let name = engine
                .models
                .get(usize::from(model))
                .map(|entry| &entry.name);
            let mut held = roster
                .get(id)
                .into_iter()
                .flat_map(|worker| &worker.record.models);
            held.any(|held| {
                let mut names = held.adapters.iter();
                Some(&held.name) == name
                    && names.any(|name| view::adapter_number(name) == Some(adapter))
            })
        };
        let unlisted = adapters
            .into_iter()
            .filter(|(id, adapter)| !is_listed(id, *adapter));
        unlisted
            .map(|(id, key)| (worker_key(&id), key))
            .take(ANNOUNCED_ADAPTER_MAX_COUNT)
            .collect()
    }
}
