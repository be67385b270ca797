//! Observations of this instance about requests under which workers ended, shown to operators.

use std::sync::Arc;

use super::KEPT_END_COUNT;
use super::Quarantine;
use super::SuspectKey;
use super::Suspicion;
use super::WorkerEnd;
use crate::fingerprint::Fingerprint;

/// What this instance itself has observed of a request, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalObservations {
    /// Route of the request.
    pub route: Arc<str>,
    /// Client account as labeled in metrics; empty if there is none.
    pub account: Arc<str>,
    /// Workers that ended while they ran the request: keys of their incarnations, and their
    /// identities.
    pub workers: Vec<(u64, Arc<str>)>,
    /// Number of times that the request was refused.
    pub refused_count: u64,
    /// When a request with the part was last sent although it is quarantined, in milliseconds.
    pub probed_at_ms: Option<i64>,
}

/// A suspect as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// Key of the request or part.
    pub key: SuspectKey,
    /// Evidence against it.
    pub suspicion: Suspicion,
    /// Ends of workers that ran it.
    pub ends: Vec<WorkerEnd>,
    /// What this instance has observed.
    pub observed: LocalObservations,
}

impl Quarantine {
    /// Records that a request was refused; returns how often this instance has refused it.
    pub fn refused(&mut self, now_ms: i64, key: SuspectKey) -> u64 {
        self.suspects.get_mut(&key).map_or(0, |suspect| {
            suspect.requested_at_ms = now_ms;
            suspect.observed.refused_count += 1;
            suspect.observed.refused_count
        })
    }

    /// Records route and account of a known suspect and, if given, a worker that ended while
    /// running it for this instance.
    pub fn record_observation(
        &mut self,
        key: SuspectKey,
        route: &Arc<str>,
        account: &str,
        worker: Option<(u64, &Arc<str>)>,
    ) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        let observed = &mut suspect.observed;
        observed.route = Arc::clone(route);
        observed.account = Arc::from(account);
        if let Some((key, id)) = worker
            && observed.workers.len() < KEPT_END_COUNT
        {
            observed.workers.push((key, Arc::clone(id)));
        }
    }

    /// Returns what this instance has observed of a suspect, if it is known.
    pub fn observations(&self, key: SuspectKey) -> Option<&LocalObservations> {
        let suspect = self.suspects.get(&key)?;
        Some(&suspect.observed)
    }

    /// Finds suspects by their fingerprint alone: a part may be suspected twice.
    pub fn find(&self, fingerprint: Fingerprint) -> Vec<SuspectKey> {
        let keys = self.suspects.keys();
        let keys = keys.filter(|key| key.fingerprint == fingerprint);
        keys.copied().collect()
    }

    /// Lists the suspects with evidence against them.
    pub fn list(&self) -> impl Iterator<Item = SuspectReport> {
        let listed = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.ends.is_empty());
        listed.map(|(key, suspect)| SuspectReport {
            key: *key,
            suspicion: self.suspicion(*key),
            ends: suspect.ends.clone(),
            observed: suspect.observed.clone(),
        })
    }
}
