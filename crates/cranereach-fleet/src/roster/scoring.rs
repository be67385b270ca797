//! Filters the workers that could take a request, and computes the cost of sending it to each.

use std::sync::Arc;

use rand::Rng;
use rand::RngExt;

use super::Choice;
use super::brittle::BrittleServices;
use crate::configuration::Engine;
use crate::evacuation::Evacuations;
use crate::no_worker::NoWorker;
use crate::quarantine::ALONE_FROM_COUNT;
use crate::routing_request::RoutingRequest;
use crate::worker::Estimate;
use crate::worker::Worker;

/// Cost added to a worker whose failure domain is being evacuated while it still gets requests, in
/// milliseconds: others that hold the model are preferred until they are busy.
const EVACUATED_PENALTY_MS: f64 = 300.0;

/// Cost added to a worker that may be cold, in milliseconds: warm ones that hold the model are
/// preferred until they are busy.
const COLD_PENALTY_MS: f64 = 150.0;

/// A worker, with the cost of sending a request there.
pub(super) struct ScoredWorker<'a> {
    pub(super) cost: f64,
    pub(super) worker: &'a Worker,
    pub(super) estimate: Estimate,
}

/// Scores the workers that could take a request: at least one, or the reason why there is none.
pub(super) fn score_workers<'a, R: Rng>(
    now_ms: u64,
    workers: impl Iterator<Item = &'a Worker>,
    (evacuations, brittle_services): (&Evacuations, &BrittleServices),
    request: &RoutingRequest<'_>,
    engine: Option<&Engine>,
    rng: &mut R,
) -> Result<Vec<ScoredWorker<'a>>, NoWorker> {
    let mut reason = NoWorker::None;
    let mut scored = Vec::new();
    for worker in workers {
        if worker.is_leaving() {
            reason = reason.max(NoWorker::Leaving);
            continue;
        }
        if !request.may_be_served_at(&worker.record) {
            reason = reason.max(NoWorker::NotAllowed);
            continue;
        }
        if !request.accepts_version_of(worker) {
            reason = reason.max(NoWorker::OtherVersion);
            continue;
        }
        let held = worker.has(now_ms, request.model);
        if !evacuations.may_send(now_ms, worker.domain_key) {
            let lacks_model = held == Err(NoWorker::NoModel);
            reason = reason.max(if lacks_model {
                NoWorker::NoModel
            } else {
                NoWorker::Evacuated
            });
            continue;
        }
        if let Err(lacks) = held {
            reason = reason.max(lacks);
            continue;
        }
        if !worker.health.may_try(now_ms) {
            reason = reason.max(NoWorker::Unreachable);
            continue;
        }
        if !worker.rest.may_send(now_ms, request.rank) {
            reason = reason.max(NoWorker::Resting);
            continue;
        }
        let is_brittle = || {
            let known = brittle_services.known(now_ms, worker);
            known.borne_count.is_some()
        };
        if !worker.may_ask(now_ms, request, is_brittle) {
            let is_limited = worker.limit.rate_per_s(now_ms).is_some() || is_brittle();
            reason = reason.max(if is_limited {
                NoWorker::Limited
            } else {
                NoWorker::Cold
            });
            continue;
        }
        if request.end_count >= ALONE_FROM_COUNT && worker.has_suspect(now_ms) {
            reason = reason.max(NoWorker::NotAlone);
            continue;
        }
        let mut estimate = worker.estimate(now_ms, request, engine);
        if evacuations.is_listed(worker.domain_key) {
            estimate.cost_ms += EVACUATED_PENALTY_MS;
        }
        if worker.coldness.is_cold(now_ms) {
            estimate.cost_ms += COLD_PENALTY_MS;
        }
        // A little noise keeps instances with the same view from all choosing the same worker.
        let cost = estimate.cost_ms * (1.0 + 0.05 * rng.random::<f64>()) + rng.random::<f64>();
        scored.push(ScoredWorker {
            cost,
            worker,
            estimate,
        });
    }
    if scored.is_empty() {
        Err(reason)
    } else {
        Ok(scored)
    }
}

/// Returns the worker with the lowest cost.
///
/// # Panics
///
/// If there is none, which [`score_workers`] rules out.
pub(super) fn cheapest(scored: Vec<ScoredWorker<'_>>) -> Choice {
    let best = scored
        .into_iter()
        .min_by(|left, right| left.cost.total_cmp(&right.cost));
    let ScoredWorker {
        worker, estimate, ..
    } = best.expect("at least one worker was scored");
    Choice {
        id: Arc::clone(&worker.record.id),
        address: worker.record.address.clone(),
        unread_tokens: estimate.unread_tokens,
        is_first: estimate.is_first,
        begins_in_ms: estimate.begins_in_ms,
        send_in_ms: estimate.send_in_ms,
        slot_count: estimate.slot_count,
        load: estimate.load,
    }
}
