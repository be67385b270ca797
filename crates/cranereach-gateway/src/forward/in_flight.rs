//! Requests in flight at a worker, each counted until it is dropped.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use slog::info;

use crate::brittle_workers;
use crate::brittle_workers::Grant;
use crate::brittle_workers::Granted;
use crate::node::Node;
use crate::owners;
use crate::owners::ReportedRequest;
use crate::worker_ends;
use crate::worker_ends::ProbeResult;
use crate::worker_paths::CONNECT_TIMEOUT_MS;
use crate::worker_paths::NotConnected;
use crate::worker_start;
use cranereach_fleet::brittle::ASK_AGAIN_AFTER_MS;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::load::RANK_COUNT;
use cranereach_fleet::owned::Outcome;
use cranereach_fleet::owned::SentRequest;
use cranereach_fleet::quarantine::ALONE_FROM_COUNT;
use cranereach_fleet::reachability::ConnectFailure;
use cranereach_fleet::roster::Choice;
use cranereach_fleet::routing_request::RoutingRequest;
use cranereach_fleet::topology::Distance;

/// Counts a request as in flight at a worker. Dropping it ends the count and reports the outcome
/// to the worker's owner.
#[derive(Debug)]
pub struct InFlightCall {
    node: Arc<Node>,
    worker: Arc<str>,
    /// Failure domain of the worker.
    domain: Arc<str>,
    pending_prefill: Option<PendingPrefill>,
    /// When the response began.
    answering_since: Option<Instant>,
    model: Option<String>,
    /// Set if no model is named: the service, and the load of the worker before the call.
    plain_call: Option<PlainCall>,
    answer_tokens: u32,
    held_tokens: u32,
    /// Time for which the call is expected to occupy a slot, in milliseconds, with its prefill.
    stay_ms: f64,
    /// The request as reported to the instance that owns the worker.
    reported_request: ReportedRequest,
    outcome: Outcome,
    distance: Distance,
    /// Whether a peer relays the connection.
    was_relayed: bool,
    /// Set if the worker is brittle.
    brittle_grant: Option<Grant>,
}

/// Call of a service without models.
#[derive(Debug)]
struct PlainCall {
    service: Arc<str>,
    route: Arc<str>,
    /// Number of requests open at the worker when it was chosen.
    open_before_count: u32,
    slot_count: u32,
    started_at: Instant,
}

/// Prompt whose prefill at the worker has not finished, as far as known.
#[derive(Debug)]
struct PendingPrefill {
    tokens: u32,
    /// Predicted duration of the prefill, in milliseconds.
    prefill_ms: f64,
    rank: usize,
    /// Whether no other prompt was queued ahead at the worker, as far as known.
    is_first: bool,
    started_at: Instant,
}

impl InFlightCall {
    /// Records that a request is about to be sent.
    ///
    /// `answer_tokens` is the number of output tokens that the caller expects; `send_in_ms` is
    /// the time for which the request is held back.
    pub fn begin(
        node: &Arc<Node>,
        choice: &Choice,
        routing_request: &RoutingRequest<'_>,
        (service, route): (&Arc<str>, &Arc<str>),
        answer_tokens: u32,
        deadline_at_ms: u64,
        send_in_ms: u64,
    ) -> Self {
        let now_ms = node.now_ms();
        let prefill_ms = f64::from(choice.unread_tokens) * routing_request.token_ms;
        let mut domain = Arc::default();
        let mut distance = Distance::OtherRegion;
        if let Some(worker) = node.roster().get_mut(&choice.id) {
            worker.began(now_ms, routing_request, prefill_ms);
            domain = Arc::clone(&worker.record.failure_domain);
            distance = routing_request.topology.distance(&domain);
        }
        node.metrics.open_requests.inc();
        let open_in_domain = &node.metrics.open_in_domain;
        open_in_domain.with_label_values(&[domain.as_ref()]).inc();
        let sent_request = SentRequest {
            rank: routing_request.rank.min(RANK_COUNT - 1) as u8,
            unread_ms: prefill_ms as f32,
            stay_ms: (routing_request.stay_ms + prefill_ms) as f32,
            held_tokens: routing_request.held_tokens,
            ends_within_ms: deadline_at_ms.saturating_sub(now_ms) as u32,
            gap_aim_ms: routing_request.gap_aim_ms.unwrap_or_default() as u32,
            event_tokens: routing_request.event_tokens,
            send_in_ms: send_in_ms as u32,
            runs_alone: routing_request.end_count >= ALONE_FROM_COUNT,
        };
        let reported_request =
            owners::report_begun(node, &choice.id, sent_request, routing_request.parts);
        Self {
            reported_request,
            outcome: Outcome::Neutral,
            distance,
            was_relayed: false,
            brittle_grant: None,
            node: Arc::clone(node),
            worker: Arc::clone(&choice.id),
            domain,
            pending_prefill: Some(PendingPrefill {
                tokens: choice.unread_tokens,
                prefill_ms,
                rank: routing_request.rank,
                is_first: choice.is_first,
                started_at: Instant::now(),
            }),
            answering_since: None,
            model: routing_request.model.map(|(model, _)| model.to_owned()),
            plain_call: routing_request.model.is_none().then(|| PlainCall {
                service: Arc::clone(service),
                route: Arc::clone(route),
                open_before_count: choice.load.open_count,
                slot_count: choice.slot_count,
                started_at: Instant::now(),
            }),
            answer_tokens,
            held_tokens: routing_request.held_tokens,
            stay_ms: routing_request.stay_ms + prefill_ms,
        }
    }

