//! Index of workers by the models that they list, so that a choice needs to look only at these.
//!
//! Of 10,000 workers some 60 hold a given model. Scanning all of them took longer on a small
//! machine than a plain call runs.

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;

use super::Roster;
use super::ScoredWorker;
use super::score_workers;
use crate::configuration::Engine;
use crate::no_worker::NoWorker;
use crate::routing_request::RoutingRequest;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// Identities of workers by the model that their rows list.
type ByModel = HashMap<Arc<str>, Vec<Arc<str>>>;

/// Index of workers by service and by the models that their rows list.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    by_service: HashMap<Arc<str>, ByModel>,
}

impl Holders {
    /// Adds a worker's row.
    pub(super) fn add(&mut self, record: &WorkerRecord) {
        let of_service = self.by_service.entry(Arc::clone(&record.service));
        let by_model = of_service.or_default();
        for held in &record.models {
            let holders = by_model.entry(Arc::clone(&held.name)).or_default();
            if !holders.contains(&record.id) {
                holders.push(Arc::clone(&record.id));
            }
        }
    }

    /// Removes a worker's row.
    pub(super) fn remove(&mut self, record: &WorkerRecord) {
        let Some(by_model) = self.by_service.get_mut(&record.service) else {
            return;
        };
        for held in &record.models {
            if let Some(holders) = by_model.get_mut(&held.name) {
                holders.retain(|id| *id != record.id);
            }
        }
    }

    /// Replaces a worker's row by a newer one.
    pub(super) fn change(&mut self, before: &WorkerRecord, record: &WorkerRecord) {
        let names = |row: &WorkerRecord| -> Vec<Arc<str>> {
            row.models
                .iter()
                .map(|held| Arc::clone(&held.name))
                .collect()
        };
        if before.service != record.service || names(before) != names(record) {
            self.remove(before);
            self.add(record);
        }
    }

    /// Returns the workers of a service that list a model.
    fn find(&self, service: &str, model: &str) -> &[Arc<str>] {
        let by_model = self.by_service.get(service);
        let holders = by_model.and_then(|by_model| by_model.get(model));
        holders.map_or(&[], Vec::as_slice)
    }
}

impl Roster {
    /// Scores all workers that could take a request: at least one, or the reason why there is none.
    pub(super) fn score_all<R: Rng>(
        &self,
        now_ms: u64,
        request: &RoutingRequest<'_>,
        engine: Option<&Engine>,
        rng: &mut R,
    ) -> Result<Vec<ScoredWorker<'_>>, NoWorker> {
        let restrictions = (&self.evacuations, &self.brittle_services);
        let Some((model, _adapter)) = request.model else {
            let workers = self.of_service(request.service);
            return score_workers(now_ms, workers, restrictions, request, engine, rng);
        };
        let holders = self.holders_of(request.service, model);
        score_workers(now_ms, holders, restrictions, request, engine, rng)
            .map_err(|reason| reason.max(self.reason_without_model(request, model)))
    }

    /// Iterates over the workers of a service whose rows list a model.
    pub(super) fn holders_of(&self, service: &str, model: &str) -> impl Iterator<Item = &Worker> {
        let ids = self.holders.find(service, model);
        ids.iter().filter_map(|id| self.workers.get(id))
    }

    /// Returns why none of the workers that don't list a model can take a request for it.
    fn reason_without_model(&self, request: &RoutingRequest<'_>, model: &str) -> NoWorker {
        let mut others = self.of_service(request.service).filter(|worker| {
            let mut held = worker.record.models.iter();
            !worker.is_leaving() && held.all(|held| held.name.as_ref() != model)
        });
        let mut reason = NoWorker::None;
        let is_allowed = others.any(|worker| {
            if !request.may_be_served_at(&worker.record) {
                reason = reason.max(NoWorker::NotAllowed);
                return false;
            }
            if !request.accepts_version_of(worker) {
                reason = NoWorker::OtherVersion;
                return false;
            }
            true
        });
        if is_allowed {
            NoWorker::NoModel
        } else {
            reason
        }
    }
}
