//! Offers a call to workers until there is a response or a final failure.
//!
//! An offer is one attempt to send the call to one worker. Whether another one follows depends on
//! whether the call may have run: a call that never reached a worker, or that a worker says it
//! did not run, may be offered to another one within the retry budget. A call that may have run
//! is offered again only if its route allows it to be repeated.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use slog::info;
use tokio::task::JoinHandle;

use super::ResponseBody;
use super::broken_connection;
use super::offer_history::OfferHistory;
use super::refusal::NO_HOLDER_RETRY_AFTER_MS;
use super::refusal::Refusal;
use super::request::Call;
use super::response_head::Failure;
use super::resumption::StartedStream;
use super::telemetry;
use super::version_requirement::VersionRequirement;
use super::workload;
use crate::node::Node;
use crate::quarantine;
use crate::worker_ends::ProbeResult;
use cranereach_core::codes::ResultCode;
use cranereach_fleet::quarantine::RunPhase;
use cranereach_fleet::quarantine::SuspectKey;
use cranereach_fleet::roster::Choice;

/// Maximum number of offers of one call.
const OFFER_MAX_COUNT: usize = 5;

/// Maximum number of times that a worker is chosen for a call but the permit to send is then not
/// given. Each time costs a question for a send grant.
const NO_PERMIT_MAX_COUNT: usize = 6;

/// Maximum number of offers of one call to the same worker.
const SAME_WORKER_MAX_COUNT: usize = 2;

/// Time that a retry waits for the check whether the worker whose connection broke has ended, in
/// milliseconds. The worker is probed after 10 ms, and a refused connection is reported at once.
const WORKER_CHECK_WAIT_MS: u64 = 60;

/// State of a call while it is offered to workers.
pub(super) struct Exchange<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) call: &'a Arc<Call>,
    /// Offers that the call has used so far.
    pub(super) history: OfferHistory,
    last_choice: Option<Choice>,
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub(super) last_event: Option<String>,
    /// Complete error response of a worker, kept while the call is retried. It is passed on if no
    /// retry succeeds.
    pub(super) failed_response: Option<Response<ResponseBody>>,
    /// Number of times that a worker was chosen but no permit to send was given.
    no_permit_count: usize,
    /// Whether a worker may have run the call in an earlier offer.
    pub(super) may_have_run: bool,
    /// Whether the call is being sent or has been sent in the current offer.
    pub(super) may_run_now: bool,
    /// Quarantined part of the call's prompt with which the call may be sent once all the same.
    pub(super) probe: Option<SuspectKey>,
}

/// Runs a call until it has a response or a refusal, either within its deadline. Only workers that
/// fulfil the requirement are sent it. `probe` is the quarantined part that it probes, if it does.
pub(super) async fn run(
    node: &Arc<Node>,
    call: &Arc<Call>,
    requirement: VersionRequirement,
    probe: Option<SuspectKey>,
) -> Result<Response<ResponseBody>, Refusal> {
    node.note_request(&call.service.name);
    workload::note_demand(node, call);
    let deadline = node.instant(call.deadline_at_ms);
    let mut exchange = Exchange::new(node, call, OfferHistory::new(requirement));
    exchange.probe = probe;
    let ended = tokio::time::timeout_at(deadline, exchange.run()).await;
    let result = ended.unwrap_or_else(|_elapsed| {
        let code = if exchange.may_run_now || exchange.may_have_run {
            ResultCode::DeadlinePassedRunning
        } else {
            ResultCode::DeadlinePassed
        };
        if let (true, Some(worker)) = (exchange.may_run_now, exchange.history.tried().last()) {
            let now_ms = node.now_ms();
            let is_path_cut = node.paths.is_silently_cut(now_ms, worker);
            let is_own_delay = node.is_own_delay(call.route.latency_target_ms);
            if let Some(worker) = node.roster().get_mut(worker)
                && !is_path_cut
                && !is_own_delay
            {
                worker.health.failed(now_ms);
            }
        }
        Err(exchange.refusal(code, "deadline"))
    });
    let result = match (result, exchange.failed_response.take()) {
        (Err(refusal), Some(response)) => {
            info!(node.log, "failure passed on"; "request" => call.id.clone(),
                "status" => response.status().as_u16(), "repeat" => refusal.detail);
            Ok(response)
        }
        (result, _) => result,
    };
    if let Ok(response) = &result {
        telemetry::record_response(node, call, response, exchange.last_choice.as_ref());
    }
    result
}

