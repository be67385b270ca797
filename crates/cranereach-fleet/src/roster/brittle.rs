//! What is known of the brittleness of workers: by what they said themselves, and by what others of
//! their service said.

use std::collections::HashMap;
use std::sync::Arc;

use super::Roster;
use crate::brittle::BrittleNotice;
use crate::brittle::BrittleReport;
use crate::brittle::BrittleStatements;
use crate::brittle::KnowledgeSource;
use crate::brittle::KnownBrittleness;
use crate::worker::Worker;

/// Minimum time between two log lines on what a worker's brittleness is known by, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Interval at which the owner of a worker is told again that it is brittle, in milliseconds:
/// within the time after which its knowledge expires.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// What an answer of a worker tells of its brittleness.
#[derive(Clone, Copy, Debug)]
pub struct BrittleAnswer {
    /// What its head says.
    pub notice: BrittleNotice,
    /// Whether it denies that the worker is brittle if it doesn't say so.
    pub may_deny: bool,
    /// When the request was sent, in milliseconds.
    pub sent_ms: u64,
}

/// What follows from an answer of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BrittleUpdate {
    /// Whether what the worker said itself has changed.
    pub has_changed: bool,
    /// Rejections that it bears in one second, if the owner of the worker is to be told.
    pub reported_count: Option<u32>,
}

/// Statements of the workers of each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrittleServices {
    by_service: HashMap<Arc<str>, BrittleStatements>,
}

impl BrittleServices {
    /// Returns whether a worker is taken to be brittle, and why. All decisions go by this.
    pub(crate) fn known(&self, now_ms: u64, worker: &Worker) -> KnownBrittleness {
        let service = self.by_service.get(&worker.record.service);
        let service = service.copied().unwrap_or_default();
        let ended_at_ms = worker.row_doubt.ended_at_ms();
        KnownBrittleness::of(now_ms, &worker.brittleness, &service, ended_at_ms)
    }

    /// Returns the statements of a service's workers, to be changed.
    fn of(&mut self, service: &Arc<str>) -> &mut BrittleStatements {
        self.by_service.entry(Arc::clone(service)).or_default()
    }
}

impl Roster {
    /// Returns whether a worker is taken to be brittle, and why; none if it is unknown.
    pub fn brittleness(&self, now_ms: u64, id: &str) -> Option<KnownBrittleness> {
        let worker = self.workers.get(id)?;
        Some(self.brittle_services.known(now_ms, worker))
    }

    /// Records what an answer of a worker says of its brittleness.
    pub fn note_brittle_answer(
        &mut self,
        now_ms: u64,
        id: &str,
        answer: BrittleAnswer,
    ) -> BrittleUpdate {
        let Some(worker) = self.workers.get_mut(id) else {
            return BrittleUpdate::default();
        };
        let before = worker.brittleness.borne_count(now_ms);
        let service = self.brittle_services.of(&worker.record.service);
        match answer.notice {
            BrittleNotice::Bears(count) => {
                worker.brittleness.said(now_ms, count);
                service.said_by_any(now_ms, count);
            }
            BrittleNotice::Nothing if answer.may_deny => {
                worker.brittleness.denied(now_ms, answer.sent_ms);
                service.denied(now_ms, answer.sent_ms);
            }
            BrittleNotice::Nothing | BrittleNotice::Unreadable => {}
        }
        let after = worker.brittleness.borne_count(now_ms);
        let has_changed = after != before;
        let is_due = worker
            .brittleness_reported_ms
            .is_none_or(|at_ms| now_ms >= at_ms + REPORT_INTERVAL_MS);
        let reported_count = after.filter(|_| has_changed || is_due);
        if reported_count.is_some() {
            worker.brittleness_reported_ms = Some(now_ms);
        }
        BrittleUpdate {
            has_changed,
            reported_count,
        }
    }

    /// Takes another instance's report of a worker and its service. `worker` is the worker's key.
    pub fn note_brittle_report(&mut self, now_ms: u64, worker: u64, report: BrittleReport) {
        let id = self.by_key.get(&worker);
        let Some(worker) = id.and_then(|id| self.workers.get_mut(id)) else {
            return;
        };
        let service = self.brittle_services.of(&worker.record.service);
        if let Some(word) = report.worker {
            worker.brittleness.reported(now_ms, word);
        }
        for word in [report.worker, report.service].into_iter().flatten() {
            service.reported(now_ms, word);
        }
    }

    /// Returns what other instances are told of a worker and its service; none if no word of either
    /// holds. An assumption is never told.
    pub fn brittle_report(&self, now_ms: u64, worker: &Worker) -> Option<BrittleReport> {
        let service = self.brittle_services.by_service.get(&worker.record.service);
        let report = BrittleReport {
            worker: worker.brittleness.report(now_ms),
            service: service.and_then(|service| service.report(now_ms)),
        };
        (report != BrittleReport::default()).then_some(report)
    }

    /// Returns what the brittleness of a worker was known by for earlier requests, if a log line is
    /// due for one that is about to be sent: when that has changed, and either is a word.
    pub fn replaced_brittle_source(
        &mut self,
        now_ms: u64,
        id: &str,
        source: KnowledgeSource,
    ) -> Option<KnowledgeSource> {
        let worker = self.workers.get_mut(id)?;
        let (before, logged_at_ms) = worker.brittle_source;
        if !before.is_word() && !source.is_word() {
            worker.brittle_source.0 = source;
            return None;
        }
        let is_early = logged_at_ms.is_some_and(|at_ms| now_ms < at_ms + LOG_INTERVAL_MS);
        if before == source || is_early {
            return None;
        }
        worker.brittle_source = (source, Some(now_ms));
        Some(before)
    }
}