    /// Records that the prefill is complete: the response has begun.
    pub fn prefilled(&mut self) {
        let Some(pending_prefill) = self.clear_pending_prefill() else {
            return;
        };
        self.answering_since = Some(Instant::now());
        let took_ms = pending_prefill.started_at.elapsed().as_secs_f64() * 1_000.0;
        if self.node.is_own_delay(took_ms as u64) {
            // The time says nothing about the worker.
            self.reported_request
                .report_prefilled(&self.node, pending_prefill.prefill_ms);
            return;
        }
        self.reported_request.report_prefilled(&self.node, took_ms);
        if let (true, Some(model)) = (pending_prefill.is_first, &self.model) {
            self.node
                .prefill_costs()
                .learn(model, pending_prefill.tokens, took_ms);
        }
    }

    /// Removes the prompt from the pending prefill work of the worker.
    fn clear_pending_prefill(&mut self) -> Option<PendingPrefill> {
        let pending_prefill = self.pending_prefill.take()?;
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.read(pending_prefill.rank, pending_prefill.prefill_ms);
        }
        Some(pending_prefill)
    }

    /// Records a complete response.
    pub fn succeeded(&mut self) {
        self.completed(Outcome::Whole);
    }

    /// Records a complete response with a longer pause than the route's target for streams.
    pub fn paused(&mut self) {
        self.completed(Outcome::Paused);
    }

    /// Records the outcome of a complete response, and learns from its duration.
    fn completed(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        let now_ms = self.node.now_ms();
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.health.succeeded(now_ms);
        }
        if let (Some(since), Some(model)) = (self.answering_since, &self.model) {
            let slot_time_ms = since.elapsed().as_secs_f64() * 1_000.0;
            if !self.node.is_own_delay(slot_time_ms as u64) {
                let mut slot_times = self.node.slot_times();
                slot_times.learn(model, self.answer_tokens, slot_time_ms);
            }
        }
        if let Some(plain_call) = &self.plain_call {
            let took_ms = plain_call.started_at.elapsed().as_secs_f64() * 1_000.0;
            if !self.node.is_own_delay(took_ms as u64) {
                let mut times = self.node.service_times();
                times.learn(
                    &plain_call.service,
                    &plain_call.route,
                    took_ms,
                    plain_call.open_before_count,
                    plain_call.slot_count,
                );
            }
        }
    }

    /// Records a call that failed after it was sent.
    pub fn failed(&mut self) {
        self.outcome = Outcome::Failed;
        let now_ms = self.node.now_ms();
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.health.failed(now_ms);
        }
    }

    /// Records that no connection to the worker could be opened. The owner of the worker is told
    /// only if the worker is at fault, not a path of this instance, nor this instance itself.
    pub fn not_connected(&mut self, not_connected: NotConnected) {
        let now_ms = self.node.now_ms();
        let key = worker_key(&self.worker);
        let is_dark = self
            .node
            .paths
            .reachability(|reachability| reachability.is_dark_for_all(now_ms, key));
        info!(self.node.log, "worker not connected"; "worker" => self.worker.as_ref(),
            "direct" => format!("{:?}", not_connected.direct),
            "peer" => format!("{:?}", not_connected.peer), "is_dark" => is_dark,
            "is_own_delay" => self.node.is_own_delay(CONNECT_TIMEOUT_MS));
        if not_connected.direct == Some(ConnectFailure::Refused) {
            worker_start::note_end(&self.node, &self.worker);
        }
        let is_silent = not_connected.direct != Some(ConnectFailure::Refused);
        if is_silent && self.node.is_own_delay(CONNECT_TIMEOUT_MS) {
            return;
        }
        let mut roster = self.node.roster();
        let Some(worker) = roster.get_mut(&self.worker) else {
            return;
        };
        if is_dark {
            worker.health.unreachable(now_ms);
            self.outcome = Outcome::Unreachable;
            let counter = &self.node.metrics.paths.unreachable_workers_total;
            counter.with_label_values(&["own"]).inc();
        } else {
            worker.health.not_connected(now_ms);
        }
    }

    /// Records that the connection broke after the call was sent. The worker counts as failed
    /// unless it turns out that a path to it is at fault.
    pub fn broke_off(mut self) {
        let node = Arc::clone(&self.node);
        let worker = Arc::clone(&self.worker);
        worker_start::note_end(&node, &worker);
        let was_relayed = self.was_relayed;
        tokio::spawn(async move {
            let found = worker_ends::check(&node, &worker).await;
            let is_path_at_fault = match found {
                ProbeResult::PathCut => true,
                ProbeResult::Alive => was_relayed,
                _ => false,
            };
            if !is_path_at_fault {
                self.failed();
            }
        });
    }

    /// Whether the call may be sent as far as the worker's brittleness goes. If not, the worker is
    /// left alone for a moment.
    pub async fn ask_for_brittle(&mut self, deadline_at_ms: u64) -> bool {
        let node = &self.node;
        match brittle_workers::ask(node, &self.worker, deadline_at_ms).await {
            Granted::NotNeeded => true,
            Granted::Yes(grant) => {
                self.brittle_grant = Some(grant);
                true
            }
            Granted::No => {
                if let Some(worker) = node.roster().get_mut(&self.worker) {
                    let at_ms = node.now_ms() + ASK_AGAIN_AFTER_MS;
                    worker.ask_pause.postponed_until(at_ms);
                }
                false
            }
        }
    }

    /// Records that the worker turned the call away.
    pub fn rejected(&mut self) {
        if let Some(grant) = &mut self.brittle_grant {
            grant.rejected();
        }
    }

    /// Counts bytes of the call that were sent, directly or through a peer.
    pub fn sent(&mut self, byte_count: usize, via: Option<Ipv4Addr>) {
        self.was_relayed = via.is_some();
        self.count_bytes("sent", byte_count);
    }

    /// Counts bytes of the response.
    pub fn received(&self, byte_count: usize) {
        if !self.was_relayed {
            self.node.paths.note_received(self.node.now_ms());
        }
        self.count_bytes("received", byte_count);
    }

    /// Counts bytes in one direction.
    fn count_bytes(&self, direction: &str, byte_count: usize) {
        let labels = [direction, self.distance.name()];
        let bytes = self
            .node
            .metrics
            .worker_bytes_total
            .with_label_values(&labels);
        bytes.inc_by(byte_count as u64);
    }

    /// Returns the identity of the worker.
    pub fn worker(&self) -> &Arc<str> {
        &self.worker
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let pending_prefill = self.clear_pending_prefill();
        if let Some(pending_prefill) = pending_prefill
            && self
                .node
                .is_own_delay(pending_prefill.started_at.elapsed().as_millis() as u64)
        {
            // Otherwise the owner takes the worker to have stalled.
            self.reported_request
                .report_prefilled(&self.node, pending_prefill.prefill_ms);
        }
        self.reported_request.report_ended(&self.node, self.outcome);
        if let Some(worker) = self.node.roster().get_mut(&self.worker) {
            worker.ended(self.held_tokens, self.stay_ms);
        }
        self.node.metrics.open_requests.dec();
        let open_in_domain = &self.node.metrics.open_in_domain;
        let domain_gauge = open_in_domain.with_label_values(&[self.domain.as_ref()]);
        domain_gauge.dec();
    }
}
