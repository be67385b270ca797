//! One worker as this instance sees it: its row, its load and its health.
//!
//! The load is taken from what the worker's owner reports, what this instance has sent, and what
//! the worker reports in its answers.

mod leaving;
mod limit;
mod models;
mod record;
mod row_doubt;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

pub use self::record::HeldModel;
pub use self::record::WorkerRecord;
pub use self::row_doubt::RowDoubt;
use crate::brittle::BrittleStatements;
use crate::brittle::KnowledgeSource;
use crate::cold::Coldness;
use crate::configuration::Engine;
use crate::departure::Departure;
use crate::health::Health;
use crate::key::worker_key;
use crate::load::Load;
use crate::load::RANK_COUNT;
use crate::load::ReportedLoad;
use crate::named_limit::NamedLimit;
use crate::owned::WorkerStatus;
use crate::prefixes::CachedPrefixes;
use crate::rest::Rest;
use crate::routing_request::RoutingRequest;
use crate::send_grants::AskPause;
use crate::store_position::StorePosition;
use crate::topology::Distance;

/// Age up to which an owner's report is used, in milliseconds: as long as a choice based on it
/// takes, with a margin for a busy processor.
const OWNER_STATUS_MAX_AGE_MS: u64 = 60;

/// Age up to which a worker's own report of its load is used, in milliseconds.
const REPORTED_LOAD_MAX_AGE_MS: u64 = 400;

/// Cost added for each open request at a worker, in milliseconds.
const RUNNING_PENALTY_MS: f64 = 2.0;

/// Cost added for each other open request at a worker, in milliseconds, when the request to be sent
/// is one under which workers have ended before: it goes where the end of one more worker would
/// interrupt the fewest requests.
const CRASH_RISK_PENALTY_MS: f64 = 50.0;

/// Cost added for each request that a worker reports as waiting, in milliseconds.
const WAITING_PENALTY_MS: f64 = 75.0;

/// Time ahead of a request below which it counts as first in line, in milliseconds.
const NO_QUEUE_BELOW_MS: f64 = 1.0;

/// Cost added to a worker in another failure domain on top of the network time, in milliseconds.
const OTHER_DOMAIN_PENALTY_MS: f64 = 15.0;

/// Cost added to a worker that is ejected by its health (`is_ejected`), in milliseconds: it
/// outweighs load, distance and failures. A cost at or above it marks a worker to be avoided.
pub(crate) const EJECTED_PENALTY_MS: f64 = 100_000.0;

/// One worker as this instance sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's row in the list.
    pub record: WorkerRecord,
    /// Position of that row in the store.
    pub position: StorePosition,
    /// What contradicts that row.
    pub row_doubt: RowDoubt,
    /// Health, as observed from the results of requests.
    pub health: Health,
    /// Set while the row may have lapsed only because of an outage: position of its end, and the
    /// time at which the worker counts as gone unless a new row comes, in milliseconds.
    pub lapsed: Option<(StorePosition, u64)>,
    /// Position of the row that says that the worker is leaving, as a peer reported.
    pub(crate) leaves_at: StorePosition,
    /// Whether the worker may be cold.
    pub coldness: Coldness,
    /// Report that the worker is leaving, if there is one. It holds whatever the row says.
    pub departure: Option<Departure>,
    /// For how long the worker wants no requests from this instance.
    pub rest: Rest,
    /// Limit that the worker names for the requests it takes in a second.
    pub limit: NamedLimit,
    /// What the worker has said of its brittleness since its start.
    pub(crate) brittleness: BrittleStatements,
    /// When its owner was last told that it is brittle, in milliseconds.
    pub(crate) brittleness_reported_ms: Option<u64>,
    /// What its brittleness was known by for the last requests, and when a log line told a change of
    /// that, in milliseconds.
    pub(crate) brittle_source: (KnowledgeSource, Option<u64>),
    /// Until when the worker's owner isn't asked for a grant to send a request.
    pub ask_pause: AskPause,
    /// Key of its failure domain.
    pub(crate) domain_key: u64,
    /// Load from the requests that this instance sent.
    pub(crate) own_load: Load,
    /// Last report of the worker's owner, and when it came, in milliseconds.
    owner_status: Option<(u64, WorkerStatus)>,
    /// Load that the worker reported last, and when, in milliseconds.
    reported_load: Option<(u64, ReportedLoad)>,
    /// Prompt prefixes that this instance sent to the worker, which probably has them cached.
    cached_prefixes: CachedPrefixes,
    /// Until when models and adapters that it refused count as missing, in milliseconds.
    missing_until_ms: HashMap<String, u64>,
    /// Until when adapters that peers reported as loaded count as held, in milliseconds.
    pub(crate) announced_until_ms: HashMap<String, u64>,
    /// Models that are being unloaded.
    withheld: HashSet<Arc<str>>,
}

