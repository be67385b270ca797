//! Selects the workers whose owners are asked before one is chosen: near ones first, others only if
//! they are likely to win.
//!
//! Asking within the failure domain is cheap and fast. A request sent to another domain carries its
//! prompt and its answer over links that others need too, so it is worth that only if it starts
//! noticeably sooner there.

use std::sync::Arc;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::Roster;
use super::ScoredWorker;
use crate::configuration::Engine;
use crate::no_worker::NoWorker;
use crate::routing_request::RoutingRequest;
use crate::topology::Distance;
use crate::worker::EJECTED_PENALTY_MS;

/// Least gain over the best near worker, in milliseconds and by distance, for a farther worker to
/// be asked about. Its cost is computed here without the requests that other instances sent it, so
/// it mostly turns out to be busier.
const MIN_GAIN_BY_DISTANCE_MS: [f64; 3] = [0.0, 40.0, 80.0];

impl Roster {
    /// Lists the workers whose owners are to be asked before one is chosen for a request. Among the
    /// nearest that could take it, these are the one with the lowest cost and others picked at
    /// random, so that instances with the same view don't all ask about the same workers.
    ///
    /// Calls of services without an engine are small and short, so distance doesn't count for them.
    pub fn candidates<R: Rng>(
        &self,
        now_ms: u64,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        count: usize,
        rng: &mut R,
    ) -> Result<Vec<Arc<str>>, NoWorker> {
        let mut scored = self.score_all(now_ms, request, engine, rng)?;
        scored.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
        let healthy_count = scored.partition_point(|candidate| candidate.cost < EJECTED_PENALTY_MS);
        // Workers to be avoided, as they are ejected or were tried before, are asked about only if
        // there are no others.
        scored.truncate(healthy_count.max(1));
        if engine.is_some() {
            let nearest = scored
                .iter()
                .map(|candidate| distance(request, candidate))
                .min();
            scored.retain(|candidate| Some(distance(request, candidate)) == nearest);
        }
        Ok(best_and_random(&scored, count, rng))
    }

    /// Lists workers farther away than those already asked about that are likely to start a request
    /// sooner than the best of these, given what their owners have answered.
    pub fn further_candidates<R: Rng>(
        &self,
        now_ms: u64,
        asked: &[Arc<str>],
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        count: usize,
        rng: &mut R,
    ) -> Vec<Arc<str>> {
        let Ok(mut scored) = self.score_all(now_ms, request, engine, rng) else {
            return Vec::new();
        };
        let is_asked = |candidate: &ScoredWorker<'_>| asked.contains(&candidate.worker.record.id);
        let costs = scored
            .iter()
            .filter(|candidate| is_asked(candidate))
            .map(|candidate| candidate.cost);
        let best = costs.fold(f64::INFINITY, f64::min);
        scored.retain(|candidate| {
            let min_gain = MIN_GAIN_BY_DISTANCE_MS[distance(request, candidate) as usize];
            !is_asked(candidate)
                && candidate.cost < EJECTED_PENALTY_MS
                && candidate.cost + min_gain < best
        });
        scored.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
        best_and_random(&scored, count, rng)
    }
}

/// Returns the distance from this instance to a worker.
fn distance(request: &RoutingRequest<'_>, candidate: &ScoredWorker<'_>) -> Distance {
    request
        .topology
        .distance(&candidate.worker.record.failure_domain)
}

/// Takes the first worker, and others at random.
fn best_and_random<R: Rng>(
    scored: &[ScoredWorker<'_>],
    count: usize,
    rng: &mut R,
) -> Vec<Arc<str>> {
    let others = scored.iter().skip(1).sample(rng, count.saturating_sub(1));
    let chosen = scored.first().into_iter().chain(others);
    chosen
        .map(|candidate| Arc::clone(&candidate.worker.record.id))
        .collect()
}
