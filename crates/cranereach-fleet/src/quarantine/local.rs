//! Observations of this instance about requests under which workers ended, shown to operators.

use std::sync::Arc;

use super::KEPT_END_COUNT;
use super::Quarantine;
use super::RequestMark;
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
}

/// A request as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// Evidence against the request.
    pub suspicion: Suspicion,
    /// Ends of workers that ran it.
    pub ends: Vec<WorkerEnd>,
    /// What this instance has observed.
    pub observed: LocalObservations,
}

impl Quarantine {
    /// Records that a request was refused; returns how often this instance has refused it.
    pub fn refused(&mut self, now_ms: i64, mark: RequestMark) -> u64 {
        self.suspects.get_mut(&mark).map_or(0, |suspect| {
            suspect.requested_at_ms = now_ms;
            suspect.observed.refused_count += 1;
            suspect.observed.refused_count
        })
    }

    /// Records route and account of a known request and, if given, a worker that ended while
    /// running it for this instance.
    pub fn record_observation(
        &mut self,
        mark: RequestMark,
        route: &Arc<str>,
        account: &str,
        worker: Option<(u64, &Arc<str>)>,
    ) {
        let Some(suspect) = self.suspects.get_mut(&mark) else {
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

    /// Finds a request by its fingerprint alone.
    pub fn find(&self, fingerprint: Fingerprint) -> Option<RequestMark> {
        self.suspects
            .keys()
            .find(|mark| mark.fingerprint == fingerprint)
            .copied()
    }

    /// Lists the requests with evidence against them.
    pub fn list(&self) -> impl Iterator<Item = SuspectReport> {
        let listed = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.ends.is_empty());
        listed.map(|(mark, suspect)| SuspectReport {
            fingerprint: mark.fingerprint,
            suspicion: suspect.suspicion(),
            ends: suspect.ends.clone(),
            observed: suspect.observed.clone(),
        })
    }
}
