//! Sends orders to workers and requests their reports.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use slog::info;
use tokio::sync::mpsc::UnboundedSender;

use super::view;
use crate::adapter::OrderAnswer;
use crate::adapter::OrderKind;
use crate::adapter::WorkerOrder;
use crate::adapter::WorkerReport;
use crate::node::Node;
use crate::send_permit;
use crate::send_permit::Permit;
use crate::send_permit::RequiredRow;
use crate::worker_headers;
use crate::worker_start;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::lease_state::LeaseState;
use cranereach_fleet::ledger::OpenOrder;
use cranereach_fleet::ledger::OrderEnd;
use cranereach_fleet::ledger::WorkerState;
use cranereach_fleet::load::RANK_COUNT;
use cranereach_fleet::placement::Order;
use cranereach_fleet::purpose::Purpose;
use cranereach_http::client::Answer;
use cranereach_http::client::CallError;
use cranereach_http::client::JsonClient;

/// Timeout of an order, in milliseconds. Orders are safe to resend.
const ORDER_TIMEOUT_MS: u64 = 250;

/// Timeout of a report request, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 600;

/// Rank of orders and report requests at a worker whose request rate is limited: requests of
/// callers go first.
const LEAST_URGENT_RANK: u8 = (RANK_COUNT - 1) as u8;

/// Result of an order or a report request.
#[derive(Clone, Debug)]
pub enum End {
    /// The state from the report, or none if the request failed.
    Report(Option<WorkerState>),
    /// The result of an order, and how many times the order was sent.
    Order(OrderEnd, u32),
}

/// A completed order or report request, for the ledger.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Name of the service.
    pub service: Arc<str>,
    /// Identifier of the worker.
    pub worker: Arc<str>,
    /// Index of the order's model; zero for a report request.
    pub model: u16,
    /// Result.
    pub end: End,
}

/// Sends orders and report requests, each in a task of its own.
#[derive(Debug)]
pub struct OrderSender {
    node: Arc<Node>,
    completions: UnboundedSender<Completion>,
    clients: HashMap<Arc<str>, Arc<JsonClient>>,
}

impl OrderSender {
    /// Creates a sender that reports completions to `completions`.
    pub fn new(node: Arc<Node>, completions: UnboundedSender<Completion>) -> Self {
        Self {
            node,
            completions,
            clients: HashMap::new(),
        }
    }

    /// Requests a worker's report.
    pub fn request_report(&mut self, service: &Arc<str>, worker: &Arc<str>) {
        let client = self.client(worker);
        let node = Arc::clone(&self.node);
        let completions = self.completions.clone();
        let service = Arc::clone(service);
        let worker = Arc::clone(worker);
        tokio::spawn(async move {
            let state = match client {
                Some(client) => fetch_report(&node, &client, &service, &worker).await,
                None => None,
            };
            let counter = &node.metrics.orders_total;
            let outcome = if state.is_some() { "done" } else { "failed" };
            counter.with_label_values(&["report", outcome]).inc();
            let end = End::Report(state);
            // The receiver is dropped only when the process ends.
            let _sent = completions.send(Completion {
                service,
                worker,
                model: 0,
                end,
            });
        });
    }

    /// Sends an order, provided that the lease still permits it at the moment of sending.
    pub fn send_order(
        &mut self,
        lease_state: &LeaseState,
        service: &Arc<str>,
        engine: &Engine,
        worker: &Arc<str>,
        open_order: OpenOrder,
        sent_count: u32,
    ) {
        let model = order_model(open_order.order);
        let client = self.client(worker);
        let name = engine.models.get(usize::from(model));
        let name = name.map(|model| model.name.to_string());
        let node = Arc::clone(&self.node);
        let completions = self.completions.clone();
        let lease_state = lease_state.clone();
        let service = Arc::clone(service);
        let worker = Arc::clone(worker);
        tokio::spawn(async move {
            let end = match (client, name) {
                (Some(client), Some(name)) => {
                    send(
                        &node,
                        &client,
                        &lease_state,
                        &worker,
                        name,
                        open_order,
                        sent_count,
                    )
                    .await
                }
                _ => OrderEnd::NotSent,
            };
            let end = End::Order(end, sent_count);
            // The receiver is dropped only when the process ends.
            let _sent = completions.send(Completion {
                service,
                worker,
                model,
                end,
            });
        });
    }

    /// Returns the HTTP client of a worker, or none if the worker is no longer listed. Drops the
    /// clients of all workers that are no longer listed.
    fn client(&mut self, worker: &Arc<str>) -> Option<Arc<JsonClient>> {
        let roster = self.node.roster();
        self.clients.retain(|id, _| roster.get(id).is_some());
        let address = &roster.get(worker)?.record.address;
        let header = self.node.adapter.headers.expected_worker;
        let client = self.clients.entry(Arc::clone(worker)).or_insert_with(|| {
            let client = JsonClient::new(address).with_connector(&self.node.worker_connector);
            Arc::new(client.with_header(header, worker))
        });
        Some(Arc::clone(client))
    }
}

/// Returns the index of the model that an order is about.
fn order_model(order: Order) -> u16 {
    match order {
        Order::Load(model)
        | Order::Unload(model)
        | Order::LoadAdapter((model, _))
        | Order::UnloadAdapter((model, _)) => model,
    }
}

/// Returns the number of the adapter that an order is about, if any.
fn order_adapter(order: Order) -> Option<u16> {
    match order {
        Order::Load(_) | Order::Unload(_) => None,
        Order::LoadAdapter((_, adapter)) | Order::UnloadAdapter((_, adapter)) => Some(adapter),
    }
}