/// Resumes an interrupted stream on another worker, after the last event that the caller has
/// received. `worker_check` returns what became of the worker whose connection broke. Returns the
/// resumed stream and the offers used so far.
pub(super) async fn resume_stream(
    node: &Arc<Node>,
    call: &Arc<Call>,
    history: OfferHistory,
    last_event: Option<String>,
    worker_check: JoinHandle<ProbeResult>,
) -> Result<(StartedStream, OfferHistory), Refusal> {
    let mut exchange = Exchange::new(node, call, history);
    exchange.last_event = last_event;
    exchange.may_have_run = true;
    wait_for_worker_check(worker_check).await;
    exchange.check_retry(Failure::BrokenOff)?;
    loop {
        let choice = exchange.next_choice().await?;
        let failure = match exchange.offer_resumption(&choice).await {
            Ok(started) => return Ok((started, exchange.history)),
            Err(failure) => failure,
        };
        exchange.handle_failure(&choice, failure).await?;
    }
}

/// Waits a limited time for the check of a worker whose connection broke. Before the call is sent
/// again, it should be known whether the worker ended while it ran the call.
async fn wait_for_worker_check(worker_check: JoinHandle<ProbeResult>) {
    let within = Duration::from_millis(WORKER_CHECK_WAIT_MS);
    // A check that takes longer continues in the background.
    let _found = tokio::time::timeout(within, worker_check).await;
}

impl<'a> Exchange<'a> {
    /// Creates the state of a call that has used some offers.
    fn new(node: &'a Arc<Node>, call: &'a Arc<Call>, history: OfferHistory) -> Self {
        Self {
            node,
            call,
            history,
            last_choice: None,
            last_event: None,
            failed_response: None,
            no_permit_count: 0,
            may_have_run: false,
            may_run_now: false,
            probe: None,
        }
    }
}

