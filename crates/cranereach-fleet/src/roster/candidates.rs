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
use super::Weighed;
use crate::configuration::Engine;
use crate::no_worker::NoWorker;
use crate::topology::Distance;
use crate::wanted::Wanted;
use crate::worker::UNSOUND_FROM_MS;

/// Time by which a worker must look better than the best near one to be asked about, in
/// milliseconds, by distance: it is weighed without what others have sent it, and mostly
/// turns out to be busier.
const LIKELY_FROM_MS: [f64; 3] = [0.0, 40.0, 80.0];

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
        let mut weighed = self.weigh_all(now_ms, wanted, engine, rng)?;
        weighed.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
        let sound_count = weighed.partition_point(|of| of.cost < UNSOUND_FROM_MS);
        // Those that had better be left alone are asked only where there are no others.
        weighed.truncate(sound_count.max(1));
        if engine.is_some() {
            let nearest = weighed.iter().map(|of| distance(wanted, of)).min();
            weighed.retain(|of| Some(distance(wanted, of)) == nearest);
        }
        Ok(some(&weighed, count, rng))
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
        let Ok(mut weighed) = self.weigh_all(now_ms, wanted, engine, rng) else {
            return Vec::new();
        };
        let is_asked = |of: &Weighed<'_>| asked.contains(&of.worker.record.id);
        let costs = weighed.iter().filter(|of| is_asked(of)).map(|of| of.cost);
        let best = costs.fold(f64::INFINITY, f64::min);
        weighed.retain(|of| {
            let least_gain = LIKELY_FROM_MS[distance(wanted, of) as usize];
            !is_asked(of) && of.cost < UNSOUND_FROM_MS && of.cost + least_gain < best
        });
        weighed.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
        some(&weighed, count, rng)
    }
}

/// Returns how far a worker is.
fn distance(wanted: &Wanted<'_>, of: &Weighed<'_>) -> Distance {
    wanted.topology.distance(&of.worker.record.failure_domain)
}

/// Takes the first, and others by chance.
fn some<R: Rng>(weighed: &[Weighed<'_>], count: usize, rng: &mut R) -> Vec<Arc<str>> {
    let others = weighed.iter().skip(1).sample(rng, count.saturating_sub(1));
    let chosen = weighed.first().into_iter().chain(others);
    chosen.map(|of| Arc::clone(&of.worker.record.id)).collect()
}