/// Prediction for one request at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Prompt tokens that the worker would have to prefill.
    pub unread_tokens: u32,
    /// Time until the worker will have prefilled the prompt, in milliseconds.
    pub begins_in_ms: f64,
    /// Time to wait before sending the request, in milliseconds.
    pub send_in_ms: u64,
    /// Whether, as far as known, the worker has nothing to prefill or to finish before it.
    pub is_first: bool,
    /// Cost of sending the request there, in milliseconds.
    pub cost_ms: f64,
    /// Requests that the worker runs concurrently.
    pub slot_count: u32,
    /// Load that the prediction is based on.
    pub load: Load,
}

impl Worker {
    /// Creates the state of a worker from its first row.
    pub(crate) fn new(position: StorePosition, record: WorkerRecord) -> Self {
        Self {
            coldness: Coldness::default(),
            departure: None,
            rest: Rest::default(),
            limit: NamedLimit::default(),
            brittleness: BrittleStatements::default(),
            brittleness_reported_ms: None,
            brittle_source: (KnowledgeSource::Silent, None),
            ask_pause: AskPause::default(),
            domain_key: worker_key(&record.failure_domain),
            record,
            position,
            row_doubt: RowDoubt::default(),
            health: Health::default(),
            lapsed: None,
            leaves_at: StorePosition::default(),
            own_load: Load::default(),
            owner_status: None,
            reported_load: None,
            cached_prefixes: CachedPrefixes::default(),
            missing_until_ms: HashMap::new(),
            announced_until_ms: HashMap::new(),
            withheld: HashSet::new(),
        }
    }

    /// Records a request that is sent to the worker, with the time to prefill its prompt.
    pub fn began(&mut self, now_ms: u64, request: &RoutingRequest<'_>, unread_ms: f64) {
        let rank = request.rank.min(RANK_COUNT - 1);
        self.health.tried(now_ms);
        self.own_load.open_count += 1;
        self.own_load.waiting_count[rank] += 1;
        self.own_load.unread_ms[rank] += unread_ms;
        self.own_load.stay_ms += request.stay_ms + unread_ms;
        self.own_load.held_tokens += f64::from(request.held_tokens);
        self.cached_prefixes.sent(now_ms, request.parts);
    }

    /// Records that a request's prompt has been prefilled.
    pub fn read(&mut self, rank: usize, unread_ms: f64) {
        let rank = rank.min(RANK_COUNT - 1);
        let own_ms = &mut self.own_load.unread_ms[rank];
        *own_ms = (*own_ms - unread_ms).max(0.0);
        let waiting_count = &mut self.own_load.waiting_count[rank];
        *waiting_count = waiting_count.saturating_sub(1);
    }

    /// Records that a request has ended that was expected to occupy a slot for `stay_ms`.
    pub fn ended(&mut self, held_tokens: u32, stay_ms: f64) {
        self.own_load.open_count = self.own_load.open_count.saturating_sub(1);
        self.own_load.stay_ms = (self.own_load.stay_ms - stay_ms).max(0.0);
        self.own_load.held_tokens = (self.own_load.held_tokens - f64::from(held_tokens)).max(0.0);
    }

    /// Takes the load that the worker reported in an answer.
    pub fn said(&mut self, now_ms: u64, load: ReportedLoad) {
        self.reported_load = Some((now_ms, load));
    }

    /// Takes a report of the worker's owner.
    pub fn set_owner_status(&mut self, now_ms: u64, owner_status: WorkerStatus) {
        self.owner_status = Some((now_ms, owner_status));
    }

    /// Returns the last report of the worker's owner, if it is fresh.
    pub fn owner_status(&self, now_ms: u64) -> Option<&WorkerStatus> {
        let owner_status = self.owner_status.as_ref();
        let fresh = owner_status.filter(|(at_ms, _)| now_ms < at_ms + OWNER_STATUS_MAX_AGE_MS);
        fresh.map(|(_, owner_status)| owner_status)
    }

    /// Whether a suspect request is open at the worker. Workers have ended while running requests
    /// equal to it, so it must not share a worker with another suspect.
    pub(crate) fn has_suspect(&self, now_ms: u64) -> bool {
        self.owner_status(now_ms)
            .is_some_and(|owner_status| owner_status.has_suspect)
    }

    /// Returns the time to wait before sending a prompt, by the owner's report, in milliseconds.
    fn send_in_ms(&self, now_ms: u64) -> f64 {
        let owner_status = self.owner_status(now_ms);
        let status_at_ms = self
            .owner_status
            .as_ref()
            .map_or(now_ms, |(at_ms, _)| *at_ms);
        let elapsed_ms = now_ms.saturating_sub(status_at_ms) as f64;
        owner_status.map_or(0.0, |owner_status| {
            (owner_status.send_in_ms - elapsed_ms).max(0.0)
        })
    }

    /// Returns the load from all instances if the owner has just reported it, else the load from
    /// this instance alone.
    pub fn load(&self, now_ms: u64) -> Load {
        let owner_load = self
            .owner_status(now_ms)
            .map(|owner_status| owner_status.load);
        owner_load
            .filter(|reported| reported.open_count >= self.own_load.open_count)
            .unwrap_or(self.own_load)
    }

