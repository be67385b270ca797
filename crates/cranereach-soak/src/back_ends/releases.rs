//! Versions of the software of the workers with models: two sets of workers serve side by side, each
//! with a version of its own, and releases replace them.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use tokio::time::sleep;

use super::BackEnds;
use super::LEAVING;
use super::RunningWorker;
use super::SERVE_PAST_DRAIN_MS;
use super::WorkerSlot;
use super::lock;
use crate::check::bounded::DRAIN_MS;
use crate::journal::Journal;
use crate::record::Event;
use crate::schedule::WITH_MODELS;
use crate::schedule::WORKER_SET_COUNT;
use cranereach_platform::standin::ending::Ending;
use cranereach_platform::standin::worker::Behaviour;
use cranereach_platform::workers;
use cranereach_standin::relay::LinkMode;

/// Returns the name of a version.
pub(super) fn release_name(number: usize) -> String {
    format!("release-{number}")
}

impl BackEnds {
    /// Replaces the workers of a set by others with a new version, beginning with one each
    /// `step_ms`. Each new worker starts before the old one leaves.
    pub async fn release(&self, set: usize, step_ms: u64, journal: &Journal) {
        let version = release_name(self.release_count.fetch_add(1, Ordering::Relaxed));
        let replacing = self.slots_of_set(set).into_iter().enumerate();
        let replacing = replacing.map(|(place, slot)| {
            let version = version.clone();
            async move {
                sleep(Duration::from_millis(step_ms * place as u64)).await;
                self.replace_with(slot, version, journal).await;
            }
        });
        join_all(replacing).await;
    }

    /// Returns how many workers can go on with a stream of a model that a version began: they
    /// hold the model, are warm and not disturbed, and stay.
    pub fn serving_count(&self, version: &str, model: &str) -> usize {
        let now = Instant::now();
        let serves = |running: &RunningWorker| {
            let worker = &running.worker;
            running.state == workers::READY
                && running.cold_until <= now
                && running.link.mode() == LinkMode::Open
                && worker.is_serving()
                && worker.holds(model)
                && worker.software_version().as_deref() == Some(version)
        };
        let slots = self.slots.iter();
        slots
            .filter(|slot| lock(&slot.current).as_ref().is_some_and(serves))
            .count()
    }

    /// Returns the slots of a set of workers with models.
    fn slots_of_set(&self, set: usize) -> Vec<&WorkerSlot> {
        let with_models = self.slots.iter().filter(|slot| slot.service == WITH_MODELS);
        let with_models: Vec<&WorkerSlot> = with_models.collect();
        let set_len = with_models.len() / WORKER_SET_COUNT;
        with_models[set * set_len..][..set_len].to_vec()
    }

    /// Replaces the worker in a slot by one with another version. If it has crashed or leaves
    /// already, its replacement has that version.
    async fn replace_with(&self, slot: &WorkerSlot, version: String, journal: &Journal) {
        *lock(&slot.software_version) = Some(version);
        let old = lock(&slot.current)
            .take_if(|running| running.state == workers::READY && !running.worker.has_ended());
        let Some(mut old) = old else { return };
        self.start_replacement(slot, journal);
        // The faults of the slot go on at the new worker.
        old.worker.set(Behaviour::Serves);
        old.worker.end_bodies(Ending::default());
        old.link.set(LinkMode::Open);
        for path in &old.paths {
            path.set(LinkMode::Open);
        }
        old.state = LEAVING;
        old.worker.announce_leaving();
        self.store.put("servers", &old.worker.id, &old.row(slot));
        journal.record_event(Event::Leaves {
            worker_id: old.worker.id.clone(),
            at_ms: journal.now_ms(),
        });
        sleep(Duration::from_millis(DRAIN_MS + SERVE_PAST_DRAIN_MS)).await;
        old.worker.end();
        self.store.remove("servers", &old.worker.id);
    }
}
