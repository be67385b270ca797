//! Selection of the worker that a call is offered to next.

use std::sync::Arc;
use std::time::Duration;

use super::continuation::Continuation;
use super::exchange::Exchange;
use super::refusal::NO_HOLDER_RETRY_AFTER_MS;
use super::refusal::RETRY_AFTER_DEFAULT_MS;
use super::refusal::Refusal;
use super::workload;
use crate::expected_models::Expectation;
use crate::node::lock;
use crate::node::pause;
use crate::owners;
use crate::quarantine;
use crate::stream_origins;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::admission::Admission;
use cranereach_fleet::admission::Verdict;
use cranereach_fleet::configuration::Engine;
use cranereach_fleet::key::worker_key;
use cranereach_fleet::no_worker::NoWorker;
use cranereach_fleet::roster::Choice;
use cranereach_fleet::routing_request::RoutingRequest;

/// Time to wait for the lease holder to say when a model is expected to be loaded, in
/// milliseconds. Demand is reported after 20 ms at most, and the holder answers at once.
const LOAD_EXPECTATION_WAIT_MS: u64 = 40;

/// Time from the end of a model load until the updated row of the worker is known to this
/// instance, in milliseconds.
const LISTING_DELAY_MS: u64 = 400;

/// Share of the latency target for which a call waits for its adapter. An adapter loads within
/// some hundred milliseconds, so that most calls that wait are served in time.
const ADAPTER_WAIT_SHARE: f64 = 0.6;

/// Share of the latency target for which a call waits until it may be sent to a worker that is
/// cold, rate-limited or resting.
const GRANT_WAIT_SHARE: f64 = 0.4;

/// Share of the latency target for which a call that is suspected of ending workers waits for a
/// worker that runs no other suspected request. A request that ends its worker does so within
/// some tenths of a second.
const ISOLATION_WAIT_SHARE: f64 = 0.4;

/// Retry-After of a suspected call that finds no such worker, in milliseconds. After some
/// seconds, a worker that has ended is back, and the other suspected requests have been answered
/// in full.
const ISOLATION_RETRY_AFTER_MS: u64 = 1_500;

/// Number of workers whose owners are asked before one is chosen. With the exact loads of three
/// random workers, a call rarely queues while other workers are idle.
const CANDIDATE_COUNT: usize = 3;

/// Longest pause between two attempts to find a worker, in milliseconds.
const RECHECK_INTERVAL_MS: u64 = 40;