    /// Predicts when the worker would start to answer a request, and the cost of sending it there.
    pub(crate) fn estimate(
        &self,
        now_ms: u64,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
    ) -> Estimate {
        let load = self.load(now_ms);
        let reported = self
            .reported_load
            .filter(|(at_ms, _)| now_ms < at_ms + REPORTED_LOAD_MAX_AGE_MS);
        let reported = reported.map_or((0, 0), |(_, report)| {
            (report.running_count, report.waiting_count)
        });
        let open_count = load.open_count.max(reported.0 + reported.1);
        let owner_status = self.owner_status(now_ms);
        let cached_tokens = self
            .estimated_cached_tokens(owner_status, request)
            .min(request.prompt_tokens);
        let token_ms =
            request.token_ms * owner_status.map_or(1.0, |owner_status| owner_status.slowdown_ratio);
        let unread_tokens = request.prompt_tokens - cached_tokens;
        let slot_count = engine.map_or(self.record.slot_count, |engine| engine.slot_count);
        // Workers without an engine serve calls in order of arrival, whatever their rank.
        let rank = engine.map_or(RANK_COUNT, |_| request.rank);
        let slot_wait_ms = load.slot_wait_ms(rank, slot_count);
        // The prompts ahead are prefilled while this request waits for its slot.
        let queued_ms = load.ahead_ms(request.rank).max(slot_wait_ms);
        let send_in_ms = self.send_in_ms(now_ms);
        let queued_ms = queued_ms.max(send_in_ms);
        let mut estimate = Estimate {
            unread_tokens,
            begins_in_ms: queued_ms + request.fixed_ms + f64::from(unread_tokens) * token_ms,
            send_in_ms: send_in_ms as u64,
            slot_count,
            // While a request is held back, its timing says nothing about how fast prompts are
            // prefilled.
            is_first: queued_ms < NO_QUEUE_BELOW_MS
                && load.ahead_ms(usize::MAX) < NO_QUEUE_BELOW_MS,
            cost_ms: 0.0,
            load,
        };
        if let Some(engine) = engine {
            let usable_tokens = engine.kv_tokens as f64 * 0.9;
            let excess_tokens = load.held_tokens + f64::from(request.held_tokens) - usable_tokens;
            estimate.cost_ms = estimate.begins_in_ms
                + load.slot_contention_ms(engine.slot_count)
                + load
                    .prefill_pause_cost_ms(f64::from(unread_tokens) * token_ms, request.gap_aim_ms)
                + f64::from(open_count) * RUNNING_PENALTY_MS
                + f64::from(reported.1) * WAITING_PENALTY_MS
                + excess_tokens.max(0.0) * token_ms;
        } else {
            // Without an engine, an answer is relayed only once it is complete, so it begins when
            // the call has run.
            estimate.begins_in_ms += request.stay_ms;
            let slots = f64::from(slot_count.max(1));
            estimate.cost_ms = f64::from(open_count + reported.1) / slots * 50.0;
        }
        if request.end_count > 0 {
            estimate.cost_ms += f64::from(open_count) * CRASH_RISK_PENALTY_MS;
        }
        estimate.cost_ms = self.add_penalties(now_ms, request, estimate.cost_ms);
        estimate
    }

    /// Returns how many tokens of the prompt the worker probably has in its prefix cache.
    fn estimated_cached_tokens(
        &self,
        owner_status: Option<&WorkerStatus>,
        request: &RoutingRequest<'_>,
    ) -> u32 {
        let own_tokens = self.cached_prefixes.cached_tokens(request.parts);
        let owner_part_count = owner_status.map_or(0, |owner_status| owner_status.kept_part_count);
        let owner_tokens = request
            .parts
            .iter()
            .take(owner_part_count)
            .map(|part| part.tokens)
            .sum();
        own_tokens.max(owner_tokens)
    }

    /// Adds to a cost the penalties for distance, health and earlier attempts.
    fn add_penalties(&self, now_ms: u64, request: &RoutingRequest<'_>, cost_ms: f64) -> f64 {
        let mut cost_ms = cost_ms;
        let distance = request.topology.distance(&self.record.failure_domain);
        if distance != Distance::OwnDomain {
            cost_ms += OTHER_DOMAIN_PENALTY_MS + request.extra_start_delays_ms[distance as usize];
        }
        let owner_status = self.owner_status(now_ms);
        let owner_failed_share = owner_status.map_or(0.0, |owner_status| owner_status.failed_share);
        cost_ms *= 1.0 + 6.0 * self.health.failed_share().max(owner_failed_share);
        if self.health.is_ejected(now_ms)
            || owner_status.is_some_and(|owner_status| owner_status.is_aside)
        {
            cost_ms = cost_ms * 20.0 + EJECTED_PENALTY_MS;
        }
        if request.tried.contains(&self.record.id) {
            cost_ms = cost_ms * 20.0 + 400_000.0;
        }
        cost_ms
    }
}
