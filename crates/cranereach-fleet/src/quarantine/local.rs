//! What one instance has seen of requests under which workers ended, for operators.

use std::sync::Arc;

use super::KEPT_END_COUNT;
use super::Quarantine;
use super::RequestMark;
use super::Suspicion;
use super::WorkerEnd;
use crate::fingerprint::Fingerprint;

/// What this instance itself has seen of a request, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Its route.
    pub route: Arc<str>,
    /// Its client account in metrics; empty where there is none.
    pub account: Arc<str>,
    /// Workers that ended under it, with the keys of their starts.
    pub workers: Vec<(u64, Arc<str>)>,
    /// Times that it was refused.
    pub refused_count: u64,
}

/// A request as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// What is asked for.
    pub fingerprint: Fingerprint,
    /// What is held against it.
    pub suspicion: Suspicion,
    /// The ends.
    pub ends: Vec<WorkerEnd>,
    /// What this instance has seen of it.
    pub seen: Seen,
}

impl Quarantine {
    /// Notes that a request was refused; returns how often it was here.
    pub fn refused(&mut self, now_ms: i64, mark: RequestMark) -> u64 {
        self.suspects.get_mut(&mark).map_or(0, |suspect| {
            suspect.requested_at_ms = now_ms;
            suspect.seen.refused_count += 1;
            suspect.seen.refused_count
        })
    }

    /// Notes what a known request looks like, and a worker that ended under it here.
    pub fn note(
        &mut self,
        mark: RequestMark,
        route: &Arc<str>,
        account: &str,
        worker: Option<(u64, &Arc<str>)>,
    ) {
        let Some(suspect) = self.suspects.get_mut(&mark) else {
            return;
        };
        let seen = &mut suspect.seen;
        seen.route = Arc::clone(route);
        seen.account = Arc::from(account);
        if let Some((key, id)) = worker
            && seen.workers.len() < KEPT_END_COUNT
        {
            seen.workers.push((key, Arc::clone(id)));
        }
    }

    /// Finds a request by its fingerprint alone.
    pub fn find(&self, fingerprint: Fingerprint) -> Option<RequestMark> {
        self.suspects
            .keys()
            .find(|mark| mark.fingerprint == fingerprint)
            .copied()
    }

    /// Lists the requests that something is held against.
    pub fn list(&self) -> impl Iterator<Item = Listed> {
        let listed = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.ends.is_empty());
        listed.map(|(mark, suspect)| Listed {
            fingerprint: mark.fingerprint,
            suspicion: suspect.suspicion(),
            ends: suspect.ends.clone(),
            seen: suspect.seen.clone(),
        })
    }
}
