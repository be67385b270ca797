//! Whose owners are asked before a worker is chosen: near ones first, others only where
//! they are likely to win.
//!
//! Asking within the failure domain costs nothing and takes no time. Each request that
//! is sent elsewhere carries its prompt and its answer over a way that others need, so
//! that one is worth it which begins sooner by more than a little.

use std::sync::Arc;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::Roster;
use super::ScoredWorker;
use crate::configuration::Engine;
use crate::no_worker::NoWorker;
use crate::topology::Distance;
use crate::wanted::Wanted;
use crate::worker::EJECTED_PENALTY_MS;

/// Time by which a worker must look better than the best near one to be asked about, in
/// milliseconds, by distance: it is weighed without what others have sent it, and mostly
/// turns out to be busier.
const MIN_GAIN_BY_DISTANCE_MS: [f64; 3] = [0.0, 40.0, 80.0];

impl Roster {
    /// Lists workers whose owners are to be asked before one is chosen for a request:
    /// of the nearest that could take it, the one that looks best from here, and others
    /// by chance, so that instances which know the same don't all ask for the same.
    ///
    /// Calls of services without an engine are small and short: distance doesn't count.
    pub fn candidates<R: Rng>(
        &self,
        now_ms: u64,
        wanted: &Wanted<'_>,
        engine: Option<&Engine>,
        count: usize,
        rng: &mut R,
    ) -> Result<Vec<Arc<str>>, NoWorker> {
        let mut scored = self.score_all(now_ms, wanted, engine, rng)?;
        scored.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
        let healthy_count = scored.partition_point(|candidate| candidate.cost < EJECTED_PENALTY_MS);
        // Those that had better be left alone are asked only where there are no others.
        scored.truncate(healthy_count.max(1));
        if engine.is_some() {
            let nearest = scored
                .iter()
                .map(|candidate| distance(wanted, candidate))
                .min();
            scored.retain(|candidate| Some(distance(wanted, candidate)) == nearest);
        }
        Ok(best_and_random(&scored, count, rng))
    }

    /// Lists workers that are farther than those asked about, and that are likely to
    /// begin a request sooner than the best of these would, as it now stands.
    pub fn further_candidates<R: Rng>(
        &self,
        now_ms: u64,
        asked: &[Arc<str>],
        wanted: &Wanted<'_>,
        engine: Option<&Engine>,
        count: usize,
        rng: &mut R,
    ) -> Vec<Arc<str>> {
        let Ok(mut scored) = self.score_all(now_ms, wanted, engine, rng) else {
            return Vec::new();
        };
        let is_asked = |candidate: &ScoredWorker<'_>| asked.contains(&candidate.worker.record.id);
        let costs = scored
            .iter()
            .filter(|candidate| is_asked(candidate))
            .map(|candidate| candidate.cost);
        let best = costs.fold(f64::INFINITY, f64::min);
        scored.retain(|candidate| {
            let min_gain = MIN_GAIN_BY_DISTANCE_MS[distance(wanted, candidate) as usize];
            !is_asked(candidate)
                && candidate.cost < EJECTED_PENALTY_MS
                && candidate.cost + min_gain < best
        });
        scored.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
        best_and_random(&scored, count, rng)
    }
}

/// Returns how far a worker is.
fn distance(wanted: &Wanted<'_>, candidate: &ScoredWorker<'_>) -> Distance {
    wanted
        .topology
        .distance(&candidate.worker.record.failure_domain)
}

/// Takes the first, and others by chance.
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