impl Exchange<'_> {
    /// Chooses a worker; waits a limited time if none can take the call yet.
    pub(super) async fn choose(&self) -> Result<Choice, Refusal> {
        let call = self.call;
        let mut has_signaled_demand = false;
        loop {
            let now_ms = self.node.now_ms();
            let routing_request = self.routing_request();
            let engine = call.service.engine.as_ref();
            let changed = self.node.roster_changed.notified();
            let expected = self.node.expected_changed.notified();
            let chosen = self
                .choose_of_settled_version(&routing_request, engine)
                .await;
            let why = match chosen {
                Ok(choice) => match self.admit(&choice)? {
                    Some(recheck_in_ms) => {
                        pause(recheck_in_ms).await;
                        continue;
                    }
                    None => return Ok(choice),
                },
                Err(why) => why,
            };
            if !has_signaled_demand {
                has_signaled_demand = true;
                // Reports the demand to the lease holder immediately.
                workload::note_missing_model(self.node, call, why);
                self.node.demand_wanted.notify_one();
                self.node.controller_wanted.notify_one();
            }
            let wait_until_ms = self
                .wait_until_ms(why, &routing_request)
                .min(call.deadline_at_ms);
            if now_ms >= wait_until_ms {
                let code = match why {
                    _ if self.may_have_run => ResultCode::OutcomeUnknown,
                    NoWorker::None | NoWorker::Unreachable => ResultCode::NoUpstream,
                    NoWorker::Leaving => ResultCode::WorkersLeaving,
                    NoWorker::NotAllowed => ResultCode::RegionNotAllowed,
                    NoWorker::Evacuated => ResultCode::DomainEvacuated,
                    NoWorker::Cold => ResultCode::WorkersCold,
                    NoWorker::Limited => ResultCode::WorkersLimited,
                    NoWorker::Resting => ResultCode::WorkersResting,
                    NoWorker::NoModel | NoWorker::NoAdapter => ResultCode::NotResident,
                    NoWorker::NotAlone => ResultCode::NotAlone,
                    NoWorker::OtherVersion => ResultCode::VersionGone,
                };
                let mut refusal = self.refusal(code, &format!("{why:?} {:?}", call.model()));
                refusal.lacks_version = why == NoWorker::OtherVersion;
                match why {
                    NoWorker::NoModel | NoWorker::Evacuated => {
                        refusal.retry_after_ms = self.model_retry_after_ms();
                    }
                    NoWorker::Cold | NoWorker::Limited | NoWorker::Resting => {
                        refusal.retry_after_ms = self.free_after_ms(&routing_request);
                        refusal.shortage_key =
                            (why == NoWorker::Limited).then(|| self.model_shortage_key());
                    }
                    NoWorker::NotAlone => refusal.retry_after_ms = ISOLATION_RETRY_AFTER_MS,
                    NoWorker::Unreachable | NoWorker::Leaving => {
                        refusal.retry_after_ms = NO_HOLDER_RETRY_AFTER_MS;
                    }
                    NoWorker::None
                    | NoWorker::NotAllowed
                    | NoWorker::NoAdapter
                    | NoWorker::OtherVersion => {}
                }
                return Err(refusal);
            }
            let recheck_in =
                Duration::from_millis(RECHECK_INTERVAL_MS.min(wait_until_ms - now_ms + 1));
            tokio::select! {
                _changed = tokio::time::timeout(recheck_in, changed) => {}
                () = expected => {}
            }
        }
    }

    /// Returns the time until which the call waits for what it lacks, in milliseconds. It waits
    /// for a model only if that is expected early enough to answer within the latency target.
    fn wait_until_ms(&self, why: NoWorker, routing_request: &RoutingRequest<'_>) -> u64 {
        let received_ms = self.call.received_ms;
        let target_at_ms = received_ms + self.call.route.latency_target_ms;
        match why {
            NoWorker::None
            | NoWorker::Leaving
            | NoWorker::NotAllowed
            | NoWorker::Unreachable
            | NoWorker::OtherVersion => received_ms,
            NoWorker::Cold | NoWorker::Limited | NoWorker::Resting => {
                let latest_ms = received_ms
                    + (self.call.route.latency_target_ms as f64 * GRANT_WAIT_SHARE) as u64;
                let ask_at_ms = self
                    .next_ask_and_free_ms(routing_request)
                    .map(|(ask_at_ms, _)| ask_at_ms);
                ask_at_ms
                    .filter(|at_ms| *at_ms <= latest_ms)
                    .map_or(received_ms, |_| latest_ms)
            }
            NoWorker::NoAdapter => {
                received_ms + (self.call.route.latency_target_ms as f64 * ADAPTER_WAIT_SHARE) as u64
            }
            NoWorker::NotAlone => {
                received_ms
                    + (self.call.route.latency_target_ms as f64 * ISOLATION_WAIT_SHARE) as u64
            }
            NoWorker::NoModel | NoWorker::Evacuated => {
                match workload::load_expectation(self.node, self.call) {
                    Some(Expectation::At(at_ms)) if at_ms < target_at_ms => {
                        target_at_ms.min(at_ms + LISTING_DELAY_MS)
                    }
                    Some(Expectation::At(_) | Expectation::NotLoading) => received_ms,
                    None => {
                        let own_delay_ms = self.node.own_delay_since_ms(received_ms);
                        received_ms + LOAD_EXPECTATION_WAIT_MS + own_delay_ms
                    }
                }
            }
        }
    }

    /// Returns the Retry-After of a call whose model is not loaded, in milliseconds: the time
    /// until the model is expected, or else the duration of a load.
    fn model_retry_after_ms(&self) -> u64 {
        let now_ms = self.node.now_ms();
        let retry_after_ms = match workload::load_expectation(self.node, self.call) {
            Some(Expectation::At(at_ms)) => at_ms.saturating_sub(now_ms) + LISTING_DELAY_MS,
            Some(Expectation::NotLoading) | None => {
                workload::model_load_ms(self.call).unwrap_or_default()
            }
        };
        retry_after_ms.max(RETRY_AFTER_DEFAULT_MS)
    }

    /// Returns when asking for a grant is first worthwhile among the workers that currently
    /// accept no more calls, and when one of them can be used without a grant, both in
    /// milliseconds.
    fn next_ask_and_free_ms(&self, routing_request: &RoutingRequest<'_>) -> Option<(u64, u64)> {
        let now_ms = self.node.now_ms();
        self.node
            .roster()
            .next_ask_and_free_ms(now_ms, routing_request)
    }

    /// Returns the Retry-After of a call whose workers accept no more calls for now, in
    /// milliseconds.
    fn free_after_ms(&self, routing_request: &RoutingRequest<'_>) -> u64 {
        let may_send_from_ms = self
            .next_ask_and_free_ms(routing_request)
            .map(|(_, at_ms)| at_ms);
        let after_ms = may_send_from_ms.map_or(0, |at_ms| at_ms.saturating_sub(self.node.now_ms()));
        after_ms.max(RETRY_AFTER_DEFAULT_MS)
    }

    /// Returns the key of the model or service that the call finds too few workers for.
    fn model_shortage_key(&self) -> u64 {
        let model_name = self.call.model().map(|(model, _)| model);
        worker_key(model_name.unwrap_or(&self.call.service.name))
    }

    /// Chooses a worker for a stream that its caller may take up among those whose version all
    /// instances list by now, as long as there are any. Any other call goes to any worker.
    async fn choose_of_settled_version(
        &self,
        routing_request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Result<Choice, NoWorker> {
        let begins_stream = self.call.may_be_taken_up()
            && self.call.continuation == Continuation::New
            && routing_request.required_version_key.is_none();
        if begins_stream {
            let settled_keys = stream_origins::settled_versions(self.node, self.call);
            let request = RoutingRequest {
                settled_version_keys: &settled_keys,
                ..*routing_request
            };
            let chosen = self.choose_by_owners(&request, engine).await;
            if chosen.is_ok() || settled_keys.is_empty() {
                return chosen;
            }
        }
        self.choose_by_owners(routing_request, engine).await
    }

    /// Chooses among a few candidates by the current state that their owners report.
    async fn choose_by_owners(
        &self,
        routing_request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Result<Choice, NoWorker> {
        let node = self.node;
        let now_ms = node.now_ms();
        let mut candidates = node.roster().candidates(
            now_ms,
            routing_request,
            engine,
            CANDIDATE_COUNT,
            &mut rand::rng(),
        )?;
        self.ask_owners(routing_request, &candidates).await;
        if engine.is_some() {
            let now_ms = node.now_ms();
            let further = node.roster().further_candidates(
                now_ms,
                &candidates,
                routing_request,
                engine,
                CANDIDATE_COUNT,
                &mut rand::rng(),
            );
            self.ask_owners(routing_request, &further).await;
            candidates.extend(further);
        }
        let now_ms = node.now_ms();
        let roster = node.roster();
        roster.choose_among(
            now_ms,
            &candidates,
            routing_request,
            engine,
            &mut rand::rng(),
        )
    }

    /// Asks the owners of some workers for the state of these workers.
    async fn ask_owners(&self, routing_request: &RoutingRequest<'_>, workers: &[Arc<str>]) {
        if workers.is_empty() {
            return;
        }
        owners::ask(
            self.node,
            workers,
            routing_request.parts,
            routing_request.prompt_tokens,
            routing_request.token_ms,
            self.may_retry(),
        )
        .await;
    }

    /// Whether the call may be retried on another worker if this one fails.
    pub(super) fn may_retry(&self) -> bool {
        let route = &self.call.route;
        route.may_repeat() && self.history.run_count() + 1 < route.attempt_max_count
    }

    /// Applies admission control: rejects a call that would begin so late that a later retry is
    /// better. Returns the delay in milliseconds after which to check again if the call must
    /// leave room for more urgent ones.
    fn admit(&self, choice: &Choice) -> Result<Option<u64>, Refusal> {
        let call = self.call;
        let is_whole = call.service.engine.is_none();
        // On an idle worker, all the time is the call's own work, so a later retry would not be
        // faster.
        let is_idle = is_whole && choice.load.open_count < choice.slot_count;
        if is_idle || self.may_have_run {
            return Ok(None);
        }
        let latency_target_ms = call.route.latency_target_ms as f64;
        let admission = Admission {
            latency_target_ms,
            urgent_latency_target_ms: call
                .urgent_latency_target_ms
                .map(|urgent_ms| urgent_ms as f64),
            is_whole,
        };
        let waited_ms = self.node.now_ms().saturating_sub(call.received_ms) as f64;
        match admission.judge(choice.begins_in_ms, waited_ms) {
            Verdict::Send => return Ok(None),
            Verdict::RecheckAfter(in_ms) => return Ok(Some(in_ms as u64)),
            Verdict::Refuse => {}
        }
        let detail = format!("predicted to begin in {:.0} ms", choice.begins_in_ms);
        let mut refusal = self.refusal(ResultCode::DeadlineUnreachable, &detail);
        refusal.retry_after_ms = (choice.begins_in_ms - latency_target_ms / 2.0).max(0.0) as u64;
        refusal.shortage_key = Some(self.model_shortage_key());
        Err(refusal)
    }

    /// Returns the requirements of the call for the choice of a worker.
    pub(super) fn routing_request(&self) -> RoutingRequest<'_> {
        let prefill_cost = workload::prefill_cost(self.node, self.call);
        let engine = self.call.service.engine.as_ref();
        RoutingRequest {
            service: &self.call.service.name,
            model: self.call.model(),
            parts: &self.call.parts,
            prompt_tokens: self.call.prompt_tokens,
            token_ms: prefill_cost.token_ms,
            fixed_ms: prefill_cost.fixed_ms,
            stay_ms: workload::stay_ms(self.node, self.call),
            gap_aim_ms: self.call.gap_aim_ms.map(|gap_aim_ms| gap_aim_ms as f64),
            event_tokens: engine.map_or(0, |engine| engine.event_tokens),
            rank: usize::from(self.call.rank),
            held_tokens: self.call.held_tokens,
            topology: &self.node.topology,
            extra_start_delays_ms: lock(&self.node.round_trips).extra_start_delays_ms(),
            regions: &self.call.regions,
            required_version_key: self.history.requirement.key(),
            settled_version_keys: &[],
            end_count: quarantine::judge(self.node, self.call).content.end_count,
            must_avoid_grants: self.has_exhausted_permits(),
            tried: self.history.tried(),
        }
    }
}