/// Sends one order and waits for its result.
async fn send(
    node: &Node,
    client: &JsonClient,
    lease_state: &LeaseState,
    worker: &Arc<str>,
    model: String,
    open_order: OpenOrder,
    sent_count: u32,
) -> OrderEnd {
    let Some(token) = lease_state.token(node.now_ms()) else {
        return OrderEnd::NotSent;
    };
    let kind = match open_order.order {
        Order::Load(_) | Order::LoadAdapter(_) => OrderKind::Load,
        Order::Unload(_) | Order::UnloadAdapter(_) => OrderKind::Unload,
    };
    let order = WorkerOrder {
        kind,
        model,
        adapter: order_adapter(open_order.order).map(|adapter| format!("a{adapter}")),
        expected_sequence: open_order.expected_sequence,
        holder: node.settings.instance.id.clone(),
        token,
    };
    let format = &node.adapter.engine;
    let body = Bytes::from((format.encode_order)(&order));
    let permit = || async {
        let permit = send_permit::ask(
            node,
            worker,
            Purpose::Order,
            LEAST_URGENT_RANK,
            RequiredRow::default(),
        )
        .await?;
        // Last check of the lease before the order is sent.
        (lease_state.token(node.now_ms()) == Some(token)).then_some(permit)
    };
    let answer = client
        .post_bytes_with_permit(format.order_path, body, ORDER_TIMEOUT_MS, permit)
        .await;
    note_path(node, worker, answer.as_ref().map(|_answer| ()));
    if let Ok((answer, permit)) = &answer {
        process_headers(node, permit, answer);
    }
    let end = match answer {
        Ok((answer, _permit)) => match (format.parse_order)(answer.status) {
            OrderAnswer::Taken => OrderEnd::Taken,
            OrderAnswer::AlreadyDone => OrderEnd::AlreadyDone,
            OrderAnswer::Conflict => OrderEnd::Conflict,
            OrderAnswer::OtherWorker | OrderAnswer::Refused(_) => OrderEnd::Refused,
        },
        Err(CallError::NotSent { .. } | CallError::NotPermitted { .. }) => OrderEnd::NotSent,
        Err(CallError::Unanswered { .. } | CallError::Garbled { .. }) => OrderEnd::Unanswered,
    };
    info!(node.log, "order"; "worker" => worker.as_ref(),
        "order" => format!("{:?}", open_order.order),
        "model" => order.model, "expected_sequence" => open_order.expected_sequence,
        "token" => token, "end" => format!("{end:?}"), "sent" => sent_count);
    let counter = &node.metrics.orders_total;
    counter
        .with_label_values(&[&format!("{kind:?}"), &format!("{end:?}")])
        .inc();
    end
}

/// Requests a report and parses it.
async fn fetch_report(
    node: &Node,
    client: &JsonClient,
    service: &str,
    worker: &Arc<str>,
) -> Option<WorkerState> {
    let format = &node.adapter.engine;
    let permit = || {
        send_permit::ask(
            node,
            worker,
            Purpose::Report,
            LEAST_URGENT_RANK,
            RequiredRow::default(),
        )
    };
    let answer = client
        .get_with_permit(format.report_path, REPORT_TIMEOUT_MS, permit)
        .await;
    note_path(node, worker, answer.as_ref().map(|_answer| ()));
    let (answer, permit) = answer.ok()?;
    process_headers(node, &permit, &answer);
    if answer.status != 200 {
        return None;
    }
    let report = (format.parse_report)(&answer.body).ok()?;
    if let Some(started_unix_ms) = report.started_unix_ms {
        worker_start::note(node, worker, started_unix_ms);
    }
    let service = node.service(service)?;
    Some(worker_state(service.engine.as_ref()?, &report))
}

/// Records whether a worker answered an order or report request, which always go directly. One
/// that does not is probed.
fn note_path(node: &Node, worker: &Arc<str>, answered: Result<(), &CallError>) {
    let now_ms = node.now_ms();
    match answered {
        Ok(()) => node.paths.note_answered(now_ms, worker),
        Err(CallError::NotSent { .. } | CallError::Unanswered { .. }) => {
            node.paths.suspect(now_ms, worker);
        }
        Err(CallError::NotPermitted { .. } | CallError::Garbled { .. }) => {}
    }
}

/// Processes the worker headers of the answer to an order or report request.
fn process_headers(node: &Node, permit: &Permit, answer: &Answer) {
    // The client took the number from a parsed status, so it is always valid.
    let status = StatusCode::from_u16(answer.status).unwrap_or_default();
    worker_headers::apply_head(node, permit, (status, &answer.headers), true);
}

/// Returns the worker state of a report, with adapters that are still loading counted as held.
fn worker_state(engine: &Engine, report: &WorkerReport) -> WorkerState {
    let mut replicas = view::replicas(engine, &report.models);
    for (model, adapter) in &report.pending {
        let model = engine.model_index(model);
        let replica = replicas
            .iter_mut()
            .find(|replica| Some(replica.model) == model);
        if let (Some(replica), Some(adapter)) = (replica, view::adapter_number(adapter))
            && !replica.adapters.contains(&adapter)
        {
            replica.adapters.push(adapter);
        }
    }
    WorkerState {
        sequence: report.sequence,
        is_busy: report.is_busy,
        replicas,
    }
}