impl Exchange<'_> {
    /// Offers the call to workers until there is a response or a final failure.
    async fn run(&mut self) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let choice = self.next_choice().await?;
            let failure = match self.offer(&choice).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.handle_failure(&choice, failure).await?;
        }
    }

    /// Undoes an offer for which no permit to send was given, so that another worker can be
    /// chosen.
    fn revert_offer(&mut self) {
        self.history.revert_offer();
        self.no_permit_count += 1;
    }

    /// Whether permits were denied so often that only workers that need no grant are considered.
    pub(super) fn has_exhausted_permits(&self) -> bool {
        self.no_permit_count >= NO_PERMIT_MAX_COUNT
    }

    /// Chooses the next worker and records that the call is offered to it.
    async fn next_choice(&mut self) -> Result<Choice, Refusal> {
        let choice = self.choose().await?;
        if self.history.offer_count_at(&choice.id) >= SAME_WORKER_MAX_COUNT {
            let mut refusal = self.refusal(self.no_worker_code(), "no other worker left");
            refusal.lacks_version = self.passes_over_other_versions();
            refusal.retry_after_ms = NO_HOLDER_RETRY_AFTER_MS;
            return Err(refusal);
        }
        self.history.begin_offer(&choice.id);
        self.last_choice = Some(choice.clone());
        Ok(choice)
    }

    /// Decides what follows a failed offer: another offer, or the end of the call.
    async fn handle_failure(&mut self, choice: &Choice, failure: Failure) -> Result<(), Refusal> {
        self.may_run_now = false;
        // The deadline may pass before the failure has been checked.
        self.may_have_run |= failure.may_have_run();
        if failure == Failure::NoPermit {
            self.revert_offer();
            return Ok(());
        }
        info!(self.node.log, "offer failed"; "request" => self.call.id.clone(),
            "worker" => choice.id.as_ref(), "failure" => format!("{failure:?}"),
            "offer" => self.history.offer_count());
        if failure == Failure::Quarantined {
            return Err(self.quarantine_refusal());
        }
        if failure == Failure::BrokenOff {
            let worker_check = broken_connection::investigate(
                self.node,
                self.call,
                &choice.id,
                self.history.known_ends,
                RunPhase::Beginning,
            );
            wait_for_worker_check(worker_check).await;
        }
        self.check_retry(failure)
    }

    /// Whether workers of the service are passed over because of the version of their software.
    fn passes_over_other_versions(&self) -> bool {
        let requirement = &self.history.requirement;
        if requirement.key().is_none() {
            return false;
        }
        let roster = self.node.roster();
        roster
            .of_service(&self.call.service.name)
            .any(|worker| !worker.is_leaving() && !requirement.accepts(&worker.record.software))
    }

    /// Returns the result code of a call for which no worker is left.
    fn no_worker_code(&self) -> ResultCode {
        if self.may_have_run {
            ResultCode::OutcomeUnknown
        } else {
            ResultCode::NoUpstream
        }
    }

    /// Decides whether a failed call is retried on another worker, and spends the retry budget.
    /// Whether the call may have run has been noted before.
    fn check_retry(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.history.note_failure(failure);
        if failure.may_have_run() {
            let may_repeat = self.call.route.may_repeat();
            if !may_repeat || self.history.run_count() >= self.call.route.attempt_max_count {
                return Err(self.refusal(ResultCode::OutcomeUnknown, "no whole answer"));
            }
        }
        // Other calls that the same worker was running are being retried now as well. Which of
        // them ends workers shows only when they run one at a time, so this call is not retried
        // here.
        if failure.may_have_run() && quarantine::judge(self.node, self.call).content.runs_alone() {
            let detail = "workers ended while running it";
            let mut refusal = self.refusal(ResultCode::OutcomeUnknown, detail);
            refusal.fingerprint = Some(self.call.fingerprint(self.node));
            return Err(refusal);
        }
        let spends_budget = failure != Failure::NotSent;
        if self.history.offer_count() >= OFFER_MAX_COUNT {
            return Err(self.refusal(self.no_worker_code(), "maximum number of offers reached"));
        }
        if spends_budget && !self.node.spend_retry(&self.call.service.name) {
            let code = if self.may_have_run {
                ResultCode::OutcomeUnknown
            } else {
                ResultCode::RetryBudgetSpent
            };
            return Err(self.refusal(code, "retry budget spent"));
        }
        let cause = format!("{failure:?}");
        let counter = &self.node.metrics.repeats_total;
        counter.with_label_values(&[&cause]).inc();
        Ok(())
    }

    /// Makes the refusal of a call that must not be sent any more, since workers ended while they
    /// ran it or requests that share a part with it.
    fn quarantine_refusal(&self) -> Refusal {
        let judgement = quarantine::judge(self.node, self.call);
        let key = quarantine::quarantined_key(self.node, self.call, &judgement);
        // It may have been released just now.
        let key = key.unwrap_or_else(|| self.call.suspect_key(self.node));
        let code = if self.may_have_run {
            ResultCode::OutcomeUnknown
        } else {
            quarantine::result_code(key)
        };
        let detail = quarantine::record_refusal(self.node, self.call, key);
        let mut refusal = self.refusal(code, &detail);
        refusal.fingerprint = Some(key.fingerprint);
        refusal
    }

    /// Makes a refusal of the call.
    pub(super) fn refusal(&self, code: ResultCode, detail: &str) -> Refusal {
        let mut refusal = Refusal::new(code, &self.call.id);
        refusal.detail = format!("{detail}; offers {}", self.history.offer_count());
        if self.history.requirement.key().is_some() {
            let required = format!("; software version {}", self.history.requirement);
            refusal.detail.push_str(&required);
        }
        refusal.route = Some(Arc::clone(&self.call.route.name));
        refusal
    }
}
